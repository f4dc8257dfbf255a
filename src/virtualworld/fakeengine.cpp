#include "virtualworld/fakeengine.h"

#include <algorithm>

namespace heatherdeal::virtualworld {

FakeEngine::FakeEngine(EventQueue& aQueue,
                       const WorldSettings& aSettings,
                       core::UpstreamId aId)
  : m_queue(aQueue)
  , m_settings(aSettings)
  , m_id(std::move(aId))
{
}

void
FakeEngine::Start(StreamKey aKey,
                  uint32_t aFrom,
                  uint32_t aLength,
                  StreamSink aSink)
{
  if (!m_alive) {
    aSink.m_fail(core::ConnectionFailed{ m_id.m_value, core::Executed::No });
    return;
  }
  m_streams[aKey] = { aFrom, aLength, std::move(aSink) };
  ScheduleChunk(aKey);
}

void
FakeEngine::Cancel(StreamKey aKey)
{
  m_streams.erase(aKey);
}

void
FakeEngine::ScheduleChunk(StreamKey aKey)
{
  const double running = static_cast<double>(m_streams.size());
  const double rate = m_speed * m_settings.m_tokensPerSecond /
                      (1.0 + running / m_settings.m_halfSpeedStreams);
  const std::chrono::duration<double> time(m_settings.m_chunkTokens / rate);
  m_queue.After(std::chrono::duration_cast<core::Duration>(time),
                [this, aKey, incarnation = m_incarnation] {
                  if (incarnation == m_incarnation) {
                    MakeChunk(aKey);
                  }
                });
}

void
FakeEngine::MakeChunk(StreamKey aKey)
{
  const auto found = m_streams.find(aKey);
  if (found == m_streams.end()) {
    return;
  }
  if (m_silent) {
    ScheduleChunk(aKey);
    return;
  }
  Stream& stream = found->second;
  const uint32_t left =
    stream.m_length - std::min(stream.m_offset, stream.m_length);
  if (left == 0) {
    const Stream ended = std::move(stream);
    m_streams.erase(found);
    ended.m_sink.m_end(ended.m_offset);
    return;
  }
  Chunk chunk;
  chunk.m_offset = stream.m_offset;
  chunk.m_tokens = std::min(left, m_settings.m_chunkTokens);
  chunk.m_truth = m_version.m_number;
  if (m_unnamedChunks > 0) {
    m_unnamedChunks -= 1;
  } else {
    chunk.m_named = m_version;
  }
  m_tokensMade += chunk.m_tokens;
  stream.m_offset += chunk.m_tokens;
  ScheduleChunk(aKey);
  // A copy, because the sink may cancel the stream.
  const StreamSink sink = stream.m_sink;
  sink.m_chunk(chunk);
}

bool
FakeEngine::Order(core::WeightVersion aVersion, uint64_t aFence)
{
  const bool refused = m_checksFence && aFence < m_fence;
  if (!m_alive || refused) {
    return false;
  }
  m_fence = std::max(m_fence, aFence);
  if (m_failingLoads > 0) {
    m_failingLoads -= 1;
    return true;
  }
  m_queue.After(m_settings.m_loadTime,
                [this, aVersion, incarnation = m_incarnation] {
                  if (incarnation == m_incarnation) {
                    m_version = std::max(m_version, aVersion);
                  }
                });
  return true;
}

void
FakeEngine::Crash()
{
  if (!m_alive) {
    return;
  }
  m_alive = false;
  m_incarnation += 1;
  std::map<StreamKey, Stream> broken;
  broken.swap(m_streams);
  for (const auto& [key, stream] : broken) {
    stream.m_sink.m_fail(core::TruncatedResponse{ m_id.m_value });
  }
}

void
FakeEngine::Restart()
{
  if (m_alive) {
    return;
  }
  m_alive = true;
  // A restarted engine serves the weights that it was shipped with.
  m_version = { 1 };
  m_fence = 0;
}

} // namespace heatherdeal::virtualworld
