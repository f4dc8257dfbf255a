// The answers of the platform's store are lost for a while: a part of its
// writes is not answered and done 1 to 6 s later; then it is down and resets
// its channels. Trainers try for 6 s. Rule: REFUSED (an item runs whose batch
// submission was answered 429 or 503 at every requester attempt).
#include <boost/json/src.hpp>

#include "trainer.hpp"

using namespace review;

namespace {

constexpr double kLostShare = 0.35;
constexpr int kLostForMs = 4500;
constexpr int kLostBeforeDownMs = 3000;
constexpr int kDownForMs = 5900;
constexpr double kPatienceS = 6.0;
constexpr int kTrainers = 6;
constexpr int kBetweenMs = 500;
constexpr int kTimes = 4;

bool
IsPromise(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

} // namespace

int
main(int, char** aArgv)
{
  System system(aArgv[1]);
  Record& record = system.m_record;
  const bool hasTrouble = HasTrouble();
  std::atomic<bool> isLosing{ false };
  std::mutex mutex;
  std::mt19937_64 fateRandom(std::random_device{}());
  system.m_store.m_fate = [&](const std::string& aKind,
                              const std::string& aName,
                              const Message& aRequest) {
    Store::Fate fate;
    const std::scoped_lock lock(mutex);
    if (isLosing &&
        std::uniform_real_distribution<>(0, 1)(fateRandom) < kLostShare) {
      fate.m_isAnswered = false;
      fate.m_lateMs = 1000 + static_cast<int>(fateRandom() % 5000);
      record.Line("store: " + aRequest.m_method + " of " + aKind + " " + aName +
                  " is not answered, and done in " +
                  std::to_string(fate.m_lateMs) + " ms");
    }
    return fate;
  };
  const auto configuration =
    MakeConfiguration({ MakeRolloutRoute("reply"),
                        MakeRoute("score", "/score/", "safe", "desk") },
                      { MakeModelService("reply", "m0"),
                        { { "name", "desk" },
                          { "healthPath", "/health" },
                          { "maxConns", 110 } } });
  if (!system.Start(configuration)) {
    system.Finish(2);
  }
  std::set<std::string> ran;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 12; ++i) {
    Worker::Spec spec;
    spec.m_service = i < 9 ? "reply" : "desk";
    spec.m_model = i < 9 ? "m0" : "";
    spec.m_address = system.WorkerAddress(i);
    spec.m_port = system.m_ports.m_worker;
    spec.m_zone = "z" + std::to_string(1 + i % 3);
    workers.push_back(std::make_unique<Worker>(system.m_store, record, spec));
    workers.back()->m_onRun =
      [&](const Worker&, const std::string& aId, const Message&) {
        const std::scoped_lock lock(mutex);
        ran.insert(aId);
      };
    if (!workers.back()->Start()) {
      system.Finish(2);
    }
  }
  system.m_store.m_isResetting = true;
  SleepMs(5000);

  std::vector<Batch> batches;
  std::atomic<bool> isStopping{ false };
  std::vector<std::thread> trainers;
  for (int i = 0; i < kTrainers; ++i) {
    trainers.emplace_back([&, i] {
      std::mt19937_64 random(std::random_device{}() + static_cast<uint64_t>(i));
      SleepMs(i * kBetweenMs / kTrainers);
      for (int step = 0; !isStopping; ++step) {
        const auto next = Clock::now() + milliseconds(kBetweenMs);
        Batch batch = MakeBatch(random, 1, "m0", step);
        Submit(system, random, batch, 1000, kPatienceS);
        const std::scoped_lock lock(mutex);
        batches.push_back(std::move(batch));
        std::this_thread::sleep_until(next);
      }
    });
  }
  for (int i = 0; i < kTimes; ++i) {
    SleepMs(7000);
    if (hasTrouble) {
      record.Line("the store begins to lose answers");
      isLosing = true;
    }
    SleepMs(kLostBeforeDownMs);
    if (hasTrouble) {
      record.Line("the store is down: it resets its channels");
      system.m_store.m_isDown = true;
    }
    SleepMs(kLostForMs - kLostBeforeDownMs);
    isLosing = false;
    SleepMs(kDownForMs - (kLostForMs - kLostBeforeDownMs));
    system.m_store.m_isDown = false;
    record.Line("the store is sound again");
  }
  SleepMs(2000);
  isStopping = true;
  for (std::thread& trainer : trainers) {
    trainer.join();
  }
  // Late writes take up to 6 s.
  SleepMs(10000);

  size_t accepted = 0;
  size_t refused = 0;
  size_t acceptedRan = 0;
  bool isBroken = false;
  const std::scoped_lock lock(mutex);
  for (const Batch& batch : batches) {
    const size_t begun = static_cast<size_t>(std::count_if(
      batch.m_items.begin(), batch.m_items.end(), [&](const std::string& aId) {
        return ran.contains(aId);
      }));
    const bool isRefused =
      std::all_of(batch.m_answers.begin(), batch.m_answers.end(), IsPromise);
    accepted += batch.m_isAccepted;
    acceptedRan += batch.m_isAccepted && begun == batch.m_items.size();
    refused += isRefused;
    if (isRefused && begun > 0) {
      record.Line("BROKEN REFUSED: batch " + batch.m_id +
                  " got only promises that it doesn't run (" +
                  std::to_string(batch.m_answers.size()) + " attempts) and " +
                  std::to_string(begun) + " of its " +
                  std::to_string(batch.m_items.size()) + " items ran");
      isBroken = true;
    }
  }
  record.Line(std::to_string(batches.size()) + " batches, " +
              std::to_string(accepted) + " accepted (" +
              std::to_string(acceptedRan) + " of these ran whole), " +
              std::to_string(refused) + " refused at every attempt");
  record.Line(isBroken ? "result: broken"
              : accepted > 0 && acceptedRan == accepted
                ? "result: held"
                : "result: could not run");
  system.Finish(isBroken ? 1 : accepted > 0 && acceptedRan == accepted ? 0 : 2);
}
