#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configuration/document.h"

namespace heatherdeal::configuration {

/// A parsed document, or everything that is wrong with its text.
struct ParsedDocument
{
  Document m_document;
  std::vector<core::InvalidSetting> m_errors;
};

/// Parses and validates a document.
ParsedDocument
ParseDocument(std::string_view aText);

/// The document as JSON; equal documents give equal texts.
std::string
ToJson(const Document& aDocument);

/// Generation and content hash of a document.
Identity
IdentityOf(const Document& aDocument);

} // namespace heatherdeal::configuration
