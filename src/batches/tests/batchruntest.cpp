#include "batches/batchrun.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::Instant
At(int aMilliseconds)
{
  return core::Instant(milliseconds(aMilliseconds));
}

std::shared_ptr<const Submission>
MakeSubmission(size_t aItems, bool aScored = false)
{
  auto submission = std::make_shared<Submission>();
  submission->m_id.m_value = "batch";
  submission->m_weights = "w";
  submission->m_oldestAllowedVersion = { 5 };
  for (size_t i = 0; i < aItems; ++i) {
    BatchItem item;
    item.m_id.m_value = "i" + std::to_string(i);
    item.m_group = "g" + std::to_string(i / 4);
    item.m_expectedTokens = static_cast<uint32_t>(100 * i);
    if (aScored) {
      item.m_reward =
        RewardRequest{ "r" + std::to_string(i), "host", "/p/", "" };
    }
    submission->m_items.push_back(std::move(item));
  }
  return submission;
}

BatchRun
MakeTestRun(size_t aItems, bool aScored = false)
{
  BatchPolicy policy;
  policy.m_itemDeadline = At(40'000);
  return MakeBatchRun(MakeSubmission(aItems, aScored), policy);
}

RunReport
MakeReport(RunOutcome aOutcome,
           std::string aText,
           uint64_t aLast,
           uint64_t aVersion = 5)
{
  return { aOutcome, std::move(aText), aLast, { { aVersion } } };
}

/// Runs the next item, finishes it with the report and returns its index.
size_t
RunNextItem(BatchRun& aRun, RunReport aReport, core::Instant aNow)
{
  const std::optional<size_t> item = FindNextItemToStart(aRun, aNow);
  REQUIRE(item);
  const uint64_t number = StartItemRun(aRun, *item, { { "e0" }, {} });
  FinishItemRun(aRun, *item, number, std::move(aReport), aNow);
  return *item;
}

const Completed&
GetCompleted(const ItemResult& aResult)
{
  return std::get<Completed>(aResult.m_outcome);
}

} // namespace

TEST_CASE("the next owner resumes the texts of a checkpoint")
{
  BatchRun run = MakeTestRun(2);
  const uint64_t number = StartItemRun(run, 1, { { "e0" }, {} });
  AddPartialText(run, 1, number, MakeReport(RunInterrupted{}, "a\nb", 30));
  const std::optional<Checkpoint> checkpoint =
    StartNextCheckpoint(run, At(1000));
  REQUIRE(checkpoint);
  REQUIRE(checkpoint->m_texts.size() == 1);
  CHECK(!StartNextCheckpoint(run, At(9000)));
  FinishCheckpoint(run, *checkpoint, true, At(1100));
  CHECK(!StartNextCheckpoint(run, At(9000)));

  BatchRun next = MakeTestRun(2);
  CHECK(AdoptCheckpoint(next, *checkpoint) == 1);
  CHECK(next.m_items[1].m_eventCount == 30);
  RunNextItem(next, MakeReport(RunCompleted{}, "c", 31, 6), At(2000));
  const auto chunk = StartNextChunk(next, At(5000));
  REQUIRE(chunk);
  const Completed& completed = GetCompleted(chunk->m_results[0]);
  CHECK(completed.m_text == "a\nb\nc");
  CHECK(completed.m_versions ==
        std::vector<core::WeightVersion>{ { 5 }, { 6 } });
}

// Guards against a new owner that joins texts of two software versions (ORDER).
TEST_CASE("a checkpoint tells the next owner which software began a text")
{
  const core::Software software{ { "s" }, { "v1" } };
  BatchRun run = MakeTestRun(1);
  const uint64_t number = StartItemRun(run, 0, { { "e0" }, software });
  AddPartialText(run, 0, number, MakeReport(RunInterrupted{}, "a", 30));
  std::optional<Checkpoint> checkpoint = StartNextCheckpoint(run, At(1000));
  REQUIRE(checkpoint);
  SECTION("the text is bound to it")
  {
    BatchRun next = MakeTestRun(1);
    CHECK(AdoptCheckpoint(next, *checkpoint) == 1);
    CHECK(next.m_items[0].m_software == software);
  }
  SECTION("a text without a record of it is generated from the beginning")
  {
    checkpoint->m_texts[0].m_software.reset();
    BatchRun next = MakeTestRun(1);
    CHECK(AdoptCheckpoint(next, *checkpoint) == 0);
    CHECK(next.m_items[0].m_eventCount == 0);
  }
}

