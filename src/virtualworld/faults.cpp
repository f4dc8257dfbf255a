#include "virtualworld/faults.h"

#include <ostream>

namespace heatherdeal::virtualworld {

namespace {

constexpr double kSlowedSpeedFactor = 0.1;

/// Runs aTask when aTime has passed.
void
RunAfter(Simulation& aSimulation, core::Duration aTime, EventQueue::Task aTask)
{
  aSimulation.Queue().ScheduleAfter(aTime, std::move(aTask));
}

VirtualHost&
OwnerOrFirstHost(Simulation& aSimulation)
{
  VirtualHost* owner = aSimulation.Owner();
  return owner == nullptr ? aSimulation.Host(0) : *owner;
}

void
InjectConcreteFault(Simulation& aSimulation, const CrashEngine& aFault)
{
  FakeEngine& engine = aSimulation.Engine(aFault.m_engine);
  engine.Crash();
  RunAfter(aSimulation, aFault.m_downTime, [&engine] { engine.Restart(); });
}

void
InjectConcreteFault(Simulation& aSimulation, const SilenceEngine& aFault)
{
  FakeEngine& engine = aSimulation.Engine(aFault.m_engine);
  engine.SetSilent(true);
  RunAfter(
    aSimulation, aFault.m_duration, [&engine] { engine.SetSilent(false); });
}

void
InjectConcreteFault(Simulation& aSimulation, const SlowEngine& aFault)
{
  FakeEngine& engine = aSimulation.Engine(aFault.m_engine);
  engine.SetSpeed(kSlowedSpeedFactor);
  RunAfter(aSimulation, aFault.m_duration, [&engine] { engine.SetSpeed(1.0); });
}

void
InjectConcreteFault(Simulation& aSimulation, const OmitVersions& aFault)
{
  aSimulation.Engine(aFault.m_engine).OmitVersions(aFault.m_chunks);
}

void
InjectConcreteFault(Simulation& aSimulation, const FailLoads& aFault)
{
  aSimulation.Engine(aFault.m_engine).FailLoads(aFault.m_loads);
}

void
InjectConcreteFault(Simulation& aSimulation, const KillOwner& aFault)
{
  VirtualHost& host = OwnerOrFirstHost(aSimulation);
  host.Kill();
  RunAfter(aSimulation, aFault.m_downTime, [&host] {
    if (!host.IsAlive()) {
      host.Start();
    }
  });
}

void
InjectConcreteFault(Simulation& aSimulation, const PauseOwner& aFault)
{
  OwnerOrFirstHost(aSimulation).Pause(aFault.m_duration);
}

void
InjectConcreteFault(Simulation& aSimulation, const ResignOwner&)
{
  VirtualHost& host = OwnerOrFirstHost(aSimulation);
  if (!host.IsAlive()) {
    return;
  }
  host.Resign();
  // Starts the process that replaces the one that resigned.
  RunAfter(aSimulation, std::chrono::seconds(1), [&host] {
    host.Kill();
    host.Start();
  });
}

void
InjectConcreteFault(Simulation& aSimulation, const StoreDown& aFault)
{
  aSimulation.SetStoreDown(true);
  RunAfter(aSimulation, aFault.m_duration, [&aSimulation] {
    aSimulation.SetStoreDown(false);
  });
}

void
InjectConcreteFault(Simulation& aSimulation, const DropStoreResponses& aFault)
{
  aSimulation.Store().LoseReplies(aFault.m_count);
}

void
InjectConcreteFault(Simulation& aSimulation, const DropPullResponses& aFault)
{
  aSimulation.LosePullResponses(aFault.m_count);
}

void
InjectConcreteFault(Simulation& aSimulation, const SlowPullResponses& aFault)
{
  aSimulation.DelayPullResponses(aFault.m_delay);
  RunAfter(aSimulation, aFault.m_duration, [&aSimulation] {
    aSimulation.DelayPullResponses({});
  });
}

void
InjectConcreteFault(Simulation& aSimulation, const ScorerDown& aFault)
{
  aSimulation.SetScorerDown(true);
  RunAfter(aSimulation, aFault.m_duration, [&aSimulation] {
    aSimulation.SetScorerDown(false);
  });
}

void
InjectConcreteFault(Simulation& aSimulation,
                    const DuplicateScorerResponses& aFault)
{
  aSimulation.SetScorerResponseDuplicated(true);
  RunAfter(aSimulation, aFault.m_duration, [&aSimulation] {
    aSimulation.SetScorerResponseDuplicated(false);
  });
}

void
InjectConcreteFault(Simulation& aSimulation, const RestoreTrainer& aFault)
{
  aSimulation.Trainer().RestoreCheckpoint(aFault.m_batchesAgo);
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

  void operator()(const CrashEngine& aPrintedFault) const
  {
    PrintEngineFault("crash", aPrintedFault.m_engine, aPrintedFault.m_downTime);
  }
  void operator()(const SilenceEngine& aPrintedFault) const
  {
    PrintEngineFault(
      "silence", aPrintedFault.m_engine, aPrintedFault.m_duration);
  }
  void operator()(const SlowEngine& aPrintedFault) const
  {
    PrintEngineFault("slow", aPrintedFault.m_engine, aPrintedFault.m_duration);
  }
  void operator()(const OmitVersions& aPrintedFault) const
  {
    m_stream << "omit-versions engine-" << aPrintedFault.m_engine << " "
             << aPrintedFault.m_chunks;
  }
  void operator()(const FailLoads& aPrintedFault) const
  {
    m_stream << "fail-loads engine-" << aPrintedFault.m_engine << " "
             << aPrintedFault.m_loads;
  }
  void operator()(const KillOwner& aPrintedFault) const
  {
    PrintWithDuration("kill owner", aPrintedFault.m_downTime);
  }
  void operator()(const PauseOwner& aPrintedFault) const
  {
    PrintWithDuration("pause owner", aPrintedFault.m_duration);
  }
  void operator()(const ResignOwner&) const { m_stream << "resign owner"; }
  void operator()(const StoreDown& aPrintedFault) const
  {
    PrintWithDuration("store-down", aPrintedFault.m_duration);
  }
  void operator()(const DropStoreResponses& aPrintedFault) const
  {
    PrintWithCount("lose-store-replies", aPrintedFault.m_count);
  }
  void operator()(const DropPullResponses& aPrintedFault) const
  {
    PrintWithCount("lose-answers", aPrintedFault.m_count);
  }
  void operator()(const SlowPullResponses& aPrintedFault) const
  {
    m_stream << "delay-answers " << ToSeconds(aPrintedFault.m_delay) << "s for "
             << ToSeconds(aPrintedFault.m_duration) << "s";
  }
  void operator()(const ScorerDown& aPrintedFault) const
  {
    PrintWithDuration("scorer-down", aPrintedFault.m_duration);
  }
  void operator()(const DuplicateScorerResponses& aPrintedFault) const
  {
    PrintWithDuration("scorer-twice", aPrintedFault.m_duration);
  }
  void operator()(const RestoreTrainer& aPrintedFault) const
  {
    PrintWithCount("restore-trainer", aPrintedFault.m_batchesAgo);
  }
};

} // namespace

void
InjectFault(Simulation& aSimulation, const Fault& aFault)
{
  std::visit(
    [&aSimulation](const auto& aConcreteFault) {
      InjectConcreteFault(aSimulation, aConcreteFault);
    },
    aFault);
}

void
ScheduleFaults(Simulation& aSimulation, std::span<const TimedFault> aFaults)
{
  for (const TimedFault& fault : aFaults) {
    aSimulation.Queue().ScheduleAfter(fault.m_at, [&aSimulation, fault] {
      InjectFault(aSimulation, fault.m_fault);
    });
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
