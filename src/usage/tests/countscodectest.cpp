#include "usage/internal/countscodec.h"

#include "catch2/catch.hpp"

namespace heatherdeal::usage {

namespace {

CountMessage
MakeMessage()
{
  CountMessage message{ "entry-1", 7, 3, 99, {} };
  message.m_windows.push_back({ 100, { { "cuka", 412 }, { "seje", 1 } } });
  message.m_windows.push_back({ 101, {} });
  return message;
}

} // namespace

TEST_CASE("messages and contents survive their encoding")
{
  const auto counts = DecodeCounts(EncodeCounts(MakeMessage()));
  REQUIRE(counts.ok());
  CHECK(*counts == MakeMessage());
  const auto holder = DecodeHolder(EncodeHolder({ "r1", 5 }));
  REQUIRE(holder.ok());
  CHECK(*holder == Holder{ "r1", 5 });
  const auto receipt = DecodeReceipt(EncodeReceipt({ 42 }));
  REQUIRE(receipt.ok());
  CHECK(receipt->m_decidedThrough == 42);
  const CustomerCounts content{ { "cuka", 412 }, { "\"\n", UINT32_MAX } };
  const auto decoded = DecodeContent(EncodeContent(content));
  REQUIRE(decoded.ok());
  CHECK(*decoded == content);
}

// Guards against reads beyond the end, and against counts that allocate much
// memory.
TEST_CASE("truncated and damaged messages are rejected or decoded in bounds")
{
  const std::string encoded = EncodeCounts(MakeMessage());
  for (size_t size = 0; size < encoded.size(); ++size) {
    CHECK_FALSE(DecodeCounts(encoded.substr(0, size)).ok());
  }
  for (size_t i = 0; i < encoded.size(); ++i) {
    std::string damaged = encoded;
    damaged[i] = static_cast<char>(0xff);
    const auto message = DecodeCounts(damaged);
    CHECK((!message.ok() || message->m_windows.size() <= kMaxWindows));
  }
  CHECK_FALSE(DecodeHolder("").ok());
}

// Guards against a content that is sent although it is not a count.
TEST_CASE("contents that are not counts by customer are rejected")
{
  for (const std::string_view text : { "",
                                       "[]",
                                       "{}",
                                       R"({"customers":[]})",
                                       R"({"customers":{"c":"1"}})",
                                       R"({"customers":{"c":-1}})",
                                       R"({"customers":{"c":1.5}})" }) {
    INFO(text);
    CHECK_FALSE(DecodeContent(text).ok());
  }
}

} // namespace heatherdeal::usage
