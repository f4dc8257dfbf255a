#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/weightversion.h"

namespace heatherdeal::core {

/// A finished sample as delivered to a trainer.
struct Sample
{
  SampleId m_id;
  std::string m_text;
  /// Number of tokens in m_text.
  uint32_t m_tokens = 0;
  /// The weight versions that produced the tokens.
  std::vector<VersionSpan> m_spans;
  double m_score = 0.0;
};

/// All samples of one prompt, always delivered together.
struct Group
{
  GroupOrdinal m_ordinal = 0;
  std::string m_prompt;
  std::vector<Sample> m_samples;
};

/// The groups that a trainer receives in response to one pull.
struct Batch
{
  ShardId m_shard;
  /// Sequence number of the batch within its shard.
  uint64_t m_number = 0;
  /// Fencing token of the shard's owner.
  uint64_t m_epoch = 0;
  std::vector<Group> m_groups;
};

} // namespace heatherdeal::core
