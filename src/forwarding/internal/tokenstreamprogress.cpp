#include "forwarding/internal/tokenstreamprogress.h"

#include "boost/json/serialize.hpp"

#include "kernel/json.h"

namespace heatherdeal::forwarding {

std::string_view
TokenStreamProgress::TakeCompleteLines(std::string_view aChunk)
{
  m_partialLine += aChunk;
  const size_t lastNewline = m_partialLine.rfind('\n');
  if (lastNewline == std::string::npos) {
    return {};
  }
  m_completeLines = m_partialLine.substr(0, lastNewline + 1);
  m_partialLine.erase(0, lastNewline + 1);
  std::string_view remainingLines = m_completeLines;
  while (!remainingLines.empty()) {
    const size_t lineEnd = remainingLines.find('\n');
    ParseLine(remainingLines.substr(0, lineEnd));
    remainingLines.remove_prefix(lineEnd + 1);
  }
  return m_completeLines;
}

void
TokenStreamProgress::DiscardPartialLine()
{
  m_partialLine.clear();
}

void
TokenStreamProgress::ParseLine(std::string_view aLine)
{
  const auto line = kernel::ParseJson(aLine, "stream");
  if (!line.ok() || !line->is_object()) {
    return;
  }
  const boost::json::object& fields = line->get_object();
  if (fields.contains("end")) {
    m_ended = true;
    return;
  }
  const boost::json::value* tokens = fields.if_contains("tokens");
  const boost::json::value* text = fields.if_contains("text");
  if (tokens != nullptr && tokens->is_int64() && text != nullptr &&
      text->is_string()) {
    m_receivedTokens += static_cast<uint32_t>(tokens->get_int64());
    m_receivedText +=
      std::string_view(text->get_string().data(), text->get_string().size());
  }
}

std::string
TokenStreamProgress::MakeResumeBody(std::string_view aBody) const
{
  auto body = kernel::ParseJson(aBody, "body");
  if (m_receivedTokens == 0 || !body.ok() || !body->is_object()) {
    return std::string(aBody);
  }
  body->get_object()["resume_tokens"] = m_receivedTokens;
  body->get_object()["resume_text"] = m_receivedText;
  return boost::json::serialize(*body);
}

} // namespace heatherdeal::forwarding
