#include "kernel/internal/jsonscanner.h"

#include <algorithm>
#include <string>

namespace heatherdeal::kernel {

namespace {

constexpr std::string_view kSpaces = " \t\r\n";
constexpr std::string_view kEndsOfLiteral = ",:]}[{\" \t\r\n";

/// What may come next in a document.
enum class Expected
{
  Value,
  ValueOrEnd,
  Name,
  NameOrEnd,
  Colon,
  SeparatorOrEnd,
};

/// True if the bracket ends the innermost open value here.
bool
IsEnd(char aCharacter, Expected aExpected, std::string_view aOpen)
{
  if (aOpen.empty()) {
    return false;
  }
  const bool isArray = aOpen.back() == '[';
  const Expected afterOpening =
    isArray ? Expected::ValueOrEnd : Expected::NameOrEnd;
  return aCharacter == (isArray ? ']' : '}') &&
         (aExpected == Expected::SeparatorOrEnd || aExpected == afterOpening);
}

bool
IsValueExpected(Expected aExpected)
{
  return aExpected == Expected::Value || aExpected == Expected::ValueOrEnd;
}

bool
IsNameExpected(Expected aExpected)
{
  return aExpected == Expected::Name || aExpected == Expected::NameOrEnd;
}

} // namespace

JsonScanner::JsonScanner(std::string_view aText, size_t aMaxBytes)
  : m_text(aText)
  , m_bytesLeft(aMaxBytes)
{
}

char
JsonScanner::At(size_t aPosition) const
{
  return aPosition < m_text.size() ? m_text[aPosition] : '\0';
}

size_t
JsonScanner::SkipSpace(size_t aFrom) const
{
  return std::min(m_text.find_first_not_of(kSpaces, aFrom), m_text.size());
}

size_t
JsonScanner::Find(char aCharacter, size_t aFrom) const
{
  return std::min(m_text.find(aCharacter, aFrom), m_text.size());
}

size_t
JsonScanner::FindLast(char aCharacter, size_t aEnd) const
{
  return m_text.substr(0, aEnd).rfind(aCharacter);
}

size_t
JsonScanner::FindEndOfString(size_t aBegin) const
{
  size_t position = aBegin + 1;
  while (position < m_text.size() && m_text[position] != '"') {
    position += m_text[position] == '\\' ? 2 : 1;
  }
  return position + 1;
}

std::optional<size_t>
JsonScanner::FindEnd(size_t aBegin)
{
  // The brackets that are open.
  std::string open;
  Expected expected = Expected::Value;
  size_t position = aBegin;
  while (position < m_text.size()) {
    const char next = m_text[position];
    size_t end = position + 1;
    if (IsEnd(next, expected, open)) {
      open.pop_back();
      expected = Expected::SeparatorOrEnd;
    } else if (next == '"' && IsNameExpected(expected)) {
      end = FindEndOfString(position);
      expected = Expected::Colon;
    } else if (next == ':' && expected == Expected::Colon) {
      expected = Expected::Value;
    } else if (next == ',' && expected == Expected::SeparatorOrEnd) {
      expected = open.back() == '[' ? Expected::Value : Expected::Name;
    } else if (!IsValueExpected(expected)) {
      return std::nullopt;
    } else if (next == '{' || next == '[') {
      open += next;
      expected = next == '[' ? Expected::ValueOrEnd : Expected::NameOrEnd;
    } else {
      end = next == '"'
              ? FindEndOfString(position)
              : std::min(m_text.find_first_of(kEndsOfLiteral, position),
                         m_text.size());
      expected = Expected::SeparatorOrEnd;
    }
    const size_t scanned = end - position;
    if (scanned == 0 || end > m_text.size() || scanned > m_bytesLeft) {
      m_bytesLeft = scanned > m_bytesLeft ? 0 : m_bytesLeft;
      return std::nullopt;
    }
    m_bytesLeft -= scanned;
    if (open.empty() && expected == Expected::SeparatorOrEnd) {
      return end;
    }
    position = SkipSpace(end);
  }
  return std::nullopt;
}

} // namespace heatherdeal::kernel
