#include "virtualworld/faults.h"

#include <ostream>

namespace heatherdeal::virtualworld {

namespace {

constexpr double kSlowFactor = 0.1;

/// Runs aTask when aTime has passed.
void
Later(World& aWorld, core::Duration aTime, EventQueue::Task aTask)
{
  aWorld.Queue().After(aTime, std::move(aTask));
}

VirtualHost&
OwnerOrFirst(World& aWorld)
{
  VirtualHost* owner = aWorld.Owner();
  return owner == nullptr ? aWorld.Host(0) : *owner;
}

void
Do(World& aWorld, const CrashEngine& aFault)
{
  FakeEngine& engine = aWorld.Engine(aFault.m_engine);
  engine.Crash();
  Later(aWorld, aFault.m_downTime, [&engine] { engine.Restart(); });
}

void
Do(World& aWorld, const SilenceEngine& aFault)
{
  FakeEngine& engine = aWorld.Engine(aFault.m_engine);
  engine.SetSilent(true);
  Later(aWorld, aFault.m_time, [&engine] { engine.SetSilent(false); });
}

void
Do(World& aWorld, const SlowEngine& aFault)
{
  FakeEngine& engine = aWorld.Engine(aFault.m_engine);
  engine.SetSpeed(kSlowFactor);
  Later(aWorld, aFault.m_time, [&engine] { engine.SetSpeed(1.0); });
}

void
Do(World& aWorld, const OmitVersions& aFault)
{
  aWorld.Engine(aFault.m_engine).OmitVersions(aFault.m_chunks);
}

void
Do(World& aWorld, const FailLoads& aFault)
{
  aWorld.Engine(aFault.m_engine).FailLoads(aFault.m_loads);
}

void
Do(World& aWorld, const KillOwner& aFault)
{
  VirtualHost& host = OwnerOrFirst(aWorld);
  host.Kill();
  Later(aWorld, aFault.m_downTime, [&host] {
    if (!host.IsAlive()) {
      host.Start();
    }
  });
}

void
Do(World& aWorld, const PauseOwner& aFault)
{
  OwnerOrFirst(aWorld).Pause(aFault.m_time);
}

void
Do(World& aWorld, const ResignOwner&)
{
  VirtualHost& host = OwnerOrFirst(aWorld);
  if (!host.IsAlive()) {
    return;
  }
  host.Resign();
  // Starts the process that replaces the one that resigned.
  Later(aWorld, std::chrono::seconds(1), [&host] {
    host.Kill();
    host.Start();
  });
}

void
Do(World& aWorld, const StoreDown& aFault)
{
  aWorld.SetStoreDown(true);
  Later(aWorld, aFault.m_time, [&aWorld] { aWorld.SetStoreDown(false); });
}

void
Do(World& aWorld, const LoseStoreReplies& aFault)
{
  aWorld.Store().LoseReplies(aFault.m_count);
}

void
Do(World& aWorld, const LoseAnswers& aFault)
{
  aWorld.LoseAnswers(aFault.m_count);
}

void
Do(World& aWorld, const DelayAnswers& aFault)
{
  aWorld.DelayAnswers(aFault.m_delay);
  Later(aWorld, aFault.m_time, [&aWorld] { aWorld.DelayAnswers({}); });
}

void
Do(World& aWorld, const ScorerDown& aFault)
{
  aWorld.SetScorerDown(true);
  Later(aWorld, aFault.m_time, [&aWorld] { aWorld.SetScorerDown(false); });
}

void
Do(World& aWorld, const ScorerTwice& aFault)
{
  aWorld.SetScorerTwice(true);
  Later(aWorld, aFault.m_time, [&aWorld] { aWorld.SetScorerTwice(false); });
}

void
Do(World& aWorld, const RestoreTrainer& aFault)
{
  aWorld.Trainer().RestoreCheckpoint(aFault.m_batchesAgo);
}

double
Seconds(core::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Writes a fault in the words of a scenario script.
struct Printer
{
  std::ostream& m_stream;

  void Timed(const char* aWhat, core::Duration aTime) const
  {
    m_stream << aWhat << " for " << Seconds(aTime) << "s";
  }
  void Engine(const char* aWhat, uint32_t aEngine, core::Duration aTime) const
  {
    m_stream << aWhat << " engine-" << aEngine << " for " << Seconds(aTime)
             << "s";
  }
  void Counted(const char* aWhat, uint32_t aCount) const
  {
    m_stream << aWhat << " " << aCount;
  }

  void operator()(const CrashEngine& aF) const
  {
    Engine("crash", aF.m_engine, aF.m_downTime);
  }
  void operator()(const SilenceEngine& aF) const
  {
    Engine("silence", aF.m_engine, aF.m_time);
  }
  void operator()(const SlowEngine& aF) const
  {
    Engine("slow", aF.m_engine, aF.m_time);
  }
  void operator()(const OmitVersions& aF) const
  {
    m_stream << "omit-versions engine-" << aF.m_engine << " " << aF.m_chunks;
  }
  void operator()(const FailLoads& aF) const
  {
    m_stream << "fail-loads engine-" << aF.m_engine << " " << aF.m_loads;
  }
  void operator()(const KillOwner& aF) const
  {
    Timed("kill owner", aF.m_downTime);
  }
  void operator()(const PauseOwner& aF) const
  {
    Timed("pause owner", aF.m_time);
  }
  void operator()(const ResignOwner&) const { m_stream << "resign owner"; }
  void operator()(const StoreDown& aF) const { Timed("store-down", aF.m_time); }
  void operator()(const LoseStoreReplies& aF) const
  {
    Counted("lose-store-replies", aF.m_count);
  }
  void operator()(const LoseAnswers& aF) const
  {
    Counted("lose-answers", aF.m_count);
  }
  void operator()(const DelayAnswers& aF) const
  {
    m_stream << "delay-answers " << Seconds(aF.m_delay) << "s for "
             << Seconds(aF.m_time) << "s";
  }
  void operator()(const ScorerDown& aF) const
  {
    Timed("scorer-down", aF.m_time);
  }
  void operator()(const ScorerTwice& aF) const
  {
    Timed("scorer-twice", aF.m_time);
  }
  void operator()(const RestoreTrainer& aF) const
  {
    Counted("restore-trainer", aF.m_batchesAgo);
  }
};

} // namespace

void
Inject(World& aWorld, const Fault& aFault)
{
  std::visit([&aWorld](const auto& aTyped) { Do(aWorld, aTyped); }, aFault);
}

void
Schedule(World& aWorld, std::span<const TimedFault> aFaults)
{
  for (const TimedFault& fault : aFaults) {
    aWorld.Queue().After(fault.m_at,
                         [&aWorld, fault] { Inject(aWorld, fault.m_fault); });
  }
}

std::ostream&
operator<<(std::ostream& aStream, const TimedFault& aFault)
{
  aStream << "at " << Seconds(aFault.m_at) << "s ";
  std::visit(Printer{ aStream }, aFault.m_fault);
  return aStream;
}

} // namespace heatherdeal::virtualworld
