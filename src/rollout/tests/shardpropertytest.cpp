// Random faults against one shard; the trainer's view is the oracle. Another
// seed or a longer run: RC_PARAMS="seed=N max_success=M" test_rollout_property

#include <iostream>
#include <sstream>

#include "catch2/catch.hpp"
#include "rapidcheck.h"

#include "virtualworld/faults.h"

namespace heatherdeal::virtualworld {

namespace {

using std::chrono::seconds;

constexpr core::Duration kFaultTime = seconds(60);
constexpr core::Duration kSettleTime = seconds(120);
constexpr core::Duration kEndTime = seconds(420);

rc::Gen<core::Duration>
Time(int aLeast, int aMost)
{
  return rc::gen::map(rc::gen::inRange(aLeast * 10, aMost * 10 + 1),
                      [](int aTenths) -> core::Duration {
                        return std::chrono::milliseconds(aTenths * 100);
                      });
}

rc::Gen<uint32_t>
Number(uint32_t aLeast, uint32_t aMost)
{
  return rc::gen::inRange<uint32_t>(aLeast, aMost + 1);
}

template<typename T, typename... Gens>
rc::Gen<Fault>
Build(const Gens&... aGens)
{
  return rc::gen::map(rc::gen::tuple(aGens...), [](const auto& aFields) {
    return std::apply(
      [](const auto&... aField) { return Fault{ T{ aField... } }; }, aFields);
  });
}

rc::Gen<Fault>
AnyFault()
{
  const auto engine = Number(0, 2);
  return rc::gen::oneOf(Build<CrashEngine>(engine, Time(0, 20)),
                        Build<SilenceEngine>(engine, Time(1, 20)),
                        Build<SlowEngine>(engine, Time(1, 30)),
                        Build<OmitVersions>(engine, Number(1, 5)),
                        Build<FailLoads>(engine, Number(1, 3)),
                        Build<KillOwner>(Time(0, 20)),
                        Build<PauseOwner>(Time(1, 20)),
                        Build<ResignOwner>(),
                        Build<StoreDown>(Time(1, 40)),
                        Build<LoseStoreReplies>(Number(1, 3)),
                        Build<LoseAnswers>(Number(1, 3)),
                        Build<DelayAnswers>(Time(1, 30), Time(1, 20)),
                        Build<ScorerDown>(Time(1, 20)),
                        Build<ScorerTwice>(Time(1, 30)),
                        Build<RestoreTrainer>(Number(0, 4)));
}

rc::Gen<TimedFault>
AnyTimedFault()
{
  return rc::gen::map(rc::gen::pair(Time(0, 60), AnyFault()),
                      [](const std::pair<core::Duration, Fault>& aPair) {
                        return TimedFault{ aPair.first, aPair.second };
                      });
}

rollout::StragglerPolicy
StragglerOf(uint32_t aChoice)
{
  switch (aChoice) {
    case 0:
      return rollout::WaitForAll{};
    case 1:
      return rollout::OutOfOrder{ 2 };
    default:
      return rollout::MigrateLate{ 2, 2, 20 };
  }
}

SimulationSettings
RandomWorld(uint64_t aSeed, uint32_t aStraggler)
{
  SimulationSettings settings = SmallSimulationSettings();
  settings.m_seed = aSeed;
  settings.m_shard.m_straggler = StragglerOf(aStraggler);
  if (aSeed % 2 == 0) {
    settings.m_lease.m_outage = lease::GoOnUntilTaken{};
  }
  return settings;
}

std::string
Joined(std::span<const std::string> aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

/// The highest group that the trainer held, or 0.
core::GroupOrdinal
HighestHeld(const VirtualTrainer& aTrainer)
{
  const auto& held = aTrainer.Record().m_heldSamples;
  return held.empty() ? 0 : held.rbegin()->m_group;
}

} // namespace

void
showValue(const TimedFault& aFault, std::ostream& aStream)
{
  aStream << aFault;
}

TEST_CASE("no fault loses, doubles, over-ages or misnames a sample")
{
  const bool held =
    rc::check("samples are exact under faults", [](uint64_t aSeed) {
      const auto straggler = *Number(0, 2);
      const auto faults =
        *rc::gen::container<std::vector<TimedFault>>(AnyTimedFault());
      Simulation world(RandomWorld(aSeed, straggler));
      ScheduleFaults(world, faults);
      world.Start();
      const core::Instant start{};
      world.Queue().RunUntil(start + kFaultTime + kSettleTime);
      const core::GroupOrdinal begun = HighestHeld(world.Trainer());
      world.Queue().RunUntil(start + kEndTime);
      const TrainerRecord& record = world.Trainer().Record();
      RC_LOG(Joined(record.m_violations));
      RC_ASSERT(record.m_violations.empty());
      // Nothing is lost: every group up to one held long ago is held now.
      RC_LOG("held up to " +
             std::to_string(world.Trainer().CurrentCursor().m_done.m_low) +
             " of " + std::to_string(begun));
      RC_ASSERT(world.Trainer().CurrentCursor().m_done.m_low > begun);
      RC_ASSERT(begun > 0U);
    });
  CHECK(held);
}

TEST_CASE("the oracle sees what it is there to see")
{
  EventQueue queue;
  SimulationSettings settings = RandomWorld(1, 1);
  VirtualTrainer trainer(queue, settings);
  trainer.m_sendPull = [](size_t, uint64_t, const delivery::Cursor&) {};
  trainer.m_publishVersion = [](core::WeightVersion) {};
  trainer.m_findHost = [](std::string_view) { return size_t{ 0 }; };
  trainer.Start();
  PayloadBatch batch;
  batch.m_head = { 1, 1, { { 0, 2, { 1 } } }, {} };
  // The spans name version 1; the token was made by version 2.
  batch.m_samples[{ 0, 0 }] = { { { 0, 1, { 1 } } }, { 2 } };
  batch.m_samples[{ 0, 1 }] = { { { 0, 1, { 1 } } }, { 1 } };
  trainer.ReceiveBatch(1, batch);
  REQUIRE(trainer.Record().m_violations.size() == 1);
  CHECK(trainer.Record().m_violations.front() == "0.0 names a wrong version");
}

} // namespace heatherdeal::virtualworld
