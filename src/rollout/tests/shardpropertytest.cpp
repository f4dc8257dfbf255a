// Injects random faults into one shard and checks every sample that the trainer
// receives. To use another seed or a longer run:
// RC_PARAMS="seed=N max_success=M" test_rollout_property

#include <iostream>
#include <sstream>

#include "catch2/catch.hpp"
#include "rapidcheck.h"

#include "virtualworld/faults.h"

namespace heatherdeal::virtualworld {

namespace {

using std::chrono::seconds;

constexpr core::Duration kFaultPeriod = seconds(60);
constexpr core::Duration kSettlingPeriod = seconds(120);
constexpr core::Duration kTestDuration = seconds(420);

rc::Gen<core::Duration>
DurationBetween(int aMin, int aMax)
{
  return rc::gen::map(rc::gen::inRange(aMin * 10, aMax * 10 + 1),
                      [](int aTenths) -> core::Duration {
                        return std::chrono::milliseconds(aTenths * 100);
                      });
}

rc::Gen<uint32_t>
NumberBetween(uint32_t aMin, uint32_t aMax)
{
  return rc::gen::inRange<uint32_t>(aMin, aMax + 1);
}

template<typename T, typename... Gens>
rc::Gen<Fault>
MakeFaultGenerator(const Gens&... aGens)
{
  return rc::gen::map(rc::gen::tuple(aGens...), [](const auto& aFields) {
    return std::apply(
      [](const auto&... aField) { return Fault{ T{ aField... } }; }, aFields);
  });
}

rc::Gen<Fault>
MakeAnyFaultGenerator()
{
  const auto engine = NumberBetween(0, 2);
  return rc::gen::oneOf(
    MakeFaultGenerator<CrashEngine>(engine, DurationBetween(0, 20)),
    MakeFaultGenerator<SilenceEngine>(engine, DurationBetween(1, 20)),
    MakeFaultGenerator<SlowEngine>(engine, DurationBetween(1, 30)),
    MakeFaultGenerator<OmitVersions>(engine, NumberBetween(1, 5)),
    MakeFaultGenerator<FailLoads>(engine, NumberBetween(1, 3)),
    MakeFaultGenerator<KillOwner>(DurationBetween(0, 20)),
    MakeFaultGenerator<PauseOwner>(DurationBetween(1, 20)),
    MakeFaultGenerator<ResignOwner>(),
    MakeFaultGenerator<StoreDown>(DurationBetween(1, 40)),
    MakeFaultGenerator<DropStoreResponses>(NumberBetween(1, 3)),
    MakeFaultGenerator<DropPullResponses>(NumberBetween(1, 3)),
    MakeFaultGenerator<SlowPullResponses>(DurationBetween(1, 30),
                                          DurationBetween(1, 20)),
    MakeFaultGenerator<ScorerDown>(DurationBetween(1, 20)),
    MakeFaultGenerator<DuplicateScorerResponses>(DurationBetween(1, 30)),
    MakeFaultGenerator<RestoreTrainer>(NumberBetween(0, 4)));
}

rc::Gen<TimedFault>
MakeTimedFaultGenerator()
{
  return rc::gen::map(
    rc::gen::pair(DurationBetween(0, 60), MakeAnyFaultGenerator()),
    [](const std::pair<core::Duration, Fault>& aPair) {
      return TimedFault{ aPair.first, aPair.second };
    });
}

rollout::StragglerPolicy
StragglerPolicyFor(uint32_t aChoice)
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
MakeSimulationSettings(uint64_t aSeed, uint32_t aStragglerChoice)
{
  SimulationSettings settings = SmallSimulationSettings();
  settings.m_seed = aSeed;
  settings.m_softwareVersions = 2;
  settings.m_shard.m_stragglerPolicy = StragglerPolicyFor(aStragglerChoice);
  if (aSeed % 2 == 0) {
    settings.m_lease.m_outagePolicy = lease::ActUntilSuperseded{};
  }
  return settings;
}

std::string
JoinLines(std::span<const std::string> aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

/// Returns the highest group that the trainer has held, or 0.
core::GroupOrdinal
HighestHeldGroup(const VirtualTrainer& aTrainer)
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

TEST_CASE(
  "under random faults no sample is lost, duplicated, stale, attributed "
  "to the wrong version or joined from two software versions")
{
  const bool passed =
    rc::check("samples stay correct under faults", [](uint64_t aSeed) {
      const auto stragglerChoice = *NumberBetween(0, 2);
      const auto faults =
        *rc::gen::container<std::vector<TimedFault>>(MakeTimedFaultGenerator());
      Simulation simulation(MakeSimulationSettings(aSeed, stragglerChoice));
      ScheduleFaults(simulation, faults);
      simulation.Start();
      const core::Instant start{};
      simulation.Queue().RunUntil(start + kFaultPeriod + kSettlingPeriod);
      const core::GroupOrdinal highestHeld =
        HighestHeldGroup(simulation.Trainer());
      simulation.Queue().RunUntil(start + kTestDuration);
      const TrainerRecord& record = simulation.Trainer().Record();
      RC_LOG(JoinLines(record.m_violations));
      RC_ASSERT(record.m_violations.empty());
      // No group is lost: the trainer now holds every group up to the highest
      // one that it held at the end of the settling time.
      RC_LOG("held up to " +
             std::to_string(
               simulation.Trainer().CurrentCursor().m_done.m_lowWatermark) +
             " of " + std::to_string(highestHeld));
      RC_ASSERT(simulation.Trainer().CurrentCursor().m_done.m_lowWatermark >
                highestHeld);
      RC_ASSERT(highestHeld > 0U);
    });
  CHECK(passed);
}

TEST_CASE("the trainer reports a sample whose spans name the wrong version")
{
  EventQueue queue;
  SimulationSettings settings = MakeSimulationSettings(1, 1);
  VirtualTrainer trainer(queue, settings);
  trainer.m_sendPull = [](size_t, uint64_t, const delivery::Cursor&) {};
  trainer.m_publishVersion = [](core::WeightVersion) {};
  trainer.m_findHost = [](std::string_view) { return size_t{ 0 }; };
  trainer.Start();
  PayloadBatch batch;
  batch.m_head = { 1, 1, { { 0, 2, { 1 } } }, {} };
  // The spans name version 1, but the token was generated by version 2.
  batch.m_samples[{ 0, 0 }] = { { { 0, 1, { 1 } } }, { { 2, {} } } };
  batch.m_samples[{ 0, 1 }] = { { { 0, 1, { 1 } } }, { { 1, {} } } };
  trainer.ReceiveBatch(1, batch);
  REQUIRE(trainer.Record().m_violations.size() == 1);
  CHECK(trainer.Record().m_violations.front() == "0.0 names a wrong version");
}

} // namespace heatherdeal::virtualworld
