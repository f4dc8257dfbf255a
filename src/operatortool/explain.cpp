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
constexpr std::string_view kHeadFields[] = { "t", "process", "part", "event" };

json::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<json::object>
ParseLine(std::string_view aLine)
{
  const size_t begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  json::error_code error;
  json::value value = json::parse(View(aLine.substr(begin)), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

std::string
TextOf(const json::object& aEvent, std::string_view aName)
{
  const json::value* value = aEvent.if_contains(View(aName));
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

/// True if an id field or the last segment of the path is one of the ids;
/// requests about a batch contain its id only in their path.
bool
Names(const json::object& aEvent, const Ids& aIds)
{
  for (const std::string_view field : kIdFields) {
    if (aIds.contains(TextOf(aEvent, field))) {
      return true;
    }
  }
  const std::string path = TextOf(aEvent, "path");
  return aIds.contains(path.substr(path.rfind('/') + 1));
}

/// Returns the id and the ids linked to it by events of the item. A batch is
/// not linked to its items.
Ids
LinkedIds(std::string_view aId, std::span<const json::object> aEvents)
{
  Ids ids{ std::string(aId) };
  for (const json::object& event : aEvents) {
    const std::string item = TextOf(event, "item");
    const bool own = item == aId || TextOf(event, "request") == aId;
    if (!own || item.empty()) {
      continue;
    }
    for (const std::string_view field : kIdFields) {
      ids.insert(TextOf(event, field));
    }
  }
  ids.erase("");
  return ids;
}

bool
IsOtherItem(const json::object& aEvent, const Ids& aIds)
{
  const std::string item = TextOf(aEvent, "item");
  return !item.empty() && !aIds.contains(item);
}

int64_t
TimeOf(const json::object& aEvent)
{
  const json::value* time = aEvent.if_contains("t");
  return time != nullptr && time->is_int64() ? time->get_int64() : 0;
}

} // namespace

std::vector<json::object>
CollectStory(std::string_view aId, std::span<const std::string> aLogs)
{
  std::vector<json::object> events;
  for (const std::string& log : aLogs) {
    std::string_view rest = log;
    while (!rest.empty()) {
      const size_t end = rest.find('\n');
      if (std::optional<json::object> event = ParseLine(rest.substr(0, end))) {
        events.push_back(*std::move(event));
      }
      rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
  }
  const Ids ids = LinkedIds(aId, events);
  const bool ofItem = ids.size() > 1;
  std::erase_if(events, [&](const json::object& aEvent) {
    return !Names(aEvent, ids) || (ofItem && IsOtherItem(aEvent, ids));
  });
  std::ranges::stable_sort(events, {}, TimeOf);
  return events;
}

std::string
ToLine(const json::object& aEvent)
{
  std::string line;
  for (const std::string_view field : kHeadFields) {
    line += (line.empty() ? "" : " ") + TextOf(aEvent, field);
  }
  for (const auto& field : aEvent) {
    const std::string_view name(field.key().data(), field.key().size());
    const bool isHead =
      std::ranges::find(kHeadFields, name) != std::ranges::end(kHeadFields) ||
      name == "level";
    const std::string text = TextOf(aEvent, name);
    if (!isHead && !text.empty()) {
      line += " " + std::string(name) + "=" + text;
    }
  }
  return line;
}

} // namespace heatherdeal::operatortool
