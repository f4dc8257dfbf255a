#include "operatortool/explain.h"

#include <algorithm>
#include <optional>
#include <set>

#include "boost/json/parse.hpp"
#include "boost/json/serialize.hpp"

namespace heatherdeal::operatortool {

namespace {

namespace json = boost::json;

using Ids = std::set<std::string, std::less<>>;

// Fields that hold an id, from the innermost to the outermost scope.
constexpr std::string_view kIdFields[] = { "request", "item", "batch" };
constexpr std::string_view kLeadingFields[] = { "t",
                                                "process",
                                                "part",
                                                "event" };

json::string_view
ToJsonView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<json::object>
ParseLine(std::string_view aLine)
{
  const size_t objectBegin = aLine.find('{');
  if (objectBegin == std::string_view::npos) {
    return std::nullopt;
  }
  json::error_code error;
  json::value value = json::parse(ToJsonView(aLine.substr(objectBegin)), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string
GetFieldText(const json::object& aEvent, std::string_view aName)
{
  const json::value* value = aEvent.if_contains(ToJsonView(aName));
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

/// True if an id field or the last segment of the path is one of the ids;
/// requests about a batch contain its id only in their path.
bool
ContainsAnyId(const json::object& aEvent, const Ids& aIds)
{
  for (const std::string_view field : kIdFields) {
    if (aIds.contains(GetFieldText(aEvent, field))) {
      return true;
    }
  }
  const std::string path = GetFieldText(aEvent, "path");
  return aIds.contains(path.substr(path.rfind('/') + 1));
}

/// Returns the id and the ids linked to it by events of the item. A batch is
/// not linked to its items.
Ids
FindLinkedIds(std::string_view aId, std::span<const json::object> aEvents)
{
  Ids ids{ std::string(aId) };
  for (const json::object& event : aEvents) {
    const std::string item = GetFieldText(event, "item");
    const bool isAboutId = item == aId || GetFieldText(event, "request") == aId;
    if (!isAboutId || item.empty()) {
      continue;
    }
    for (const std::string_view field : kIdFields) {
      ids.insert(GetFieldText(event, field));
    }
  }
  ids.erase("");
  return ids;
}

bool
IsAboutOtherItem(const json::object& aEvent, const Ids& aIds)
{
  const std::string item = GetFieldText(aEvent, "item");
  return !item.empty() && !aIds.contains(item);
}

int64_t
GetTimestamp(const json::object& aEvent)
{
  const json::value* time = aEvent.if_contains("t");
  return time != nullptr && time->is_int64() ? time->get_int64() : 0;
}

} // namespace

std::vector<json::object>
CollectRelatedEvents(std::string_view aId, std::span<const std::string> aLogs)
{
  std::vector<json::object> events;
  for (const std::string& log : aLogs) {
    std::string_view remaining = log;
    while (!remaining.empty()) {
      const size_t lineEnd = remaining.find('\n');
      if (std::optional<json::object> event =
            ParseLine(remaining.substr(0, lineEnd))) {
        events.push_back(*std::move(event));
      }
      remaining =
        lineEnd == std::string_view::npos ? "" : remaining.substr(lineEnd + 1);
    }
  }
  const Ids ids = FindLinkedIds(aId, events);
  const bool hasLinkedIds = ids.size() > 1;
  std::erase_if(events, [&](const json::object& aEvent) {
    return !ContainsAnyId(aEvent, ids) ||
           (hasLinkedIds && IsAboutOtherItem(aEvent, ids));
  });
  std::ranges::stable_sort(events, {}, GetTimestamp);
  return events;
}

std::string
FormatEvent(const json::object& aEvent)
{
  std::string line;
  for (const std::string_view field : kLeadingFields) {
    line += (line.empty() ? "" : " ") + GetFieldText(aEvent, field);
  }
  for (const auto& field : aEvent) {
    const std::string_view name(field.key().data(), field.key().size());
    const bool isLeading = std::ranges::find(kLeadingFields, name) !=
                             std::ranges::end(kLeadingFields) ||
                           name == "level";
    const std::string text = GetFieldText(aEvent, name);
    if (!isLeading && !text.empty()) {
      line += " " + std::string(name) + "=" + text;
    }
  }
  return line;
}

} // namespace heatherdeal::operatortool
