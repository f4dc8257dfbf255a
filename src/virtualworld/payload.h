#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/weightversion.h"
#include "delivery/trainercursor.h"

namespace heatherdeal::virtualworld {

/// What generated one token.
struct TokenOrigin
{
  uint64_t m_weights = 0;
  core::SoftwareVersion m_software;
};

/// The origin of each token of a sample. It stands for the text of the sample.
using TokenOrigins = std::vector<TokenOrigin>;

/// A sample as the trainer receives it: the versions that the service reports
/// and what generated its tokens.
struct PayloadSample
{
  std::vector<core::VersionSpan> m_spans;
  TokenOrigins m_origins;
};

/// A batch as the trainer receives it.
struct PayloadBatch
{
  delivery::BatchHead m_head;
  std::map<core::SampleId, PayloadSample> m_samples;
};

} // namespace heatherdeal::virtualworld
