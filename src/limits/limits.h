#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::limits {

/// Policy for limits that upstreams name.
struct LimitPolicy
{
  /// The hosts together send at least this many requests per second to an
  /// upstream, since only its answers tell when the limit ends.
  double m_minRate = 0.1;
  /// How long the demand of a host counts after its last report.
  core::Duration m_demandLifetime = std::chrono::seconds(10);
  /// How long the end of a limit is remembered and reported.
  core::Duration m_liftedLifetime = std::chrono::seconds(10);
  /// How long a limit is in force after the last answer that named it.
  core::Duration m_limitLifetime = std::chrono::seconds(60);
};

/// What an answer says of its upstream's limit.
struct NoLimitNamed
{};

struct LimitNamed
{
  double m_requestsPerSecond = 0.0;
};

/// The answer names something that is not a number, which changes nothing.
struct UnreadableLimit
{};

using LimitStatement = std::variant<NoLimitNamed, LimitNamed, UnreadableLimit>;

/// What an upstream's newest known answer says.
struct UpstreamLimit
{
  /// Requests per second that it accepts from all hosts together, or nothing if
  /// its answer named no limit.
  std::optional<double> m_requestsPerSecond;
  core::Instant m_answeredAt{};

  bool operator==(const UpstreamLimit&) const = default;
};

/// A host and a service, each by the hash of its name.
struct DemandKey
{
  uint64_t m_host = 0;
  uint64_t m_service = 0;

  auto operator<=>(const DemandKey&) const = default;
};

/// The requests per second that a host wants to send to a service.
struct HostDemand
{
  double m_requestsPerSecond = 0.0;
  core::Instant m_measuredAt{};

  bool operator==(const HostDemand&) const = default;
};

struct LimitReport
{
  core::UpstreamRun m_upstream;
  UpstreamLimit m_limit;

  bool operator==(const LimitReport&) const = default;
};

struct DemandReport
{
  DemandKey m_key;
  HostDemand m_demand;

  bool operator==(const DemandReport&) const = default;
};

/// What one host tells another.
struct LimitMessage
{
  std::vector<LimitReport> m_limits;
  std::vector<DemandReport> m_demands;

  bool operator==(const LimitMessage&) const = default;
};

// The decoder checks these limits.
inline constexpr size_t kMaxLimitsPerMessage = 16;
inline constexpr size_t kMaxDemandsPerMessage = 16;

/// The limits and demands that a host knows.
struct LimitState
{
  LimitPolicy m_policy;
  std::map<core::UpstreamRun, UpstreamLimit> m_limits;
  std::map<DemandKey, HostDemand> m_demands;
  /// The report that the next message begins with, so that all get their turn.
  core::UpstreamRun m_nextLimit;
  DemandKey m_nextDemand;
};

/// True if the hosts need each other's demand.
bool
HasLimits(const LimitState& aState);

/// Records what an upstream's answer says. Returns true if the limit has
/// changed.
bool
RecordAnswer(LimitState& aState,
             core::UpstreamRun aUpstream,
             const std::optional<double>& aRequestsPerSecond,
             core::Instant aNow);

/// Records the demand of this host.
void
RecordDemand(LimitState& aState,
             DemandKey aKey,
             double aRequestsPerSecond,
             core::Instant aNow);

/// Merges what another host knows. Returns true if a limit has changed.
bool
MergeMessage(LimitState& aState, const LimitMessage& aMessage);

/// Returns the part of the known demand for a service that is the demand of
/// aSelf, from 0 to 1.
double
ComputeDemandShare(const LimitState& aState,
                   DemandKey aSelf,
                   core::Instant aNow);

/// Returns the requests per second that a host with this share of the demand
/// may send to the upstream, or nothing if the upstream names no limit.
std::optional<double>
ComputeRate(const LimitState& aState,
            core::UpstreamRun aUpstream,
            double aDemandShare);

/// Returns the message for the next digests, in which the demand of aSelf comes
/// first. Removes what has expired.
LimitMessage
MakeMessage(LimitState& aState,
            std::span<const DemandKey> aSelf,
            core::Instant aNow);

} // namespace heatherdeal::limits
