#include "virtualworld/fakeengine.h"

#include <algorithm>

namespace heatherdeal::virtualworld {

FakeEngine::FakeEngine(EventQueue& aQueue,
                       const SimulationSettings& aSettings,
                       core::UpstreamId aId,
                       core::SoftwareVersion aSoftware)
  : m_queue(aQueue)
  , m_settings(aSettings)
  , m_id(std::move(aId))
  , m_software(std::move(aSoftware))
{
}

void
FakeEngine::OpenStream(StreamKey aKey,
                       uint32_t aFirstToken,
                       uint32_t aEndToken,
                       StreamCallbacks aCallbacks)
{
  if (!m_alive) {
    aCallbacks.m_onFailure(
      core::ConnectionFailed{ m_id.m_value, core::Executed::No });
    return;
  }
  m_streams[aKey] = { aFirstToken, aEndToken, std::move(aCallbacks) };
  ScheduleChunk(aKey);
}

void
FakeEngine::AbortStream(StreamKey aKey)
{
  m_streams.erase(aKey);
}

void
FakeEngine::ScheduleChunk(StreamKey aKey)
{
  const double streamCount = static_cast<double>(m_streams.size());
  const double tokensPerSecond =
    m_speedFactor * m_settings.m_tokensPerSecond /
    (1.0 + streamCount / m_settings.m_halfSpeedStreams);
  const std::chrono::duration<double> time(m_settings.m_chunkTokens /
                                           tokensPerSecond);
  m_queue.ScheduleAfter(std::chrono::duration_cast<core::Duration>(time),
                        [this, aKey, incarnation = m_incarnation] {
                          if (incarnation == m_incarnation) {
                            GenerateChunk(aKey);
                          }
                        });
}

void
FakeEngine::GenerateChunk(StreamKey aKey)
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
  const uint32_t remainingTokens =
    stream.m_endToken - std::min(stream.m_offset, stream.m_endToken);
  if (remainingTokens == 0) {
    const Stream ended = std::move(stream);
    m_streams.erase(found);
    ended.m_callbacks.m_onEnd(ended.m_offset);
    return;
  }
  Chunk chunk;
  chunk.m_offset = stream.m_offset;
  chunk.m_tokens = std::min(remainingTokens, m_settings.m_chunkTokens);
  chunk.m_origin = { m_version.m_number, m_software };
  if (m_chunksWithoutVersion > 0) {
    m_chunksWithoutVersion -= 1;
  } else {
    chunk.m_reportedVersion = m_version;
  }
  m_generatedTokens += chunk.m_tokens;
  stream.m_offset += chunk.m_tokens;
  ScheduleChunk(aKey);
  // Calls a copy, because the callback may cancel the stream.
  const StreamCallbacks callbacks = stream.m_callbacks;
  callbacks.m_onChunk(chunk);
}

bool
FakeEngine::HandleLoadOrder(core::WeightVersion aVersion,
                            uint64_t aFencingToken)
{
  const bool refused =
    m_fencingCheckEnabled && aFencingToken < m_highestFencingToken;
  if (!m_alive || refused) {
    return false;
  }
  m_highestFencingToken = std::max(m_highestFencingToken, aFencingToken);
  if (m_loadsToFail > 0) {
    m_loadsToFail -= 1;
    return true;
  }
  m_queue.ScheduleAfter(m_settings.m_loadTime,
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
  std::map<StreamKey, Stream> failedStreams;
  failedStreams.swap(m_streams);
  for (const auto& [key, stream] : failedStreams) {
    stream.m_callbacks.m_onFailure(core::TruncatedResponse{ m_id.m_value });
  }
}

void
FakeEngine::Restart()
{
  if (m_alive) {
    return;
  }
  m_alive = true;
  // A restarted engine serves the weight version that it was deployed with.
  m_version = { 1 };
  m_highestFencingToken = 0;
}

} // namespace heatherdeal::virtualworld
