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
  /// Time between the events of its streams; zero: not known.
  core::Duration m_pace{};
};

/// True for each engine whose streams are much slower than the others'.
std::vector<bool>
FindSlow(std::span<const EngineFacts> aEngines);

/// The engine that item should run on: one with a free slot and new enough
/// weights, the group's own if it can; nothing if it has to wait.
std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineFacts> aEngines);

/// Items that run on slow engines and can go on elsewhere at once.
std::vector<size_t>
ItemsToMove(const BatchRun& aRun, std::span<const EngineFacts> aEngines);

} // namespace heatherdeal::batches