TEST_CASE("a checkpoint that could not be stored is retried after the interval")
{
  BatchRun run = MakeTestRun(1);
  const uint64_t number = StartItemRun(run, 0, { { "e0" }, {} });
  AddPartialText(run, 0, number, MakeReport(RunInterrupted{}, "a", 30));
  const auto checkpoint = StartNextCheckpoint(run, At(0));
  REQUIRE(checkpoint);
  FinishCheckpoint(run, *checkpoint, false, At(100));
  CHECK(!StartNextCheckpoint(run, At(200)));
  CHECK(StartNextCheckpoint(run, At(2000)));
}

TEST_CASE("checkpointed texts that the batch may not use are discarded")
{
  Checkpoint checkpoint;
  checkpoint.m_texts.push_back({ { "i0" }, "old", 30, { { 4 }, { 5 } } });
  checkpoint.m_texts.push_back({ { "foreign" }, "x", 30, { { 5 } } });
  checkpoint.m_texts.push_back({ { "i1" }, "listed", 30, { { 5 } } });
  BatchRun run = MakeTestRun(2);
  AdoptChunk(run, { 0, { { { "i1" }, Lost{} } } });
  CHECK(AdoptCheckpoint(run, checkpoint) == 0);
  CHECK(run.m_items[0].m_eventCount == 0);
  CHECK(run.m_items[0].m_text.empty());

  BatchRun single = MakeTestRun(2);
  single.m_policy.m_singleVersion = true;
  CHECK(AdoptCheckpoint(single, checkpoint) == 0);
}

