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
  /// 0: the event names none.
  uint64_t m_id = 0;
  std::string m_data;
  /// Set where the version of the weights changes.
  std::optional<core::WeightVersion> m_version;
};

/// Takes a stream apart into whole events; what is left of an event that
/// never ended is not given out.
class EventStreamReader
{
public:
  /// aVersionField names the field that holds a weight version.
  explicit EventStreamReader(std::string_view aVersionField);

  /// The events that end in these bytes.
  std::vector<StreamEvent> Feed(std::string_view aBytes);

private:
  void TakeLine(std::string_view aLine, std::vector<StreamEvent>& aEvents);
  void TakeField(std::string_view aName, std::string_view aValue);

  std::string m_versionField;
  std::string m_rest;
  StreamEvent m_event;
  bool m_hasData = false;
};

} // namespace heatherdeal::relay
