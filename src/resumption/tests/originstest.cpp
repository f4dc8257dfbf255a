#include "resumption/origins.h"

#include "catch2/catch.hpp"

#include "resumption/internal/originjson.h"

namespace heatherdeal::resumption {

namespace {

using std::chrono::seconds;

const core::Software kOld{ { "s" }, { "v1" } };
const core::Software kNew{ { "s" }, { "v2" } };
constexpr core::Instant kNow{ seconds(100) };

StreamOrigin
MakeOrigin(std::string_view aStream,
           const core::Software& aSoftware,
           core::Instant aExpiresAt = kNow + kOriginLifetime)
{
  return { { std::string(aStream) }, aSoftware, aExpiresAt };
}

} // namespace

TEST_CASE("an origin is known until it expires")
{
  OriginTable table;
  AddOrigin(table, MakeOrigin("a", kOld), kNow);
  CHECK(FindSoftware(table, { "a" }, kNow) == kOld);
  CHECK(FindSoftware(table, { "b" }, kNow) == std::nullopt);
  CHECK(FindSoftware(table, { "a" }, kNow + kOriginLifetime) == std::nullopt);
}

// Guards against a stream that goes on at the wrong one of two versions.
TEST_CASE("a stream that began at two versions cannot be resumed at either")
{
  OriginTable table;
  AddOrigin(table, MakeOrigin("a", kOld), kNow);
  AddOrigin(table, MakeOrigin("a", kNew), kNow);
  AddOrigin(table, MakeOrigin("a", kNew), kNow);
  CHECK(FindSoftware(table, { "a" }, kNow) == std::nullopt);
}

TEST_CASE("the number of origins is bounded, and the newest are kept")
{
  OriginTable table;
  for (int i = 0; i < 10'000; ++i) {
    AddOrigin(table, MakeOrigin(std::to_string(i), kOld), kNow);
  }
  CHECK(table.m_byStream.size() == table.m_order.size());
  CHECK(table.m_byStream.size() < 5'000);
  CHECK(FindSoftware(table, { "9999" }, kNow) == kOld);
  CHECK(FindSoftware(table, { "0" }, kNow) == std::nullopt);
}

TEST_CASE("origins of two hosts are merged without those that have expired")
{
  const std::vector<StreamOrigin> stored{
    MakeOrigin("a", kOld),
    MakeOrigin("b", kOld, kNow),
    MakeOrigin("c", kOld),
  };
  const std::vector<StreamOrigin> own{ MakeOrigin("c", kNew),
                                       MakeOrigin("d", kNew) };
  const std::vector<StreamOrigin> merged = MergeOrigins(stored, own, kNow);
  REQUIRE(merged.size() == 3);
  CHECK(merged[0].m_software == kOld);
  CHECK(merged[1].m_stream == StreamId{ "c" });
  CHECK(merged[1].m_software == std::nullopt);
  CHECK(merged[2].m_software == kNew);
}

TEST_CASE("stored origins are read back, and malformed ones are invalid input")
{
  const std::vector<StreamOrigin> origins{ MakeOrigin("a", kOld),
                                           { { "b" }, {}, kNow + seconds(9) } };
  const auto read = ParseOrigins(ToJson(origins, kNow), kNow);
  REQUIRE(read.ok());
  REQUIRE(read->size() == 2);
  CHECK(read->at(0).m_software == kOld);
  CHECK(read->at(1).m_software == std::nullopt);
  CHECK(read->at(1).m_expiresAt <= kNow + seconds(9));
  for (const std::string_view text :
       { "", "[]", R"({"streams":[{}]})", R"({"streams":[{"stream":7}]})" }) {
    INFO(text);
    CHECK_FALSE(ParseOrigins(text, kNow).ok());
  }
}

// Guards against a host whose streams can't be resumed elsewhere, because one
// of its upstreams names no version of its software.
TEST_CASE("origins with empty names are read back")
{
  const std::vector<StreamOrigin> origins{
    MakeOrigin("", { { "" }, { "" } }), MakeOrigin("b", { { "s" }, { "" } })
  };
  const auto read = ParseOrigins(ToJson(origins, kNow), kNow);
  REQUIRE(read.ok());
  REQUIRE(read->size() == 2);
  CHECK(read->at(1).m_software == origins[1].m_software);
}

} // namespace heatherdeal::resumption
