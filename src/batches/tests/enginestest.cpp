#include "batches/engines.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

namespace {

using std::chrono::milliseconds;

BatchRun
TwoGroups()
{
  auto submission = std::make_shared<Submission>();
  submission->m_oldest = { 3 };
  for (int i = 0; i < 4; ++i) {
    BatchItem item;
    item.m_id.m_value = "i" + std::to_string(i);
    item.m_group = i < 2 ? "a" : "b";
    submission->m_items.push_back(std::move(item));
  }
  BatchPolicy policy;
  policy.m_giveUpAt = core::Instant(std::chrono::seconds(40));
  return MakeRun(std::move(submission), policy);
}

EngineFacts
Engine(std::string aName, uint32_t aOutstanding, int aPace = 0)
{
  EngineFacts engine;
  engine.m_id.m_value = std::move(aName);
  engine.m_slots = 8;
  engine.m_outstanding = aOutstanding;
  engine.m_version = { 3 };
  engine.m_pace = milliseconds(aPace);
  return engine;
}

} // namespace

TEST_CASE("which engine an item runs on")
{
  struct Case
  {
    std::string m_name;
    std::vector<EngineFacts> m_engines;
    std::optional<size_t> m_expected;
  };
  std::vector<Case> cases{
    { "the least loaded", { Engine("x", 3), Engine("y", 1) }, 1 },
    { "none that is full", { Engine("x", 8), Engine("y", 7) }, 1 },
    { "nothing where all are full", { Engine("x", 8) }, std::nullopt },
    { "no slow one while another has room",
      { Engine("x", 0, 90), Engine("y", 7, 30), Engine("z", 8, 30) },
      1 },
    { "not a slow one while others will have room",
      { Engine("x", 0, 90), Engine("y", 8, 30), Engine("z", 8, 30) },
      std::nullopt },
  };
  Case old{ "none with older weights", { Engine("x", 0), Engine("y", 5) }, 1 };
  old.m_engines[0].m_version = { 2 };
  cases.push_back(old);
  Case leaving{ "none that leaves", { Engine("x", 0), Engine("y", 5) }, 1 };
  leaving.m_engines[0].m_usable = false;
  cases.push_back(leaving);
  for (const Case& c : cases) {
    INFO(c.m_name);
    CHECK(ChooseEngine(TwoGroups(), 0, c.m_engines) == c.m_expected);
  }
}

TEST_CASE("a group stays where its prompt was read, a failed item does not")
{
  BatchRun run = TwoGroups();
  const std::vector<EngineFacts> engines{ Engine("x", 6), Engine("y", 0) };
  const uint64_t number = StartRun(run, 0, { "x" });
  CHECK(ChooseEngine(run, 1, engines) == 0);
  CHECK(ChooseEngine(run, 2, engines) == 1);
  EndRun(run, 0, number, { RunBroken{}, "", 0, {} }, core::Instant{});
  CHECK(ChooseEngine(run, 0, engines) == 1);
}

TEST_CASE("long texts go to the engine that is usually fastest")
{
  auto submission = std::make_shared<Submission>();
  for (const uint32_t tokens : { 9000U, 300U, 200U }) {
    BatchItem item;
    item.m_id.m_value = "t" + std::to_string(tokens);
    item.m_group = "a";
    item.m_expectedTokens = tokens;
    submission->m_items.push_back(std::move(item));
  }
  const BatchRun run = MakeRun(std::move(submission), {});
  std::vector<EngineFacts> engines{ Engine("x", 0), Engine("y", 5) };
  engines[0].m_usualPace = milliseconds(42);
  engines[1].m_usualPace = milliseconds(32);
  CHECK(ChooseEngine(run, 0, engines) == 1);
  CHECK(ChooseEngine(run, 1, engines) == 0);
  engines[1].m_outstanding = 8;
  CHECK(ChooseEngine(run, 0, engines) == 0);
}

TEST_CASE("an engine that has refused is asked with the shortest item")
{
  auto submission = std::make_shared<Submission>();
  for (const uint32_t tokens : { 200U, 9000U }) {
    BatchItem item;
    item.m_id.m_value = "t" + std::to_string(tokens);
    item.m_expectedTokens = tokens;
    submission->m_items.push_back(std::move(item));
  }
  const BatchRun run = MakeRun(std::move(submission), {});
  std::vector<EngineFacts> engines{ Engine("x", 0), Engine("y", 8) };
  CHECK(EngineToTry(run, engines) == std::nullopt);
  engines[0].m_refuses = true;
  CHECK(ChooseEngine(run, 1, engines) == std::nullopt);
  CHECK(EngineToTry(run, engines) == 0);
  CHECK(ItemToTry(run, engines, core::Instant{}) == 0);
  // Where every engine refuses there is nothing to spare the long one for.
  engines[1].m_refuses = true;
  CHECK(ItemToTry(run, engines, core::Instant{}) == 1);
}

TEST_CASE("items leave a slow engine while others have room, and only then")
{
  BatchRun run = TwoGroups();
  StartRun(run, 0, { "x" });
  StartRun(run, 1, { "y" });
  std::vector<EngineFacts> engines{ Engine("x", 1, 100),
                                    Engine("y", 1, 33),
                                    Engine("z", 0, 30) };
  CHECK(ItemsToMove(run, engines) == std::vector<size_t>{ 0 });
  engines[1].m_outstanding = 8;
  engines[2].m_outstanding = 8;
  CHECK(ItemsToMove(run, engines).empty());
}

TEST_CASE("engines of much the same pace are none of them slow")
{
  const std::vector<EngineFacts> engines{ Engine("x", 1, 30),
                                          Engine("y", 1, 33),
                                          Engine("z", 0, 45) };
  CHECK(FindSlow(engines) == std::vector<bool>{ false, false, false });
}

} // namespace heatherdeal::batches
