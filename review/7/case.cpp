// Another writer's entry in the list of workers holds bytes that can't be read.
// Then the workers of a service are replaced, as planned, while a batch runs.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "boost/json/parse.hpp"
#include "boost/json/serialize.hpp"

#include "deployment.h"
#include "worker.h"
#include "world.h"

namespace {

using namespace review;

constexpr int kEnginesOfService = 8;
constexpr int kSlots = 8;
constexpr int kItems = 48;
constexpr int kEvents = 100;
constexpr int kEventBytes = 24;
constexpr std::string_view kBatch = "b0000000000000ca";
// The time limit of the sheet's trainer.
constexpr int64_t kTimeLimitMs = 12'000;
// An item must not have been at no worker for so long.
constexpr int64_t kMaxIdleMs = 5'000;
// A worker serves for drainMs after its report and a little longer.
constexpr int64_t kDrainMs = 2'000;
constexpr int64_t kLongerMs = 1'500;
constexpr int kReplacedAtOnce = 3;

std::string
ItemId(int aItem)
{
  char id[32];
  std::snprintf(id, sizeof id, "ea000000000000%02x", aItem);
  return id;
}

json::value
MakeEngines(const char* aName)
{
  return { { "name", aName },
           { "healthPath", "/health" },
           { "maxConns", 140 },
           { "protocol", "h1" },
           { "tls", false },
           { "engine",
             { { "slots", kSlots },
               { "kvCapacity", 100000 },
               { "models", json::array{ { { "name", "model-1" } } } } } } };
}

json::value
MakeConfiguration()
{
  return { { "version", 7 },
           { "routes",
             json::array{ { { "name", "texts" },
                            { "host", kHostName },
                            { "pathPrefix", "/texts/" },
                            { "kind", "rollout" },
                            { "timeoutMs", 10000 },
                            { "sloMs", 400 },
                            { "runTargetMs", 7500 },
                            { "maxQueueS", 40 },
                            { "priority", 1 },
                            { "service", "engines" },
                            { "maxAttempts", 3 } },
                          { { "name", "rewards" },
                            { "host", kHostName },
                            { "pathPrefix", "/reward/" },
                            { "kind", "safe" },
                            { "timeoutMs", 2000 },
                            { "sloMs", 150 },
                            { "priority", 2 },
                            { "service", "plain" },
                            { "maxAttempts", 3 } } } },
           { "services",
             json::array{ { { "name", "plain" },
                            { "healthPath", "/health" },
                            { "maxConns", 110 },
                            { "protocol", "h1" },
                            { "tls", false } },
                          MakeEngines("engines") } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 33554432 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

std::string
MakeSubmission()
{
  json::array items;
  for (int item = 0; item < kItems; ++item) {
    items.push_back(
      { { "id", ItemId(item) },
        { "path", "/texts/" + std::to_string(item) },
        { "headers",
          { { "Model", "model-1" },
            { "Token-Counts", "64," + std::to_string(kEvents) },
            { "Prompt-Prefix", "5eed" + std::to_string(item) + ":64" } } },
        { "body", "q83vEjRWeJA=" },
        { "tokens", 64 + kEvents },
        { "group", "g" + std::to_string(item / 4) },
        { "scorer",
          { { "id", "49" + ItemId(item).substr(2) },
            { "host", kHostName },
            { "path", "/reward/1" },
            { "body", "3q2+7w==" } } } });
  }
  const json::value body{ { "step", 0 },
                          { "model", "model-1" },
                          { "minVersion", 1 },
                          { "desiredCount", kItems / 4 },
                          { "items", std::move(items) } };
  const std::string text = json::serialize(body);
  return "POST /texts/step HTTP/1.1\r\nHost: " + std::string(kHostName) +
         "\r\nRequest-Id: " + std::string(kBatch) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(text.size()) + "\r\n\r\n" + text;
}

Message
CallFront(const std::string& aFront, const std::string& aRequest)
{
  const auto channel = Connect(aFront, kFrontPort, 1000);
  if (!channel || !channel->Send(aRequest)) {
    return {};
  }
  return channel->Read(NowMs() + 6000);
}

/// Reads results until all are listed or the time is up, and marks the items.
void
ReadResults(const std::string& aFront,
            int64_t aDeadlineMs,
            std::map<std::string, std::string>& aListed)
{
  while (aListed.size() < kItems && NowMs() < aDeadlineMs) {
    const Message response =
      CallFront(aFront,
                "GET /heatherdeal/lots/" + std::string(kBatch) +
                  "?after=" + std::to_string(aListed.size()) +
                  " HTTP/1.1\r\nHost: " + std::string(kHostName) +
                  "\r\nWait-Ms: 500\r\n\r\n");
    if (!response.m_isComplete || response.Status() != 200) {
      SleepMs(200);
      continue;
    }
    const json::value page = json::parse(response.m_body);
    for (const json::value& result : page.at("results").as_array()) {
      const std::string id(result.at("id").as_string());
      aListed[id] = std::string(result.at("state").as_string());
      Record("requester reads " + id + " " + aListed[id]);
    }
  }
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc > 2 && std::string(aArgv[1]) == "worker") {
    return RunWorker(aArgc, aArgv);
  }
  Deployment deployment(aArgv[1]);
  deployment.TheStore().Put("config", "main", MakeConfiguration());
  const auto startEngine = [&](const char* aKind, int aNumber, int aAddress) {
    deployment.StartWorker(aKind + std::to_string(aNumber),
                           "engines",
                           deployment.Address(aAddress + aNumber),
                           { "first=100", "gap=40", "bytes=24" },
                           MakeEngineEntry("zone-1", kSlots));
  };
  for (int i = 0; i < kEnginesOfService; ++i) {
    startEngine("i-old", i, 30);
  }
  deployment.StartWorker(
    "i-plain",
    "plain",
    deployment.Address(40),
    { "plain" },
    { { "zone", "zone-1" }, { "version", "v1" }, { "slots", 12 } });
  deployment.StartHost({ "store-1", deployment.Address(20), "zone-1", false });
  deployment.StartHost({ "store-2", deployment.Address(21), "zone-2", false });
  const std::string front = deployment.Address(10);
  deployment.StartHost({ "front-1", front, "zone-1", true });
  if (!deployment.AwaitReady(front, 15000)) {
    std::fprintf(stderr, "the front is not ready\n");
    deployment.Finish(2);
  }
  SleepMs(5000);
  if (IsTroubleWanted()) {
    Record("trouble: another writer's entry holds bytes that can't be read");
    deployment.TheStore().Put(
      "servers", "i-foreign", { { "service", "engines\xff\xfe" } });
  }
  // Replaces the workers from aFrom on; the new ones start first.
  const auto replace = [&](int aFrom) {
    const int to = std::min(aFrom + kReplacedAtOnce, kEnginesOfService);
    for (int i = aFrom; i < to; ++i) {
      Record("operator replaces i-old" + std::to_string(i));
      startEngine("i-new", i, 60);
      json::value entry = MakeEngineEntry("zone-1", kSlots);
      json::object& fields = entry.as_object();
      fields["service"] = "engines";
      fields["addr"] = deployment.Address(30 + i) + ":8080";
      fields["state"] = "draining";
      fields["sequence"] = 2;
      deployment.TheStore().Put(
        "servers", "i-old" + std::to_string(i), std::move(entry));
    }
    SleepMs(kDrainMs + kLongerMs);
    for (int i = aFrom; i < to; ++i) {
      Record("i-old" + std::to_string(i) + " exits");
      deployment.Host("i-old" + std::to_string(i)).Kill();
      deployment.TheStore().Remove("servers", "i-old" + std::to_string(i));
    }
  };
  replace(0);
  replace(kReplacedAtOnce);
  int status = 0;
  for (int i = 0; i < 10 && status != 202; ++i) {
    status = CallFront(front, MakeSubmission()).Status();
    Record("requester submits, answer " + std::to_string(status));
    SleepMs(status == 202 ? 0 : 500);
  }
  if (status != 202) {
    deployment.Finish(2);
  }
  const int64_t submittedAt = NowMs();
  SleepMs(1500);
  replace(2 * kReplacedAtOnce);
  // The state is steady: planned work is no impairment.
  const int64_t replacedAt = NowMs();
  std::map<std::string, std::string> listed;
  ReadResults(front, submittedAt + kTimeLimitMs, listed);
  Record("the time of the step is up: " + std::to_string(listed.size()) +
         " of " + std::to_string(kItems) + " items are listed");
  const std::map<std::string, int64_t> lastWork = FindLastWork(aArgv[1]);
  int waiting = 0;
  for (int item = 0; item < kItems; ++item) {
    if (listed.contains(ItemId(item))) {
      continue;
    }
    // No worker has had the item since, in steady state.
    const int64_t since =
      std::max(replacedAt,
               lastWork.contains(ItemId(item)) ? lastWork.at(ItemId(item)) : 0);
    const int64_t idleMs = submittedAt + kTimeLimitMs - since;
    Record("item " + ItemId(item) +
           " isn't listed and has been at no worker "
           "for " +
           std::to_string(idleMs) + " ms of steady state");
    waiting += idleMs >= kMaxIdleMs ? 1 : 0;
  }
  std::printf("%d of %d items were at no worker for %lld s or more when the "
              "step ran out of time\n",
              waiting,
              kItems,
              static_cast<long long>(kMaxIdleMs / 1000));
  deployment.Finish(waiting > 0 ? 1 : 0);
}
