#include "catch2/catch.hpp"

#include "usage/collection.h"
#include "usage/countsending.h"

namespace heatherdeal::usage {

namespace {

constexpr int64_t kWindow = 5000;

CountMessage
MakeMessage(std::string aHost, uint64_t aRun, uint64_t aCount, WindowId aFinal)
{
  return { std::move(aHost), aRun, 1, aFinal, { { 10, { { "c", aCount } } } } };
}

} // namespace

TEST_CASE("a start is counted in the window that contains it")
{
  WindowCounts counts;
  CountStart(counts, "c", 10 * kWindow);
  CountStart(counts, "c", 11 * kWindow - 1);
  CountStart(counts, "c", 11 * kWindow);
  CHECK(counts.m_windows.at(10).m_counts.at("c") == 2);
  CHECK(counts.m_windows.at(11).m_counts.at("c") == 1);
  CHECK(EndOf(10, kWindow) == 11 * kWindow);
}

// Guards against memory that grows while no holder takes the counts.
TEST_CASE("windows and customers are bounded, and what is not counted is told")
{
  WindowCounts counts;
  for (WindowId window = 0; window < 2 * kMaxWindows; ++window) {
    CountStart(counts, "c", static_cast<int64_t>(window) * kWindow);
  }
  CHECK(counts.m_windows.size() == kMaxWindows);
  CHECK(counts.m_uncountedStarts == kMaxWindows);
  for (size_t i = 0; i < 2 * kMaxCustomersPerWindow; ++i) {
    CountStart(counts, std::to_string(i), 0);
  }
  CHECK(counts.m_windows.at(0).m_counts.size() == kMaxCustomersPerWindow);
  RetainWindows(counts, 4, 6);
  CHECK(counts.m_windows.size() == 3);
  CountStart(counts, "c", 0);
  CHECK(counts.m_windows.size() == 3);
}

// Guards against counts that are added twice when a message is repeated, and
// against a late message that undoes a newer one.
TEST_CASE("repeated and late messages of a run do not change the sum")
{
  Collection collection;
  AddMessage(collection, MakeMessage("a", 1, 5, 9), 0, 20);
  AddMessage(collection, MakeMessage("a", 1, 8, 9), 0, 20);
  AddMessage(collection, MakeMessage("a", 1, 8, 9), 0, 20);
  AddMessage(collection, MakeMessage("a", 1, 5, 9), 0, 20);
  CHECK(MergeCounts(collection, 10) == CustomerCounts{ { "c", 8 } });
}

// Guards against a restart that hides what the host counted before it.
TEST_CASE("the counts of two runs of a host are added")
{
  Collection collection;
  AddMessage(collection, MakeMessage("a", 1, 5, 9), 0, 20);
  AddMessage(collection, MakeMessage("a", 2, 3, 10), 0, 20);
  AddMessage(collection, MakeMessage("b", 1, 1, 10), 0, 20);
  CHECK(MergeCounts(collection, 10) == CustomerCounts{ { "c", 9 } });
}

TEST_CASE("a window is final once the newest run of each host says so")
{
  Collection collection;
  const std::vector<std::string> hosts{ "a", "b" };
  CHECK_FALSE(IsFinal(collection, {}, 10));
  AddMessage(collection, MakeMessage("a", 1, 5, 10), 0, 20);
  CHECK_FALSE(IsFinal(collection, hosts, 10));
  AddMessage(collection, MakeMessage("b", 1, 5, 10), 0, 20);
  CHECK(IsFinal(collection, hosts, 10));
  CHECK_FALSE(IsFinal(collection, hosts, 11));
  AddMessage(collection, MakeMessage("b", 2, 1, 9), 0, 20);
  CHECK_FALSE(IsFinal(collection, hosts, 10));
}

TEST_CASE("windows outside of the range are ignored, old runs are forgotten")
{
  Collection collection;
  AddMessage(collection, MakeMessage("a", 1, 5, 10), 11, 20);
  CHECK(MergeCounts(collection, 10).empty());
  AddMessage(collection, MakeMessage("a", 2, 5, 12), 0, 20);
  RemoveWindowsBefore(collection, 11);
  CHECK(collection.m_runs.size() == 1);
  RemoveWindowsBefore(collection, 13);
  CHECK(collection.m_runs.empty());
}

TEST_CASE("a message holds what the holder lacks, and each new final mark")
{
  WindowCounts counts;
  CountSending sending;
  CountStart(counts, "c", 10 * kWindow);
  CHECK_FALSE(PrepareMessage(sending, counts, 8).has_value());
  REQUIRE(SetHolder(sending, { "h", 3 }));
  const auto first = PrepareMessage(sending, counts, 8);
  REQUIRE(first.has_value());
  CHECK(first->m_message.m_windows.size() == 1);
  // One message is on its way at a time.
  CHECK_FALSE(PrepareMessage(sending, counts, 8).has_value());
  CountStart(counts, "c", 10 * kWindow);
  RecordReceipt(sending, *first, CountReceipt{ 5 });
  const auto second = PrepareMessage(sending, counts, 8);
  REQUIRE(second.has_value());
  CHECK(second->m_message.m_windows.at(0).m_counts.at("c") == 2);
  RecordReceipt(sending, *second, CountReceipt{ 5 });
  CHECK_FALSE(PrepareMessage(sending, counts, 8).has_value());
  CHECK(PrepareMessage(sending, counts, 9).has_value());
}

// Guards against counts that are lost with a holder that dies.
TEST_CASE("a new holder gets all windows whose content is not decided")
{
  WindowCounts counts;
  CountSending sending;
  CountStart(counts, "c", 10 * kWindow);
  CountStart(counts, "c", 11 * kWindow);
  SetHolder(sending, { "h", 3 });
  const auto sent = PrepareMessage(sending, counts, 11);
  RecordReceipt(sending, *sent, CountReceipt{ 10 });
  CHECK_FALSE(SetHolder(sending, { "old", 2 }));
  REQUIRE(SetHolder(sending, { "i", 4 }));
  const auto again = PrepareMessage(sending, counts, 11);
  REQUIRE(again.has_value());
  CHECK(again->m_message.m_epoch == 4);
  REQUIRE(again->m_message.m_windows.size() == 1);
  CHECK(again->m_message.m_windows.at(0).m_window == 11);
  // The receipt of the previous holder says nothing of the new one.
  RecordReceipt(sending, *sent, CountReceipt{ 11 });
  CHECK(sending.m_isSending);
}

} // namespace heatherdeal::usage
