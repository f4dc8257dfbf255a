// A rollout host starts while the store is down, and loads its batches before
// the configuration has reached it. Rule: VERSION (several versions in a result
// of a singleVersion route).
#include <boost/json/src.hpp>

#include "trainer.hpp"

using namespace review;

namespace {

constexpr int kDownForMs = 4500;
constexpr int kEpisodes = 4;
constexpr int kEvents = 60;
constexpr int kEventMs = 40;

} // namespace

int
main(int, char** aArgv)
{
  System system(aArgv[1]);
  Record& record = system.m_record;
  const bool hasTrouble = HasTrouble();
  json::object train = MakeRolloutRoute("reply");
  train["singleVersion"] = true;
  const auto configuration =
    MakeConfiguration({ train, MakeRoute("score", "/score/", "safe", "desk") },
                      { MakeModelService("reply", "m0"),
                        { { "name", "desk" },
                          { "healthPath", "/health" },
                          { "maxConns", 110 } } });
  if (!system.Start(configuration)) {
    system.Finish(2);
  }
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 12; ++i) {
    Worker::Spec spec;
    spec.m_service = i < 9 ? "reply" : "desk";
    spec.m_model = i < 9 ? "m0" : "";
    spec.m_address = system.WorkerAddress(i);
    spec.m_port = system.m_ports.m_worker;
    spec.m_zone = "z" + std::to_string(1 + i % 3);
    spec.m_events = kEvents;
    spec.m_eventMs = kEventMs;
    workers.push_back(std::make_unique<Worker>(system.m_store, record, spec));
    if (!workers.back()->Start()) {
      system.Finish(2);
    }
  }
  SleepMs(5000);

  std::mt19937_64 random(std::random_device{}());
  size_t results = 0;
  size_t completed = 0;
  size_t broken = 0;
  uint64_t version = 1;
  const auto check = [&](const Batch& aBatch) {
    for (const json::object& result : aBatch.m_results) {
      results += 1;
      completed += result.at("state").as_string() == "completed";
      if (result.at("state").as_string() == "completed" &&
          result.at("versions").as_array().size() > 1) {
        if (broken < 40)
          record.Line("BROKEN VERSION: item " +
                      std::string(result.at("id").as_string()) + " of batch " +
                      aBatch.m_id + " has versions " +
                      json::serialize(result.at("versions")));
        broken += 1;
      }
    }
  };
  for (int episode = 0; episode < kEpisodes; ++episode) {
    // Four batches, so that both owners most likely have one.
    std::vector<Batch> batches;
    for (int i = 0; i < 4; ++i) {
      batches.push_back(MakeBatch(random, 12, "m0", episode, true));
      Submit(system, random, batches.back(), 3);
    }
    SleepMs(500);
    if (hasTrouble) {
      record.Line("the store is down: it answers 503");
      system.m_store.m_isDown = true;
      for (auto& machine : system.m_rollouts) {
        machine->Kill();
      }
      record.Line("the processes of the store machines are killed");
      SleepMs(500);
      for (auto& machine : system.m_rollouts) {
        machine->Start();
      }
      record.Line("they are started again");
      SleepMs(kDownForMs - 500);
      system.m_store.m_isDown = false;
      record.Line("the store is sound again");
    }
    // A trainer names its versions while the texts are made.
    for (int i = 0; i < 2; ++i) {
      SleepMs(i == 0 ? 1500 : 3000);
      version += 1;
      Worker::m_newest = version;
      system.m_store.Put(
        "versions",
        "m0",
        json::object{ { "model", "m0" }, { "version", version } });
      record.Line("version " + std::to_string(version) + " is named");
    }
    const double until = record.Now() + 8;
    const auto isWhole = [](const Batch& aBatch) {
      return aBatch.m_results.size() >= aBatch.m_items.size();
    };
    while (record.Now() < until &&
           !std::all_of(batches.begin(), batches.end(), isWhole)) {
      for (Batch& batch : batches) {
        if (!isWhole(batch)) {
          ReadOn(system, random, batch, 100);
        }
      }
      SleepMs(50);
    }
    for (Batch& batch : batches) {
      check(batch);
      End(system, random, batch, 3);
    }
    SleepMs(1000);
  }
  record.Line(std::to_string(results) + " results, " +
              std::to_string(completed) + " completed, " +
              std::to_string(broken) + " with several versions");
  record.Line(broken > 0      ? "result: broken"
              : completed > 0 ? "result: held"
                              : "result: could not run");
  system.Finish(broken > 0 ? 1 : completed > 0 ? 0 : 2);
}
