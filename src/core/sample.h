#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/weightversion.h"

namespace heatherdeal::core {

/// A finished sample as a trainer receives it.
struct Sample
{
  SampleId m_id;
  std::string m_text;
  uint32_t m_tokens = 0;
  std::vector<VersionSpan> m_spans;
  double m_score = 0.0;
};

/// All samples of one prompt; delivered whole or not at all.
struct Group
{
  GroupOrdinal m_ordinal = 0;
  std::string m_prompt;
  std::vector<Sample> m_samples;
};

/// The unit that a trainer pulls.
struct Batch
{
  ShardId m_shard;
  uint64_t m_number = 0;
  uint64_t m_epoch = 0;
  std::vector<Group> m_groups;
};

} // namespace heatherdeal::core
