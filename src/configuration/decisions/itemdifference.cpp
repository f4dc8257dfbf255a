#include "configuration/itemdifference.h"

#include <algorithm>

namespace heatherdeal::configuration {

namespace {

const DocumentItem*
FindItem(std::span<const DocumentItem> aItems, const std::string& aName)
{
  const auto found = std::ranges::find(aItems, aName, &DocumentItem::m_name);
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

std::vector<ItemDifference>
CompareItems(std::span<const DocumentItem> aOld,
             std::span<const DocumentItem> aNew)
{
  std::vector<ItemDifference> differences;
  for (const DocumentItem& item : aOld) {
    const DocumentItem* now = FindItem(aNew, item.m_name);
    if (now == nullptr) {
      differences.push_back(ItemRemoved{ item.m_name, item.m_summary });
    } else if (now->m_content != item.m_content) {
      differences.push_back(
        ItemChanged{ item.m_name, item.m_summary, now->m_summary });
    }
  }
  for (const DocumentItem& item : aNew) {
    if (FindItem(aOld, item.m_name) == nullptr) {
      differences.push_back(ItemAdded{ item.m_name, item.m_summary });
    }
  }
  return differences;
}

} // namespace heatherdeal::configuration
