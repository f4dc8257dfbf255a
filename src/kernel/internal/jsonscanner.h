#pragma once

#include <optional>
#include <string_view>

namespace heatherdeal::kernel {

/// Finds the ends of JSON values by their brackets and quotes alone. What
/// stands in strings and numbers is not checked.
class JsonScanner
{
public:
  /// aMaxBytes limits how many bytes FindEnd reads in all calls together.
  JsonScanner(std::string_view aText, size_t aMaxBytes);

  std::string_view Text() const { return m_text; }
  size_t Size() const { return m_text.size(); }
  /// Returns the character at the position, or '\0' behind the end.
  char At(size_t aPosition) const;
  size_t SkipSpace(size_t aFrom) const;
  /// Returns the first position of the character, or Size().
  size_t Find(char aCharacter, size_t aFrom) const;
  /// Returns the last position of the character before aEnd, or npos.
  size_t FindLast(char aCharacter, size_t aEnd) const;

  /// Returns the end of the value that begins at aBegin, or nothing if its
  /// structure is broken or the limit of bytes has been reached.
  std::optional<size_t> FindEnd(size_t aBegin);
  bool IsExhausted() const { return m_bytesLeft == 0; }

private:
  size_t FindEndOfString(size_t aBegin) const;

  std::string_view m_text;
  size_t m_bytesLeft;
};

} // namespace heatherdeal::kernel
