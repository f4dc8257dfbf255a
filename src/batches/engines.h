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
  core::Software m_software;
  /// The number of requests that the engine runs at the same time.
  uint32_t m_slots = 1;
  /// The number of requests of this host in flight to the engine.
  uint32_t m_outstanding = 0;
  /// True if the engine is neither draining nor excluded after failures or
  /// refusals, and its own limit allows another request now.
  bool m_usable = true;
  /// True if the engine is draining.
  bool m_isLeaving = false;
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
/// to wait. The engine needs a free slot, new enough weights and, if the item
/// has a text, the software that generated it, and must not be refusing items.
/// A text that may be complete goes back to the engine that found nothing to
/// add. A long text gets the fastest engine; other items prefer the engine that
/// their group used last.
std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineSnapshot> aEngines);

/// An item and the engine that it should start on.
struct ItemStart
{
  size_t m_item = 0;
  size_t m_engine = 0;

  bool operator==(const ItemStart&) const = default;
};

/// Returns the first item in start order that an engine can run now, if any. An
/// item whose text only busy engines can continue does not hold up the others.
std::optional<ItemStart>
ChooseNextStart(const BatchRun& aRun,
                std::span<const EngineSnapshot> aEngines,
                core::Instant aNow);

/// True if an item that may start now could be started by an engine of the
/// service: it has no text yet, or one that the service began.
bool
HasItemFor(const BatchRun& aRun,
           const core::ServiceId& aService,
           core::Instant aNow);

/// Returns an engine that has refused items and the waiting item to probe it
/// with: the shortest one, which loses the least by another refusal, or the
/// longest one if every engine that could run it refuses.
std::optional<ItemStart>
FindProbe(const BatchRun& aRun,
          std::span<const EngineSnapshot> aEngines,
          core::Instant aNow);

/// Discards the texts of waiting items that no engine will continue: no engine
/// of their software stays, or none had room for a while. They are generated
/// from the beginning. Returns their number.
size_t
DiscardOrphanedTexts(BatchRun& aRun,
                     std::span<const EngineSnapshot> aEngines,
                     core::Instant aNow);

/// Discards the texts of waiting items that none of the services began; the
/// route sends items to these only. The items are generated from the beginning.
/// While there are no services, the texts are kept. Returns their number.
size_t
DiscardTextsOfOtherServices(BatchRun& aRun,
                            std::span<const core::ServiceId> aServices);

/// Returns the items that run on slow engines and for which other engines have
/// free slots.
std::vector<size_t>
FindItemsToMove(const BatchRun& aRun, std::span<const EngineSnapshot> aEngines);

} // namespace heatherdeal::batches
