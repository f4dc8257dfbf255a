#include "usage/reporting.h"

#include <random>
#include <set>

#include "catch2/catch.hpp"

namespace heatherdeal::usage {

namespace {

constexpr int64_t kWindow = 5000;
constexpr int64_t kStart = 100 * kWindow;

using std::chrono::milliseconds;

Moment
At(int64_t aMilliseconds)
{
  return { core::Instant(milliseconds(aMilliseconds)), kStart + aMilliseconds };
}

template<typename Effect>
std::vector<Effect>
Take(const std::vector<ReportingEffect>& aEffects)
{
  std::vector<Effect> taken;
  for (const ReportingEffect& effect : aEffects) {
    if (const auto* typed = std::get_if<Effect>(&effect)) {
      taken.push_back(*typed);
    }
  }
  return taken;
}

/// A holder whose effects are carried out by the test.
struct TestHolder
{
  ReportingState m_state;

  std::vector<ReportingEffect> Handle(const ReportingEvent& aEvent,
                                      int64_t aMilliseconds)
  {
    std::vector<ReportingEffect> effects;
    Apply(m_state, aEvent, At(aMilliseconds), effects);
    return effects;
  }
  std::vector<ReportingEffect> Tick(int64_t aMilliseconds)
  {
    return Handle(ReportingDue{ { "a" } }, aMilliseconds);
  }
  /// Takes the duty. By default, the window before the tested one is stored.
  void Take(int64_t aMilliseconds,
            std::map<WindowId, CustomerCounts> aContents = { { 99, {} } })
  {
    Handle(DutyGranted{ 1, std::nullopt }, aMilliseconds);
    Handle(ContentsListed{ std::move(aContents) }, aMilliseconds);
  }
  void Receive(uint64_t aCount, WindowId aFinal, int64_t aMilliseconds)
  {
    Handle(
      CountsReceived{ { "a", 1, 1, aFinal, { { 100, { { "c", aCount } } } } } },
      aMilliseconds);
  }
};

} // namespace

TEST_CASE("a window is written once its counts are final, then sent")
{
  TestHolder holder;
  holder.Take(0);
  holder.Receive(7, 99, 4000);
  CHECK(Take<CreateContent>(holder.Tick(6000)).empty());
  holder.Receive(9, 100, 8100);
  const auto writes = Take<CreateContent>(holder.Tick(8200));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_window == 100);
  CHECK(writes[0].m_counts == CustomerCounts{ { "c", 9 } });
  CHECK_FALSE(writes[0].m_isPartial);
  // Nothing is sent before the store has the content.
  CHECK(Take<SendReport>(holder.Tick(8300)).empty());
  const auto sends =
    Take<SendReport>(holder.Handle(ContentStored{ 100, { { "c", 9 } } }, 8400));
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].m_epoch == 1);
  holder.Handle(SendAccepted{ 100 }, 8500);
  CHECK(Take<SendReport>(holder.Tick(60'000)).empty());
  CHECK(DecidedThrough(holder.m_state) >= 100);
}

TEST_CASE("a window without final counts is closed in time for its report")
{
  TestHolder holder;
  holder.Take(0);
  holder.Receive(7, 99, 4000);
  CHECK(Take<CreateContent>(holder.Tick(11'900)).empty());
  const auto writes = Take<CreateContent>(holder.Tick(12'000));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_isPartial);
}

// Guards against an empty report of a holder that no host knows yet.
TEST_CASE("a holder that has heard of no counts reports nothing")
{
  TestHolder holder;
  holder.Take(0);
  for (int64_t now = 0; now < 90'000; now += 200) {
    REQUIRE(Take<CreateContent>(holder.Tick(now)).empty());
  }
}

TEST_CASE("a window in which nobody counted is reported with empty counts")
{
  TestHolder holder;
  holder.Take(0);
  holder.Handle(CountsReceived{ { "a", 1, 1, 100, {} } }, 8100);
  const auto writes = Take<CreateContent>(holder.Tick(8200));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_counts.empty());
}

// Guards against two contents of a window after a takeover.
TEST_CASE("the content that the store holds is sent, not the own one")
{
  TestHolder holder;
  holder.Take(0);
  holder.Receive(9, 100, 8100);
  REQUIRE(Take<CreateContent>(holder.Tick(8200)).size() == 1);
  const auto sends =
    Take<SendReport>(holder.Handle(ContentStored{ 100, { { "c", 4 } } }, 8400));
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].m_counts == CustomerCounts{ { "c", 4 } });
}

TEST_CASE("a write whose outcome is unknown is repeated with the same content")
{
  TestHolder holder;
  holder.Take(0);
  holder.Receive(9, 100, 8100);
  REQUIRE(Take<CreateContent>(holder.Tick(8200)).size() == 1);
  holder.Receive(12, 100, 8300);
  CHECK(holder.Handle(ContentUnknown{ 100 }, 8400).empty());
  const auto writes = Take<CreateContent>(holder.Tick(8900));
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_counts == CustomerCounts{ { "c", 9 } });
}

// Guards against a busy loop while the service does not answer, and against
// using up its rate limit.
TEST_CASE("a failed report is repeated with the same content after a delay")
{
  TestHolder holder;
  holder.Take(0, { { 100, { { "c", 9 } } } });
  holder.Handle(SendFailed{ 100 }, 4990);
  size_t sends = 0;
  for (int64_t now = 5000; now < 15'000; now += 10) {
    for (const SendReport& send : Take<SendReport>(holder.Tick(now))) {
      CHECK(send.m_counts == CustomerCounts{ { "c", 9 } });
      sends += 1;
      holder.Handle(SendFailed{ send.m_window }, now);
    }
  }
  CHECK(sends >= 10);
  CHECK(sends <= 25);
}

TEST_CASE("after a rejected fencing token nothing is sent with it any more")
{
  TestHolder holder;
  const auto sends = [&] {
    holder.Handle(DutyGranted{ 1, std::nullopt }, 9000);
    return Take<SendReport>(
      holder.Handle(ContentsListed{ { { { 99, {} }, { 100, {} } } } }, 9000));
  }();
  REQUIRE(sends.size() == 1);
  CHECK(Take<ResignDuty>(holder.Handle(SendFenced{ 99, 1 }, 9100)).size() == 1);
  CHECK(Take<SendReport>(holder.Tick(20'000)).empty());
  holder.Handle(DutyLost{}, 20'100);
  holder.Handle(DutyGranted{ 2, std::nullopt }, 21'000);
  CHECK(Take<SendReport>(
          holder.Handle(ContentsListed{ { { { 100, {} } } } }, 21'000))
          .size() == 1);
  // A late response to the old token does not stop the new one.
  CHECK(Take<ResignDuty>(holder.Handle(SendFenced{ 100, 1 }, 21'100)).empty());
}

// Guards against holders that alternate within the lease duration, where the
// service does not check fencing tokens.
TEST_CASE("a new holder waits for its predecessor if fences are not checked")
{
  TestHolder holder;
  holder.m_state.m_policy.m_serviceChecksFences = false;
  holder.Handle(DutyGranted{ 2, At(9500).m_now }, 9000);
  holder.Handle(ContentsListed{ { { { 100, {} } } } }, 9000);
  CHECK(Take<SendReport>(holder.Tick(12'400)).empty());
  CHECK(Take<SendReport>(holder.Tick(12'500)).size() == 1);
}

TEST_CASE("contents are removed long after they matter, and never sent then")
{
  TestHolder holder;
  holder.Take(0, { { 70, {} }, { 50, {} } });
  const auto effects = holder.Tick(100);
  CHECK(Take<SendReport>(effects).empty());
  // Window 50 was 245 s ago; window 70 145 s.
  const auto listed = [&] {
    TestHolder other;
    other.Handle(DutyGranted{ 1, std::nullopt }, 0);
    return Take<RemoveContent>(
      other.Handle(ContentsListed{ { { { 70, {} }, { 50, {} } } } }, 0));
  }();
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].m_window == 50);
  CHECK(Take<RemoveContent>(holder.Tick(40'000)).size() == 1);
}

TEST_CASE("a window older than the retention never gets a content")
{
  TestHolder holder;
  holder.Take(0);
  holder.Receive(9, 99, 8100);
  holder.m_state.m_policy.m_decideWithinMilliseconds = 100'000;
  for (int64_t now = 8200; now < 66'000; now += 200) {
    holder.Tick(now);
  }
  holder.Receive(9, 200, 66'000);
  for (const CreateContent& write : Take<CreateContent>(holder.Tick(66'100))) {
    CHECK(write.m_window != 100);
  }
}

// Guards against log lines for each old window at each takeover.
TEST_CASE("a new holder gives up windows that nobody remembers without a word")
{
  TestHolder holder;
  holder.Take(0, { { 70, {} }, { 99, {} } });
  size_t givenUp = Take<GiveUpWindow>(holder.Tick(100)).size();
  holder.Receive(9, 100, 8100);
  for (int64_t now = 8200; now < 20'000; now += 200) {
    givenUp += Take<GiveUpWindow>(holder.Tick(now)).size();
  }
  CHECK(givenUp == 0);
  CHECK(DecidedThrough(holder.m_state) == 99);
}

// Guards against deadlines in the past, which would make the timer spin.
TEST_CASE("the next deadline is in the future")
{
  TestHolder holder;
  CHECK_FALSE(NextDeadline(holder.m_state, At(0)).has_value());
  holder.Take(0, { { 99, {} } });
  for (int64_t now = 0; now < 30'000; now += 37) {
    holder.Tick(now);
    const auto deadline = NextDeadline(holder.m_state, At(now));
    REQUIRE(deadline.has_value());
    CHECK(*deadline > At(now).m_now);
    CHECK(*deadline <= At(now + 10'000).m_now);
  }
}

} // namespace heatherdeal::usage
