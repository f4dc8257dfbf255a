#pragma once

#include <string>
#include <vector>

#include "configuration/document.h"

namespace heatherdeal::configuration {

/// Something that is valid but probably not intended, at a JSON path.
struct DocumentWarning
{
  std::string m_path;
  std::string m_text;
};

/// Returns the warnings for a valid document. They do not contain keys.
std::vector<DocumentWarning>
FindWarnings(const Document& aDocument);

} // namespace heatherdeal::configuration
