#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"

namespace heatherdeal::rollout {

/// The prompts of a job, in the order of its file. They repeat when used up.
struct PromptList
{
  std::vector<std::string> m_prompts;
};

/// Reads a JSON Lines file whose lines are {"prompt": "..."}. InvalidInput
/// names the first line that is not.
absl::StatusOr<std::shared_ptr<const PromptList>>
ReadPrompts(std::string_view aFile);

/// The prompt of a group; shards take turns.
std::string_view
PromptOf(const PromptList& aPrompts,
         const core::ShardId& aShard,
         uint32_t aShards,
         core::GroupOrdinal aGroup);

} // namespace heatherdeal::rollout
