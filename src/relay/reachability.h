#pragma once

#include <variant>

#include "core/instant.h"

namespace heatherdeal::relay {

/// Upstreams answer, as far as this host knows. The next check starts at
/// m_nextCheckAt at the earliest.
struct Reachable
{
  core::Instant m_nextCheckAt{};
};

/// A request failed without an answer, and connections to other upstreams are
/// being tried to find out whether this host is cut off.
struct Checking
{};

/// None of the upstreams that were tried accepts a connection of this host.
/// Another check is due at m_nextCheckAt, or in progress if that is
/// Instant::max().
struct CutOff
{
  core::Instant m_nextCheckAt{};
};

using Reachability = std::variant<Reachable, Checking, CutOff>;

/// A request got no answer, because its connection failed or stayed silent.
struct RequestUnanswered
{};

/// A check has ended.
struct CheckEnded
{
  /// True if an upstream accepted a connection.
  bool m_hasConnected = false;
};

/// The time of the next check may have come.
struct CheckTimeReached
{};

using ReachabilityEvent =
  std::variant<RequestUnanswered, CheckEnded, CheckTimeReached>;

/// Whether connections to some upstreams are to be tried now.
enum class NextCheck
{
  NotNow,
  Now,
};

/// Applies an event to the state.
NextCheck
Apply(Reachability& aState,
      const ReachabilityEvent& aEvent,
      core::Instant aNow);

/// True if requests should go by way of another host.
bool
IsCutOff(const Reachability& aState);

} // namespace heatherdeal::relay
