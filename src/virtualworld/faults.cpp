#include "virtualworld/faults.h"

#include <ostream>

namespace heatherdeal::virtualworld {

namespace {

constexpr double kSlowedSpeedFactor = 0.1;

/// Runs aTask when aTime has passed.
void
RunAfter(World& aWorld, core::Duration aTime, EventQueue::Task aTask)
{
  aWorld.Queue().ScheduleAfter(aTime, std::move(aTask));
}

VirtualHost&
OwnerOrFirst(World& aWorld)
{
  VirtualHost* owner = aWorld.Owner();
  return owner == nullptr ? aWorld.Host(0) : *owner;
}

void
InjectTyped(World& aWorld, const CrashEngine& aFault)
{
  FakeEngine& engine = aWorld.Engine(aFault.m_engine);
  engine.Crash();
  RunAfter(aWorld, aFault.m_downTime, [&engine] { engine.Restart(); });
}

void
InjectTyped(World& aWorld, const SilenceEngine& aFault)
{
  FakeEngine& engine = aWorld.Engine(aFault.m_engine);
  engine.SetSilent(true);
  RunAfter(aWorld, aFault.m_duration, [&engine] { engine.SetSilent(false); });
}

void
InjectTyped(World& aWorld, const SlowEngine& aFault)
{
  FakeEngine& engine = aWorld.Engine(aFault.m_engine);
  engine.SetSpeed(kSlowedSpeedFactor);
  RunAfter(aWorld, aFault.m_duration, [&engine] { engine.SetSpeed(1.0); });
}

void
InjectTyped(World& aWorld, const OmitVersions& aFault)
{
  aWorld.Engine(aFault.m_engine).OmitVersions(aFault.m_chunks);
}

void
InjectTyped(World& aWorld, const FailLoads& aFault)
{
  aWorld.Engine(aFault.m_engine).FailLoads(aFault.m_loads);
}

void
InjectTyped(World& aWorld, const KillOwner& aFault)
{
  VirtualHost& host = OwnerOrFirst(aWorld);
  host.Kill();
  RunAfter(aWorld, aFault.m_downTime, [&host] {
    if (!host.IsAlive()) {
      host.Start();
    }
  });
}

void
InjectTyped(World& aWorld, const PauseOwner& aFault)
{
  OwnerOrFirst(aWorld).Pause(aFault.m_duration);
}

void
InjectTyped(World& aWorld, const ResignOwner&)
{
  VirtualHost& host = OwnerOrFirst(aWorld);
  if (!host.IsAlive()) {
    return;
  }
  host.Resign();
  // Starts the process that replaces the one that resigned.
  RunAfter(aWorld, std::chrono::seconds(1), [&host] {
    host.Kill();
    host.Start();
  });
}

void
InjectTyped(World& aWorld, const StoreDown& aFault)
{
  aWorld.SetStoreDown(true);
  RunAfter(
    aWorld, aFault.m_duration, [&aWorld] { aWorld.SetStoreDown(false); });
}

void
InjectTyped(World& aWorld, const LoseStoreReplies& aFault)
{
  aWorld.Store().LoseReplies(aFault.m_count);
}

void
InjectTyped(World& aWorld, const LoseAnswers& aFault)
{
  aWorld.LosePullResponses(aFault.m_count);
}

void
InjectTyped(World& aWorld, const DelayAnswers& aFault)
{
  aWorld.DelayPullResponses(aFault.m_delay);
  RunAfter(
    aWorld, aFault.m_duration, [&aWorld] { aWorld.DelayPullResponses({}); });
}

void
InjectTyped(World& aWorld, const ScorerDown& aFault)
{
  aWorld.SetScorerDown(true);
  RunAfter(
    aWorld, aFault.m_duration, [&aWorld] { aWorld.SetScorerDown(false); });
}

void
InjectTyped(World& aWorld, const ScorerTwice& aFault)
{
  aWorld.SetScorerResponseDuplicated(true);
  RunAfter(aWorld, aFault.m_duration, [&aWorld] {
    aWorld.SetScorerResponseDuplicated(false);
  });
}

void
InjectTyped(World& aWorld, const RestoreTrainer& aFault)
{
  aWorld.Trainer().RestoreCheckpoint(aFault.m_batchesAgo);
}

double
ToSeconds(core::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Writes a fault in the words of a scenario script.
struct Printer
{
  std::ostream& m_stream;

  void PrintWithDuration(const char* aName, core::Duration aTime) const
  {
    m_stream << aName << " for " << ToSeconds(aTime) << "s";
  }
  void PrintEngineFault(const char* aName,
                        uint32_t aEngine,
                        core::Duration aTime) const
  {
    m_stream << aName << " engine-" << aEngine << " for " << ToSeconds(aTime)
             << "s";
  }
  void PrintWithCount(const char* aName, uint32_t aCount) const
  {
    m_stream << aName << " " << aCount;
  }

  void operator()(const CrashEngine& aFault) const
  {
    PrintEngineFault("crash", aFault.m_engine, aFault.m_downTime);
  }
  void operator()(const SilenceEngine& aFault) const
  {
    PrintEngineFault("silence", aFault.m_engine, aFault.m_duration);
  }
  void operator()(const SlowEngine& aFault) const
  {
    PrintEngineFault("slow", aFault.m_engine, aFault.m_duration);
  }
  void operator()(const OmitVersions& aFault) const
  {
    m_stream << "omit-versions engine-" << aFault.m_engine << " "
             << aFault.m_chunks;
  }
  void operator()(const FailLoads& aFault) const
  {
    m_stream << "fail-loads engine-" << aFault.m_engine << " "
             << aFault.m_loads;
  }
  void operator()(const KillOwner& aFault) const
  {
    PrintWithDuration("kill owner", aFault.m_downTime);
  }
  void operator()(const PauseOwner& aFault) const
  {
    PrintWithDuration("pause owner", aFault.m_duration);
  }
  void operator()(const ResignOwner&) const { m_stream << "resign owner"; }
  void operator()(const StoreDown& aFault) const
  {
    PrintWithDuration("store-down", aFault.m_duration);
  }
  void operator()(const LoseStoreReplies& aFault) const
  {
    PrintWithCount("lose-store-replies", aFault.m_count);
  }
  void operator()(const LoseAnswers& aFault) const
  {
    PrintWithCount("lose-answers", aFault.m_count);
  }
  void operator()(const DelayAnswers& aFault) const
  {
    m_stream << "delay-answers " << ToSeconds(aFault.m_delay) << "s for "
             << ToSeconds(aFault.m_duration) << "s";
  }
  void operator()(const ScorerDown& aFault) const
  {
    PrintWithDuration("scorer-down", aFault.m_duration);
  }
  void operator()(const ScorerTwice& aFault) const
  {
    PrintWithDuration("scorer-twice", aFault.m_duration);
  }
  void operator()(const RestoreTrainer& aFault) const
  {
    PrintWithCount("restore-trainer", aFault.m_batchesAgo);
  }
};

} // namespace

void
InjectFault(World& aWorld, const Fault& aFault)
{
  std::visit([&aWorld](const auto& aTyped) { InjectTyped(aWorld, aTyped); },
             aFault);
}

void
ScheduleFaults(World& aWorld, std::span<const TimedFault> aFaults)
{
  for (const TimedFault& fault : aFaults) {
    aWorld.Queue().ScheduleAfter(
      fault.m_at, [&aWorld, fault] { InjectFault(aWorld, fault.m_fault); });
  }
}

std::ostream&
operator<<(std::ostream& aStream, const TimedFault& aFault)
{
  aStream << "at " << ToSeconds(aFault.m_at) << "s ";
  std::visit(Printer{ aStream }, aFault.m_fault);
  return aStream;
}

} // namespace heatherdeal::virtualworld
