#pragma once

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace heatherdeal::configuration {

/// A named part of a document, such as a route or a customer.
struct DocumentItem
{
  std::string m_name;
  /// Differs if the item differs. May contain keys, so it is never shown.
  std::string m_content;
  /// What may be shown of the item beside its name; may be empty.
  std::string m_summary;
};

struct ItemAdded
{
  std::string m_name;
  std::string m_summary;
};

struct ItemRemoved
{
  std::string m_name;
  std::string m_summary;
};

struct ItemChanged
{
  std::string m_name;
  std::string m_oldSummary;
  std::string m_newSummary;
};

using ItemDifference = std::variant<ItemRemoved, ItemAdded, ItemChanged>;

/// Compares items by name: first those that were removed or changed, in the old
/// order, then those that were added.
std::vector<ItemDifference>
CompareItems(std::span<const DocumentItem> aOld,
             std::span<const DocumentItem> aNew);

} // namespace heatherdeal::configuration
