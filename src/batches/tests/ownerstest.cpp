// Several hosts own one batch at the same time, over a model of the object
// store that loses responses and applies writes late. Results that the trainer
// has read must never change.

#include <map>
#include <random>
#include <set>

#include "catch2/catch.hpp"

#include "batches/batchrun.h"
#include "core/rendezvous.h"

namespace heatherdeal::batches {

namespace {

constexpr size_t kItems = 24;
constexpr size_t kOwners = 3;
constexpr int kSteps = 600;

core::Instant
At(int aMilliseconds)
{
  return core::Instant(std::chrono::milliseconds(aMilliseconds));
}

using Chunks = std::map<uint64_t, ResultChunk>;

/// A conditional create whose response is lost and that is applied later.
struct PendingWrite
{
  int m_appliedAt = 0;
  ResultChunk m_chunk;
};

/// A model of the object store that holds the chunks of one batch.
struct StoreModel
{
  Chunks m_chunks;
  std::vector<PendingWrite> m_pending;

  bool Create(const ResultChunk& aChunk)
  {
    return m_chunks.emplace(aChunk.m_number, aChunk).second;
  }
  void Advance(int aNow)
  {
    for (const PendingWrite& write : m_pending) {
      if (write.m_appliedAt <= aNow) {
        Create(write.m_chunk);
      }
    }
    std::erase_if(m_pending, [aNow](const PendingWrite& aWrite) {
      return aWrite.m_appliedAt <= aNow;
    });
  }
};

std::shared_ptr<const Submission>
MakeSubmission()
{
  auto submission = std::make_shared<Submission>();
  for (size_t i = 0; i < kItems; ++i) {
    BatchItem item;
    item.m_id.m_value = "i" + std::to_string(i);
    submission->m_items.push_back(std::move(item));
  }
  return submission;
}

BatchRun
LoadOwner(const StoreModel& aStore)
{
  BatchPolicy policy;
  policy.m_itemDeadline = At(1'000'000);
  BatchRun run = MakeBatchRun(MakeSubmission(), policy);
  for (const auto& [number, chunk] : aStore.m_chunks) {
    AdoptChunk(run, chunk);
  }
  return run;
}

/// Reads results by position and checks that none changes or repeats.
class Trainer
{
public:
  void Read(const BatchRun& aRun)
  {
    for (size_t i = 0; i < aRun.m_durableResults.size(); ++i) {
      const ItemResult& result = aRun.m_durableResults[i];
      const std::string& text = std::get<Completed>(result.m_outcome).m_text;
      if (i == m_read.size()) {
        CHECK(m_items.insert(result.m_item.m_value).second);
        m_read.emplace_back(result.m_item.m_value, text);
      }
      CHECK(m_read[i] == std::pair(result.m_item.m_value, text));
    }
  }
  size_t Count() const { return m_read.size(); }

private:
  std::vector<std::pair<std::string, std::string>> m_read;
  std::set<std::string> m_items;
};

/// Runs random steps of several owners, the store and the trainer.
class Simulation
{
public:
  explicit Simulation(uint64_t aSeed)
    : m_random(aSeed)
  {
    for (size_t i = 0; i < kOwners; ++i) {
      m_owners.push_back(LoadOwner(m_store));
    }
  }

  void RunSteps()
  {
    for (int step = 0; step < kSteps; ++step) {
      m_now += 40;
      m_store.Advance(m_now);
      BatchRun& owner = m_owners[m_random() % kOwners];
      switch (m_random() % 8) {
        case 0:
          // The owner crashes and loads the durable state again.
          owner = LoadOwner(m_store);
          break;
        case 1:
          m_trainer.Read(owner);
          break;
        case 2:
        case 3:
          WriteNextChunk(owner);
          break;
        default:
          GenerateText(owner);
          break;
      }
    }
    FinishAndCheck();
  }

private:
  void GenerateText(BatchRun& aOwner)
  {
    const std::optional<size_t> item = FindNextItemToStart(aOwner, At(m_now));
    if (!item) {
      return;
    }
    const uint64_t number = StartItemRun(aOwner, *item, { { "e" }, {} });
    // Each run generates a unique text, so that a mix-up is detected.
    const std::string text = "run " + std::to_string(m_runCount++);
    FinishItemRun(
      aOwner, *item, number, { RunCompleted{}, text, 1, { { 1 } } }, At(m_now));
  }

  void WriteNextChunk(BatchRun& aOwner)
  {
    if (!aOwner.m_chunkInFlight && !StartNextChunk(aOwner, At(m_now))) {
      return;
    }
    const ResultChunk chunk = *aOwner.m_chunkInFlight;
    switch (m_random() % 4) {
      case 0:
        // The outcome of the write is unknown; the owner retries later.
        m_store.m_pending.push_back(
          { m_now + static_cast<int>(m_random() % 400), chunk });
        return;
      case 1:
        // The write is applied, but its response is lost.
        m_store.Create(chunk);
        return;
      default:
        break;
    }
    if (m_store.Create(chunk)) {
      CommitChunk(aOwner);
      return;
    }
    ResolveChunkConflict(
      aOwner, m_store.m_chunks.at(chunk.m_number), At(m_now));
  }

  void FinishAndCheck()
  {
    m_store.Advance(INT32_MAX);
    BatchRun last = LoadOwner(m_store);
    for (int i = 0; i < 1000 && !IsComplete(last); ++i) {
      m_now += 200;
      GenerateText(last);
      if (last.m_chunkInFlight || StartNextChunk(last, At(m_now))) {
        REQUIRE(m_store.Create(*last.m_chunkInFlight));
        CommitChunk(last);
      }
    }
    m_trainer.Read(last);
    CHECK(m_trainer.Count() == kItems);
  }

  std::mt19937_64 m_random;
  StoreModel m_store;
  std::vector<BatchRun> m_owners;
  Trainer m_trainer;
  int m_now = 0;
  int m_runCount = 0;
};

} // namespace

TEST_CASE(
  "concurrent owners never change a result that was read, nor repeat an item")
{
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    INFO("seed " << seed);
    Simulation simulation(seed);
    simulation.RunSteps();
  }
}

TEST_CASE("host ranking ignores the input order, and a lost host moves only "
          "its batches")
{
  const std::vector<std::string> all{ "a", "b", "c", "d" };
  const std::vector<std::string> shuffled{ "d", "b", "a", "c" };
  const std::vector<std::string> fewer{ "a", "b", "d" };
  for (int i = 0; i < 200; ++i) {
    const std::string batch = "batch-" + std::to_string(i);
    const std::string owner = core::RankHosts(all, batch).front();
    CHECK(core::RankHosts(shuffled, batch).front() == owner);
    if (owner != "c") {
      CHECK(core::RankHosts(fewer, batch).front() == owner);
    }
  }
}

} // namespace heatherdeal::batches
