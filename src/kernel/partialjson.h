#pragma once

#include <span>
#include <string_view>

#include "absl/status/statusor.h"
#include "boost/json/value.hpp"

namespace heatherdeal::kernel {

/// What ParsePartialJson knows of the documents that it reads.
struct PartialJsonRules
{
  /// Members of objects that are null if any part of them can't be read.
  std::span<const std::string_view> m_wholeMembers;
  /// True if the value is an element of the document's list. Where the brackets
  /// of an element don't match, the list goes on at the next such value.
  bool (*m_isElement)(const boost::json::value& aValue) = nullptr;
};

/// Parses a JSON document that holds parts from writers that nobody has
/// checked: strings that are not UTF-8 or not escaped, numbers that are too
/// large, values that are nested too deeply, brackets that don't match. Each
/// part that can't be read becomes null, and the others are kept. Fails with
/// InvalidInput if the document is neither an object nor an array.
absl::StatusOr<boost::json::value>
ParsePartialJson(std::string_view aText,
                 std::string_view aDocumentName,
                 const PartialJsonRules& aRules);

} // namespace heatherdeal::kernel
