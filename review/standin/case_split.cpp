// A route of a trainer is split over two services of model workers, half and
// half. The only worker of one service, one of six, is lost for good. Rule:
// LOST (a step runs out of time while items are at no worker).
#include <boost/json/src.hpp>

#include "trainer.hpp"

using namespace review;

namespace {

constexpr size_t kFirstWorkers = 5;
constexpr size_t kSecondWorkers = 1;
constexpr int kHeartbeatMs = 1200;
constexpr double kStepLimitS = 12.0;
constexpr double kIdleS = 5.0;

} // namespace

int
main(int, char** aArgv)
{
  System system(aArgv[1]);
  Record& record = system.m_record;
  std::mt19937_64 random(std::random_device{}());
  const bool hasTrouble = HasTrouble();

  json::object train = MakeRolloutRoute("reply-a");
  train.erase("service");
  train["split"] =
    json::array{ { { "service", "reply-a" }, { "weight", 50 } },
                 { { "service", "reply-b" }, { "weight", 50 } } };
  const auto configuration =
    MakeConfiguration({ train, MakeRoute("score", "/score/", "safe", "desk") },
                      { MakeModelService("reply-a", "m0"),
                        MakeModelService("reply-b", "m0"),
                        { { "name", "desk" },
                          { "healthPath", "/health" },
                          { "maxConns", 110 } } });
  if (!system.Start(configuration)) {
    record.Line("the system did not start");
    system.Finish(2);
  }
  // When each item was last at a worker, and since when none was over half
  // full.
  std::mutex mutex;
  std::map<std::string, double> lastRun;
  std::set<std::string> finished;
  std::vector<std::unique_ptr<Worker>> workers;
  const auto add = [&](const std::string& aService, const std::string& aModel) {
    Worker::Spec spec;
    spec.m_service = aService;
    spec.m_model = aModel;
    spec.m_address = system.WorkerAddress(static_cast<int>(workers.size()));
    spec.m_port = system.m_ports.m_worker;
    spec.m_zone = "z" + std::to_string(1 + workers.size() % 3);
    workers.push_back(std::make_unique<Worker>(system.m_store, record, spec));
    workers.back()->m_onRun =
      [&](const Worker&, const std::string& aId, const Message&) {
        const std::scoped_lock lock(mutex);
        lastRun[aId] = record.Now();
      };
    workers.back()->m_onEnd = [&](const Worker&, const std::string& aId) {
      const std::scoped_lock lock(mutex);
      finished.insert(aId);
    };
    return workers.back()->Start();
  };
  bool started = true;
  for (size_t i = 0; i < kFirstWorkers; ++i) {
    started = started && add("reply-a", "m0");
  }
  for (size_t i = 0; i < kSecondWorkers; ++i) {
    started = started && add("reply-b", "m0");
  }
  for (size_t i = 0; i < 3; ++i) {
    started = started && add("desk", "");
  }
  if (!started) {
    system.Finish(2);
  }
  SleepMs(5000);

  bool isBroken = false;
  bool couldRun = true;
  const auto playStep = [&](int aStep, bool aIsJudged) {
    Batch batch = MakeBatch(random, 31, "m0", aStep);
    Submit(system, random, batch, 2);
    int mostRunning = 0;
    double idleSince = record.Now();
    while (record.Now() < batch.m_sentAt + kStepLimitS &&
           CountWholeGroups(batch) < batch.m_wanted) {
      const double before = record.Now();
      ReadOn(system, random, batch, 400);
      int running = 0;
      for (size_t i = 0; i < kFirstWorkers; ++i) {
        running += workers[i]->Running();
      }
      if (running * 2 >= static_cast<int>(kFirstWorkers) * 8) {
        idleSince = record.Now();
      }
      mostRunning = std::max(mostRunning, running);
      if (record.Now() - before < 0.4) {
        SleepMs(100);
      }
    }
    const size_t whole = CountWholeGroups(batch);
    const double now = record.Now();
    size_t atNoWorker = 0;
    size_t begun = 0;
    {
      const std::scoped_lock lock(mutex);
      for (const std::string& item : batch.m_items) {
        begun += lastRun.contains(item);
        const double since =
          lastRun.contains(item) ? lastRun[item] : batch.m_sentAt;
        atNoWorker += !finished.contains(item) && now - since >= kIdleS;
      }
    }
    End(system, random, batch, 2);
    record.Line(
      "step " + std::to_string(aStep) + ": " + std::to_string(whole) + " of " +
      std::to_string(batch.m_wanted) + " groups in " +
      std::to_string(now - batch.m_sentAt) + " s; items begun " +
      std::to_string(begun) + ", unfinished and at no worker for 5 s " +
      std::to_string(atNoWorker) + ", most running at once in reply-a " +
      std::to_string(mostRunning) + " of " + std::to_string(kFirstWorkers * 8) +
      ", under half full for " + std::to_string(now - idleSince) + " s");
    const bool ranOut = whole < batch.m_wanted;
    if (aIsJudged && ranOut && begun > 0 && atNoWorker > 0 &&
        now - idleSince >= kIdleS) {
      record.Line("BROKEN LOST: step " + std::to_string(aStep) +
                  " ran out of time while " + std::to_string(atNoWorker) +
                  " items were at no worker");
      isBroken = true;
    }
    if (!aIsJudged && ranOut) {
      couldRun = false;
    }
    return !ranOut;
  };
  playStep(0, false);
  playStep(1, false);
  if (hasTrouble) {
    for (size_t i = kFirstWorkers; i < kFirstWorkers + kSecondWorkers; ++i) {
      workers[i]->LoseForGood(kHeartbeatMs);
    }
  }
  // Longer than three liveness reports and contactMs.
  SleepMs(10000);
  for (int step = 2; step < 5; ++step) {
    playStep(step, true);
  }
  record.Line(isBroken   ? "result: broken"
              : couldRun ? "result: held"
                         : "result: could not run");
  system.Finish(isBroken ? 1 : couldRun ? 0 : 2);
}
