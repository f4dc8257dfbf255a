// Event sequences against the shard decisions, with events of streams that
// never ran, late ones and pulls of every kind.

#include <cstdint>
#include <vector>

#include "rollout/shard.h"

namespace {

using namespace heatherdeal;

/// Takes numbers off the input; zeros when it is used up.
class Input
{
public:
  Input(const uint8_t* aData, size_t aSize)
    : m_data(aData)
    , m_left(aSize)
  {
  }

  bool IsEmpty() const { return m_left == 0; }
  uint8_t Next()
  {
    if (m_left == 0) {
      return 0;
    }
    m_left -= 1;
    return *m_data++;
  }

private:
  const uint8_t* m_data;
  size_t m_left;
};

rollout::ShardEvent
NextEvent(Input& aInput, core::Instant aNow)
{
  const core::SampleId sample{ aInput.Next() % 8U, aInput.Next() % 3U };
  const uint32_t attempt = aInput.Next() % 4U;
  switch (aInput.Next() % 9) {
    case 0:
      return rollout::TokensArrived{
        sample, attempt, aInput.Next(), aInput.Next(), { { aInput.Next() } }
      };
    case 1:
      return rollout::StreamEnded{ sample, attempt, aInput.Next() };
    case 2:
      return rollout::StreamFailed{ sample,
                                    attempt,
                                    core::TruncatedResponse{ "e" } };
    case 3:
      return rollout::GroupScored{ sample.m_group, attempt, 2 };
    case 4:
      return rollout::ScoringFailed{ sample.m_group,
                                     attempt,
                                     core::TruncatedResponse{ "s" } };
    case 5:
      return rollout::TimerExpired{};
    case 6:
      return delivery::NewestVersionSeen{ { aInput.Next() % 8U } };
    case 7: {
      delivery::Cursor cursor;
      cursor.m_incarnation = aInput.Next() % 3U;
      cursor.m_lastBatchNumber = aInput.Next() % 5U;
      cursor.m_epoch = aInput.Next() % 3U;
      cursor.m_publishedVersion = { aInput.Next() % 8U };
      cursor.m_done.m_lowWatermark = aInput.Next() % 6U;
      return delivery::PullArrived{ aInput.Next(), cursor, aNow };
    }
    default:
      return rollout::EnginesReported{
        { { { "e" }, aInput.Next() % 6U, { aInput.Next() % 8U }, false } }
      };
  }
}

/// A batch never holds a sample that is over the bound.
void
CheckEffects(const rollout::ShardState& aShard,
             const std::vector<rollout::ShardEffect>& aEffects)
{
  for (const rollout::ShardEffect& effect : aEffects) {
    const auto* send = std::get_if<delivery::SendBatch>(&effect);
    if (send == nullptr) {
      continue;
    }
    for (const delivery::GroupHead& group : send->m_batch.m_groups) {
      const uint64_t behind = core::VersionsBehind(
        group.m_oldestVersion, aShard.m_delivery.m_newestVersion);
      if (behind > aShard.m_policy.m_stalenessBound) {
        __builtin_trap();
      }
    }
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  Input input(aData, aSize);
  rollout::ShardPolicy policy;
  policy.m_groupsPerBatch = 2;
  policy.m_samplesPerGroup = 2;
  rollout::ShardState shard = rollout::MakeShardState(policy, {}, 1);
  core::Instant now{};
  while (!input.IsEmpty()) {
    now += std::chrono::milliseconds(input.Next());
    std::vector<rollout::ShardEffect> effects;
    rollout::Apply(shard, NextEvent(input, now), now, effects);
    CheckEffects(shard, effects);
    (void)rollout::NextDeadline(shard, now);
  }
  return 0;
}
