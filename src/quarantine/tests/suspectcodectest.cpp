#include "quarantine/internal/suspectcodec.h"

#include <random>

#include "catch2/catch.hpp"

namespace heatherdeal::quarantine {

namespace {

using std::chrono::milliseconds;

const core::Instant kNow(std::chrono::hours(1));
constexpr size_t kAmpleBytes = 10'000;

std::vector<SuspectReport>
MakeReports()
{
  SuspectReport full{ { 7 }, {}, kNow - milliseconds(1500) };
  for (uint64_t upstream = 0; upstream < kMaxCrashesPerReport; ++upstream) {
    full.m_crashes.push_back(
      { { upstream }, kNow - milliseconds(upstream), upstream % 2 == 0 });
  }
  return { full, { { 8 }, { { { 3 }, kNow, false } }, std::nullopt } };
}

} // namespace

TEST_CASE("reports decode to themselves, with times as their age")
{
  const auto reports = MakeReports();
  const std::string bytes = EncodeReports(reports, kAmpleBytes, kNow);
  const auto decoded = DecodeReports(bytes, kNow);
  REQUIRE(decoded.ok());
  CHECK(*decoded == reports);
  const core::Instant later = kNow + milliseconds(40);
  const auto delayed = DecodeReports(bytes, later);
  REQUIRE(delayed.ok());
  CHECK(delayed->back().m_crashes.front().m_observedAt == later);
}

TEST_CASE("an encoding has as many reports as fit")
{
  const auto reports = MakeReports();
  const size_t all = EncodeReports(reports, kAmpleBytes, kNow).size();
  CHECK(EncodeReports(reports, all, kNow).size() == all);
  const std::string first = EncodeReports(reports, all - 1, kNow);
  const auto decoded = DecodeReports(first, kNow);
  REQUIRE(decoded.ok());
  CHECK(decoded->size() == 1);
  CHECK(EncodeReports(reports, 10, kNow).empty());
  CHECK(EncodeReports({}, kAmpleBytes, kNow).empty());
}

TEST_CASE("truncated, oversized and random reports are rejected")
{
  const std::string bytes = EncodeReports(MakeReports(), kAmpleBytes, kNow);
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeReports(bytes.substr(0, size), kNow).ok());
  }
  auto tooMany = MakeReports();
  tooMany[0].m_crashes.push_back({ { 99 }, kNow, false });
  CHECK_FALSE(
    DecodeReports(EncodeReports(tooMany, kAmpleBytes, kNow), kNow).ok());
  std::mt19937_64 random(3);
  for (int iteration = 0; iteration < 20'000; ++iteration) {
    std::string noise(random() % 100, '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random());
    }
    const auto reports = DecodeReports(noise, kNow);
    CHECK((!reports.ok() || reports->size() <= 64));
  }
}

} // namespace heatherdeal::quarantine
