#include "batches/internal/retirement.h"

#include "gossip/gossip.h"
#include "kernel/eventlog.h"
#include "kernel/json.h"

namespace heatherdeal::batches {

namespace {

constexpr std::string_view kRetirementKind = "retirements";
constexpr std::string_view kEmptying = "emptying";
constexpr std::string_view kEmpty = "empty";
constexpr int64_t kMaxRetirementMilliseconds = 3'600'000;
// The time reserved for other hosts to take the batches over and for the report
// to reach the operator.
constexpr core::Duration kHandOverMargin = std::chrono::seconds(3);
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(200);
constexpr core::Duration kReportRetryDelay = std::chrono::milliseconds(500);
constexpr core::Duration kHandOverRetryDelay = std::chrono::milliseconds(300);

} // namespace

Retirement::Retirement(kernel::Context& aContext,
                       std::shared_ptr<Batches> aBatches)
  : m_context(aContext)
  , m_batches(std::move(aBatches))
  , m_checkTimer(aContext.Control(), [this] { HandOverIfDue(); })
{
}

void
Retirement::Start()
{
  m_context.Get<objectstore::ObjectStore>()->Watch(
    std::string(kRetirementKind),
    [self = shared_from_this()](
      std::span<const objectstore::StoredObject> aObjects) {
      self->ApplyRetirements(aObjects);
    });
}

void
Retirement::ApplyRetirements(
  std::span<const objectstore::StoredObject> aObjects)
{
  for (const objectstore::StoredObject& object : aObjects) {
    if (object.m_key.m_name != m_context.Self().m_host || m_handOverAt) {
      continue;
    }
    const absl::StatusOr<int64_t> timeLimit = kernel::ParseMessage<int64_t>(
      object.m_value, "retirement", [](kernel::SettingsReader& aReader) {
        return aReader.Integer("within_ms", { 1, kMaxRetirementMilliseconds });
      });
    if (!timeLimit.ok()) {
      m_context.Metrics().Get("batches.invalid_retirement").Add();
      continue;
    }
    StartRetirement(std::chrono::milliseconds(*timeLimit));
  }
}

void
Retirement::StartRetirement(core::Duration aTimeLimit)
{
  const core::Duration delay =
    std::max(core::Duration::zero(), aTimeLimit - kHandOverMargin);
  m_handOverAt = kernel::Now() + delay;
  kernel::LogEvent(kernel::LogLevel::Info,
                   "batches",
                   "retirement",
                   { { "state", kEmptying },
                     { "within_ms", kernel::Milliseconds(aTimeLimit) } });
  m_context.Get<gossip::Gossip>()->StartLeaving();
  ReportState(kEmptying);
  HandOverIfDue();
}

bool
Retirement::IsBlocked()
{
  const bool isBlocked = !m_batches->HasSuccessor();
  if (isBlocked != m_wasBlocked) {
    kernel::LogEvent(
      kernel::LogLevel::Warning,
      "batches",
      "retirement-blocked",
      { { "blocked", isBlocked },
        { "reason", isBlocked ? "no other host that stays owns batches" : "" },
        { "batches", m_batches->KnownCount() } });
    m_wasBlocked = isBlocked;
  }
  m_context.Metrics()
    .Get("batches.retirement_blocked")
    .m_value.store(isBlocked ? 1 : 0);
  return isBlocked;
}

void
Retirement::HandOverIfDue()
{
  const bool due =
    !m_batches->HasOpenBatches() || *m_handOverAt <= kernel::Now();
  if (!due) {
    m_checkTimer.Set(kernel::Now() + kCheckInterval);
    return;
  }
  if (IsBlocked()) {
    if (std::exchange(m_handedOver, false)) {
      m_batches->ResumeOwning();
    }
    m_checkTimer.Set(kernel::Now() + kCheckInterval);
    return;
  }
  if (m_handedOver && m_batches->HasOrphans()) {
    // The successors have not taken all batches over yet.
    m_checkTimer.Set(kernel::Now() + kCheckInterval);
    return;
  }
  if (m_handedOver) {
    ReportState(kEmpty);
    return;
  }
  m_batches->HandOver([self = shared_from_this()](bool aIsEmpty) {
    if (!aIsEmpty) {
      self->m_checkTimer.Set(kernel::Now() + kHandOverRetryDelay);
      return;
    }
    self->m_handedOver = true;
    self->m_checkTimer.Set(kernel::Now() + kCheckInterval);
  });
}

void
Retirement::ReportState(std::string_view aState)
{
  const bool isEmpty = aState == kEmpty;
  m_context.Get<objectstore::ObjectStore>()->SetStatus(
    { std::string(kRetirementKind), m_context.Self().m_host },
    aState,
    [self = shared_from_this(), isEmpty](bool aStored) {
      kernel::LogEvent(kernel::LogLevel::Info,
                       "batches",
                       "retirement-reported",
                       { { "empty", isEmpty }, { "taken", aStored } });
      if (isEmpty && !aStored) {
        self->m_checkTimer.Set(kernel::Now() + kReportRetryDelay);
      }
    });
}

} // namespace heatherdeal::batches
