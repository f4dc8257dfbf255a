#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <variant>

#include "core/instant.h"
#include "virtualworld/world.h"

namespace heatherdeal::virtualworld {

struct CrashEngine
{
  uint32_t m_engine = 0;
  core::Duration m_downTime{};
};

/// The engine sends nothing more on streams, new or old.
struct SilenceEngine
{
  uint32_t m_engine = 0;
  core::Duration m_time{};
};

struct SlowEngine
{
  uint32_t m_engine = 0;
  core::Duration m_time{};
};

struct OmitVersions
{
  uint32_t m_engine = 0;
  uint32_t m_chunks = 0;
};

struct FailLoads
{
  uint32_t m_engine = 0;
  uint32_t m_loads = 0;
};

/// Kills the host that owns the shard, or host 0 if none does.
struct KillOwner
{
  core::Duration m_downTime{};
};

struct PauseOwner
{
  core::Duration m_time{};
};

struct ResignOwner
{};

struct StoreDown
{
  core::Duration m_time{};
};

struct LoseStoreReplies
{
  uint32_t m_count = 0;
};

struct LoseAnswers
{
  uint32_t m_count = 0;
};

struct DelayAnswers
{
  core::Duration m_delay{};
  core::Duration m_time{};
};

struct ScorerDown
{
  core::Duration m_time{};
};

struct ScorerTwice
{
  core::Duration m_time{};
};

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
                           LoseStoreReplies,
                           LoseAnswers,
                           DelayAnswers,
                           ScorerDown,
                           ScorerTwice,
                           RestoreTrainer>;

/// A fault and when it happens.
struct TimedFault
{
  core::Duration m_at{};
  Fault m_fault;
};

/// Lets the fault happen now; what lasts ends by itself.
void
Inject(World& aWorld, const Fault& aFault);

/// Lets each fault happen at its time, counted from now.
void
Schedule(World& aWorld, std::span<const TimedFault> aFaults);

/// One line, as in a scenario.
std::ostream&
operator<<(std::ostream& aStream, const TimedFault& aFault);

} // namespace heatherdeal::virtualworld
