#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/failure.h"
#include "core/ids.h"
#include "core/weightversion.h"
#include "virtualworld/eventqueue.h"
#include "virtualworld/payload.h"
#include "virtualworld/simulationsettings.h"

namespace heatherdeal::virtualworld {

/// One chunk of a stream, with the weight version that generated it.
struct Chunk
{
  uint32_t m_offset = 0;
  uint32_t m_tokens = 0;
  TokenOrigin m_origin;
  /// The version that the engine reports for the tokens, if any.
  std::optional<core::WeightVersion> m_reportedVersion;
};

/// Callbacks that receive the chunks, the end and the failure of a stream.
struct StreamCallbacks
{
  std::function<void(const Chunk&)> m_onChunk;
  std::function<void(uint32_t aTotalTokens)> m_onEnd;
  std::function<void(const core::Failure&)> m_onFailure;
};

/// Identifies a stream within a simulation.
using StreamKey = uint64_t;

/// A simulated engine on virtual time.
class FakeEngine
{
public:
  FakeEngine(EventQueue& aQueue,
             const SimulationSettings& aSettings,
             core::UpstreamId aId,
             core::SoftwareVersion aSoftware);

  /// Starts a stream of the tokens [aFirstToken, aEndToken).
  void OpenStream(StreamKey aKey,
                  uint32_t aFirstToken,
                  uint32_t aEndToken,
                  StreamCallbacks aCallbacks);
  /// Ends a stream without calling its callbacks.
  void AbortStream(StreamKey aKey);
  /// Orders the engine to load a weight version. Returns true if the engine
  /// accepted the order; its version changes when the load ends.
  bool HandleLoadOrder(core::WeightVersion aVersion, uint64_t aFencingToken);

  /// Fails all streams. Until Restart, new streams fail and orders are refused.
  void Crash();
  /// Restarts a crashed engine with the first weight version.
  void Restart();
  /// While silent, streams neither send chunks nor fail, as on a connection
  /// whose packets are lost.
  void SetSilent(bool aSilent) { m_silent = aSilent; }
  /// Sets the generation rate of streams to aFactor times the rate in the
  /// settings.
  void SetSpeed(double aFactor) { m_speedFactor = aFactor; }
  /// Omits the version from the next aChunks chunks.
  void OmitVersions(uint32_t aChunks) { m_chunksWithoutVersion = aChunks; }
  /// Accepts the next aLoads orders without loading anything.
  void FailLoads(uint32_t aLoads) { m_loadsToFail = aLoads; }
  /// Sets whether the engine refuses an order whose fencing token is lower
  /// than the highest one that it has seen.
  void SetFencingCheck(bool aEnabled) { m_fencingCheckEnabled = aEnabled; }

  const core::UpstreamId& Id() const { return m_id; }
  const core::SoftwareVersion& Software() const { return m_software; }
  bool IsAlive() const { return m_alive; }
  core::WeightVersion Version() const { return m_version; }
  uint64_t GeneratedTokens() const { return m_generatedTokens; }
  size_t RunningStreams() const { return m_streams.size(); }

private:
  struct Stream
  {
    uint32_t m_offset = 0;
    uint32_t m_endToken = 0;
    StreamCallbacks m_callbacks;
  };

  void ScheduleChunk(StreamKey aKey);
  void GenerateChunk(StreamKey aKey);

  EventQueue& m_queue;
  const SimulationSettings& m_settings;
  core::UpstreamId m_id;
  core::SoftwareVersion m_software;
  bool m_alive = true;
  bool m_silent = false;
  bool m_fencingCheckEnabled = true;
  double m_speedFactor = 1.0;
  uint32_t m_chunksWithoutVersion = 0;
  uint32_t m_loadsToFail = 0;
  uint64_t m_highestFencingToken = 0;
  uint64_t m_incarnation = 0;
  core::WeightVersion m_version{ 1 };
  uint64_t m_generatedTokens = 0;
  std::map<StreamKey, Stream> m_streams;
};

} // namespace heatherdeal::virtualworld
