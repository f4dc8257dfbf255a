#include "relay/eventstream.h"

#include "catch2/catch.hpp"

namespace heatherdeal::relay {

namespace {

constexpr std::string_view kStream = "weights: 6\nid: 1\ndata: one\n\n"
                                     "id: 2\r\ndata: two\r\ndata: more\r\n\r\n"
                                     ": comment\nid: 3\ndata:three\n\n";

} // namespace

TEST_CASE("events are complete however the stream is split into chunks")
{
  for (size_t size = 1; size <= kStream.size(); ++size) {
    INFO("chunk size " << size);
    EventStreamParser parser("weights");
    std::vector<StreamEvent> events;
    for (size_t offset = 0; offset < kStream.size(); offset += size) {
      for (StreamEvent& event :
           parser.ParseChunk(kStream.substr(offset, size))) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].m_id == 1);
    CHECK(events[0].m_data == "one");
    CHECK(events[0].m_version == core::WeightVersion{ 6 });
    CHECK(events[1].m_data == "two\nmore");
    CHECK_FALSE(events[1].m_version);
    CHECK(events[2].m_data == "three");
  }
}

TEST_CASE("an incomplete event is not returned")
{
  EventStreamParser parser("weights");
  CHECK(parser.ParseChunk("id: 1\ndata: one\n").empty());
  CHECK(parser.ParseChunk("\n").size() == 1);
  CHECK(parser.ParseChunk("id: 2\ndata: tw").empty());
}

// Guards against a stream that breaks off and is taken as complete.
TEST_CASE("a stream that ends in the middle of an event is noticed")
{
  for (size_t size = 0; size <= kStream.size(); ++size) {
    INFO("size " << size);
    EventStreamParser parser("weights");
    parser.ParseChunk(kStream.substr(0, size));
    const std::string_view received = kStream.substr(0, size);
    const bool isAtBorder = received.empty() || received.ends_with("\n\n") ||
                            received.ends_with("\r\n\r\n");
    CHECK(parser.IsInEvent() != isAtBorder);
  }
}

TEST_CASE("an event without end is noticed, in one line or in many")
{
  const std::string part(64UL * 1024, 'x');
  EventStreamParser oneLine("weights");
  EventStreamParser manyLines("weights");
  size_t oneLineParts = 0;
  size_t manyLinesParts = 0;
  while (!oneLine.IsEventTooLarge() && oneLineParts < 100) {
    oneLine.ParseChunk(part);
    oneLineParts += 1;
  }
  while (!manyLines.IsEventTooLarge() && manyLinesParts < 100) {
    manyLines.ParseChunk("data: " + part + "\n");
    manyLinesParts += 1;
  }
  // The limit is 16 parts.
  CHECK(oneLineParts == 17);
  CHECK(manyLinesParts <= 17);
}

TEST_CASE("an event below the limit is not too large")
{
  EventStreamParser parser("weights");
  const std::string data(EventStreamParser::kMaxEventBytes / 2, 'x');
  CHECK(parser.ParseChunk("data: " + data + "\n\n").size() == 1);
  CHECK_FALSE(parser.IsEventTooLarge());
}

TEST_CASE("ids and versions that are not numbers are ignored")
{
  EventStreamParser parser("weights");
  const auto events = parser.ParseChunk("weights: x\nid: y\ndata: z\n\n");
  REQUIRE(events.size() == 1);
  CHECK(events[0].m_id == 0);
  CHECK_FALSE(events[0].m_version);
}

TEST_CASE("a stream that ends within an event is told from a whole one")
{
  for (const char* whole :
       { "", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n" }) {
    CHECK_FALSE(EndsWithinEvent(whole));
  }
  for (const char* cut : { "i",
                           "id: 1\n",
                           "id: 1\ndata: a",
                           "id: 1\ndata: a\n",
                           "id: 1\ndata: a\n\nid: 2\nda" }) {
    INFO(cut);
    CHECK(EndsWithinEvent(cut));
  }
}

} // namespace heatherdeal::relay
