#include "batches/engines.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

namespace {

using std::chrono::milliseconds;

BatchRun
MakeTwoGroupRun()
{
  auto submission = std::make_shared<Submission>();
  submission->m_oldestAllowedVersion = { 3 };
  for (int i = 0; i < 4; ++i) {
    BatchItem item;
    item.m_id.m_value = "i" + std::to_string(i);
    item.m_group = i < 2 ? "a" : "b";
    submission->m_items.push_back(std::move(item));
  }
  BatchPolicy policy;
  policy.m_itemDeadline = core::Instant(std::chrono::seconds(40));
  return MakeBatchRun(std::move(submission), policy);
}

EngineSnapshot
MakeEngine(std::string aName, uint32_t aOutstanding, int aEventInterval = 0)
{
  EngineSnapshot engine;
  engine.m_id.m_value = std::move(aName);
  engine.m_slots = 8;
  engine.m_outstanding = aOutstanding;
  engine.m_version = { 3 };
  engine.m_eventInterval = milliseconds(aEventInterval);
  return engine;
}

} // namespace

TEST_CASE("an item runs on the least loaded engine that is usable")
{
  struct Case
  {
    std::string m_name;
    std::vector<EngineSnapshot> m_engines;
    std::optional<size_t> m_expected;
  };
  std::vector<Case> cases{
    { "the least loaded engine is chosen",
      { MakeEngine("x", 3), MakeEngine("y", 1) },
      1 },
    { "full engines are skipped",
      { MakeEngine("x", 8), MakeEngine("y", 7) },
      1 },
    { "no engine is chosen if all are full",
      { MakeEngine("x", 8) },
      std::nullopt },
    { "a slow engine is skipped while another has a free slot",
      { MakeEngine("x", 0, 90),
        MakeEngine("y", 7, 30),
        MakeEngine("z", 8, 30) },
      1 },
    { "a slow engine is skipped even if the others are full",
      { MakeEngine("x", 0, 90),
        MakeEngine("y", 8, 30),
        MakeEngine("z", 8, 30) },
      std::nullopt },
  };
  Case outdated{ "engines with outdated weights are skipped",
                 { MakeEngine("x", 0), MakeEngine("y", 5) },
                 1 };
  outdated.m_engines[0].m_version = { 2 };
  cases.push_back(outdated);
  Case unusable{ "unusable engines are skipped",
                 { MakeEngine("x", 0), MakeEngine("y", 5) },
                 1 };
  unusable.m_engines[0].m_usable = false;
  cases.push_back(unusable);
  for (const Case& c : cases) {
    INFO(c.m_name);
    CHECK(ChooseEngine(MakeTwoGroupRun(), 0, c.m_engines) == c.m_expected);
  }
}

TEST_CASE(
  "items stay on the engine of their group, but a retry prefers another engine")
{
  BatchRun run = MakeTwoGroupRun();
  const std::vector<EngineSnapshot> engines{ MakeEngine("x", 6),
                                             MakeEngine("y", 0) };
  const uint64_t number = StartItemRun(run, 0, { { "x" }, {} });
  CHECK(ChooseEngine(run, 1, engines) == 0);
  CHECK(ChooseEngine(run, 2, engines) == 1);
  FinishItemRun(
    run, 0, number, { RunInterrupted{}, "", 0, {} }, core::Instant{});
  CHECK(ChooseEngine(run, 0, engines) == 1);
}

TEST_CASE("long texts run on the engine that was measured as fastest")
{
  auto submission = std::make_shared<Submission>();
  for (const uint32_t tokens : { 9000U, 300U, 200U }) {
    BatchItem item;
    item.m_id.m_value = "t" + std::to_string(tokens);
    item.m_group = "a";
    item.m_expectedTokens = tokens;
    submission->m_items.push_back(std::move(item));
  }
  const BatchRun run = MakeBatchRun(std::move(submission), {});
  std::vector<EngineSnapshot> engines{ MakeEngine("x", 0), MakeEngine("y", 5) };
  engines[0].m_lastEventInterval = milliseconds(42);
  engines[1].m_lastEventInterval = milliseconds(32);
  CHECK(ChooseEngine(run, 0, engines) == 1);
  CHECK(ChooseEngine(run, 1, engines) == 0);
  engines[1].m_outstanding = 8;
  CHECK(ChooseEngine(run, 0, engines) == 0);
}

