#include <charconv>
#include <functional>
#include <map>
#include <memory>

#include "core/failure.h"
#include "scenario/script.h"

namespace heatherdeal::scenario {

namespace {

using virtualworld::Simulation;
using virtualworld::SimulationSettings;

bool
ApplyStragglerPolicy(SimulationSettings& aSettings, std::string_view aValue)
{
  rollout::StragglerPolicy& policy = aSettings.m_shard.m_stragglerPolicy;
  if (aValue == "wait-for-all") {
    policy = rollout::WaitForAll{};
  } else if (aValue == "out-of-order") {
    policy = rollout::OutOfOrder{};
  } else if (aValue == "migrate-late") {
    policy = rollout::MigrateLate{};
  } else {
    return false;
  }
  return true;
}

bool
ApplyStalenessPolicy(SimulationSettings& aSettings, std::string_view aValue)
{
  if (aValue == "hold-batch") {
    aSettings.m_shard.m_stalenessPolicy = rollout::HoldBatch{};
  } else if (aValue == "make-again") {
    aSettings.m_shard.m_stalenessPolicy = rollout::RegenerateSamples{};
  } else {
    return false;
  }
  return true;
}

bool
ApplyNumericSetting(SimulationSettings& aSettings,
                    std::string_view aName,
                    uint32_t aNumber)
{
  const std::map<std::string_view, std::function<void()>> setters{
    { "seed", [&] { aSettings.m_seed = aNumber; } },
    { "stop-at-lease-end",
      [&] { aSettings.m_lease.m_outagePolicy = lease::StopAtExpiry{}; } },
    { "engines", [&] { aSettings.m_engines = aNumber; } },
    { "hosts", [&] { aSettings.m_hosts = aNumber; } },
    { "slots", [&] { aSettings.m_slotsPerEngine = aNumber; } },
    { "median-tokens", [&] { aSettings.m_lengths.m_medianTokens = aNumber; } },
    { "tail-factor", [&] { aSettings.m_lengths.m_tailFactor = aNumber; } },
    { "train-seconds",
      [&] { aSettings.m_trainTime = std::chrono::seconds(aNumber); } },
    { "staleness-bound",
      [&] { aSettings.m_shard.m_stalenessBound = aNumber; } },
    { "crash-limit", [&] { aSettings.m_shard.m_crashLimit = aNumber; } },
    { "progress-seconds",
      [&] {
        aSettings.m_shard.m_progressTimeout = std::chrono::seconds(aNumber);
      } },
  };
  const auto setter = setters.find(aName);
  if (setter == setters.end()) {
    return false;
  }
  setter->second();
  return true;
}

bool
ApplySetting(SimulationSettings& aSettings, const SettingStep& aStep)
{
  if (aStep.m_name == "straggler") {
    return ApplyStragglerPolicy(aSettings, aStep.m_value);
  }
  if (aStep.m_name == "too-old") {
    return ApplyStalenessPolicy(aSettings, aStep.m_value);
  }
  uint32_t number = 0;
  const char* end = aStep.m_value.data() + aStep.m_value.size();
  const auto [parsedEnd, error] =
    std::from_chars(aStep.m_value.data(), end, number);
  return error == std::errc() && parsedEnd == end &&
         ApplyNumericSetting(aSettings, aStep.m_name, number);
}

/// Runs the steps of a script in turn and collects the expectations that are
/// not met.
struct ScriptRunner
{
  Simulation m_simulation;
  std::vector<UnmetExpectation> m_unmet;
  const Step* m_step = nullptr;

  explicit ScriptRunner(const SimulationSettings& aSettings)
    : m_simulation(aSettings)
  {
  }

  /// Runs the simulation until aTime, unless it has passed.
  void AdvanceTo(core::Duration aTime)
  {
    m_simulation.Queue().RunUntil(
      std::max(m_simulation.Queue().Now(), core::Instant(aTime)));
  }

  /// Records the current step as unmet, with what was found, unless aIsMet.
  void Check(bool aIsMet, std::string aFound)
  {
    if (!aIsMet) {
      m_unmet.push_back({ m_step->m_line, m_step->m_text, std::move(aFound) });
    }
  }

  void CheckAtLeast(uint64_t aFound, uint64_t aMinimum)
  {
    Check(aFound >= aMinimum, std::to_string(aFound));
  }

  void operator()(const SettingStep&) {}
  void operator()(const FaultStep&) {}

  void operator()(const ExpectBatches& aStep)
  {
    AdvanceTo(aStep.m_deadline);
    CheckAtLeast(m_simulation.Trainer().Record().m_batches, aStep.m_batches);
  }

  void operator()(const ExpectGroupHeld& aStep)
  {
    AdvanceTo(aStep.m_deadline);
    CheckAtLeast(m_simulation.Trainer().CurrentCursor().m_done.m_lowWatermark,
                 aStep.m_group + 1);
  }

  void operator()(const ExpectStuck& aStep)
  {
    AdvanceTo(aStep.m_at);
    const uint64_t heldGroups =
      m_simulation.Trainer().CurrentCursor().m_done.m_lowWatermark;
    Check(heldGroups < aStep.m_group,
          "held up to " + std::to_string(heldGroups));
  }

  void operator()(const ExpectDelivery& aStep)
  {
    AdvanceTo(aStep.m_after);
    const uint64_t previousBatches = m_simulation.Trainer().Record().m_batches;
    AdvanceTo(aStep.m_after + aStep.m_within);
    CheckAtLeast(m_simulation.Trainer().Record().m_batches,
                 previousBatches + 1);
  }

  void operator()(const ExpectAbandoned& aStep)
  {
    AdvanceTo(aStep.m_deadline);
    CheckAtLeast(m_simulation.Trainer().Record().m_abandonedGroups,
                 aStep.m_groups);
  }

  void operator()(const ExpectNoViolations& aStep)
  {
    AdvanceTo(aStep.m_at);
    const auto& violations = m_simulation.Trainer().Record().m_violations;
    Check(violations.empty(), violations.empty() ? "" : violations.front());
  }
};

} // namespace

absl::StatusOr<std::vector<UnmetExpectation>>
RunScript(std::span<const Step> aSteps)
{
  SimulationSettings settings = virtualworld::SmallSimulationSettings();
  settings.m_lease.m_outagePolicy = lease::ActUntilSuperseded{};
  std::vector<virtualworld::TimedFault> faults;
  for (const Step& step : aSteps) {
    if (const auto* setting = std::get_if<SettingStep>(&step.m_action)) {
      if (!ApplySetting(settings, *setting)) {
        return core::ToStatus(
          core::InvalidInput{ "line " + std::to_string(step.m_line),
                              "a known setting with a valid value" });
      }
    } else if (const auto* fault = std::get_if<FaultStep>(&step.m_action)) {
      faults.push_back(fault->m_fault);
    }
  }
  ScriptRunner runner(settings);
  virtualworld::ScheduleFaults(runner.m_simulation, faults);
  runner.m_simulation.Start();
  for (const Step& step : aSteps) {
    runner.m_step = &step;
    std::visit([&runner](const auto& aAction) { runner(aAction); },
               step.m_action);
  }
  return std::move(runner.m_unmet);
}

} // namespace heatherdeal::scenario
