#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"

namespace heatherdeal::rollout {

/// Holds the prompts of a job in file order. The list starts over after the
/// last prompt.
struct PromptList
{
  std::vector<std::string> m_prompts;
};

/// Reads a JSON Lines file whose lines have the form {"prompt": "..."}. Returns
/// InvalidInput with the first malformed line, or NotFound if the file cannot
/// be opened.
absl::StatusOr<std::shared_ptr<const PromptList>>
ReadPrompts(std::string_view aFile);

/// Returns the prompt of a group. Prompts are assigned to shards round-robin.
std::string_view
PromptForGroup(const PromptList& aPrompts,
               const core::ShardId& aShard,
               uint32_t aShardCount,
               core::GroupOrdinal aGroup);

} // namespace heatherdeal::rollout