// Guards against texts of several versions where the configuration that forbids
// them comes after them (VERSION).
TEST_CASE("texts that a newer policy does not allow are generated again")
{
  BatchRun run = MakeTestRun(3, true);
  const RunReport mixed{ RunCompleted{}, "text", 30, { { 5 }, { 6 } } };
  const size_t unscored = RunNextItem(run, mixed, At(0));
  const size_t allowed =
    RunNextItem(run, MakeReport(RunCompleted{}, "text", 30), At(0));
  const size_t interrupted =
    RunNextItem(run, { RunInterrupted{}, "te", 20, { { 5 }, { 6 } } }, At(0));
  BatchPolicy policy = run.m_policy;
  policy.m_singleVersion = true;
  policy.m_itemDeadline = At(9'000);
  ApplyPolicy(run, policy, At(1));
  for (const size_t item : { unscored, interrupted }) {
    CHECK(std::holds_alternative<ItemWaiting>(run.m_items[item].m_phase));
    CHECK(run.m_items[item].m_eventCount == 0);
    CHECK(run.m_items[item].m_versions.empty());
  }
  CHECK(
    std::holds_alternative<ItemAwaitingScore>(run.m_items[allowed].m_phase));
  CHECK(FindNextDeadline(run, At(1)) <= At(9'000));
}

TEST_CASE("progress of a run that is not the current one is ignored")
{
  BatchRun run = MakeTestRun(1);
  const uint64_t number = StartItemRun(run, 0, { { "e0" }, {} });
  AddPartialText(run, 0, number + 1, MakeReport(RunInterrupted{}, "a", 30));
  CHECK(run.m_items[0].m_eventCount == 0);
}

TEST_CASE("short texts start only after the head start of the long ones")
{
  BatchRun run = MakeTestRun(4);
  run.m_policy.m_shortItemsStartAt = At(40);
  const std::vector<size_t> order{ 3, 2 };
  for (const size_t expected : order) {
    CHECK(FindNextItemToStart(run, At(0)) == expected);
    StartItemRun(run, expected, { { "e0" }, {} });
  }
  CHECK(FindNextItemToStart(run, At(39)) == std::nullopt);
  CHECK(FindNextDeadline(run, At(0)) == At(40));
  CHECK(FindNextItemToStart(run, At(40)) == 1);
}

TEST_CASE("results that complete the wanted groups are stored at once")
{
  auto submission = std::make_shared<Submission>(*MakeSubmission(8));
  submission->m_wantedGroups = 1;
  BatchPolicy policy;
  policy.m_itemDeadline = At(40'000);
  BatchRun run = MakeBatchRun(submission, policy);
  // The longest items, which are those of the second group, run first.
  for (int i = 0; i < 3; ++i) {
    RunNextItem(run, MakeReport(RunCompleted{}, "t", 1), At(10));
    CHECK(!StartNextChunk(run, At(10)));
  }
  RunNextItem(run, MakeReport(RunCompleted{}, "t", 1), At(20));
  const auto chunk = StartNextChunk(run, At(20));
  REQUIRE(chunk);
  CHECK(chunk->m_results.size() == 4);
  CommitChunk(run);
  // Results beyond the wanted groups are collected before they are stored.
  RunNextItem(run, MakeReport(RunCompleted{}, "t", 1), At(30));
  CHECK(!StartNextChunk(run, At(30)));
}

TEST_CASE("the longest texts start first")
{
  BatchRun run = MakeTestRun(3);
  CHECK(FindNextItemToStart(run, At(0)) == 2);
}

TEST_CASE("an interrupted text resumes after its last complete event")
{
  BatchRun run = MakeTestRun(1);
  RunNextItem(run, MakeReport(RunInterrupted{}, "a\nb", 2), At(0));
  CHECK(run.m_items[0].m_eventCount == 2);
  RunNextItem(run, MakeReport(RunCompleted{}, "c", 3, 6), At(1000));
  REQUIRE(run.m_pendingResults.size() == 1);
  const Completed& completed = GetCompleted(run.m_pendingResults.front());
  CHECK(completed.m_text == "a\nb\nc");
  CHECK(completed.m_versions ==
        std::vector<core::WeightVersion>{ { 5 }, { 6 } });
}

TEST_CASE("texts that the batch does not allow are generated again")
{
  struct Case
  {
    std::string m_name;
    bool m_isSingleVersion;
    RunReport m_report;
  };
  const std::vector<Case> cases{
    { "text of a version that is too old",
      false,
      MakeReport(RunCompleted{}, "a", 1, 4) },
    { "stream without any event", false, { RunCompleted{}, "", 0, {} } },
    { "engine with outdated weights",
      false,
      { RunOutdatedWeights{}, "", 0, {} } },
    { "two versions in a single-version batch",
      true,
      { RunCompleted{}, "a\nb", 2, { { 5 }, { 6 } } } },
    { "interrupted text in a single-version batch",
      true,
      MakeReport(RunInterrupted{}, "a", 1) },
  };
  for (const Case& c : cases) {
    INFO(c.m_name);
    BatchRun run = MakeTestRun(1);
    run.m_policy.m_singleVersion = c.m_isSingleVersion;
    RunNextItem(run, c.m_report, At(0));
    CHECK(run.m_pendingResults.empty());
    CHECK(run.m_items[0].m_eventCount == 0);
    CHECK(run.m_items[0].m_versions.empty());
    CHECK(FindNextItemToStart(run, At(1000)) == 0);
  }
}

TEST_CASE(
  "items are lost after repeated failures, a final rejection or the deadline")
{
  BatchRun run = MakeTestRun(1);
  RunNextItem(run, { RunFailed{}, "", 0, {} }, At(0));
  RunNextItem(run, { RunRefused{}, "", 0, {} }, At(1000));
  RunNextItem(run, { RunFailed{}, "", 0, {} }, At(2000));
  CHECK(run.m_pendingResults.empty());
  RunNextItem(run, { RunFailed{}, "", 0, {} }, At(3000));
  REQUIRE(run.m_pendingResults.size() == 1);
  CHECK(std::holds_alternative<Lost>(run.m_pendingResults.front().m_outcome));

  BatchRun unprocessable = MakeTestRun(1);
  RunNextItem(unprocessable, { RunUnprocessable{}, "", 0, {} }, At(0));
  CHECK(unprocessable.m_pendingResults.size() == 1);

  BatchRun overdue = MakeTestRun(1);
  MarkOverdueItemsLost(overdue, At(39'999));
  CHECK(overdue.m_pendingResults.empty());
  MarkOverdueItemsLost(overdue, At(40'000));
  CHECK(overdue.m_pendingResults.size() == 1);
}

// Guards against a text that crashes have cut off and that counts as complete
// (MIXED), and against one that is complete and never counts as such.
TEST_CASE("a text without a marked end is complete after two empty runs on one "
          "engine")
{
  BatchRun run = MakeTestRun(1);
  const auto runOn = [&run](const char* aEngine, RunReport aReport, int aAt) {
    REQUIRE(FindNextItemToStart(run, At(aAt)) == 0);
    const uint64_t number = StartItemRun(run, 0, { { aEngine }, {} });
    FinishItemRun(run, 0, number, std::move(aReport), At(aAt));
  };
  const RunReport empty{ RunEndUnconfirmed{ true }, "", 0, {} };
  const RunReport broken{ RunInterrupted{}, "", 0, {} };
  runOn("a", MakeReport(RunEndUnconfirmed{ false }, "x", 1), 1000);
  runOn("b", empty, 2000);
  CHECK(run.m_items[0].m_emptyRunEngine == core::UpstreamId{ "b" });
  // The engine of the empty run is gone: its run said nothing.
  runOn("b", broken, 3000);
  runOn("b", empty, 4000);
  CHECK(run.m_pendingResults.empty());
  // Another engine says nothing of the first one.
  runOn("c", empty, 5000);
  CHECK(run.m_pendingResults.empty());
  SECTION("the engine adds nothing again")
  {
    runOn("c", empty, 6000);
    REQUIRE(run.m_pendingResults.size() == 1);
    CHECK(GetCompleted(run.m_pendingResults.front()).m_text == "x");
  }
  SECTION("the text goes on")
  {
    runOn("c", MakeReport(RunEndUnconfirmed{ false }, "y", 2), 6000);
    runOn("c", empty, 7000);
    CHECK(run.m_pendingResults.empty());
    runOn("c", empty, 8000);
    REQUIRE(run.m_pendingResults.size() == 1);
    CHECK(GetCompleted(run.m_pendingResults.front()).m_text == "x\ny");
  }
  SECTION("no run brings anything of a text that has not begun")
  {
    BatchRun other = MakeTestRun(1);
    for (int i = 1; i < 5; ++i) {
      RunNextItem(other, empty, At(1000 * i));
    }
    CHECK(other.m_pendingResults.empty());
  }
}

// Guards against an item that runs again and again, because no result can hold
// the text that engines make of it.
TEST_CASE("an item without a usable text starts no more and is lost at the "
          "deadline")
{
  BatchRun run = MakeTestRun(1);
  for (uint32_t i = 0; i < run.m_policy.m_maxAttempts; ++i) {
    const int start = static_cast<int>(i) * 1000;
    RunNextItem(run, { RunUnusable{}, "", 0, {} }, At(start));
    CHECK(run.m_pendingResults.empty());
  }
  CHECK_FALSE(FindNextItemToStart(run, At(39'000)));
  CHECK(FindNextDeadline(run, At(39'000)) == At(40'000));
  MarkOverdueItemsLost(run, At(40'000));
  REQUIRE(run.m_pendingResults.size() == 1);
  CHECK(std::holds_alternative<Lost>(run.m_pendingResults.front().m_outcome));
}

// Guards against a host without memory that keeps the texts for which it has
// none, so that no text ever ends.
TEST_CASE("an item for whose text there is no memory begins again later")
{
  BatchRun run = MakeTestRun(1);
  RunNextItem(run, MakeReport(RunOverBudget{}, "a", 1), At(0));
  CHECK(run.m_items[0].m_text.empty());
  CHECK_FALSE(FindNextItemToStart(run, At(500)));
  CHECK(FindNextItemToStart(run, At(1000)) == 0);
}

TEST_CASE("texts that no object of the store can hold make no checkpoint")
{
  BatchRun run = MakeTestRun(2);
  for (ItemState& item : run.m_items) {
    item.m_eventCount = 100;
    item.m_text = std::string(600UL * 1024, 'x');
  }
  CHECK_FALSE(StartNextCheckpoint(run, At(0)));
  run.m_items[0].m_text.resize(100);
  const auto checkpoint = StartNextCheckpoint(run, At(0));
  REQUIRE(checkpoint);
  CHECK(checkpoint->m_texts.size() == 2);
}

TEST_CASE("scorer failures count against the limit of the scoring route")
{
  constexpr uint32_t kScorerAttempts = 4;
  BatchRun run = MakeTestRun(1, true);
  RunNextItem(run, MakeReport(RunCompleted{}, "a", 1), At(0));
  for (uint32_t i = 0; i < kScorerAttempts; ++i) {
    CHECK(run.m_pendingResults.empty());
    const core::Instant now = At(1000 + 1000 * static_cast<int>(i));
    REQUIRE(FindNextToScore(run, now));
    const uint64_t number = StartItemScoring(run, 0);
    FinishItemScoring(run, 0, number, ScoreFailed{}, kScorerAttempts, now);
  }
  REQUIRE(run.m_pendingResults.size() == 1);
  CHECK(std::holds_alternative<Lost>(run.m_pendingResults.front().m_outcome));
}

TEST_CASE("an unavailable scorer does not count as a failed attempt")
{
  BatchRun run = MakeTestRun(1, true);
  RunNextItem(run, MakeReport(RunCompleted{}, "a", 1), At(0));
  for (int i = 0; i < 20; ++i) {
    const core::Instant now = At(1000 * (i + 1));
    REQUIRE(FindNextToScore(run, now));
    const uint64_t number = StartItemScoring(run, 0);
    FinishItemScoring(run, 0, number, ScoreUnavailable{}, 1, now);
  }
  REQUIRE(FindNextToScore(run, At(30'000)));
  const uint64_t number = StartItemScoring(run, 0);
  FinishItemScoring(run, 0, number, Scored{ "proof" }, 1, At(30'000));
  REQUIRE(run.m_pendingResults.size() == 1);
  CHECK(GetCompleted(run.m_pendingResults.front()).m_score == "proof");
}

TEST_CASE("the report of a run that is not the current one is ignored")
{
  BatchRun run = MakeTestRun(1);
  const uint64_t first = StartItemRun(run, 0, { { "e0" }, {} });
  FinishItemRun(run, 0, first, { RunRefused{}, "", 0, {} }, At(0));
  const uint64_t second = StartItemRun(run, 0, { { "e1" }, {} });
  FinishItemRun(run, 0, first, MakeReport(RunCompleted{}, "late", 1), At(10));
  CHECK(run.m_pendingResults.empty());
  FinishItemRun(run, 0, second, MakeReport(RunCompleted{}, "a", 1), At(20));
  CHECK(GetCompleted(run.m_pendingResults.front()).m_text == "a");
}

TEST_CASE("results are collected and become readable only once they are stored")
{
  BatchRun run = MakeTestRun(3);
  RunNextItem(run, MakeReport(RunCompleted{}, "a", 1), At(0));
  CHECK_FALSE(StartNextChunk(run, At(10)));
  RunNextItem(run, MakeReport(RunCompleted{}, "b", 1), At(20));
  const std::optional<ResultChunk> chunk = StartNextChunk(run, At(200));
  REQUIRE(chunk);
  CHECK(chunk->m_results.size() == 2);
  CHECK(run.m_durableResults.empty());
  // Only one chunk is in flight at a time, because its number is not final
  // before it is stored.
  RunNextItem(run, MakeReport(RunCompleted{}, "c", 1), At(300));
  CHECK_FALSE(StartNextChunk(run, At(2000)));
  CommitChunk(run);
  CHECK(run.m_durableResults.size() == 2);
  REQUIRE(StartNextChunk(run, At(2000)));
  CHECK(run.m_chunkInFlight->m_number == 1);
}

TEST_CASE("results of a conflicting chunk of another owner win")
{
  BatchRun run = MakeTestRun(3);
  RunNextItem(run, MakeReport(RunCompleted{}, "mine", 1), At(0));
  RunNextItem(run, MakeReport(RunCompleted{}, "mine", 1), At(0));
  REQUIRE(StartNextChunk(run, At(500)));
  ResultChunk found;
  found.m_results.push_back({ { "i2" }, Completed{ "theirs", { { 5 } }, "" } });
  ResolveChunkConflict(run, found, At(600));
  REQUIRE(run.m_durableResults.size() == 1);
  CHECK(GetCompleted(run.m_durableResults[0]).m_text == "theirs");
  const std::optional<ResultChunk> next = StartNextChunk(run, At(600));
  REQUIRE(next);
  CHECK(next->m_number == 1);
  REQUIRE(next->m_results.size() == 1);
  CHECK(next->m_results[0].m_item.m_value == "i1");
}

TEST_CASE("no item starts after the batch has ended")
{
  BatchRun run = MakeTestRun(4);
  RunNextItem(run, MakeReport(RunCompleted{}, "a", 1), At(0));
  MarkBatchEnded(run);
  CHECK_FALSE(FindNextItemToStart(run, At(1000)));
  CHECK_FALSE(FindNextToScore(run, At(1000)));
  CHECK_FALSE(StartNextChunk(run, At(1000)));
  CHECK(FindNextDeadline(run, At(1000)) == core::Instant::max());
}

} // namespace heatherdeal::batches
