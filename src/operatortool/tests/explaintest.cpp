#include "operatortool/explain.h"

#include "catch2/catch.hpp"

namespace heatherdeal::operatortool {

namespace {

// Shortened log lines recorded from two processes.
const std::vector<std::string> kLogs{
  R"(  0.1 rollout-1 {"t":100,"process":"r1","part":"batches","event":"submission","batch":"b1","outcome":"accepted"}
{"t":300,"process":"r1","part":"batches","event":"run-ended","batch":"b1","item":"i1","outcome":"broken"}
{"t":310,"process":"r1","part":"batches","event":"run-ended","batch":"b1","item":"i2","outcome":"completed"}
{"t":400,"process":"r1","part":"batches","event":"score-failed","request":"s1","item":"i1","reason":"500"}
{"t":390,"process":"r1","part":"relay","event":"attempt-failed","request":"s1","failure":"deadline-exceeded"}
not a line of ours
{"t":500,"process":"r1","part":"batches","event":"item-lost","batch":"b1","item":"i1","failed_scores":4})",
  R"({"t":50,"process":"e1","part":"entry","event":"answered","request":"b1","status":202}
{"t":600,"process":"e1","part":"entry","event":"answered","request":"","path":"/lots/b1","status":503}
{"t":700,"process":"e1","part":"entry","event":"answered","request":"q1","status":504})",
};

std::vector<std::string>
EventNamesOf(std::string_view aId)
{
  std::vector<std::string> events;
  for (const boost::json::object& event : CollectRelatedEvents(aId, kLogs)) {
    events.emplace_back(event.at("event").as_string());
  }
  return events;
}

} // namespace

TEST_CASE(
  "the events of an item include its batch and scoring but no other item")
{
  CHECK(EventNamesOf("i1") == std::vector<std::string>{ "answered",
                                                        "submission",
                                                        "run-ended",
                                                        "attempt-failed",
                                                        "score-failed",
                                                        "item-lost",
                                                        "answered" });
}

TEST_CASE("the events of a request include only its own")
{
  CHECK(EventNamesOf("q1") == std::vector<std::string>{ "answered" });
  CHECK(EventNamesOf("nobody").empty());
}

TEST_CASE("the events of a batch include all its items, sorted by time")
{
  CHECK(EventNamesOf("b1").size() == 6);
  CHECK(EventNamesOf("b1").front() == "answered");
}

TEST_CASE("a formatted event begins with time, process, part and event name")
{
  const auto relatedEvents = CollectRelatedEvents("q1", kLogs);
  REQUIRE(relatedEvents.size() == 1);
  CHECK(FormatEvent(relatedEvents[0]) ==
        "700 e1 entry answered request=q1 status=504");
}

} // namespace heatherdeal::operatortool
