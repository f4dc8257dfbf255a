#include "forwarding/internal/tokenstreamprogress.h"

#include "boost/json/serialize.hpp"

#include "kernel/json.h"

namespace heatherdeal::forwarding {

std::string_view
Generation::Accept(std::string_view aPart)
{
  m_pending += aPart;
  const size_t last = m_pending.rfind('\n');
  if (last == std::string::npos) {
    return {};
  }
  m_whole = m_pending.substr(0, last + 1);
  m_pending.erase(0, last + 1);
  std::string_view rest = m_whole;
  while (!rest.empty()) {
    const size_t end = rest.find('\n');
    Note(rest.substr(0, end));
    rest.remove_prefix(end + 1);
  }
  return m_whole;
}

void
Generation::Break()
{
  m_pending.clear();
}

void
Generation::Note(std::string_view aLine)
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
    m_tokens += static_cast<uint32_t>(tokens->get_int64());
    m_text +=
      std::string_view(text->get_string().data(), text->get_string().size());
  }
}

std::string
Generation::RestOf(std::string_view aBody) const
{
  auto body = kernel::ParseJson(aBody, "body");
  if (m_tokens == 0 || !body.ok() || !body->is_object()) {
    return std::string(aBody);
  }
  body->get_object()["resume_tokens"] = m_tokens;
  body->get_object()["resume_text"] = m_text;
  return boost::json::serialize(*body);
}

} // namespace heatherdeal::forwarding
