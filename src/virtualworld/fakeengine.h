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

/// One chunk of a stream, with the weight version that generated it.
struct Chunk
{
  uint32_t m_offset = 0;
  uint32_t m_tokens = 0;
  /// The version that generated the tokens.
  uint64_t m_truth = 0;
  /// The version that the engine reports for the tokens, if any.
  std::optional<core::WeightVersion> m_named;
};

/// Callbacks that receive the chunks, the end and the failure of a stream.
struct StreamSink
{
  std::function<void(const Chunk&)> m_chunk;
  std::function<void(uint32_t aTotalTokens)> m_end;
  std::function<void(const core::Failure&)> m_fail;
};

/// Identifies a stream within a simulation.
using StreamKey = uint64_t;

/// A simulated engine on virtual time.
class FakeEngine
{
public:
  FakeEngine(EventQueue& aQueue,
             const WorldSettings& aSettings,
             core::UpstreamId aId);

  /// Starts a stream of the tokens [aFrom, aLength).
  void Start(StreamKey aKey,
             uint32_t aFrom,
             uint32_t aLength,
             StreamSink aSink);
  /// Ends a stream without calling its sink.
  void Cancel(StreamKey aKey);
  /// Orders the engine to load a weight version. Returns true if the engine
  /// accepted the order; its version changes when the load ends.
  bool Order(core::WeightVersion aVersion, uint64_t aFence);

  /// Fails all streams. Until Restart, new streams fail and orders are refused.
  void Crash();
  /// Restarts a crashed engine with the first weight version.
  void Restart();
  /// While silent, streams neither send chunks nor fail, as on a connection
  /// whose packets are lost.
  void SetSilent(bool aSilent) { m_silent = aSilent; }
  /// Multiplies the generation rate of streams.
  void SetSpeed(double aFactor) { m_speed = aFactor; }
  /// Omits the version from the next aChunks chunks.
  void OmitVersions(uint32_t aChunks) { m_unnamedChunks = aChunks; }
  /// Accepts the next aLoads orders without loading anything.
  void FailLoads(uint32_t aLoads) { m_failingLoads = aLoads; }
  /// Sets whether orders with a lower fencing token than seen are refused.
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
