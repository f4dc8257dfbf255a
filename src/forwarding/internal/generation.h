#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::forwarding {

/// Follows a stream of tokens on its way to the caller, so that the rest can
/// be asked of another engine if the first one breaks.
class Generation
{
public:
  /// The whole lines among what has arrived, ready for the caller. The view
  /// lasts until the next call.
  std::string_view Accept(std::string_view aPart);

  /// Drops a line that has arrived in part.
  void Break();

  bool HasEnded() const { return m_ended; }
  uint32_t Tokens() const { return m_tokens; }

  /// The request's body, asking for what the caller does not have yet.
  std::string RestOf(std::string_view aBody) const;

private:
  void Note(std::string_view aLine);

  std::string m_pending;
  std::string m_whole;
  std::string m_text;
  uint32_t m_tokens = 0;
  bool m_ended = false;
};

} // namespace heatherdeal::forwarding
