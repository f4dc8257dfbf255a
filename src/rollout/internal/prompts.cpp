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
  auto list = std::make_shared<PromptList>();
  std::string line;
  while (std::getline(stream, line)) {
    if (line.empty()) {
      continue;
    }
    const std::string where =
      std::string(aFile) + ":" + std::to_string(list->m_prompts.size() + 1);
    absl::StatusOr<std::string> prompt = kernel::ParseMessage<std::string>(
      line, where, [](kernel::SettingsReader& aReader) {
        return aReader.Text("prompt");
      });
    if (!prompt.ok()) {
      return prompt.status();
    }
    list->m_prompts.push_back(*std::move(prompt));
  }
  if (list->m_prompts.empty()) {
    return core::ToStatus(
      core::InvalidInput{ std::string(aFile), "at least one prompt" });
  }
  return list;
}

std::string_view
PromptOf(const PromptList& aPrompts,
         const core::ShardId& aShard,
         uint32_t aShards,
         core::GroupOrdinal aGroup)
{
  const uint64_t position = aGroup * aShards + aShard.m_index;
  return aPrompts.m_prompts[position % aPrompts.m_prompts.size()];
}

} // namespace heatherdeal::rollout
