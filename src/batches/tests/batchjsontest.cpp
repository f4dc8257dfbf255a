#include "batches/internal/batchjson.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

TEST_CASE("stored batch objects survive a JSON round trip unchanged")
{
  Submission submission;
  submission.m_id.m_value = "b";
  submission.m_host = "h.example";
  submission.m_path = "/p/x";
  submission.m_weights = "w";
  submission.m_oldestAllowedVersion = { 7 };
  submission.m_acceptedAt = 1234567890123;
  BatchItem item;
  item.m_id.m_value = "i";
  item.m_path = "/p/1";
  item.m_headers = { { "Model", "w" } };
  item.m_body = std::string("\0\xff\"\n", 4);
  item.m_group = "g";
  item.m_expectedTokens = 99;
  item.m_reward = RewardRequest{ "r", "h2", "/q/", "\x01" };
  submission.m_items.push_back(item);
  const auto back = ParseSubmission(ToJson(submission));
  REQUIRE(back.ok());
  CHECK(ToJson(*back) == ToJson(submission));
  CHECK(back->m_items[0].m_body == item.m_body);

  ResultChunk chunk;
  chunk.m_number = 3;
  chunk.m_results.push_back(
    { { "i" }, Completed{ "a\nb\"", { { 1 }, { 2 } }, "s" } });
  chunk.m_results.push_back({ { "j" }, Lost{} });
  const auto chunkBack = ParseChunk(ToJson(chunk));
  REQUIRE(chunkBack.ok());
  CHECK(ToJson(*chunkBack) == ToJson(chunk));

  Checkpoint checkpoint;
  checkpoint.m_texts.push_back({ { "i" },
                                 "a\nb\"",
                                 7,
                                 { { 2 }, { 3 } },
                                 core::Software{ { "s" }, { "v1" } } });
  const auto resumed = ParseCheckpoint(ToJson(checkpoint));
  REQUIRE(resumed.ok());
  CHECK(resumed->m_texts[0].m_lastEvent == 7);
  CHECK(resumed->m_texts[0].m_software == checkpoint.m_texts[0].m_software);
  CHECK(ToJson(*resumed) == ToJson(checkpoint));

  Placement placement{ { "b" }, "host", { "north" }, true, 5, 0 };
  const auto placed = ParsePlacement(ToJson(placement));
  REQUIRE(placed.ok());
  CHECK(placed->m_owner == "host");
  CHECK(placed->m_customer == placement.m_customer);
  CHECK(placed->m_ended);
}

// Guards against objects that hosts of earlier releases reject although the
// deployment has no customers.
TEST_CASE("the customer is stored only if there is one")
{
  Submission submission;
  submission.m_id.m_value = "b";
  submission.m_host = "h";
  submission.m_path = "/p/";
  Placement placement;
  CHECK(ToJson(submission).find("customer") == std::string::npos);
  CHECK(ToJson(placement).find("customer") == std::string::npos);
  submission.m_customer.m_value = "north";
  const auto back = ParseSubmission(ToJson(submission));
  REQUIRE(back.ok());
  CHECK(back->m_customer == submission.m_customer);
}

TEST_CASE("malformed stored objects are rejected as invalid input")
{
  const std::vector<std::string> texts{
    "",
    "{",
    "[]",
    "null",
    R"({"id":"b"})",
    R"({"id":1,"host":"h","path":"/","accepted_at":1})",
    R"({"id":"b","host":"h","path":"/","accepted_at":1,"items":[{"id":"i","path":"/","body":"%"}]})",
    R"({"number":-1,"results":[]})",
    R"({"number":1,"results":[{"item":"i","text":"t","versions":["x"]}]})",
  };
  for (const std::string& text : texts) {
    INFO(text);
    CHECK_FALSE(ParseSubmission(text).ok());
    CHECK_FALSE(ParseChunk(text).ok());
    CHECK_FALSE(ParsePlacement(text).ok());
  }
}

} // namespace heatherdeal::batches
