#pragma once

#include <span>
#include <string_view>

#include "absl/status/statusor.h"
#include "boost/json/value.hpp"

#include "kernel/settingsreader.h"

namespace heatherdeal::kernel {

inline boost::json::string_view
JsonView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Parses a JSON document from outside; InvalidInput if it is none, or if it
/// is nested too deeply. aWhere names the document.
absl::StatusOr<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhere);

/// The first error as an InvalidInput; OK if there is none.
absl::Status
InputStatus(const SettingsErrors& aErrors);

/// Parses a document and fills an aggregate from it with aParse.
template<typename T, typename Parse>
absl::StatusOr<T>
ParseMessage(std::string_view aText, std::string_view aWhere, Parse&& aParse)
{
  const absl::StatusOr<boost::json::value> document = ParseJson(aText, aWhere);
  if (!document.ok()) {
    return document.status();
  }
  SettingsErrors errors;
  T message;
  {
    SettingsReader reader(*document, aWhere, errors);
    message = aParse(reader);
  }
  const absl::Status status = InputStatus(errors);
  if (!status.ok()) {
    return status;
  }
  return message;
}

} // namespace heatherdeal::kernel
