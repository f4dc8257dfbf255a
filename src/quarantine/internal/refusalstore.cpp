#include "quarantine/internal/refusalstore.h"

#include <algorithm>
#include <map>

#include "absl/strings/escaping.h"
#include "boost/json/serialize.hpp"

#include "kernel/json.h"
#include "quarantine/internal/suspectcodec.h"

namespace heatherdeal::quarantine {

namespace {

constexpr std::string_view kObjectKind = "quarantine";
constexpr std::string_view kObjectName = "refused";
constexpr size_t kMaxStoredBytes = 64UL * 1024;
constexpr core::Duration kRetryInterval = std::chrono::milliseconds(500);
// Hosts that learn of a refusal at the same time write at different times, so
// that all but the first find it stored.
constexpr int64_t kMaxWriteDelayMs = 500;

std::string
EncodeObject(std::span<const SuspectReport> aReports)
{
  const boost::json::value object{
    { "written_at", kernel::UnixMilliseconds() },
    { "reports",
      absl::Base64Escape(
        EncodeReports(aReports, kMaxStoredBytes, kernel::Now())) }
  };
  return boost::json::serialize(object);
}

/// Returns the reports of a stored object; none if there is no valid one. Their
/// age includes the time since they were written, by the wall clock, which
/// hosts agree on only roughly.
std::vector<SuspectReport>
DecodeObject(std::string_view aValue)
{
  const auto reports = kernel::ParseMessage<std::vector<SuspectReport>>(
    aValue, "quarantine", [](kernel::SettingsReader& aReader) {
      const int64_t writtenAt = aReader.Integer("written_at", { 0, INT64_MAX });
      const std::string text = aReader.Text("reports");
      std::string bytes;
      absl::Base64Unescape(text, &bytes);
      const std::chrono::milliseconds age(
        std::max<int64_t>(0, kernel::UnixMilliseconds() - writtenAt));
      auto decoded = DecodeReports(bytes, kernel::Now() - age);
      return decoded.ok() ? *std::move(decoded) : std::vector<SuspectReport>();
    });
  return reports.ok() ? *reports : std::vector<SuspectReport>();
}

/// Returns true if the stored reports know all crashes of the others.
bool
Covers(std::span<const SuspectReport> aStored,
       std::span<const SuspectReport> aReports)
{
  std::map<Fingerprint, size_t> storedCrashes;
  for (const SuspectReport& report : aStored) {
    storedCrashes[report.m_fingerprint] = report.m_crashes.size();
  }
  return std::ranges::all_of(aReports, [&](const SuspectReport& aReport) {
    const auto found = storedCrashes.find(aReport.m_fingerprint);
    return found != storedCrashes.end() &&
           found->second >= aReport.m_crashes.size();
  });
}

} // namespace

RefusalStore::RefusalStore(kernel::Context& aContext,
                           Collect aCollect,
                           Merge aMerge)
  : m_context(aContext)
  , m_collect(std::move(aCollect))
  , m_merge(std::move(aMerge))
  , m_timer(aContext.Control(), [this] { Synchronise(); })
{
}

void
RefusalStore::Load()
{
  Synchronise();
}

void
RefusalStore::Save()
{
  if (m_mustSave) {
    return;
  }
  m_mustSave = true;
  const auto hostHash = std::hash<std::string>()(m_context.Self().m_host);
  const std::chrono::milliseconds delay(
    static_cast<int64_t>(hostHash % kMaxWriteDelayMs));
  m_timer.Set(kernel::Now() + delay);
}

void
RefusalStore::Synchronise()
{
  if (m_isCallInFlight) {
    return;
  }
  m_isCallInFlight = true;
  m_context.Get<objectstore::ObjectStore>()->Read(
    { std::string(kObjectKind), std::string(kObjectName) },
    objectstore::CallPriority::Status,
    [self = shared_from_this()](
      const absl::StatusOr<objectstore::StoredObject>& aRead) {
      self->HandleRead(aRead);
    });
}

void
RefusalStore::HandleRead(const absl::StatusOr<objectstore::StoredObject>& aRead)
{
  if (!aRead.ok()) {
    FinishStep(false);
    return;
  }
  std::vector<SuspectReport> stored;
  if (aRead->m_version != 0) {
    stored = DecodeObject(aRead->m_value);
    m_merge(stored);
  }
  if (m_mustSave) {
    WriteRefused(aRead->m_version, stored);
    return;
  }
  FinishStep(true);
}

void
RefusalStore::WriteRefused(uint64_t aVersion,
                           std::span<const SuspectReport> aStored)
{
  m_mustSave = false;
  const std::vector<SuspectReport> refused = m_collect();
  if (Covers(aStored, refused)) {
    FinishStep(true);
    return;
  }
  m_context.Get<objectstore::ObjectStore>()->Write(
    { std::string(kObjectKind), std::string(kObjectName) },
    aVersion,
    EncodeObject(refused),
    objectstore::CallPriority::Status,
    [self =
       shared_from_this()](const absl::StatusOr<uint64_t>& aVersionOrError) {
      self->m_mustSave = self->m_mustSave || !aVersionOrError.ok();
      self->FinishStep(aVersionOrError.ok());
    });
}

void
RefusalStore::FinishStep(bool aSucceeded)
{
  m_isCallInFlight = false;
  if (!aSucceeded || m_mustSave) {
    m_timer.Set(kernel::Now() + kRetryInterval);
  }
}

} // namespace heatherdeal::quarantine
