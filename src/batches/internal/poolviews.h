#pragma once

#include <list>
#include <memory>
#include <string_view>

#include "batches/engines.h"
#include "routing/pool.h"

namespace heatherdeal::batches {

/// The engines of a pool, with the versions of one set of weights.
struct PoolView
{
  std::shared_ptr<const routing::Pool> m_pool;
  std::string m_weights;
  std::vector<EngineSnapshot> m_engines;
  /// True if an engine of the pool names a limit.
  bool m_hasLimits = false;
  /// Items that no engine is usable for; counted only if m_hasLimits.
  uint32_t m_waitingItems = 0;
};

/// Caches the engine states of each pool during one scheduling pass.
class PoolViews
{
public:
  /// Returns the view of a pool for a set of weights. The engine states are
  /// read when the view is first requested.
  PoolView& FindOrAdd(std::shared_ptr<const routing::Pool> aPool,
                      std::string_view aWeights);

  /// Returns the number of items that wait for an engine of the pool.
  uint32_t CountWaitingItems(const routing::Pool& aPool) const;

private:
  std::list<PoolView> m_views;
};

} // namespace heatherdeal::batches
