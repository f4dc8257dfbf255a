#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::forwarding {

/// Tracks a token stream that is relayed to the caller, so that another engine
/// can resume it if the current one fails.
class TokenStreamProgress
{
public:
  /// Maximum size of a line that has no end yet.
  static constexpr size_t kMaxLineBytes = 1024UL * 1024;

  /// Appends received bytes and returns the lines that are now complete and may
  /// be sent to the caller. The view is valid until the next call.
  std::string_view TakeCompleteLines(std::string_view aChunk);

  /// Discards an incomplete line after the stream has failed.
  void DiscardPartialLine();

  /// True if the line that is being received exceeds the limit. The stream is
  /// then not usable any further.
  bool IsLineTooLong() const { return m_partialLine.size() > kMaxLineBytes; }

  /// Returns true if the end marker of the stream has arrived.
  bool HasEnded() const { return m_ended; }
  /// Returns the number of tokens received in complete lines.
  uint32_t TokenCount() const { return m_receivedTokens; }

  /// Returns the request body, extended by the tokens received so far, so that
  /// an engine generates only the remaining tokens. Returns the body unchanged
  /// if there are none.
  std::string MakeResumeBody(std::string_view aBody) const;

private:
  /// Adds the tokens of a complete line, or records the end marker.
  void ParseLine(std::string_view aLine);

  std::string m_partialLine;
  std::string m_completeLines;
  std::string m_receivedText;
  uint32_t m_receivedTokens = 0;
  bool m_ended = false;
};

} // namespace heatherdeal::forwarding
