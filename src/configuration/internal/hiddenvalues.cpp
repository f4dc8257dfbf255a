#include "configuration/internal/hiddenvalues.h"

#include <string_view>

#include "configuration/customer.h"
#include "kernel/unknownfield.h"

namespace heatherdeal::configuration {

namespace {

constexpr std::string_view kDocumentPath = "$";
constexpr std::string_view kCustomersPath = "$.customers";

/// Keys can stand below "customers", below a field that should have had this
/// name, and in whatever stands in place of the document or of a field.
bool
MayContainKey(const core::InvalidSetting& aError)
{
  const std::string_view value = aError.m_value;
  const bool isComposite = value.starts_with('{') || value.starts_with('[');
  return isComposite || aError.m_path == kDocumentPath ||
         aError.m_path.starts_with(kCustomersPath) ||
         aError.m_expected == kernel::kNoSuchField;
}

} // namespace

void
HideSecretValues(std::span<core::InvalidSetting> aErrors)
{
  for (core::InvalidSetting& error : aErrors) {
    if (MayContainKey(error)) {
      error.m_value = kHiddenValue;
    }
  }
}

} // namespace heatherdeal::configuration
