#include "rollout/decisions/streams.h"

#include "core/overloaded.h"
#include "rollout/decisions/engines.h"

namespace heatherdeal::rollout {

namespace {

using Effects = std::vector<ShardEffect>;

void
LeaveEngine(ShardState& aState, const SampleProgress& aSample)
{
  const auto engine = aState.m_engines.find(aSample.m_engine);
  if (engine != aState.m_engines.end() && engine->second.m_running > 0) {
    engine->second.m_running -= 1;
  }
}

/// A running sample and its group.
struct RunningSample
{
  GroupProgress* m_group = nullptr;
  SampleProgress* m_sample = nullptr;
};

/// Null members if the event belongs to an earlier stream of the sample.
RunningSample
FindRunning(ShardState& aState, const core::SampleId& aId, uint32_t aAttempt)
{
  const auto group = aState.m_groups.find(aId.m_group);
  if (group != aState.m_groups.end() &&
      aId.m_member < group->second.m_samples.size()) {
    SampleProgress& sample = group->second.m_samples[aId.m_member];
    if (sample.m_stage == SampleStage::Running &&
        sample.m_attempt == aAttempt) {
      return { &group->second, &sample };
    }
  }
  aState.m_totals.m_lateEvents += 1;
  return {};
}

/// True if the failure speaks against the engine, not against the request.
bool
BlamesEngine(const core::Failure& aFailure)
{
  return std::visit(
    core::Overloaded{ [](const core::Overload&) { return false; },
                      [](const core::InvalidInput&) { return false; },
                      [](const auto&) { return true; } },
    aFailure);
}

void
Begin(ShardState& aState,
      const core::SampleId& aId,
      SampleProgress& aSample,
      EngineView& aEngine,
      core::Instant aNow,
      Effects& aEffects)
{
  aSample.m_stage = SampleStage::Running;
  aSample.m_attempt += 1;
  aSample.m_engine = aEngine.m_report.m_engine;
  aSample.m_progressDeadline = aNow + aState.m_policy.m_progressTime;
  aEngine.m_running += 1;
  if (aSample.m_tokens > 0) {
    aState.m_totals.m_resumes += 1;
  }
  aEffects.push_back(StartStream{ aId,
                                  aSample.m_attempt,
                                  aSample.m_engine,
                                  aSample.m_tokens,
                                  aState.m_policy.m_maxTokens,
                                  aSample.m_urgent });
}

/// False once no engine has room.
bool
StartOne(ShardState& aState,
         const core::SampleId& aId,
         SampleProgress& aSample,
         core::Instant aNow,
         Effects& aEffects)
{
  const Freshness freshness =
    aSample.m_tokens > 0 ? Freshness::WithinBound : Freshness::Newest;
  EngineView* engine = ChooseEngine(aState, freshness, aNow);
  if (engine == nullptr) {
    return false;
  }
  Begin(aState, aId, aSample, *engine, aNow, aEffects);
  return true;
}

/// Calls aVisit for each sample of the groups that are being generated,
/// until it returns false.
template<typename Visit>
void
ForEachGenerating(ShardState& aState, Visit&& aVisit)
{
  for (auto& [ordinal, group] : aState.m_groups) {
    if (group.m_stage != GroupStage::Generating) {
      continue;
    }
    for (uint32_t member = 0; member < group.m_samples.size(); ++member) {
      const core::SampleId id{ ordinal, member };
      if (!aVisit(id, group.m_samples[member])) {
        return;
      }
    }
  }
}

} // namespace

void
Stop(ShardState& aState,
     const core::SampleId& aId,
     SampleProgress& aSample,
     Effects& aEffects)
{
  if (aSample.m_stage != SampleStage::Running) {
    return;
  }
  aEffects.push_back(CancelStream{ aId, aSample.m_attempt });
  LeaveEngine(aState, aSample);
  aSample.m_stage = SampleStage::Queued;
}

void
Restart(ShardState& aState,
        const core::SampleId& aId,
        SampleProgress& aSample,
        Effects& aEffects)
{
  Stop(aState, aId, aSample, aEffects);
  aState.m_totals.m_wastedTokens += aSample.m_tokens;
  aSample.m_stage = SampleStage::Queued;
  aSample.m_tokens = 0;
  aSample.m_spans.clear();
  aSample.m_migrated = false;
  // It has been late once and must not be again.
  aSample.m_urgent = true;
  aEffects.push_back(DropSample{ aId });
}

const SampleProgress*
AcceptTokens(ShardState& aState,
             const TokensArrived& aEvent,
             core::Instant aNow,
             Effects& aEffects)
{
  SampleProgress* sample =
    FindRunning(aState, aEvent.m_sample, aEvent.m_attempt).m_sample;
  if (sample == nullptr) {
    return nullptr;
  }
  if (aEvent.m_offset != sample->m_tokens) {
    // A gap or a repetition: what follows cannot be placed.
    Stop(aState, aEvent.m_sample, *sample, aEffects);
    return nullptr;
  }
  aState.m_totals.m_tokens += aEvent.m_tokens;
  if (!aEvent.m_version) {
    aState.m_totals.m_unnamed += 1;
    aState.m_totals.m_wastedTokens += aEvent.m_tokens;
    Restart(aState, aEvent.m_sample, *sample, aEffects);
    return nullptr;
  }
  sample->m_tokens += aEvent.m_tokens;
  core::AppendTokens(sample->m_spans, aEvent.m_tokens, *aEvent.m_version);
  sample->m_progressDeadline = aNow + aState.m_policy.m_progressTime;
  sample->m_crashes = 0;
  const auto engine = aState.m_engines.find(sample->m_engine);
  if (engine != aState.m_engines.end()) {
    engine->second.m_failures = 0;
  }
  return sample;
}

GroupProgress*
EndStream(ShardState& aState,
          const StreamEnded& aEvent,
          core::Instant,
          Effects& aEffects)
{
  const RunningSample running =
    FindRunning(aState, aEvent.m_sample, aEvent.m_attempt);
  if (running.m_sample == nullptr) {
    return nullptr;
  }
  SampleProgress& sample = *running.m_sample;
  if (aEvent.m_totalTokens != sample.m_tokens || sample.m_spans.empty()) {
    Restart(aState, aEvent.m_sample, sample, aEffects);
    return nullptr;
  }
  LeaveEngine(aState, sample);
  sample.m_stage = SampleStage::Finished;
  return running.m_group;
}

GroupProgress*
FailStream(ShardState& aState, const StreamFailed& aEvent, core::Instant aNow)
{
  const RunningSample running =
    FindRunning(aState, aEvent.m_sample, aEvent.m_attempt);
  if (running.m_sample == nullptr) {
    return nullptr;
  }
  SampleProgress& sample = *running.m_sample;
  const auto engine = aState.m_engines.find(sample.m_engine);
  if (engine != aState.m_engines.end() && BlamesEngine(aEvent.m_failure)) {
    Suspect(aState, engine->second, aNow);
  }
  LeaveEngine(aState, sample);
  sample.m_stage = SampleStage::Queued;
  if (core::MayHaveCrashedPeer(aEvent.m_failure)) {
    sample.m_crashes += 1;
  }
  const bool hopeless = sample.m_crashes >= aState.m_policy.m_crashLimit;
  return hopeless ? running.m_group : nullptr;
}

void
RequeueStalled(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  ForEachGenerating(
    aState, [&](const core::SampleId& aId, SampleProgress& aSample) {
      if (aSample.m_stage == SampleStage::Running &&
          aSample.m_progressDeadline <= aNow) {
        const auto engine = aState.m_engines.find(aSample.m_engine);
        if (engine != aState.m_engines.end()) {
          Suspect(aState, engine->second, aNow);
        }
        Stop(aState, aId, aSample, aEffects);
      }
      return true;
    });
}

void
RequeueLostEngines(ShardState& aState, Effects& aEffects)
{
  ForEachGenerating(aState,
                    [&](const core::SampleId& aId, SampleProgress& aSample) {
                      if (aSample.m_stage == SampleStage::Running &&
                          !aState.m_engines.contains(aSample.m_engine)) {
                        Stop(aState, aId, aSample, aEffects);
                      }
                      return true;
                    });
}

void
StartQueued(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  bool hasRoom = true;
  for (const bool resumed : { true, false }) {
    ForEachGenerating(
      aState, [&](const core::SampleId& aId, SampleProgress& aSample) {
        const bool due = aSample.m_stage == SampleStage::Queued &&
                         (aSample.m_tokens > 0) == resumed;
        if (due) {
          hasRoom = StartOne(aState, aId, aSample, aNow, aEffects);
        }
        return hasRoom;
      });
  }
}

} // namespace heatherdeal::rollout