TEST_CASE("an engine that has refused items is probed with the shortest item")
{
  auto submission = std::make_shared<Submission>();
  for (const uint32_t tokens : { 200U, 9000U }) {
    BatchItem item;
    item.m_id.m_value = "t" + std::to_string(tokens);
    item.m_expectedTokens = tokens;
    submission->m_items.push_back(std::move(item));
  }
  const BatchRun run = MakeBatchRun(std::move(submission), {});
  std::vector<EngineSnapshot> engines{ MakeEngine("x", 0), MakeEngine("y", 8) };
  CHECK(FindProbe(run, engines, core::Instant{}) == std::nullopt);
  engines[0].m_isRefusing = true;
  CHECK(ChooseEngine(run, 1, engines) == std::nullopt);
  CHECK(FindProbe(run, engines, core::Instant{}) == ItemStart{ 0, 0 });
  // If every engine refuses, sparing the longest item gains nothing, because no
  // other engine accepts it.
  engines[1].m_isRefusing = true;
  CHECK(FindProbe(run, engines, core::Instant{}) == ItemStart{ 1, 0 });
}

TEST_CASE("items move off a slow engine only while others have free slots")
{
  BatchRun run = MakeTwoGroupRun();
  StartItemRun(run, 0, { { "x" }, {} });
  StartItemRun(run, 1, { { "y" }, {} });
  std::vector<EngineSnapshot> engines{ MakeEngine("x", 1, 100),
                                       MakeEngine("y", 1, 33),
                                       MakeEngine("z", 0, 30) };
  CHECK(FindItemsToMove(run, engines) == std::vector<size_t>{ 0 });
  engines[1].m_outstanding = 8;
  engines[2].m_outstanding = 8;
  CHECK(FindItemsToMove(run, engines).empty());
}

TEST_CASE("engines of similar speed do not count as slow")
{
  const std::vector<EngineSnapshot> engines{ MakeEngine("x", 1, 30),
                                             MakeEngine("y", 1, 33),
                                             MakeEngine("z", 0, 45) };
  CHECK(FindSlowEngines(engines) == std::vector<bool>{ false, false, false });
}

// Guards against texts that hold events of two software versions (ORDER).
TEST_CASE("a text goes on only at an engine of the software that began it")
{
  BatchRun run = MakeTwoGroupRun();
  std::vector<EngineSnapshot> engines{ MakeEngine("old", 7),
                                       MakeEngine("new", 0),
                                       MakeEngine("old2", 8) };
  engines[0].m_software.m_version = { "v1" };
  engines[1].m_software.m_version = { "v2" };
  engines[2].m_software.m_version = { "v1" };
  const uint64_t number =
    StartItemRun(run, 0, { { "old2" }, engines[2].m_software });
  FinishItemRun(
    run, 0, number, { RunInterrupted{}, "a", 1, { { 3 } } }, core::Instant{});
  const core::Instant now(milliseconds(100));

  SECTION("an engine of its software with a free slot continues it")
  {
    CHECK(ChooseEngine(run, 0, engines) == 0);
  }
  SECTION("while all of them are full, it waits without holding others up")
  {
    engines[0].m_outstanding = 8;
    CHECK(ChooseEngine(run, 0, engines) == std::nullopt);
    CHECK(ChooseNextStart(run, engines, now) == ItemStart{ 1, 1 });
    CHECK(DiscardOrphanedTexts(run, engines, now) == 0);
  }
  SECTION("it begins again once it has waited for a second")
  {
    engines[0].m_outstanding = 8;
    CHECK(DiscardOrphanedTexts(run, engines, now) == 0);
    CHECK(DiscardOrphanedTexts(run, engines, now + milliseconds(999)) == 0);
    CHECK(DiscardOrphanedTexts(run, engines, now + milliseconds(1000)) == 1);
    CHECK(run.m_items[0].m_text.empty());
    CHECK(ChooseEngine(run, 0, engines) == 1);
  }
  SECTION("it begins again at once if no engine of its software stays")
  {
    engines[0].m_isLeaving = true;
    engines[2].m_isLeaving = true;
    CHECK(DiscardOrphanedTexts(run, engines, now) == 1);
    CHECK(run.m_items[0].m_eventCount == 0);
  }
  SECTION("engines that refuse are probed with what they can continue")
  {
    run.m_items[1].m_phase = ItemDone{};
    run.m_items[2].m_phase = ItemDone{};
    run.m_items[3].m_phase = ItemDone{};
    engines[0].m_isRefusing = true;
    engines[1].m_isRefusing = true;
    CHECK(FindProbe(run, engines, now) == ItemStart{ 0, 0 });
  }
}

