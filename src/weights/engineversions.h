#pragma once

#include <functional>

#include "core/ids.h"
#include "core/weightversion.h"

namespace heatherdeal::weights {

/// Receives the versions that engines report to serve. Must be called on the
/// control thread only.
struct EngineVersionObserver
{
  std::function<void(const core::UpstreamId&, core::WeightVersion)> m_observe;
};

} // namespace heatherdeal::weights
