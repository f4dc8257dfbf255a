#pragma once

#include <list>
#include <memory>
#include <string_view>

#include "batches/engines.h"
#include "routing/pool.h"

namespace heatherdeal::batches {

/// The engines of a pool as they look to one set of weights.
struct EngineView
{
  std::shared_ptr<const routing::Pool> m_pool;
  std::string m_weights;
  std::vector<EngineFacts> m_engines;
};

/// What is known of engines during one pump; each pool is looked at once.
class EngineViews
{
public:
  EngineView& For(std::shared_ptr<const routing::Pool> aPool,
                  std::string_view aWeights);

private:
  std::list<EngineView> m_views;
};

} // namespace heatherdeal::batches
