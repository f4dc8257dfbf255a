#include "usage/countsending.h"

#include <algorithm>

namespace heatherdeal::usage {

bool
SetHolder(CountSending& aSending, const Holder& aHolder)
{
  if (aHolder.m_epoch <= aSending.m_holder.m_epoch) {
    return false;
  }
  aSending.m_holder = aHolder;
  aSending.m_confirmedVersions.clear();
  aSending.m_confirmedFinal = 0;
  // A message to the previous holder is recognized by its epoch.
  aSending.m_isSending = false;
  return true;
}

std::optional<PreparedMessage>
PrepareMessage(CountSending& aSending,
               const WindowCounts& aCounts,
               WindowId aFinalThrough)
{
  if (aSending.m_holder.m_epoch == 0 || aSending.m_isSending) {
    return std::nullopt;
  }
  PreparedMessage prepared;
  prepared.m_message.m_epoch = aSending.m_holder.m_epoch;
  prepared.m_message.m_finalThrough = aFinalThrough;
  for (const auto& [id, window] : aCounts.m_windows) {
    const auto confirmed = aSending.m_confirmedVersions.find(id);
    const bool isConfirmed = confirmed != aSending.m_confirmedVersions.end() &&
                             confirmed->second == window.m_version;
    if (id > aSending.m_decidedThrough && !isConfirmed) {
      prepared.m_message.m_windows.push_back({ id, window.m_counts });
      prepared.m_versions[id] = window.m_version;
    }
  }
  if (prepared.m_message.m_windows.empty() &&
      aFinalThrough <= aSending.m_confirmedFinal) {
    return std::nullopt;
  }
  aSending.m_isSending = true;
  return prepared;
}

void
RecordReceipt(CountSending& aSending,
              const PreparedMessage& aMessage,
              const std::optional<CountReceipt>& aReceipt)
{
  if (aMessage.m_message.m_epoch != aSending.m_holder.m_epoch) {
    return;
  }
  aSending.m_isSending = false;
  if (!aReceipt) {
    return;
  }
  for (const auto& [id, version] : aMessage.m_versions) {
    aSending.m_confirmedVersions[id] = version;
  }
  aSending.m_confirmedFinal =
    std::max(aSending.m_confirmedFinal, aMessage.m_message.m_finalThrough);
  aSending.m_decidedThrough =
    std::max(aSending.m_decidedThrough, aReceipt->m_decidedThrough);
  std::erase_if(aSending.m_confirmedVersions, [&](const auto& aEntry) {
    return aEntry.first <= aSending.m_decidedThrough;
  });
}

} // namespace heatherdeal::usage
