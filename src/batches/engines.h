#pragma once

#include <optional>
#include <span>
#include <vector>

#include "batches/batchrun.h"

namespace heatherdeal::batches {

/// The state of an engine when an item is to be placed.
struct EngineSnapshot
{
  core::UpstreamId m_id;
  /// The number of requests that the engine runs at the same time.
  uint32_t m_slots = 1;
  /// The number of requests of this host in flight to the engine.
  uint32_t m_outstanding = 0;
  /// True if the engine is neither draining nor excluded after failures or
  /// refusals, and its own limit allows another request now.
  bool m_usable = true;
  /// The version of the batch's weights that the engine serves.
  core::WeightVersion m_version;
  /// The recently measured time between events of its streams; zero if there is
  /// no recent measurement.
  core::Duration m_eventInterval{};
  /// The last measured time between events, however old; zero if there is none.
  core::Duration m_lastEventInterval{};
  /// True if the engine has refused items and accepted none since.
  bool m_isRefusing = false;
};

/// Returns, for each engine, whether its streams are much slower than those of
/// the other engines.
std::vector<bool>
FindSlowEngines(std::span<const EngineSnapshot> aEngines);

/// Returns the engine that the item should run on, or nothing if the item has
/// to wait. The engine needs a free slot and new enough weights, and must not
/// be refusing items. A long text gets the fastest engine; other items prefer
/// the engine that their group used last.
std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineSnapshot> aEngines);

/// Returns an engine that has refused items and may be probed with one.
std::optional<size_t>
FindEngineToProbe(const BatchRun& aRun,
                  std::span<const EngineSnapshot> aEngines);

/// Returns the waiting item to probe an engine with: the shortest one, which
/// loses the least by another refusal, or the longest one if every engine that
/// could run it refuses.
std::optional<size_t>
FindProbeItem(const BatchRun& aRun,
              std::span<const EngineSnapshot> aEngines,
              core::Instant aNow);

/// Returns the items that run on slow engines and for which other engines have
/// free slots.
std::vector<size_t>
FindItemsToMove(const BatchRun& aRun, std::span<const EngineSnapshot> aEngines);

} // namespace heatherdeal::batches
