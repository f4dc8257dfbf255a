#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/failure.h"
#include "core/ids.h"
#include "core/weightversion.h"
#include "virtualworld/eventqueue.h"
#include "virtualworld/worldsettings.h"

namespace heatherdeal::virtualworld {

/// One chunk of a stream, with the version that really made it.
struct Chunk
{
  uint32_t m_offset = 0;
  uint32_t m_tokens = 0;
  uint64_t m_truth = 0;
  std::optional<core::WeightVersion> m_named;
};

/// Where a stream's chunks, end and failure go.
struct StreamSink
{
  std::function<void(const Chunk&)> m_chunk;
  std::function<void(uint32_t aTotalTokens)> m_end;
  std::function<void(const core::Failure&)> m_fail;
};

/// Tells one stream from all others.
using StreamKey = uint64_t;

/// An engine on virtual time.
class FakeEngine
{
public:
  FakeEngine(EventQueue& aQueue,
             const WorldSettings& aSettings,
             core::UpstreamId aId);

  /// Streams tokens [aFrom, aLength).
  void Start(StreamKey aKey,
             uint32_t aFrom,
             uint32_t aLength,
             StreamSink aSink);
  void Cancel(StreamKey aKey);
  /// True if the order was taken; the version changes when it is loaded.
  bool Order(core::WeightVersion aVersion, uint64_t aFence);

  void Crash();
  void Restart();
  /// Streams stop without a word, as behind a connection that went silent.
  void SetSilent(bool aSilent) { m_silent = aSilent; }
  void SetSpeed(double aFactor) { m_speed = aFactor; }
  /// The next chunks do not name their version.
  void OmitVersions(uint32_t aChunks) { m_unnamedChunks = aChunks; }
  /// The next loads are accepted and come to nothing.
  void FailLoads(uint32_t aLoads) { m_failingLoads = aLoads; }
  void SetChecksFence(bool aChecks) { m_checksFence = aChecks; }

  const core::UpstreamId& Id() const { return m_id; }
  bool IsAlive() const { return m_alive; }
  core::WeightVersion Version() const { return m_version; }
  uint64_t TokensMade() const { return m_tokensMade; }
  size_t Running() const { return m_streams.size(); }

private:
  struct Stream
  {
    uint32_t m_offset = 0;
    uint32_t m_length = 0;
    StreamSink m_sink;
  };

  void ScheduleChunk(StreamKey aKey);
  void MakeChunk(StreamKey aKey);

  EventQueue& m_queue;
  const WorldSettings& m_settings;
  core::UpstreamId m_id;
  bool m_alive = true;
  bool m_silent = false;
  bool m_checksFence = true;
  double m_speed = 1.0;
  uint32_t m_unnamedChunks = 0;
  uint32_t m_failingLoads = 0;
  uint64_t m_fence = 0;
  uint64_t m_incarnation = 0;
  core::WeightVersion m_version{ 1 };
  uint64_t m_tokensMade = 0;
  std::map<StreamKey, Stream> m_streams;
};

} // namespace heatherdeal::virtualworld
