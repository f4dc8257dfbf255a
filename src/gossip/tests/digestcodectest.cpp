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
  for (size_t i = 0; i < kMaxMissedChangesPerDigest; ++i) {
    digest.m_missedChanges.push_back({ std::string(kMaxNameBytes, 'k'), i });
  }
  return digest;
}

} // namespace

TEST_CASE("the largest digest fits into a frame and decodes to itself")
{
  const Digest digest = FullDigest();
  const auto bytes = Encode(digest);
  CHECK(bytes.size() + 18 <= protocol::kMaxFrameBytes);
  const auto decoded = Decode(bytes);
  REQUIRE(decoded.ok());
  CHECK(*decoded == digest);
}

TEST_CASE("a digest truncated at any byte is rejected")
{
  Digest digest = FullDigest();
  const size_t sizeWithoutTopics = Encode(digest).size();
  digest.m_topicMessages = { { "quarantine", "payload" }, { "limits", "" } };
  const auto bytes = Encode(digest);
  for (size_t size = 0; size < bytes.size(); ++size) {
    // A digest without topic messages is complete, too.
    CHECK(Decode(std::span(bytes).first(size)).ok() ==
          (size == sizeWithoutTopics));
  }
  const auto decoded = Decode(bytes);
  REQUIRE(decoded.ok());
  CHECK(*decoded == digest);
}

TEST_CASE("a topic message above its limit is rejected")
{
  Digest digest;
  digest.m_topicMessages = { { "quarantine",
                               std::string(kMaxTopicBytes + 1, 'x') } };
  CHECK_FALSE(Decode(Encode(digest)).ok());
  digest.m_topicMessages.assign(kMaxTopicMessagesPerDigest + 1, { "a", "b" });
  CHECK_FALSE(Decode(Encode(digest)).ok());
}

TEST_CASE("counts and lengths above their limits are rejected")
{
  auto bytes = Encode(FullDigest());
  auto invalidHostCount = bytes;
  invalidHostCount[1] = std::byte{ 255 };
  CHECK_FALSE(Decode(invalidHostCount).ok());
  auto invalidNameLength = bytes;
  invalidNameLength[2] = std::byte{ 255 };
  CHECK_FALSE(Decode(invalidNameLength).ok());
}

TEST_CASE("the decoder handles random bytes without crashing")
{
  std::mt19937_64 random(3);
  for (int iteration = 0; iteration < 20'000; ++iteration) {
    std::vector<std::byte> bytes(random() % 200);
    for (std::byte& byte : bytes) {
      byte = static_cast<std::byte>(random());
    }
    const auto digest = Decode(bytes);
    CHECK((!digest.ok() || digest->m_hosts.size() <= kMaxHostsPerDigest));
  }
}

} // namespace heatherdeal::gossip
