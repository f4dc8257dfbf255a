#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::forwarding {

/// Tracks a token stream that is relayed to the caller, so that another engine
/// can resume it if the current one fails.
class Generation
{
public:
  /// Appends received bytes and returns the lines that are now complete and may
  /// be sent to the caller. The view is valid until the next call.
  std::string_view Accept(std::string_view aPart);

  /// Discards an incomplete line after the stream has failed.
  void Break();

  /// Returns true if the end marker of the stream has arrived.
  bool HasEnded() const { return m_ended; }
  /// Returns the number of tokens received in complete lines.
  uint32_t Tokens() const { return m_tokens; }

  /// Returns the request body, extended by the tokens received so far, so that
  /// an engine generates only the remaining tokens. Returns the body unchanged
  /// if there are none.
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
