#pragma once

#include <functional>

#include "core/ids.h"
#include "core/weightversion.h"

namespace heatherdeal::weights {

/// Takes what engines have reported of the version that they serve. Control
/// thread only.
struct EngineVersions
{
  std::function<void(const core::UpstreamId&, core::WeightVersion)> m_observe;
};

} // namespace heatherdeal::weights
