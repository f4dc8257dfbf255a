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
BatchOf(size_t aItems, bool aScored = false)
{
  auto submission = std::make_shared<Submission>();
  submission->m_id.m_value = "batch";
  submission->m_weights = "w";
  submission->m_oldest = { 5 };
  for (size_t i = 0; i < aItems; ++i) {
    BatchItem item;
    item.m_id.m_value = "i" + std::to_string(i);
    item.m_group = "g" + std::to_string(i / 4);
    item.m_expectedTokens = static_cast<uint32_t>(100 * i);
    if (aScored) {
      item.m_reward = RewardCall{ "r" + std::to_string(i), "host", "/p/", "" };
    }
    submission->m_items.push_back(std::move(item));
  }
  return submission;
}

BatchRun
RunOf(size_t aItems, bool aScored = false)
{
  BatchPolicy policy;
  policy.m_giveUpAt = At(40'000);
  return MakeRun(BatchOf(aItems, aScored), policy);
}

RunReport
Text(RunEnding aEnding,
     std::string aText,
     uint64_t aLast,
     uint64_t aVersion = 5)
{
  return { aEnding, std::move(aText), aLast, { { aVersion } } };
}

/// Runs the next item, finishes it with the report and returns its index.
size_t
RunNext(BatchRun& aRun, RunReport aReport, core::Instant aNow)
{
  const std::optional<size_t> item = NextToRun(aRun, aNow);
  REQUIRE(item);
  const uint64_t number = StartRun(aRun, *item, { "e0" });
  EndRun(aRun, *item, number, std::move(aReport), aNow);
  return *item;
}

const Completed&
CompletedOf(const ItemResult& aResult)
{
  return std::get<Completed>(aResult.m_outcome);
}

} // namespace

TEST_CASE("the next owner resumes the texts of a checkpoint")
{
  BatchRun run = RunOf(2);
  const uint64_t number = StartRun(run, 1, { "e0" });
  ExtendText(run, 1, number, Text(RunBroken{}, "a\nb", 30));
  const std::optional<Checkpoint> checkpoint = NextCheckpoint(run, At(1000));
  REQUIRE(checkpoint);
  REQUIRE(checkpoint->m_texts.size() == 1);
  CHECK(!NextCheckpoint(run, At(9000)));
  CheckpointWritten(run, *checkpoint, true, At(1100));
  CHECK(!NextCheckpoint(run, At(9000)));

  BatchRun next = RunOf(2);
  CHECK(AdoptCheckpoint(next, *checkpoint) == 1);
  CHECK(next.m_items[1].m_events == 30);
  RunNext(next, Text(RunCompleted{}, "c", 31, 6), At(2000));
  const auto chunk = NextChunk(next, At(5000));
  REQUIRE(chunk);
  const Completed& completed = CompletedOf(chunk->m_results[0]);
  CHECK(completed.m_text == "a\nb\nc");
  CHECK(completed.m_versions ==
        std::vector<core::WeightVersion>{ { 5 }, { 6 } });
}

TEST_CASE("a checkpoint that could not be stored is retried after the interval")
{
  BatchRun run = RunOf(1);
  const uint64_t number = StartRun(run, 0, { "e0" });
  ExtendText(run, 0, number, Text(RunBroken{}, "a", 30));
  const auto checkpoint = NextCheckpoint(run, At(0));
  REQUIRE(checkpoint);
  CheckpointWritten(run, *checkpoint, false, At(100));
  CHECK(!NextCheckpoint(run, At(200)));
  CHECK(NextCheckpoint(run, At(2000)));
}

TEST_CASE("checkpointed texts that the batch may not use are discarded")
{
  Checkpoint checkpoint;
  checkpoint.m_texts.push_back({ { "i0" }, "old", 30, { { 4 }, { 5 } } });
  checkpoint.m_texts.push_back({ { "foreign" }, "x", 30, { { 5 } } });
  checkpoint.m_texts.push_back({ { "i1" }, "listed", 30, { { 5 } } });
  BatchRun run = RunOf(2);
  AdoptChunk(run, { 0, { { { "i1" }, Lost{} } } });
  CHECK(AdoptCheckpoint(run, checkpoint) == 0);
  CHECK(run.m_items[0].m_events == 0);
  CHECK(run.m_items[0].m_text.empty());

  BatchRun single = RunOf(2);
  single.m_policy.m_singleVersion = true;
  CHECK(AdoptCheckpoint(single, checkpoint) == 0);
}

TEST_CASE("progress of a run that is not the current one is ignored")
{
  BatchRun run = RunOf(1);
  const uint64_t number = StartRun(run, 0, { "e0" });
  ExtendText(run, 0, number + 1, Text(RunBroken{}, "a", 30));
  CHECK(run.m_items[0].m_events == 0);
}

