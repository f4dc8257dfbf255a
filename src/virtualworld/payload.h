#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/weightversion.h"
#include "delivery/trainercursor.h"

namespace heatherdeal::virtualworld {

/// Stands for the text of a sample: the version that really made each token.
using TokenTruth = std::vector<uint64_t>;

/// A sample on its way to the trainer: what is said of it, and the truth.
struct PayloadSample
{
  std::vector<core::VersionSpan> m_spans;
  TokenTruth m_truth;
};

/// A batch as the trainer receives it.
struct PayloadBatch
{
  delivery::BatchHead m_head;
  std::map<core::SampleId, PayloadSample> m_samples;
};

} // namespace heatherdeal::virtualworld
