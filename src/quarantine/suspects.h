#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::quarantine {

/// Equal for requests that differ only in what each attempt sets anew.
struct Fingerprint
{
  uint64_t m_value = 0;

  auto operator<=>(const Fingerprint&) const = default;
};

/// Policy for requests that crash upstreams.
struct QuarantinePolicy
{
  /// Number of upstreams that a request must have crashed before it is refused.
  uint32_t m_minCrashedUpstreams = 3;
  /// How long a request stays suspect after the last upstream that it crashed.
  core::Duration m_suspectDuration = std::chrono::minutes(10);
  /// How long a request is refused first. Each further crash multiplies the
  /// time by m_refusalGrowth, up to m_maxRefusalSteps times.
  core::Duration m_firstRefusal = std::chrono::seconds(60);
  uint32_t m_refusalGrowth = 10;
  uint32_t m_maxRefusalSteps = 3;
  /// A request that was served is not blamed for crashes before it and for this
  /// long after it.
  core::Duration m_soundDuration = std::chrono::seconds(60);
  /// A presumed crash is disproved if the same run of the upstream answers a
  /// request that was sent within this time after it.
  core::Duration m_disproofWindow = std::chrono::seconds(1);
  /// A change is reported to other hosts for this long in every message, and in
  /// intervals afterwards.
  core::Duration m_freshDuration = std::chrono::seconds(5);
  core::Duration m_reportInterval = std::chrono::seconds(1);
  /// Maximum number of suspect requests, and half the number of served requests
  /// that are remembered.
  size_t m_maxEntries = 4096;
};

/// An upstream broke its connection or fell silent while it had the request.
struct CrashObservation
{
  core::UpstreamRun m_upstream;
  core::Instant m_observedAt{};
  /// True if the upstream has answered since, so that it did not crash.
  bool m_disproved = false;

  bool operator==(const CrashObservation&) const = default;
};

/// What all hosts together have observed of a request. Merging is commutative,
/// associative and idempotent, so that hosts agree in whatever order they
/// learn.
struct SuspectRequest
{
  /// At most one observation for each run of an upstream.
  std::vector<CrashObservation> m_crashes;
  std::optional<core::Instant> m_lastServedAt;
  /// When this host last learned something new of the request.
  core::Instant m_changedAt{};
  core::Instant m_lastReportedAt{};
};

/// A suspect request as one host reports it to others.
struct SuspectReport
{
  Fingerprint m_fingerprint;
  std::vector<CrashObservation> m_crashes;
  std::optional<core::Instant> m_lastServedAt;

  bool operator==(const SuspectReport&) const = default;
};

/// Limits of a report, which its decoder checks.
inline constexpr size_t kMaxCrashesPerReport = 8;

/// The requests that were served most recently, in two generations: when the
/// newer one is full, it replaces the older one.
struct ServedRequests
{
  std::unordered_map<uint64_t, core::Instant> m_newer;
  std::unordered_map<uint64_t, core::Instant> m_older;
};

/// Suspect and recently served requests as known to one host.
struct QuarantineState
{
  QuarantinePolicy m_policy;
  std::map<Fingerprint, SuspectRequest> m_suspects;
  ServedRequests m_served;
  /// When the newest known crash was observed.
  core::Instant m_newestCrashAt{};
};

/// What a host has learned from an event.
enum class Learned : uint8_t
{
  Nothing,
  /// Something that other hosts may not know yet.
  News,
  /// From now on the request is refused.
  Refusal,
};

/// Records that an upstream presumably crashed while it had the request.
Learned
RecordCrash(QuarantineState& aState,
            Fingerprint aFingerprint,
            core::UpstreamRun aUpstream,
            core::Instant aNow);

/// Records that an upstream has served the request, whatever the status.
Learned
RecordServed(QuarantineState& aState,
             Fingerprint aFingerprint,
             core::Instant aNow);

/// Records that an upstream answered a request that was sent at aSentAt.
Learned
RecordAnswer(QuarantineState& aState,
             core::UpstreamRun aUpstream,
             core::Instant aSentAt,
             core::Instant aNow);

/// Adds what another host knows of a request.
Learned
MergeReport(QuarantineState& aState,
            const SuspectReport& aReport,
            core::Instant aNow);

/// Returns when the refusal of the request ends, or nothing if it may be sent.
std::optional<core::Instant>
FindRefusalEnd(const QuarantineState& aState,
               Fingerprint aFingerprint,
               core::Instant aNow);

/// Returns the number of upstreams that the request is blamed for.
uint32_t
CountCrashes(const QuarantinePolicy& aPolicy, const SuspectRequest& aRequest);

/// Returns the number of requests that are refused.
size_t
CountRefused(const QuarantineState& aState, core::Instant aNow);

/// Returns the requests that are refused, those that were refused last first.
std::vector<SuspectReport>
CollectRefused(const QuarantineState& aState, core::Instant aNow);

/// Returns up to aMaxCount reports that are due, those of the most crashes
/// first, and marks them as reported. Removes expired entries.
std::vector<SuspectReport>
TakeDueReports(QuarantineState& aState, size_t aMaxCount, core::Instant aNow);

} // namespace heatherdeal::quarantine
