#include "protocol/frame.h"

#include "catch2/catch.hpp"

namespace heatherdeal::protocol {

namespace {

const KeyRing kKeys{ 2,
                     { { 1, "an older secret key" },
                       { 2, "the live key....." } } };

std::vector<std::byte>
Payload(size_t aSize)
{
  return std::vector<std::byte>(aSize, std::byte{ 7 });
}

} // namespace

TEST_CASE("a frame signed with any configured key decodes to its payload")
{
  KeyRing older = kKeys;
  older.m_active = 1;
  for (const KeyRing& sender : { kKeys, older }) {
    const auto frame = Seal(sender, Payload(40));
    const auto payload = Open(kKeys, frame);
    REQUIRE(payload.ok());
    CHECK(std::ranges::equal(*payload, Payload(40)));
  }
}

TEST_CASE("truncated, malformed and wrongly signed frames are rejected")
{
  const auto good = Seal(kKeys, Payload(40));
  struct Case
  {
    const char* m_name;
    std::vector<std::byte> m_frame;
  };
  std::vector<Case> cases{
    { "empty", {} },
    { "truncated header", { good.begin(), good.begin() + 17 } },
    { "truncated payload", { good.begin(), good.end() - 1 } },
    { "oversized", Payload(kMaxFrameBytes + 1) },
  };
  for (size_t i = 0; i < good.size(); i += 3) {
    auto changed = good;
    changed[i] ^= std::byte{ 0x10 };
    cases.push_back({ "flipped bit", changed });
  }
  auto longer = good;
  longer.push_back(std::byte{ 0 });
  cases.push_back({ "trailing byte", longer });
  const KeyRing stranger{ 2, { { 2, "another secret..." } } };
  cases.push_back(
    { "same key number, different secret", Seal(stranger, Payload(40)) });
  for (const Case& c : cases) {
    INFO(c.m_name);
    CHECK(Open(kKeys, c.m_frame).status().code() ==
          absl::StatusCode::kInvalidArgument);
  }
}

} // namespace heatherdeal::protocol
