#include "limits/internal/limitcodec.h"

#include <cmath>
#include <random>

#include "catch2/catch.hpp"

namespace heatherdeal::limits {

namespace {

using std::chrono::milliseconds;

const core::Instant kNow(std::chrono::hours(1));
constexpr size_t kAmpleBytes = 10'000;

LimitMessage
MakeFullMessage()
{
  LimitMessage message;
  for (uint64_t i = 0; i < kMaxLimitsPerMessage; ++i) {
    message.m_limits.push_back(
      { { i }, { 0.3 * static_cast<double>(i), kNow - milliseconds(i) } });
  }
  message.m_limits.front().m_limit.m_requestsPerSecond.reset();
  for (uint64_t i = 0; i < kMaxDemandsPerMessage; ++i) {
    message.m_demands.push_back({ { i, 2 * i }, { 1.5, kNow } });
  }
  return message;
}

} // namespace

TEST_CASE("a message decodes to itself")
{
  const LimitMessage message = MakeFullMessage();
  const auto decoded =
    DecodeMessage(EncodeMessage(message, kAmpleBytes, kNow), kNow);
  REQUIRE(decoded.ok());
  CHECK(*decoded == message);
}

TEST_CASE("a message is shortened to the room that there is")
{
  const LimitMessage message = MakeFullMessage();
  for (size_t room = 0; room < 900; ++room) {
    const std::string bytes = EncodeMessage(message, room, kNow);
    CHECK(bytes.size() <= room);
    const auto decoded = DecodeMessage(bytes, kNow);
    CHECK((bytes.empty() || decoded.ok()));
  }
  CHECK(EncodeMessage({}, kAmpleBytes, kNow).empty());
}

TEST_CASE("truncated, invalid and random messages are rejected")
{
  const std::string bytes = EncodeMessage(MakeFullMessage(), kAmpleBytes, kNow);
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeMessage(bytes.substr(0, size), kNow).ok());
  }
  for (const double rate : { -1.0, std::nan(""), HUGE_VAL }) {
    const LimitMessage invalid{ { { { 1 }, { rate, kNow } } }, {} };
    CHECK_FALSE(
      DecodeMessage(EncodeMessage(invalid, kAmpleBytes, kNow), kNow).ok());
  }
  std::mt19937_64 random(3);
  for (int iteration = 0; iteration < 20'000; ++iteration) {
    std::string noise(random() % 200, '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random());
    }
    const auto message = DecodeMessage(noise, kNow);
    CHECK((!message.ok() || message->m_limits.size() <= kMaxLimitsPerMessage));
  }
}

} // namespace heatherdeal::limits
