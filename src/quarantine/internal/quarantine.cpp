#include "quarantine/quarantine.h"

#include "gossip/gossip.h"
#include "kernel/eventlog.h"
#include "quarantine/fingerprint.h"
#include "quarantine/internal/refusalstore.h"
#include "quarantine/internal/suspectcodec.h"

namespace heatherdeal::quarantine {

namespace {

constexpr std::string_view kTopicName = "quarantine";
constexpr size_t kMaxReportsPerMessage = 8;

} // namespace

Quarantine::Quarantine(kernel::Context& aContext,
                       const QuarantineSettings& aSettings)
  : m_context(aContext)
  , m_persists(aSettings.m_persists)
{
  m_state.m_policy = aSettings.m_policy;
}

void
Quarantine::Start()
{
  const auto gossip = m_context.Get<gossip::Gossip>();
  const auto self = shared_from_this();
  gossip->AddTopic(
    { std::string(kTopicName),
      [self](size_t aMaxBytes) { return self->ComposeReports(aMaxBytes); },
      [self](std::string_view aEncoded) { self->ReceiveReports(aEncoded); } });
  if (!m_persists) {
    return;
  }
  m_refusalStore = std::make_shared<RefusalStore>(
    m_context,
    [self] {
      const std::scoped_lock lock(self->m_mutex);
      return CollectRefused(self->m_state, kernel::Now());
    },
    [self](std::span<const SuspectReport> aReports) {
      self->MergeReports(aReports);
    });
  m_refusalStore->Load();
}

std::optional<core::Instant>
Quarantine::FindRefusalEnd(Fingerprint aFingerprint) const
{
  const std::scoped_lock lock(m_mutex);
  return quarantine::FindRefusalEnd(m_state, aFingerprint, kernel::Now());
}

void
Quarantine::ReportCrash(Fingerprint aFingerprint, core::UpstreamRun aUpstream)
{
  m_context.Metrics().Get("quarantine.crashes").Add();
  Learned learned = Learned::Nothing;
  {
    const std::scoped_lock lock(m_mutex);
    learned = RecordCrash(m_state, aFingerprint, aUpstream, kernel::Now());
  }
  HandleLearned(learned, aFingerprint);
  if (learned != Learned::Nothing) {
    SpreadSoon();
  }
}

void
Quarantine::ReportServed(Fingerprint aFingerprint)
{
  const std::scoped_lock lock(m_mutex);
  RecordServed(m_state, aFingerprint, kernel::Now());
}

void
Quarantine::ReportAnswer(core::UpstreamRun aUpstream, core::Instant aSentAt)
{
  const std::scoped_lock lock(m_mutex);
  RecordAnswer(m_state, aUpstream, aSentAt, kernel::Now());
}

std::string
Quarantine::ComposeReports(size_t aMaxBytes)
{
  const core::Instant now = kernel::Now();
  const std::scoped_lock lock(m_mutex);
  m_context.Metrics()
    .GaugeOf("quarantine.refused")
    .Set(static_cast<int64_t>(CountRefused(m_state, now)));
  return EncodeReports(
    TakeDueReports(m_state, kMaxReportsPerMessage, now), aMaxBytes, now);
}

void
Quarantine::ReceiveReports(std::string_view aEncoded)
{
  const absl::StatusOr<std::vector<SuspectReport>> reports =
    DecodeReports(aEncoded, kernel::Now());
  if (!reports.ok()) {
    m_context.Metrics().Get("quarantine.invalid_reports").Add();
    return;
  }
  MergeReports(*reports);
}

void
Quarantine::MergeReports(std::span<const SuspectReport> aReports)
{
  const core::Instant now = kernel::Now();
  for (const SuspectReport& report : aReports) {
    Learned learned = Learned::Nothing;
    {
      const std::scoped_lock lock(m_mutex);
      learned = MergeReport(m_state, report, now);
    }
    HandleLearned(learned, report.m_fingerprint);
    // Only a refusal is urgent enough to be passed on before the next round.
    if (learned == Learned::Refusal) {
      SpreadSoon();
    }
  }
}

void
Quarantine::HandleLearned(Learned aLearned, Fingerprint aFingerprint)
{
  if (aLearned != Learned::Refusal) {
    return;
  }
  m_context.Metrics().Get("quarantine.refusals").Add();
  const auto end = FindRefusalEnd(aFingerprint);
  kernel::LogEvent(
    kernel::LogLevel::Warning,
    "quarantine",
    "request-refused",
    { { "fingerprint", ToText(aFingerprint) },
      { "for_ms",
        end ? kernel::Milliseconds(*end - kernel::Now()) : int64_t{ 0 } } });
  m_context.Control().Post([self = shared_from_this()] {
    if (self->m_refusalStore) {
      self->m_refusalStore->Save();
    }
  });
}

void
Quarantine::SpreadSoon()
{
  if (const auto gossip = m_context.Get<gossip::Gossip>()) {
    m_context.Control().Post([gossip] { gossip->SpreadNews(); });
  }
}

boost::json::value
Quarantine::Dump() const
{
  const core::Instant now = kernel::Now();
  const std::scoped_lock lock(m_mutex);
  boost::json::object requests;
  for (const auto& [fingerprint, request] : m_state.m_suspects) {
    requests[ToText(fingerprint)] = {
      { "crashes", CountCrashes(m_state.m_policy, request) },
      { "refused",
        quarantine::FindRefusalEnd(m_state, fingerprint, now).has_value() }
    };
  }
  return requests;
}

} // namespace heatherdeal::quarantine
