// A batch runs at one service when its route is moved to another one. A worker
// of the first service crashes in the middle of its texts.

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
constexpr int kItems = 32;
constexpr int kEvents = 100;
constexpr int kEventBytes = 24;
constexpr std::string_view kBatch = "b0000000000000c9";
// The time limit of the sheet's trainer.
constexpr int64_t kTimeLimitMs = 12'000;
// An item must not have been at no worker for so long.
constexpr int64_t kMaxIdleMs = 5'000;
// After an impairment has begun, the state is not steady for contactMs.
constexpr int64_t kContactMs = 3'000;

std::string
ItemId(int aItem)
{
  char id[32];
  std::snprintf(id, sizeof id, "e9000000000000%02x", aItem);
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
MakeConfiguration(int aVersion, const char* aService)
{
  return { { "version", aVersion },
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
                            { "service", aService },
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
                          MakeEngines("engines-a"),
                          MakeEngines("engines-b") } },
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
  deployment.TheStore().Put(
    "config", "main", MakeConfiguration(7, "engines-a"));
  for (int i = 0; i < kEnginesOfService; ++i) {
    for (const char service : { 'a', 'b' }) {
      const int base = service == 'a' ? 30 : 60;
      deployment.StartWorker(std::string("i-") + service + std::to_string(i),
                             std::string("engines-") + service,
                             deployment.Address(base + i),
                             { "first=100", "gap=40", "bytes=24" },
                             MakeEngineEntry("zone-1", kSlots));
    }
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
  SleepMs(500);
  Record("operator moves the route to engines-b, version 8");
  deployment.TheStore().Put(
    "config", "main", MakeConfiguration(8, "engines-b"));
  SleepMs(1500);
  int64_t impairedAt = NowMs();
  if (IsTroubleWanted()) {
    Record("trouble: i-a0 crashes");
    deployment.Host("i-a0").Kill();
  }
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
      std::max(impairedAt + kContactMs, lastWork.at(ItemId(item)));
    const int64_t idleMs = submittedAt + kTimeLimitMs - since;
    Record("item " + ItemId(item) +
           " isn't listed and has been at no worker "
           "for " +
           std::to_string(idleMs) + " ms of steady state");
    waiting += idleMs >= kMaxIdleMs ? 1 : 0;
  }
  // What becomes of them, for the record only.
  ReadResults(front, submittedAt + 45'000, listed);
  int lost = 0;
  for (const auto& [id, state] : listed) {
    lost += state == "lost" ? 1 : 0;
  }
  std::printf("%d of %d items were at no worker for %lld s or more when the "
              "step ran out of time; %d are listed as lost in the end\n",
              waiting,
              kItems,
              static_cast<long long>(kMaxIdleMs / 1000),
              lost);
  deployment.Finish(waiting > 0 ? 1 : 0);
}
