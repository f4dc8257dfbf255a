// Was a case first; REPORT-2.md tells why it is none now.
// Requesters ask for streams at a front. One of the two workers, whose answers
// have no length, crashes while it streams.

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "worker.h"
#include "world.h"

namespace {

using namespace review;

constexpr int kStreams = 12;
constexpr int kEvents = 24;
constexpr int kEngines = 8;

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc > 2 && std::string(aArgv[1]) == "worker") {
    return RunWorker(aArgc, aArgv);
  }
  Deployment deployment(aArgv[1]);
  deployment.TheStore().Put("config", "main", MakeStreamConfiguration());
  for (int i = 0; i < kEngines; ++i) {
    deployment.StartWorker(
      "i-engine-" + std::to_string(i),
      "engines",
      deployment.Address(30 + i),
      { "unframed", "halves", "first=100", "gap=40", "bytes=24" },
      MakeEngineEntry("zone-1", 8));
  }
  deployment.StartHost({ "store-1", deployment.Address(20), "zone-1", false });
  deployment.StartHost({ "store-2", deployment.Address(21), "zone-2", false });
  const std::string front = deployment.Address(10);
  deployment.StartHost({ "front-1", front, "zone-1", true });
  if (!deployment.AwaitReady(front, 15000)) {
    std::fprintf(stderr, "the front is not ready\n");
    deployment.Finish(2);
  }
  SleepMs(5000);
  std::atomic<int> broken{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> requesters;
  for (int i = 0; i < kStreams; ++i) {
    requesters.emplace_back([&, i] {
      char id[32];
      std::snprintf(id, sizeof id, "c70000000000%04x", i);
      const auto channel = Connect(front, kFrontPort, 1000);
      if (!channel) {
        return;
      }
      Record(std::string("requester sends ") + id);
      channel->Send(
        MakeStreamRequest({ id, "5eed" + std::to_string(i), kEvents, 0, "" }));
      const ReceivedStream stream = ReadStream(*channel, 0, NowMs() + 9000);
      const bool looksComplete = stream.m_status == 200 && stream.m_isComplete;
      const bool isWhole = stream.m_lastEvent == kEvents;
      Record(std::string("requester reads ") + id + " status " +
             std::to_string(stream.m_status) +
             (stream.m_isComplete ? " complete" : " cut off") +
             " whole events " + std::to_string(stream.m_lastEvent) + " of " +
             std::to_string(kEvents) +
             (stream.m_endsInEvent ? ", ends within an event" : "") +
             (looksComplete && !isWhole ? " ENDS EARLY AS COMPLETE" : ""));
      served += looksComplete && isWhole ? 1 : 0;
      broken += looksComplete && !isWhole ? 1 : 0;
    });
  }
  if (IsTroubleWanted()) {
    SleepMs(510);
    // The worker at which the first of these streams runs.
    const std::string worker = FindWorkerOf(aArgv[1], "c700000000000000");
    Record("trouble: " + worker + " crashes");
    deployment.Host(worker).Kill();
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  std::printf("of %d streams %d came whole, %d ended early as complete\n",
              kStreams,
              served.load(),
              broken.load());
  if (served == 0) {
    deployment.Finish(2);
  }
  deployment.Finish(broken > 0 ? 1 : 0);
}
