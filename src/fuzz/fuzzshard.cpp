// Applies arbitrary sequences of events to a shard: among them late events,
// events of streams that never ran, and pulls with any cursor.

#include <cstdint>
#include <vector>

#include "rollout/shard.h"

namespace {

using namespace heatherdeal;

/// Reads bytes from the fuzzer's input, and zeros after its end.
class ByteReader
{
public:
  ByteReader(const uint8_t* aData, size_t aSize)
    : m_position(aData)
    , m_bytesLeft(aSize)
  {
  }

  bool IsEmpty() const { return m_bytesLeft == 0; }
  uint8_t NextByte()
  {
    if (m_bytesLeft == 0) {
      return 0;
    }
    m_bytesLeft -= 1;
    return *m_position++;
  }

private:
  const uint8_t* m_position;
  size_t m_bytesLeft;
};

/// Builds one event from the next bytes of the input.
rollout::ShardEvent
ReadEvent(ByteReader& aReader, core::Instant aNow)
{
  const core::SampleId sample{ aReader.NextByte() % 8U,
                               aReader.NextByte() % 3U };
  const uint32_t attempt = aReader.NextByte() % 4U;
  switch (aReader.NextByte() % 9) {
    case 0:
      return rollout::TokensArrived{ sample,
                                     attempt,
                                     aReader.NextByte(),
                                     aReader.NextByte(),
                                     { { aReader.NextByte() } } };
    case 1:
      return rollout::StreamEnded{ sample, attempt, aReader.NextByte() };
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
      return delivery::NewestVersionSeen{ { aReader.NextByte() % 8U } };
    case 7: {
      delivery::Cursor cursor;
      cursor.m_incarnation = aReader.NextByte() % 3U;
      cursor.m_lastBatchNumber = aReader.NextByte() % 5U;
      cursor.m_epoch = aReader.NextByte() % 3U;
      cursor.m_publishedVersion = { aReader.NextByte() % 8U };
      cursor.m_done.m_lowWatermark = aReader.NextByte() % 6U;
      return delivery::PullArrived{ aReader.NextByte(), cursor, aNow };
    }
    default:
      return rollout::EnginesReported{ { { { "e" },
                                           aReader.NextByte() % 6U,
                                           { aReader.NextByte() % 8U },
                                           false } } };
  }
}

/// Traps if a batch holds a group that is staler than the staleness bound.
void
CheckStaleness(const rollout::ShardState& aShard,
               const std::vector<rollout::ShardEffect>& aEffects)
{
  for (const rollout::ShardEffect& effect : aEffects) {
    const auto* sendBatch = std::get_if<delivery::SendBatch>(&effect);
    if (sendBatch == nullptr) {
      continue;
    }
    for (const delivery::GroupHead& group : sendBatch->m_batch.m_groups) {
      const uint64_t versionsBehind = core::VersionsBehind(
        group.m_oldestVersion, aShard.m_delivery.m_newestVersion);
      if (versionsBehind > aShard.m_policy.m_stalenessBound) {
        __builtin_trap();
      }
    }
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  ByteReader reader(aData, aSize);
  rollout::ShardPolicy policy;
  policy.m_groupsPerBatch = 2;
  policy.m_samplesPerGroup = 2;
  rollout::ShardState shard = rollout::MakeShardState(policy, {}, 1);
  core::Instant now{};
  while (!reader.IsEmpty()) {
    now += std::chrono::milliseconds(reader.NextByte());
    std::vector<rollout::ShardEffect> effects;
    rollout::Apply(shard, ReadEvent(reader, now), now, effects);
    CheckStaleness(shard, effects);
    (void)rollout::NextDeadline(shard, now);
  }
  return 0;
}
