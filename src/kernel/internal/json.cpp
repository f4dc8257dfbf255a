#include "kernel/json.h"

#include <algorithm>

#include "boost/json/parse.hpp"

namespace heatherdeal::kernel {

namespace {

// Less than the parser's own limit.
constexpr size_t kMaxDepth = 24;
// A double has at most 17 significant digits and three digits of exponent.
constexpr size_t kMaxNumberLength = 32;
constexpr size_t kMaxExponentLength = 3;

/// Copies a JSON text without the parts that the parser would not accept.
class JsonPruner
{
public:
  explicit JsonPruner(std::string_view aText)
    : m_text(aText)
  {
  }

  std::string Prune()
  {
    while (m_position < m_text.size()) {
      const char next = m_text[m_position];
      if (next == '"') {
        Append(ReadString());
      } else if (next == '-' || (next >= '0' && next <= '9')) {
        AppendNumber(ReadNumber());
      } else {
        AppendPunctuation(next);
      }
    }
    return std::move(m_pruned);
  }

private:
  std::string_view ReadString()
  {
    const size_t begin = m_position++;
    while (m_position < m_text.size() && m_text[m_position] != '"') {
      m_position += m_text[m_position] == '\\' ? 2 : 1;
    }
    m_position = std::min(m_position + 1, m_text.size());
    return m_text.substr(begin, m_position - begin);
  }

  std::string_view ReadNumber()
  {
    const size_t begin = m_position;
    m_position = m_text.find_first_not_of("+-.eE0123456789", begin);
    m_position = std::min(m_position, m_text.size());
    return m_text.substr(begin, m_position - begin);
  }

  void AppendNumber(std::string_view aNumber)
  {
    const size_t exponent =
      std::min(aNumber.find_first_of("eE"), aNumber.size());
    const size_t digits = aNumber.find_first_of("0123456789", exponent);
    const bool isTooLarge = aNumber.size() > kMaxNumberLength ||
                            (digits != std::string_view::npos &&
                             aNumber.size() - digits > kMaxExponentLength);
    Append(isTooLarge ? "null" : aNumber);
  }

  void AppendPunctuation(char aNext)
  {
    const bool isClosing = aNext == ']' || aNext == '}';
    if (aNext == '[' || aNext == '{') {
      m_depth += 1;
      if (m_depth == kMaxDepth) {
        m_pruned += "null";
      }
    }
    Append(m_text.substr(m_position, 1));
    if (isClosing && m_depth > 0) {
      m_depth -= 1;
    }
    m_position += 1;
  }

  void Append(std::string_view aPart)
  {
    if (m_depth < kMaxDepth) {
      m_pruned += aPart;
    }
  }

  std::string_view m_text;
  size_t m_position = 0;
  size_t m_depth = 0;
  std::string m_pruned;
};

} // namespace

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

absl::StatusOr<boost::json::value>
ParseUncheckedJson(std::string_view aText, std::string_view aDocumentName)
{
  absl::StatusOr<boost::json::value> document = ParseJson(aText, aDocumentName);
  if (document.ok()) {
    return document;
  }
  return ParseJson(JsonPruner(aText).Prune(), aDocumentName);
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
