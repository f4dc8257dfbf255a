#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/object.hpp"

namespace heatherdeal::operatortool {

/// Everything that log lines of several processes say of a request, an item
/// or a batch, in order of time: lines that name the id, and those that name
/// what these lead to (an item's batch and scoring request). Lines that are
/// no JSON objects are passed over; text before an object is allowed.
std::vector<boost::json::object>
CollectStory(std::string_view aId, std::span<const std::string> aLogs);

/// One line for people: time, process, part, event and the other fields.
std::string
ToLine(const boost::json::object& aEvent);

} // namespace heatherdeal::operatortool
