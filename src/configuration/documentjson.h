#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configuration/document.h"

namespace heatherdeal::configuration {

/// A parsed document, or the errors found in its text.
struct ParsedDocument
{
  Document m_document;
  std::vector<core::InvalidSetting> m_errors;
};

/// Parses and validates the JSON text of a document.
ParsedDocument
ParseDocument(std::string_view aText);

/// Returns the document as JSON. Equal documents produce equal texts.
std::string
ToJson(const Document& aDocument);

/// Returns the document as JSON for people: the number of a customer's keys
/// stands in their place, so that the text is not a valid document.
std::string
ToJsonWithoutKeys(const Document& aDocument);

/// Returns the generation and the content hash of a document.
DocumentIdentity
IdentifyDocument(const Document& aDocument);

} // namespace heatherdeal::configuration