TEST_CASE("short texts start only after the head start of the long ones")
{
  BatchRun run = RunOf(4);
  run.m_policy.m_shortFrom = At(40);
  const std::vector<size_t> order{ 3, 2 };
  for (const size_t expected : order) {
    CHECK(NextToRun(run, At(0)) == expected);
    StartRun(run, expected, { "e0" });
  }
  CHECK(NextToRun(run, At(39)) == std::nullopt);
  CHECK(NextDeadline(run, At(0)) == At(40));
  CHECK(NextToRun(run, At(40)) == 1);
}

TEST_CASE("results that complete the wanted groups are stored at once")
{
  auto submission = std::make_shared<Submission>(*BatchOf(8));
  submission->m_wantedGroups = 1;
  BatchPolicy policy;
  policy.m_giveUpAt = At(40'000);
  BatchRun run = MakeRun(submission, policy);
  // The longest items, which are those of the second group, run first.
  for (int i = 0; i < 3; ++i) {
    RunNext(run, Text(RunCompleted{}, "t", 1), At(10));
    CHECK(!NextChunk(run, At(10)));
  }
  RunNext(run, Text(RunCompleted{}, "t", 1), At(20));
  const auto chunk = NextChunk(run, At(20));
  REQUIRE(chunk);
  CHECK(chunk->m_results.size() == 4);
  ChunkStored(run);
  // Results beyond the wanted groups are collected before they are stored.
  RunNext(run, Text(RunCompleted{}, "t", 1), At(30));
  CHECK(!NextChunk(run, At(30)));
}

TEST_CASE("the longest texts start first")
{
  BatchRun run = RunOf(3);
  CHECK(NextToRun(run, At(0)) == 2);
}

TEST_CASE("an interrupted text resumes after its last complete event")
{
  BatchRun run = RunOf(1);
  RunNext(run, Text(RunBroken{}, "a\nb", 2), At(0));
  CHECK(run.m_items[0].m_events == 2);
  RunNext(run, Text(RunCompleted{}, "c", 3, 6), At(1000));
  REQUIRE(run.m_ready.size() == 1);
  const Completed& completed = CompletedOf(run.m_ready.front());
  CHECK(completed.m_text == "a\nb\nc");
  CHECK(completed.m_versions ==
        std::vector<core::WeightVersion>{ { 5 }, { 6 } });
}

TEST_CASE("texts that the batch does not allow are generated again")
{
  struct Case
  {
    std::string m_name;
    bool m_single;
    RunReport m_report;
  };
  const std::vector<Case> cases{
    { "text of a version that is too old",
      false,
      Text(RunCompleted{}, "a", 1, 4) },
    { "stream without any event", false, { RunCompleted{}, "", 0, {} } },
    { "engine with outdated weights", false, { RunOutdated{}, "", 0, {} } },
    { "two versions in a single-version batch",
      true,
      { RunCompleted{}, "a\nb", 2, { { 5 }, { 6 } } } },
    { "interrupted text in a single-version batch",
      true,
      Text(RunBroken{}, "a", 1) },
  };
  for (const Case& c : cases) {
    INFO(c.m_name);
    BatchRun run = RunOf(1);
    run.m_policy.m_singleVersion = c.m_single;
    RunNext(run, c.m_report, At(0));
    CHECK(run.m_ready.empty());
    CHECK(run.m_items[0].m_events == 0);
    CHECK(run.m_items[0].m_versions.empty());
    CHECK(NextToRun(run, At(1000)) == 0);
  }
}

TEST_CASE(
  "items are lost after repeated failures, a final rejection or the time limit")
{
  BatchRun run = RunOf(1);
  RunNext(run, { RunFailed{}, "", 0, {} }, At(0));
  RunNext(run, { RunRefused{}, "", 0, {} }, At(1000));
  RunNext(run, { RunFailed{}, "", 0, {} }, At(2000));
  CHECK(run.m_ready.empty());
  RunNext(run, { RunFailed{}, "", 0, {} }, At(3000));
  REQUIRE(run.m_ready.size() == 1);
  CHECK(std::holds_alternative<Lost>(run.m_ready.front().m_outcome));

  BatchRun impossible = RunOf(1);
  RunNext(impossible, { RunImpossible{}, "", 0, {} }, At(0));
  CHECK(impossible.m_ready.size() == 1);

  BatchRun late = RunOf(1);
  GiveUpLate(late, At(39'999));
  CHECK(late.m_ready.empty());
  GiveUpLate(late, At(40'000));
  CHECK(late.m_ready.size() == 1);
}

TEST_CASE("scorer failures count against the limit of the scoring route")
{
  constexpr uint32_t kScorerAttempts = 4;
  BatchRun run = RunOf(1, true);
  RunNext(run, Text(RunCompleted{}, "a", 1), At(0));
  for (uint32_t i = 0; i < kScorerAttempts; ++i) {
    CHECK(run.m_ready.empty());
    const core::Instant now = At(1000 + 1000 * static_cast<int>(i));
    REQUIRE(NextToScore(run, now));
    const uint64_t number = StartScore(run, 0);
    EndScore(run, 0, number, ScoreFailed{}, kScorerAttempts, now);
  }
  REQUIRE(run.m_ready.size() == 1);
  CHECK(std::holds_alternative<Lost>(run.m_ready.front().m_outcome));
}

TEST_CASE("an unavailable scorer does not count as a failed attempt")
{
  BatchRun run = RunOf(1, true);
  RunNext(run, Text(RunCompleted{}, "a", 1), At(0));
  for (int i = 0; i < 20; ++i) {
    const core::Instant now = At(1000 * (i + 1));
    REQUIRE(NextToScore(run, now));
    const uint64_t number = StartScore(run, 0);
    EndScore(run, 0, number, ScoreUnavailable{}, 1, now);
  }
  REQUIRE(NextToScore(run, At(30'000)));
  const uint64_t number = StartScore(run, 0);
  EndScore(run, 0, number, Scored{ "proof" }, 1, At(30'000));
  REQUIRE(run.m_ready.size() == 1);
  CHECK(CompletedOf(run.m_ready.front()).m_score == "proof");
}

TEST_CASE("the report of a run that is not the current one is ignored")
{
  BatchRun run = RunOf(1);
  const uint64_t first = StartRun(run, 0, { "e0" });
  EndRun(run, 0, first, { RunRefused{}, "", 0, {} }, At(0));
  const uint64_t second = StartRun(run, 0, { "e1" });
  EndRun(run, 0, first, Text(RunCompleted{}, "late", 1), At(10));
  CHECK(run.m_ready.empty());
  EndRun(run, 0, second, Text(RunCompleted{}, "a", 1), At(20));
  CHECK(CompletedOf(run.m_ready.front()).m_text == "a");
}

TEST_CASE("results are collected and become readable only once they are stored")
{
  BatchRun run = RunOf(3);
  RunNext(run, Text(RunCompleted{}, "a", 1), At(0));
  CHECK_FALSE(NextChunk(run, At(10)));
  RunNext(run, Text(RunCompleted{}, "b", 1), At(20));
  const std::optional<ResultChunk> chunk = NextChunk(run, At(200));
  REQUIRE(chunk);
  CHECK(chunk->m_results.size() == 2);
  CHECK(run.m_listed.empty());
  // Only one chunk is in flight at a time, because its number is not final
  // before it is stored.
  RunNext(run, Text(RunCompleted{}, "c", 1), At(300));
  CHECK_FALSE(NextChunk(run, At(2000)));
  ChunkStored(run);
  CHECK(run.m_listed.size() == 2);
  REQUIRE(NextChunk(run, At(2000)));
  CHECK(run.m_writing->m_number == 1);
}

TEST_CASE("results of a conflicting chunk of another owner win")
{
  BatchRun run = RunOf(3);
  RunNext(run, Text(RunCompleted{}, "mine", 1), At(0));
  RunNext(run, Text(RunCompleted{}, "mine", 1), At(0));
  REQUIRE(NextChunk(run, At(500)));
  ResultChunk found;
  found.m_results.push_back({ { "i2" }, Completed{ "theirs", { { 5 } }, "" } });
  ChunkTaken(run, found, At(600));
  REQUIRE(run.m_listed.size() == 1);
  CHECK(CompletedOf(run.m_listed[0]).m_text == "theirs");
  const std::optional<ResultChunk> next = NextChunk(run, At(600));
  REQUIRE(next);
  CHECK(next->m_number == 1);
  REQUIRE(next->m_results.size() == 1);
  CHECK(next->m_results[0].m_item.m_value == "i1");
}

TEST_CASE("no item starts after the batch has ended")
{
  BatchRun run = RunOf(4);
  RunNext(run, Text(RunCompleted{}, "a", 1), At(0));
  EndBatch(run);
  CHECK_FALSE(NextToRun(run, At(1000)));
  CHECK_FALSE(NextToScore(run, At(1000)));
  CHECK_FALSE(NextChunk(run, At(1000)));
  CHECK(NextDeadline(run, At(1000)) == core::Instant::max());
}

} // namespace heatherdeal::batches
