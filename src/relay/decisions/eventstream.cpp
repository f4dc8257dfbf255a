#include "relay/eventstream.h"

#include <charconv>

namespace heatherdeal::relay {

namespace {

std::optional<uint64_t>
ParseNumber(std::string_view aText)
{
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || parsedEnd != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

EventStreamParser::EventStreamParser(std::string_view aVersionField,
                                     size_t aMaxEventBytes)
  : m_versionField(aVersionField)
  , m_maxEventBytes(aMaxEventBytes)
{
}

std::vector<StreamEvent>
EventStreamParser::ParseChunk(std::string_view aBytes)
{
  m_unparsed += aBytes;
  std::vector<StreamEvent> events;
  size_t begin = 0;
  for (;;) {
    const size_t end = m_unparsed.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    std::string_view line =
      std::string_view(m_unparsed).substr(begin, end - begin);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    ParseLine(line, events);
    begin = end + 1;
  }
  m_unparsed.erase(0, begin);
  return events;
}

void
EventStreamParser::ParseLine(std::string_view aLine,
                             std::vector<StreamEvent>& aEvents)
{
  m_isInEvent = !aLine.empty();
  if (aLine.empty()) {
    if (m_hasData) {
      aEvents.push_back(std::move(m_currentEvent));
    }
    m_currentEvent = {};
    m_hasData = false;
    return;
  }
  const size_t colon = aLine.find(':');
  std::string_view value =
    colon == std::string_view::npos ? "" : aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  ApplyField(aLine.substr(0, colon), value);
}

void
EventStreamParser::ApplyField(std::string_view aName, std::string_view aValue)
{
  if (aName == "data") {
    if (m_hasData) {
      m_currentEvent.m_data += '\n';
    }
    m_currentEvent.m_data += aValue;
    m_hasData = true;
    return;
  }
  if (aName == "id") {
    m_currentEvent.m_id = ParseNumber(aValue).value_or(0);
    return;
  }
  if (aName == m_versionField) {
    const std::optional<uint64_t> number = ParseNumber(aValue);
    if (number) {
      m_currentEvent.m_version = core::WeightVersion{ *number };
    }
  }
}

bool
EndsWithinEvent(std::string_view aStream)
{
  EventStreamParser parser("");
  parser.ParseChunk(aStream);
  return parser.IsInEvent();
}

} // namespace heatherdeal::relay
