#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/weightversion.h"
#include "delivery/trainercursor.h"

namespace heatherdeal::virtualworld {

/// The weight version that generated each token of a sample. It stands for the
/// text of the sample.
using TokenVersions = std::vector<uint64_t>;

/// A sample as the trainer receives it: the versions that the service reports
/// and the versions that generated its tokens.
struct PayloadSample
{
  std::vector<core::VersionSpan> m_spans;
  TokenVersions m_actualVersions;
};

/// A batch as the trainer receives it.
struct PayloadBatch
{
  delivery::BatchHead m_head;
  std::map<core::SampleId, PayloadSample> m_samples;
};

} // namespace heatherdeal::virtualworld
