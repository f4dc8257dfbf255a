#include "gossip/internal/digestcodec.h"

#include <random>

#include "catch2/catch.hpp"

#include "protocol/frame.h"

namespace heatherdeal::gossip {

namespace {

Digest
FullDigest()
{
  Digest digest;
  for (size_t i = 0; i < kMaxHostsPerDigest; ++i) {
    digest.m_hosts.push_back(
      { std::string(kMaxNameBytes, 'h'), i, 2 * i, i % 2 == 0, 7 });
  }
  for (size_t i = 0; i < kMaxVersionsPerDigest; ++i) {
    digest.m_versions.push_back({ "weights", { i } });
  }
  for (size_t i = 0; i < kMaxKindsPerDigest; ++i) {
    digest.m_kinds.push_back({ std::string(kMaxNameBytes, 'k'), i });
  }
  return digest;
}

} // namespace

TEST_CASE("the largest digest fits into a frame and decodes to itself")
{
  const Digest digest = FullDigest();
  const auto bytes = Encode(digest);
  CHECK(bytes.size() + 18 <= protocol::kMaxFrameBytes);
  const auto back = Decode(bytes);
  REQUIRE(back.ok());
  CHECK(*back == digest);
}

TEST_CASE("a digest truncated at any byte is rejected")
{
  const auto bytes = Encode(FullDigest());
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(Decode(std::span(bytes).first(size)).ok());
  }
}

TEST_CASE("counts and lengths above their limits are rejected")
{
  auto bytes = Encode(FullDigest());
  auto hosts = bytes;
  hosts[1] = std::byte{ 255 };
  CHECK_FALSE(Decode(hosts).ok());
  auto name = bytes;
  name[2] = std::byte{ 255 };
  CHECK_FALSE(Decode(name).ok());
}

TEST_CASE("the decoder handles random bytes without crashing")
{
  std::mt19937_64 random(3);
  for (int run = 0; run < 20'000; ++run) {
    std::vector<std::byte> bytes(random() % 200);
    for (std::byte& byte : bytes) {
      byte = static_cast<std::byte>(random());
    }
    const auto digest = Decode(bytes);
    CHECK((!digest.ok() || digest->m_hosts.size() <= kMaxHostsPerDigest));
  }
}

} // namespace heatherdeal::gossip
