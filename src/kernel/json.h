#pragma once

#include <span>
#include <string_view>

#include "absl/status/statusor.h"
#include "boost/json/value.hpp"

#include "kernel/settingsreader.h"

namespace heatherdeal::kernel {

/// Returns the text as a Boost.JSON string view.
inline boost::json::string_view
JsonView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Parses a JSON document from another process. Fails with InvalidInput if the
/// text is not valid JSON or is nested too deeply. aDocumentName names the
/// document in the failure.
absl::StatusOr<boost::json::value>
ParseJson(std::string_view aText, std::string_view aDocumentName);

/// Returns the first error as an InvalidInput failure, or OK if there are no
/// errors.
absl::Status
FirstErrorToStatus(const SettingsErrors& aErrors);

/// Parses a JSON document and converts it to T with aParse(reader). Fails with
/// InvalidInput if a field is missing, unknown or invalid.
template<typename T, typename Parse>
absl::StatusOr<T>
ParseMessage(std::string_view aText,
             std::string_view aDocumentName,
             Parse&& aParse)
{
  const absl::StatusOr<boost::json::value> document =
    ParseJson(aText, aDocumentName);
  if (!document.ok()) {
    return document.status();
  }
  SettingsErrors errors;
  T message;
  {
    SettingsReader reader(*document, aDocumentName, errors);
    message = aParse(reader);
  }
  const absl::Status status = FirstErrorToStatus(errors);
  if (!status.ok()) {
    return status;
  }
  return message;
}

} // namespace heatherdeal::kernel
