#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/object.hpp"

namespace heatherdeal::operatortool {

/// Returns the log events of several processes that concern a request, an item
/// or a batch, sorted by time: events that contain the id, and events that
/// contain an id linked to it (an item's batch and scoring request). Lines
/// without a JSON object are skipped; text before the object is ignored.
std::vector<boost::json::object>
CollectRelatedEvents(std::string_view aId, std::span<const std::string> aLogs);

/// Formats an event as one readable line: time, process, part, event and then
/// the remaining fields as name=value.
std::string
FormatEvent(const boost::json::object& aEvent);

} // namespace heatherdeal::operatortool
