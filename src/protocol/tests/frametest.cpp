#include "protocol/frame.h"

#include "catch2/catch.hpp"

namespace heatherdeal::protocol {

namespace {

const KeyRing kKeys{ 2,
                     { { 1, "an older secret key" },
                       { 2, "the live key....." } } };

std::vector<std::byte>
MakePayload(size_t aSize)
{
  return std::vector<std::byte>(aSize, std::byte{ 7 });
}

} // namespace

TEST_CASE("a frame signed with any configured key decodes to its payload")
{
  KeyRing olderKeyActive = kKeys;
  olderKeyActive.m_activeKey = 1;
  for (const KeyRing& senderKeys : { kKeys, olderKeyActive }) {
    const auto frame = EncodeFrame(senderKeys, MakePayload(40));
    const auto payload = DecodeFrame(kKeys, frame);
    REQUIRE(payload.ok());
    CHECK(std::ranges::equal(*payload, MakePayload(40)));
  }
}

TEST_CASE("truncated, malformed and wrongly signed frames are rejected")
{
  const auto validFrame = EncodeFrame(kKeys, MakePayload(40));
  struct Case
  {
    const char* m_name;
    std::vector<std::byte> m_frame;
  };
  std::vector<Case> cases{
    { "empty", {} },
    { "truncated header", { validFrame.begin(), validFrame.begin() + 17 } },
    { "truncated payload", { validFrame.begin(), validFrame.end() - 1 } },
    { "oversized", MakePayload(kMaxFrameBytes + 1) },
  };
  for (size_t i = 0; i < validFrame.size(); i += 3) {
    auto corrupted = validFrame;
    corrupted[i] ^= std::byte{ 0x10 };
    cases.push_back({ "flipped bit", corrupted });
  }
  auto extended = validFrame;
  extended.push_back(std::byte{ 0 });
  cases.push_back({ "trailing byte", extended });
  const KeyRing otherSecret{ 2, { { 2, "another secret..." } } };
  cases.push_back({ "same key number, different secret",
                    EncodeFrame(otherSecret, MakePayload(40)) });
  for (const Case& c : cases) {
    INFO(c.m_name);
    CHECK(DecodeFrame(kKeys, c.m_frame).status().code() ==
          absl::StatusCode::kInvalidArgument);
  }
}

} // namespace heatherdeal::protocol
