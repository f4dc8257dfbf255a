#include "rollout/internal/prompts.h"

#include <fstream>

#include "kernel/json.h"

namespace heatherdeal::rollout {

absl::StatusOr<std::shared_ptr<const PromptList>>
ReadPrompts(std::string_view aFile)
{
  std::ifstream stream{ std::string(aFile) };
  if (!stream) {
    return core::ToStatus(core::NotFound{ std::string(aFile) });
  }
  auto promptList = std::make_shared<PromptList>();
  std::string line;
  while (std::getline(stream, line)) {
    if (line.empty()) {
      continue;
    }
    const std::string location =
      std::string(aFile) + ":" +
      std::to_string(promptList->m_prompts.size() + 1);
    absl::StatusOr<std::string> prompt = kernel::ParseMessage<std::string>(
      line, location, [](kernel::SettingsReader& aReader) {
        return aReader.Text("prompt");
      });
    if (!prompt.ok()) {
      return prompt.status();
    }
    promptList->m_prompts.push_back(*std::move(prompt));
  }
  if (promptList->m_prompts.empty()) {
    return core::ToStatus(
      core::InvalidInput{ std::string(aFile), "at least one prompt" });
  }
  return promptList;
}

std::string_view
PromptForGroup(const PromptList& aPrompts,
               const core::ShardId& aShard,
               uint32_t aShardCount,
               core::GroupOrdinal aGroup)
{
  const uint64_t position = aGroup * aShardCount + aShard.m_index;
  return aPrompts.m_prompts[position % aPrompts.m_prompts.size()];
}

} // namespace heatherdeal::rollout