// Guards against items that wait for engines of a service that gets none of
// them any more.
TEST_CASE("texts of other services are discarded once another one can take "
          "their items")
{
  BatchRun run = MakeTwoGroupRun();
  const core::Software old{ { "old" }, { "v1" } };
  const uint64_t number = StartItemRun(run, 0, { { "e" }, old });
  FinishItemRun(
    run, 0, number, { RunInterrupted{}, "a", 1, { { 3 } } }, core::Instant{});
  StartItemRun(run, 1, { { "e" }, old });
  const core::Instant now(milliseconds(100));
  const core::ServiceId services[] = { { "new" }, { "old" } };

  CHECK(DiscardTextsOfOtherServices(run, {}) == 0);
  CHECK(DiscardTextsOfOtherServices(run, services) == 0);
  run.m_items[2].m_phase = ItemDone{};
  run.m_items[3].m_phase = ItemDone{};
  CHECK_FALSE(HasItemFor(run, { "new" }, now));
  CHECK(DiscardTextsOfOtherServices(run, std::span(services).first(1)) == 1);
  CHECK(run.m_items[0].m_text.empty());
  CHECK(HasItemFor(run, { "new" }, now));
  // What runs is not touched.
  CHECK(std::holds_alternative<ItemRunning>(run.m_items[1].m_phase));
}

TEST_CASE("a text does not move off a slow engine to other software")
{
  BatchRun run = MakeTwoGroupRun();
  std::vector<EngineSnapshot> engines{ MakeEngine("x", 1, 100),
                                       MakeEngine("y", 1, 33),
                                       MakeEngine("z", 0, 30) };
  engines[0].m_software.m_version = { "v1" };
  StartItemRun(run, 0, { { "x" }, engines[0].m_software });
  CHECK(FindItemsToMove(run, engines).empty());
  engines[2].m_software.m_version = { "v1" };
  CHECK(FindItemsToMove(run, engines) == std::vector<size_t>{ 0 });
}

TEST_CASE(
  "a text of a route that alternates between services waits for its own")
{
  BatchRun run = MakeTwoGroupRun();
  std::vector<EngineSnapshot> engines{ MakeEngine("x", 0) };
  engines[0].m_software = { { "other" }, { "v1" } };
  const uint64_t number =
    StartItemRun(run, 0, { { "y" }, { { "own" }, { "v1" } } });
  FinishItemRun(
    run, 0, number, { RunInterrupted{}, "a", 1, { { 3 } } }, core::Instant{});
  CHECK(DiscardOrphanedTexts(run, engines, core::Instant{}) == 0);
  CHECK(ChooseEngine(run, 0, engines) == std::nullopt);
}

} // namespace heatherdeal::batches
