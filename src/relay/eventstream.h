#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/weightversion.h"

namespace heatherdeal::relay {

/// One event of a text/event-stream.
struct StreamEvent
{
  /// The event's id, or 0 if it has none.
  uint64_t m_id = 0;
  std::string m_data;
  /// Set if the weight version changes with this event.
  std::optional<core::WeightVersion> m_version;
};

/// Parses a text/event-stream into events. An event that is incomplete at the
/// end of the stream is discarded.
class EventStreamParser
{
public:
  /// Maximum size of an event that is not complete yet, unless the constructor
  /// is given another one.
  static constexpr size_t kMaxEventBytes = 1024UL * 1024;

  /// aVersionField is the name of the event field that holds the weight
  /// version.
  explicit EventStreamParser(std::string_view aVersionField,
                             size_t aMaxEventBytes = kMaxEventBytes);

  /// Appends aBytes to the stream and returns the events that they complete.
  std::vector<StreamEvent> ParseChunk(std::string_view aBytes);

  /// True if the event that is being received exceeds the limit. The stream is
  /// then not usable any further.
  bool IsEventTooLarge() const { return BufferedBytes() > m_maxEventBytes; }

  /// Returns the size of the event that is being received.
  size_t BufferedBytes() const
  {
    return m_unparsed.size() + m_currentEvent.m_data.size();
  }

  /// True if an event has begun and is not complete yet.
  bool IsInEvent() const { return m_isInEvent || !m_unparsed.empty(); }

private:
  void ParseLine(std::string_view aLine, std::vector<StreamEvent>& aEvents);
  void ApplyField(std::string_view aName, std::string_view aValue);

  std::string m_versionField;
  size_t m_maxEventBytes;
  std::string m_unparsed;
  StreamEvent m_currentEvent;
  bool m_hasData = false;
  bool m_isInEvent = false;
};

/// True if the stream ends in the middle of an event, so that its upstream
/// broke off although the stream looks complete.
bool
EndsWithinEvent(std::string_view aStream);

} // namespace heatherdeal::relay
