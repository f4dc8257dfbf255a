#include "quarantine/suspects.h"

#include <algorithm>

namespace heatherdeal::quarantine {

namespace {

// Reports travel for some time, so that the age of an event grows a little from
// host to host. Only a clearly newer event is news.
constexpr core::Duration kMaxTravelTime = std::chrono::seconds(1);

bool
IsBlamed(const QuarantinePolicy& aPolicy,
         const SuspectRequest& aRequest,
         const CrashObservation& aCrash)
{
  const bool wasServed =
    aRequest.m_lastServedAt &&
    aCrash.m_observedAt <= *aRequest.m_lastServedAt + aPolicy.m_soundDuration;
  return !aCrash.m_disproved && !wasServed;
}

core::Duration
RefusalDuration(const QuarantinePolicy& aPolicy, uint32_t aCrashes)
{
  core::Duration duration = aPolicy.m_firstRefusal;
  const uint32_t steps = std::min(aCrashes - aPolicy.m_minCrashedUpstreams,
                                  aPolicy.m_maxRefusalSteps);
  for (uint32_t step = 0; step < steps; ++step) {
    duration *= static_cast<int64_t>(aPolicy.m_refusalGrowth);
  }
  return duration;
}

core::Instant
FindLastCrash(const SuspectRequest& aRequest)
{
  core::Instant last{};
  for (const CrashObservation& crash : aRequest.m_crashes) {
    last = std::max(last, crash.m_observedAt);
  }
  return last;
}

std::optional<core::Instant>
ComputeRefusalEnd(const QuarantinePolicy& aPolicy,
                  const SuspectRequest& aRequest)
{
  const uint32_t crashes = CountCrashes(aPolicy, aRequest);
  if (crashes < aPolicy.m_minCrashedUpstreams) {
    return std::nullopt;
  }
  return FindLastCrash(aRequest) + RefusalDuration(aPolicy, crashes);
}

bool
IsRefused(const QuarantinePolicy& aPolicy,
          const SuspectRequest& aRequest,
          core::Instant aNow)
{
  const auto end = ComputeRefusalEnd(aPolicy, aRequest);
  return end && *end > aNow;
}

/// After its refusal a request stays suspect for as long again, so that a
/// single further crash is enough to refuse it.
core::Instant
ComputeExpiry(const QuarantinePolicy& aPolicy, const SuspectRequest& aRequest)
{
  const core::Instant lastCrash = FindLastCrash(aRequest);
  const core::Instant suspectEnd = lastCrash + aPolicy.m_suspectDuration;
  const auto refusalEnd = ComputeRefusalEnd(aPolicy, aRequest);
  return refusalEnd
           ? std::max(suspectEnd, *refusalEnd + (*refusalEnd - lastCrash))
           : suspectEnd;
}

void
RemoveExpired(QuarantineState& aState, core::Instant aNow)
{
  std::erase_if(aState.m_suspects, [&](const auto& aEntry) {
    return ComputeExpiry(aState.m_policy, aEntry.second) <= aNow;
  });
}

std::optional<core::Instant>
FindLastServed(const ServedRequests& aServed, Fingerprint aFingerprint)
{
  for (const auto* generation : { &aServed.m_newer, &aServed.m_older }) {
    const auto found = generation->find(aFingerprint.m_value);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void
RememberServed(QuarantineState& aState,
               Fingerprint aFingerprint,
               core::Instant aNow)
{
  ServedRequests& served = aState.m_served;
  if (served.m_newer.size() >= aState.m_policy.m_maxEntries) {
    served.m_older = std::move(served.m_newer);
    served.m_newer.clear();
  }
  served.m_newer[aFingerprint.m_value] = aNow;
}

/// Makes room for one entry: removes the request with the fewest crashes, of
/// these the one that is suspect for the longest time.
void
EvictLeastSuspect(QuarantineState& aState)
{
  const auto least =
    std::ranges::min_element(aState.m_suspects, {}, [&](const auto& aEntry) {
      return std::pair(CountCrashes(aState.m_policy, aEntry.second),
                       FindLastCrash(aEntry.second));
    });
  aState.m_suspects.erase(least);
}

SuspectRequest&
FindOrAdd(QuarantineState& aState, Fingerprint aFingerprint, core::Instant aNow)
{
  const auto found = aState.m_suspects.find(aFingerprint);
  if (found != aState.m_suspects.end()) {
    return found->second;
  }
  if (aState.m_suspects.size() >= aState.m_policy.m_maxEntries) {
    RemoveExpired(aState, aNow);
  }
  if (aState.m_suspects.size() >= aState.m_policy.m_maxEntries) {
    EvictLeastSuspect(aState);
  }
  SuspectRequest& request = aState.m_suspects[aFingerprint];
  request.m_lastServedAt = FindLastServed(aState.m_served, aFingerprint);
  return request;
}

/// Returns true if the observation was not known.
bool
MergeCrash(SuspectRequest& aRequest, const CrashObservation& aCrash)
{
  const auto known = std::ranges::find(
    aRequest.m_crashes, aCrash.m_upstream, &CrashObservation::m_upstream);
  if (known != aRequest.m_crashes.end()) {
    const bool isNews = aCrash.m_disproved && !known->m_disproved;
    known->m_disproved = known->m_disproved || aCrash.m_disproved;
    known->m_observedAt = std::min(known->m_observedAt, aCrash.m_observedAt);
    return isNews;
  }
  if (aRequest.m_crashes.size() < kMaxCrashesPerReport) {
    aRequest.m_crashes.push_back(aCrash);
    return true;
  }
  const auto oldest = std::ranges::min_element(
    aRequest.m_crashes, {}, &CrashObservation::m_observedAt);
  if (oldest->m_observedAt >= aCrash.m_observedAt) {
    return false;
  }
  *oldest = aCrash;
  return true;
}

bool
MergeLastServed(SuspectRequest& aRequest,
                const std::optional<core::Instant>& aServedAt)
{
  if (!aServedAt || (aRequest.m_lastServedAt &&
                     *aServedAt <= *aRequest.m_lastServedAt + kMaxTravelTime)) {
    return false;
  }
  aRequest.m_lastServedAt = aServedAt;
  return true;
}

Learned
FinishChange(const QuarantineState& aState,
             SuspectRequest& aRequest,
             bool aWasRefused,
             core::Instant aNow)
{
  aRequest.m_changedAt = aNow;
  const bool isRefused = IsRefused(aState.m_policy, aRequest, aNow);
  return isRefused && !aWasRefused ? Learned::Refusal : Learned::News;
}

bool
IsDue(const QuarantinePolicy& aPolicy,
      const SuspectRequest& aRequest,
      core::Instant aNow)
{
  return aNow < aRequest.m_changedAt + aPolicy.m_freshDuration ||
         aNow >= aRequest.m_lastReportedAt + aPolicy.m_reportInterval;
}

} // namespace

uint32_t
CountCrashes(const QuarantinePolicy& aPolicy, const SuspectRequest& aRequest)
{
  return static_cast<uint32_t>(std::ranges::count_if(
    aRequest.m_crashes, [&](const CrashObservation& aCrash) {
      return IsBlamed(aPolicy, aRequest, aCrash);
    }));
}

Learned
RecordCrash(QuarantineState& aState,
            Fingerprint aFingerprint,
            core::UpstreamRun aUpstream,
            core::Instant aNow)
{
  SuspectRequest& request = FindOrAdd(aState, aFingerprint, aNow);
  const bool wasRefused = IsRefused(aState.m_policy, request, aNow);
  if (!MergeCrash(request, { aUpstream, aNow, false })) {
    return Learned::Nothing;
  }
  aState.m_newestCrashAt = aNow;
  return FinishChange(aState, request, wasRefused, aNow);
}

Learned
RecordServed(QuarantineState& aState,
             Fingerprint aFingerprint,
             core::Instant aNow)
{
  RememberServed(aState, aFingerprint, aNow);
  const auto found = aState.m_suspects.find(aFingerprint);
  if (found == aState.m_suspects.end() ||
      !MergeLastServed(found->second, aNow)) {
    return Learned::Nothing;
  }
  found->second.m_changedAt = aNow;
  return Learned::News;
}

Learned
RecordAnswer(QuarantineState& aState,
             core::UpstreamRun aUpstream,
             core::Instant aSentAt,
             core::Instant aNow)
{
  Learned learned = Learned::Nothing;
  if (aSentAt >= aState.m_newestCrashAt + aState.m_policy.m_disproofWindow) {
    return learned;
  }
  for (auto& [fingerprint, request] : aState.m_suspects) {
    for (CrashObservation& crash : request.m_crashes) {
      const bool isDisproved =
        crash.m_upstream == aUpstream && !crash.m_disproved &&
        aSentAt > crash.m_observedAt &&
        aSentAt < crash.m_observedAt + aState.m_policy.m_disproofWindow;
      if (isDisproved) {
        crash.m_disproved = true;
        request.m_changedAt = aNow;
        learned = Learned::News;
      }
    }
  }
  return learned;
}

Learned
MergeReport(QuarantineState& aState,
            const SuspectReport& aReport,
            core::Instant aNow)
{
  SuspectRequest& request = FindOrAdd(aState, aReport.m_fingerprint, aNow);
  const bool wasRefused = IsRefused(aState.m_policy, request, aNow);
  bool isNews = MergeLastServed(request, aReport.m_lastServedAt);
  for (const CrashObservation& crash : aReport.m_crashes) {
    isNews = MergeCrash(request, crash) || isNews;
    aState.m_newestCrashAt =
      std::max(aState.m_newestCrashAt, crash.m_observedAt);
  }
  if (!isNews) {
    return Learned::Nothing;
  }
  return FinishChange(aState, request, wasRefused, aNow);
}

std::optional<core::Instant>
FindRefusalEnd(const QuarantineState& aState,
               Fingerprint aFingerprint,
               core::Instant aNow)
{
  const auto found = aState.m_suspects.find(aFingerprint);
  if (found == aState.m_suspects.end() ||
      !IsRefused(aState.m_policy, found->second, aNow)) {
    return std::nullopt;
  }
  return ComputeRefusalEnd(aState.m_policy, found->second);
}

size_t
CountRefused(const QuarantineState& aState, core::Instant aNow)
{
  return static_cast<size_t>(
    std::ranges::count_if(aState.m_suspects, [&](const auto& aEntry) {
      return IsRefused(aState.m_policy, aEntry.second, aNow);
    }));
}

std::vector<SuspectReport>
CollectRefused(const QuarantineState& aState, core::Instant aNow)
{
  std::vector<const std::pair<const Fingerprint, SuspectRequest>*> refused;
  for (const auto& entry : aState.m_suspects) {
    if (IsRefused(aState.m_policy, entry.second, aNow)) {
      refused.push_back(&entry);
    }
  }
  std::ranges::sort(refused, std::greater(), [](const auto* aEntry) {
    return FindLastCrash(aEntry->second);
  });
  std::vector<SuspectReport> reports;
  for (const auto* entry : refused) {
    reports.push_back(
      { entry->first, entry->second.m_crashes, entry->second.m_lastServedAt });
  }
  return reports;
}

std::vector<SuspectReport>
TakeDueReports(QuarantineState& aState, size_t aMaxCount, core::Instant aNow)
{
  RemoveExpired(aState, aNow);
  using Entry = std::pair<const Fingerprint, SuspectRequest>;
  std::vector<Entry*> due;
  for (Entry& entry : aState.m_suspects) {
    if (IsDue(aState.m_policy, entry.second, aNow)) {
      due.push_back(&entry);
    }
  }
  // Requests that are closest to a refusal matter most. Among equals, those
  // that were reported the longest ago come first.
  std::ranges::sort(due, [&](const Entry* aLeft, const Entry* aRight) {
    const uint32_t left = CountCrashes(aState.m_policy, aLeft->second);
    const uint32_t right = CountCrashes(aState.m_policy, aRight->second);
    return left != right
             ? left > right
             : aLeft->second.m_lastReportedAt < aRight->second.m_lastReportedAt;
  });
  due.resize(std::min(due.size(), aMaxCount));
  std::vector<SuspectReport> reports;
  for (Entry* entry : due) {
    entry->second.m_lastReportedAt = aNow;
    reports.push_back(
      { entry->first, entry->second.m_crashes, entry->second.m_lastServedAt });
  }
  return reports;
}

} // namespace heatherdeal::quarantine
