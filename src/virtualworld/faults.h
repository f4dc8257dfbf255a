#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <variant>

#include "core/instant.h"
#include "virtualworld/simulation.h"

namespace heatherdeal::virtualworld {

/// Crashes an engine and restarts it after the down time.
struct CrashEngine
{
  uint32_t m_engine = 0;
  core::Duration m_downTime{};
};

/// Stops an engine from sending anything on its streams, new ones included.
struct SilenceEngine
{
  uint32_t m_engine = 0;
  core::Duration m_duration{};
};

/// Slows the streams of an engine.
struct SlowEngine
{
  uint32_t m_engine = 0;
  core::Duration m_duration{};
};

/// Omits the weight version from the next chunks of an engine.
struct OmitVersions
{
  uint32_t m_engine = 0;
  uint32_t m_chunks = 0;
};

/// Makes an engine accept its next load orders without loading anything.
struct FailLoads
{
  uint32_t m_engine = 0;
  uint32_t m_loads = 0;
};

/// Kills the host that owns the shard, or host 0 if the shard has no owner, and
/// restarts it after the down time.
struct KillOwner
{
  core::Duration m_downTime{};
};

/// Pauses the owner (or host 0), as if its process were stopped.
struct PauseOwner
{
  core::Duration m_duration{};
};

/// Makes the owner (or host 0) release its lease. Its process restarts after a
/// second.
struct ResignOwner
{};

/// Makes the store unavailable.
struct StoreDown
{
  core::Duration m_duration{};
};

/// Loses the responses to the next writes to the store.
struct DropStoreResponses
{
  uint32_t m_count = 0;
};

/// Loses the next responses to pulls.
struct DropPullResponses
{
  uint32_t m_count = 0;
};

/// Delays the responses to pulls.
struct SlowPullResponses
{
  core::Duration m_delay{};
  core::Duration m_duration{};
};

/// Makes the scorer fail.
struct ScorerDown
{
  core::Duration m_duration{};
};

/// Makes the scorer send each response twice.
struct DuplicateScorerResponses
{
  core::Duration m_duration{};
};

/// Restores the trainer from an earlier checkpoint.
struct RestoreTrainer
{
  uint32_t m_batchesAgo = 0;
};

using Fault = std::variant<CrashEngine,
                           SilenceEngine,
                           SlowEngine,
                           OmitVersions,
                           FailLoads,
                           KillOwner,
                           PauseOwner,
                           ResignOwner,
                           StoreDown,
                           DropStoreResponses,
                           DropPullResponses,
                           SlowPullResponses,
                           ScorerDown,
                           DuplicateScorerResponses,
                           RestoreTrainer>;

/// A fault and its time, counted from the start.
struct TimedFault
{
  core::Duration m_at{};
  Fault m_fault;
};

/// Injects the fault now. A fault with a duration ends by itself.
void
InjectFault(Simulation& aSimulation, const Fault& aFault);

/// Injects each fault at its time, counted from now.
void
ScheduleFaults(Simulation& aSimulation, std::span<const TimedFault> aFaults);

/// Writes the fault as a line of a scenario script.
std::ostream&
operator<<(std::ostream& aStream, const TimedFault& aFault);

} // namespace heatherdeal::virtualworld
