// Not a case: issue 44, part 5. Streams are broken off, and taken up at a front
// that was frozen while some workers started again under their ids with another
// version of their software.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

#include "deployment.h"
#include "worker.h"
#include "world.h"

namespace {

using namespace review;

constexpr int kStreams = 32;
// Every second channel of the front is reset.
constexpr int kEvents = 24;
constexpr int kEventBytes = 2000;
constexpr int kEngines = 8;
constexpr int kFronts = 8;
// The share of a release in the site file is 0.45.
constexpr int kRestarted = 3;
// The site file freezes a machine for 3.5 s.
constexpr int64_t kFreezeMs = 3'500;
constexpr uint16_t kProxyPort = 9161;

std::atomic<int> g_connections{ 0 };

/// Forwards one channel to the front. Resets it on both sides after the first
/// quarter of the answer if it is one that is to be reset.
void
ForwardChannel(Channel& aRequester, const std::string& aFront)
{
  const bool isReset = g_connections++ % 2 == 0;
  const Message request = aRequester.Read(NowMs() + 9000);
  const auto front = Connect(aFront, kFrontPort, 1000);
  if (!request.m_isComplete || !front) {
    return;
  }
  std::string bytes = request.m_startLine + "\r\n";
  for (const auto& [name, value] : request.m_headers) {
    bytes += name + ": " + value + "\r\n";
  }
  front->Send(bytes + "\r\n" + request.m_body);
  size_t forwarded = 0;
  char part[2048];
  for (;;) {
    const ssize_t count = ::recv(front->Socket(), part, sizeof part, 0);
    if (count <= 0 ||
        !aRequester.Send(std::string(part, static_cast<size_t>(count)))) {
      return;
    }
    forwarded += static_cast<size_t>(count);
    if (isReset && forwarded > kEvents * kEventBytes / 4) {
      // What was sent is received before the reset.
      SleepMs(20);
      front->Reset();
      aRequester.Reset();
      return;
    }
  }
}

std::string
MakeId(const char* aKind, int aStream)
{
  char id[32];
  std::snprintf(id, sizeof id, "c8%s00000000%04x", aKind, aStream);
  return id;
}

/// Sends the request and records what comes.
ReceivedStream
Ask(const std::string& aAddress, uint16_t aPort, const StreamRequest& aRequest)
{
  const auto channel = Connect(aAddress, aPort, 1000);
  ReceivedStream stream;
  if (channel) {
    channel->Send(MakeStreamRequest(aRequest));
    stream = ReadStream(*channel, aRequest.m_lastEvent, NowMs() + 9000);
  }
  Record("requester " + aRequest.m_id + " after event " +
         std::to_string(aRequest.m_lastEvent) +
         (aRequest.m_resumes.empty() ? "" : " resumes " + aRequest.m_resumes) +
         ": status " + std::to_string(stream.m_status) +
         (stream.m_isComplete ? " complete" : " cut off") + " at event " +
         std::to_string(stream.m_lastEvent) + ", Retry-After '" +
         stream.m_retryAfter + "'");
  return stream;
}

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
      { "first=100", "gap=20", "bytes=" + std::to_string(kEventBytes) },
      MakeEngineEntry("zone-1", 8));
  }
  deployment.StartHost({ "store-1", deployment.Address(20), "zone-1", false });
  deployment.StartHost({ "store-2", deployment.Address(21), "zone-2", false });
  const std::string front = deployment.Address(10);
  std::vector<std::string> otherFronts;
  for (int i = 0; i < kFronts; ++i) {
    const std::string address = deployment.Address(10 + i);
    const std::string zone = "zone-" + std::to_string(1 + i % 2);
    deployment.StartHost(
      { "front-" + std::to_string(1 + i), address, zone, true });
    if (i > 0) {
      otherFronts.push_back(address);
    }
  }
  for (int i = 0; i < kFronts; ++i) {
    if (!deployment.AwaitReady(deployment.Address(10 + i), 15000)) {
      std::fprintf(stderr, "the fronts are not ready\n");
      deployment.Finish(2);
    }
  }
  Listen(front, kProxyPort, [&](Channel& aChannel) {
    ForwardChannel(aChannel, front);
  });
  SleepMs(5000);
  // Each stream is broken off after some events.
  std::vector<int> last(kStreams, 0);
  std::vector<std::thread> requesters;
  for (int i = 0; i < kStreams; ++i) {
    requesters.emplace_back([&, i] {
      last[i] =
        Ask(front,
            kProxyPort,
            { MakeId("01", i), "5eed" + std::to_string(i), kEvents, 0, "" })
          .m_lastEvent;
    });
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  requesters.clear();
  // What began the streams is in the store by now.
  SleepMs(5000);
  const std::string frozen = "front-2";
  if (IsTroubleWanted()) {
    Record("trouble: " + frozen + " freezes");
    deployment.Host(frozen).Signal(SIGSTOP);
  }
  SleepMs(500);
  for (int i = 0; i < kRestarted; ++i) {
    const std::string id = "i-engine-" + std::to_string(i);
    Record("operator starts " + id + " again with version v2");
    deployment.Host(id).Kill();
    json::value entry = MakeEngineEntry("zone-1", 8);
    entry.as_object()["version"] = "v2";
    deployment.StartWorker(
      id,
      "engines",
      deployment.Address(30 + i),
      { "first=100", "gap=20", "bytes=" + std::to_string(kEventBytes) },
      std::move(entry));
  }
  SleepMs(kFreezeMs - 900);
  for (int i = 0; i < kStreams; ++i) {
    if (last[i] == 0 || last[i] == kEvents) {
      continue;
    }
    requesters.emplace_back([&, i] {
      Ask(otherFronts[0],
          kFrontPort,
          { MakeId("02", i),
            "5eed" + std::to_string(i),
            kEvents,
            last[i],
            MakeId("01", i) });
    });
  }
  SleepMs(400);
  if (IsTroubleWanted()) {
    Record("trouble: " + frozen + " wakes");
    deployment.Host(frozen).Signal(SIGCONT);
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  // All streams began at v1; the restarted workers are v2.
  int joined = 0;
  int goneOn = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string worker = FindWorkerOf(aArgv[1], MakeId("02", i));
    goneOn += worker.empty() ? 0 : 1;
    for (int engine = 0; engine < kRestarted; ++engine) {
      joined += worker == "i-engine-" + std::to_string(engine) ? 1 : 0;
    }
  }
  std::printf("of %d streams that were taken up, %d went on at a worker of "
              "another software version\n",
              goneOn,
              joined);
  deployment.Finish(joined > 2 ? 1 : 0);
}
