#include "rollout/decisions/streams.h"

#include "core/overloaded.h"
#include "rollout/decisions/engines.h"

namespace heatherdeal::rollout {

namespace {

using Effects = std::vector<ShardEffect>;

void
ReleaseEngineSlot(ShardState& aState, const SampleProgress& aSample)
{
  const auto engine = aState.m_engines.find(aSample.m_engine);
  if (engine != aState.m_engines.end() && engine->second.m_runningStreams > 0) {
    engine->second.m_runningStreams -= 1;
  }
}

/// Points to a running sample and its group.
struct RunningSample
{
  GroupProgress* m_group = nullptr;
  SampleProgress* m_sample = nullptr;
};

/// Returns the sample whose current stream has the given attempt. Otherwise
/// counts an outdated event and returns null pointers.
RunningSample
FindRunningSample(ShardState& aState,
                  const core::SampleId& aId,
                  uint32_t aAttempt)
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
  aState.m_totals.m_outdatedEvents += 1;
  return {};
}

/// Returns true if the failure indicates a faulty engine rather than overload
/// or an invalid request.
bool
IsEngineFault(const core::Failure& aFailure)
{
  return std::visit(
    core::Overloaded{ [](const core::Overload&) { return false; },
                      [](const core::InvalidInput&) { return false; },
                      [](const auto&) { return true; } },
    aFailure);
}

void
StartSampleOn(ShardState& aState,
              const core::SampleId& aId,
              SampleProgress& aSample,
              EngineState& aEngine,
              core::Instant aNow,
              Effects& aEffects)
{
  aSample.m_stage = SampleStage::Running;
  aSample.m_attempt += 1;
  aSample.m_engine = aEngine.m_report.m_engine;
  aSample.m_software = aEngine.m_report.m_software;
  aSample.m_progressDeadline = aNow + aState.m_policy.m_progressTimeout;
  aEngine.m_runningStreams += 1;
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

/// Starts or resumes the sample. Returns false if no engine can accept it.
bool
TryStartSample(ShardState& aState,
               const core::SampleId& aId,
               SampleProgress& aSample,
               core::Instant aNow,
               Effects& aEffects)
{
  const RequiredWeights requiredWeights = aSample.m_tokens > 0
                                            ? RequiredWeights::WithinBound
                                            : RequiredWeights::Newest;
  EngineState* engine = ChooseEngine(aState, aSample, requiredWeights, aNow);
  if (engine == nullptr) {
    return false;
  }
  StartSampleOn(aState, aId, aSample, *engine, aNow, aEffects);
  return true;
}

/// Calls aVisit for each sample of the groups that are being generated, until
/// aVisit returns false.
template<typename Visit>
void
ForEachGeneratingSample(ShardState& aState, Visit&& aVisit)
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
CancelSampleStream(ShardState& aState,
                   const core::SampleId& aId,
                   SampleProgress& aSample,
                   Effects& aEffects)
{
  if (aSample.m_stage != SampleStage::Running) {
    return;
  }
  aEffects.push_back(CancelStream{ aId, aSample.m_attempt });
  ReleaseEngineSlot(aState, aSample);
  aSample.m_stage = SampleStage::Queued;
}

void
RestartSample(ShardState& aState,
              const core::SampleId& aId,
              SampleProgress& aSample,
              Effects& aEffects)
{
  CancelSampleStream(aState, aId, aSample, aEffects);
  aState.m_totals.m_wastedTokens += aSample.m_tokens;
  aSample.m_stage = SampleStage::Queued;
  aSample.m_tokens = 0;
  aSample.m_spans.clear();
  aSample.m_migrated = false;
  // The sample has already been delayed, so that it must not wait behind
  // others.
  aSample.m_urgent = true;
  aEffects.push_back(DropSample{ aId });
}

const SampleProgress*
AppendSampleTokens(ShardState& aState,
                   const TokensArrived& aEvent,
                   core::Instant aNow,
                   Effects& aEffects)
{
  SampleProgress* sample =
    FindRunningSample(aState, aEvent.m_sample, aEvent.m_attempt).m_sample;
  if (sample == nullptr) {
    return nullptr;
  }
  if (aEvent.m_offset != sample->m_tokens) {
    // Tokens are missing or repeated, so that the offsets of the tokens that
    // follow are unreliable.
    CancelSampleStream(aState, aEvent.m_sample, *sample, aEffects);
    return nullptr;
  }
  aState.m_totals.m_tokens += aEvent.m_tokens;
  if (!aEvent.m_version) {
    aState.m_totals.m_unversionedChunks += 1;
    aState.m_totals.m_wastedTokens += aEvent.m_tokens;
    RestartSample(aState, aEvent.m_sample, *sample, aEffects);
    return nullptr;
  }
  sample->m_tokens += aEvent.m_tokens;
  core::AppendTokens(sample->m_spans, aEvent.m_tokens, *aEvent.m_version);
  sample->m_progressDeadline = aNow + aState.m_policy.m_progressTimeout;
  sample->m_consecutiveCrashes = 0;
  const auto engine = aState.m_engines.find(sample->m_engine);
  if (engine != aState.m_engines.end()) {
    engine->second.m_consecutiveFailures = 0;
  }
  return sample;
}

GroupProgress*
FinishSample(ShardState& aState,
             const StreamEnded& aEvent,
             core::Instant,
             Effects& aEffects)
{
  const RunningSample running =
    FindRunningSample(aState, aEvent.m_sample, aEvent.m_attempt);
  if (running.m_sample == nullptr) {
    return nullptr;
  }
  SampleProgress& sample = *running.m_sample;
  if (aEvent.m_totalTokens != sample.m_tokens || sample.m_spans.empty()) {
    RestartSample(aState, aEvent.m_sample, sample, aEffects);
    return nullptr;
  }
  ReleaseEngineSlot(aState, sample);
  sample.m_stage = SampleStage::Finished;
  return running.m_group;
}

GroupProgress*
RequeueFailedSample(ShardState& aState,
                    const StreamFailed& aEvent,
                    core::Instant aNow)
{
  const RunningSample running =
    FindRunningSample(aState, aEvent.m_sample, aEvent.m_attempt);
  if (running.m_sample == nullptr) {
    return nullptr;
  }
  SampleProgress& sample = *running.m_sample;
  const auto engine = aState.m_engines.find(sample.m_engine);
  if (engine != aState.m_engines.end() && IsEngineFault(aEvent.m_failure)) {
    BackOffFromEngine(aState, engine->second, aNow);
  }
  ReleaseEngineSlot(aState, sample);
  sample.m_stage = SampleStage::Queued;
  if (core::MayHaveCrashedPeer(aEvent.m_failure)) {
    sample.m_consecutiveCrashes += 1;
  }
  const bool hasReachedCrashLimit =
    sample.m_consecutiveCrashes >= aState.m_policy.m_crashLimit;
  return hasReachedCrashLimit ? running.m_group : nullptr;
}

void
RequeueStalledSamples(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  ForEachGeneratingSample(
    aState, [&](const core::SampleId& aId, SampleProgress& aSample) {
      if (aSample.m_stage == SampleStage::Running &&
          aSample.m_progressDeadline <= aNow) {
        const auto engine = aState.m_engines.find(aSample.m_engine);
        if (engine != aState.m_engines.end()) {
          BackOffFromEngine(aState, engine->second, aNow);
        }
        CancelSampleStream(aState, aId, aSample, aEffects);
      }
      return true;
    });
}

void
RequeueSamplesOfLostEngines(ShardState& aState, Effects& aEffects)
{
  ForEachGeneratingSample(
    aState, [&](const core::SampleId& aId, SampleProgress& aSample) {
      if (aSample.m_stage == SampleStage::Running &&
          !aState.m_engines.contains(aSample.m_engine)) {
        CancelSampleStream(aState, aId, aSample, aEffects);
      }
      return true;
    });
}

void
StartQueuedSamples(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  // A sample that waits for an engine of its software holds up no other one.
  ForEachGeneratingSample(
    aState, [&](const core::SampleId& aId, SampleProgress& aSample) {
      if (aSample.m_stage == SampleStage::Queued && aSample.m_tokens > 0 &&
          !TryStartSample(aState, aId, aSample, aNow, aEffects) &&
          !aState.m_engines.empty() && !IsSoftwareServed(aState, aSample)) {
        RestartSample(aState, aId, aSample, aEffects);
      }
      return true;
    });
  ForEachGeneratingSample(
    aState, [&](const core::SampleId& aId, SampleProgress& aSample) {
      const bool isNew =
        aSample.m_stage == SampleStage::Queued && aSample.m_tokens == 0;
      return !isNew || TryStartSample(aState, aId, aSample, aNow, aEffects);
    });
}

} // namespace heatherdeal::rollout
