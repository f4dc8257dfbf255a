#pragma once

#include <optional>
#include <span>
#include <vector>

#include "batches/batchrun.h"

namespace heatherdeal::batches {

/// An engine as it looks when an item has to start.
struct EngineFacts
{
  core::UpstreamId m_id;
  uint32_t m_slots = 1;
  /// Requests of this host that it has not answered.
  uint32_t m_outstanding = 0;
  /// Not leaving and not left out after failures.
  bool m_usable = true;
  core::WeightVersion m_version;
  /// Time between the events of its streams just now; zero: not known.
  core::Duration m_pace{};
  /// The same, however long ago it was measured.
  core::Duration m_usualPace{};
  /// It has refused items and taken none since.
  bool m_refuses = false;
};

/// True for each engine whose streams are much slower than the others'.
std::vector<bool>
FindSlow(std::span<const EngineFacts> aEngines);

/// The engine that item should run on: one with a free slot and new enough
/// weights, the fastest for a long text, else the group's own if it can;
/// nothing if it has to wait. Engines that refuse are left out.
std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineFacts> aEngines);

/// An engine that has refused and may be asked again with one item.
std::optional<size_t>
EngineToTry(const BatchRun& aRun, std::span<const EngineFacts> aEngines);

/// The waiting item to ask it with: the shortest, which loses least by another
/// refusal, or the longest where no other engine could take that.
std::optional<size_t>
ItemToTry(const BatchRun& aRun,
          std::span<const EngineFacts> aEngines,
          core::Instant aNow);

/// Items that run on slow engines and can go on elsewhere at once.
std::vector<size_t>
ItemsToMove(const BatchRun& aRun, std::span<const EngineFacts> aEngines);

} // namespace heatherdeal::batches
