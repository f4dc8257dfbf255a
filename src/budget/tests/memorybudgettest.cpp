#include "budget/memorybudget.h"

#include <array>

#include "catch2/catch.hpp"

namespace heatherdeal::budget {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kMegabyte = 1'000'000;
constexpr uint64_t kMebibyte = 1024ULL * 1024;
constexpr core::Instant kNow{ std::chrono::hours(1) };

ConnectionState
MakeState(uint64_t aId,
          ConnectionActivity aActivity,
          core::Duration aAge,
          core::Duration aSilence,
          uint64_t aProgressBytes)
{
  return { aId, aActivity, kNow - aAge, kNow - aSilence, aProgressBytes, 1 };
}

} // namespace

// Guards against a budget that refuses the largest legal body, also chunked, on
// the smallest machine, and against one that exceeds the machine.
TEST_CASE("the limits of a machine leave room for one body of the largest size")
{
  for (const uint64_t megabytes : { 160, 256, 290, 512 }) {
    const BudgetLimits limits = DeriveLimits({ megabytes * kMegabyte, 4100 });
    CHECK(limits.m_maxLargeBytes >= CostOfBody(32 * kMebibyte, true, 1));
    CHECK(limits.m_maxLargeBytes >= CostOfBody(32 * kMebibyte, false, 1));
    CHECK(limits.m_maxBytes <= megabytes * kMegabyte * 2 / 3);
    CHECK(limits.m_maxLargeBytes < limits.m_maxBytes);
    CHECK(limits.m_maxConnections <= 4100 - 200);
    CHECK(limits.m_maxIncoming < limits.m_maxConnections);
  }
  // Tiny machines still serve something.
  CHECK(DeriveLimits({ 1, 1 }).m_maxBytes > kMegabyte);
  CHECK(DeriveLimits({ 1, 1 }).m_maxIncoming > 0);
}

// Guards against defaults under which no idle connection is kept.
TEST_CASE("idle connections to peers are pooled within their share only")
{
  BudgetUsage usage;
  usage.m_outgoing = 100;
  CHECK(MayPoolOutgoing({}, usage));
  const BudgetLimits limits = DeriveLimits({ 160 * kMegabyte, 400 });
  CHECK_FALSE(MayPoolOutgoing(limits, usage));
  usage.m_outgoing = limits.m_maxConnections - limits.m_maxIncoming;
  CHECK(MayPoolOutgoing(limits, usage));
}

// Guards against large bodies that leave no room for ordinary requests.
TEST_CASE("large bodies cannot take the share of ordinary ones")
{
  BudgetLimits limits;
  limits.m_maxBytes = 10 * kMebibyte;
  limits.m_maxLargeBytes = 8 * kMebibyte;
  const auto full = ResizeReservation(limits, {}, 0, 8 * kMebibyte);
  REQUIRE(full);
  CHECK_FALSE(ResizeReservation(limits, *full, 0, kOrdinaryBytes + 1));
  const auto ordinary = ResizeReservation(limits, *full, 0, kOrdinaryBytes);
  REQUIRE(ordinary);
  CHECK(ordinary->m_largeBytes == full->m_largeBytes);
  // A reservation can always shrink, and all of it comes back.
  const auto back = ResizeReservation(limits, *ordinary, 8 * kMebibyte, 0);
  REQUIRE(back);
  CHECK(back->m_bytes == kOrdinaryBytes);
  CHECK(back->m_largeBytes == 0);
}

// Guards against a body that is ended although it arrives steadily, and against
// one that stopped just short of its end and stays.
TEST_CASE("the stalled transfer with the least progress gives way")
{
  const std::array<ConnectionState, 5> states{
    MakeState(1, ReadingRequest{}, seconds(2), milliseconds(10), 10'000'000),
    MakeState(2, ReadingRequest{}, seconds(2), seconds(1), 8'000'000),
    MakeState(3, ReadingRequest{}, seconds(4), seconds(1), 8'000'000),
    MakeState(4, RunningRequest{}, seconds(9), seconds(9), 0),
    MakeState(5, AwaitingRequest{}, seconds(9), seconds(9), 0),
  };
  CHECK(ChooseToFreeBytes(states, kNow) == 3);
  CHECK_FALSE(ChooseToFreeBytes(std::span(states).first(1), kNow));
  CHECK_FALSE(ChooseToFreeBytes(std::span(states).subspan(3), kNow));
}

TEST_CASE("a transfer that trickles is stalled, a new one is not")
{
  const std::array<ConnectionState, 2> states{
    MakeState(1, WritingResponse{}, seconds(3), milliseconds(1), 3000),
    MakeState(2, ReadingRequest{}, milliseconds(100), milliseconds(100), 0),
  };
  CHECK(ChooseToFreeBytes(states, kNow) == 1);
  CHECK_FALSE(ChooseToFreeBytes(std::span(states).subspan(1), kNow));
}

TEST_CASE("the connection that is idle for the longest time gives way first")
{
  const std::array<ConnectionState, 4> states{
    MakeState(1, ReadingRequest{}, seconds(9), seconds(9), 0),
    MakeState(2, AwaitingRequest{}, seconds(1), seconds(1), 0),
    MakeState(3, AwaitingRequest{}, seconds(2), seconds(2), 0),
    MakeState(4, RunningRequest{}, seconds(9), seconds(9), 0),
  };
  CHECK(ChooseToFreeDescriptor(states, kNow) == 3);
  CHECK(ChooseToFreeDescriptor(std::span(states).first(1), kNow) == 1);
  CHECK_FALSE(ChooseToFreeDescriptor(std::span(states).subspan(3), kNow));
}

} // namespace heatherdeal::budget
