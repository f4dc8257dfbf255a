#include "kernel/json.h"

#include "boost/json/parse.hpp"

namespace heatherdeal::kernel {

absl::StatusOr<boost::json::value>
ParseJson(std::string_view aText, std::string_view aDocumentName)
{
  boost::json::error_code error;
  boost::json::value document = boost::json::parse(JsonView(aText), error);
  if (error) {
    return core::ToStatus(core::InvalidInput{
      std::string(aDocumentName), "valid JSON: " + error.message() });
  }
  return document;
}

absl::Status
FirstErrorToStatus(const SettingsErrors& aErrors)
{
  if (aErrors.m_errors.empty()) {
    return absl::OkStatus();
  }
  const core::InvalidSetting& first = aErrors.m_errors.front();
  return core::ToStatus(core::InvalidInput{
    first.m_path, first.m_expected + ", found " + first.m_value });
}

} // namespace heatherdeal::kernel
