// Not a case: it runs for 175 s, and nothing is disrupted. A batch of long
// texts stays open, and is read each second.

#include <cstdio>
#include <string>

#include "boost/json/serialize.hpp"

#include "worker.h"
#include "world.h"

namespace {

using namespace review;

constexpr int kEngines = 8;
constexpr int kSlots = 8;
// One slot of each worker stays free.
constexpr int kItems = kEngines * (kSlots - 1);
constexpr int kEvents = 400;
constexpr int64_t kDurationMs = 175'000;
constexpr int kEventBytes = 24;
constexpr std::string_view kBatch = "b0000000000000ab";

std::string
ItemId(int aItem)
{
  char id[32];
  std::snprintf(id, sizeof id, "e0000000000000%02x", aItem);
  return id;
}

std::string
Seed(int aItem)
{
  return "5eed" + std::to_string(aItem) + ":64";
}

json::value
MakeConfiguration()
{
  return {
    { "version", 7 },
    { "routes",
      json::array{ { { "name", "rewards" },
                     { "host", "h.example" },
                     { "pathPrefix", "/reward/" },
                     { "kind", "safe" },
                     { "timeoutMs", 2000 },
                     { "sloMs", 150 },
                     { "priority", 2 },
                     { "service", "plain" },
                     { "maxAttempts", 3 } },
                   { { "name", "texts" },
                     { "host", "h.example" },
                     { "pathPrefix", "/texts/" },
                     { "kind", "rollout" },
                     { "timeoutMs", 10000 },
                     { "sloMs", 400 },
                     { "runTargetMs", 7500 },
                     { "maxQueueS", 600 },
                     { "priority", 1 },
                     { "service", "engines" },
                     { "maxAttempts", 3 } } } },
    { "services",
      json::array{
        { { "name", "plain" },
          { "healthPath", "/health" },
          { "maxConns", 110 },
          { "protocol", "h1" },
          { "tls", false } },
        { { "name", "engines" },
          { "healthPath", "/health" },
          { "maxConns", 140 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine",
            { { "slots", kSlots },
              { "kvCapacity", 100000 },
              { "models", json::array{ { { "name", "model-1" } } } } } } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 33554432 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  };
}

std::string
MakeSubmission()
{
  json::array items;
  for (int item = 0; item < kItems; ++item) {
    char scorer[32];
    std::snprintf(scorer, sizeof scorer, "40000000000000%02x", item);
    items.push_back({ { "id", ItemId(item) },
                      { "path", "/texts/" + std::to_string(item) },
                      { "headers",
                        { { "Model", "model-1" },
                          { "Token-Counts", "64," + std::to_string(kEvents) },
                          { "Prompt-Prefix", Seed(item) } } },
                      { "body", "q83vEjRWeJA=" },
                      { "tokens", 64 + kEvents },
                      { "group", "g" + std::to_string(item / 4) },
                      { "scorer",
                        { { "id", scorer },
                          { "host", "h.example" },
                          { "path", "/reward/1" },
                          { "body", "3q2+7w==" } } } });
  }
  const json::value body{ { "step", 0 },
                          { "model", "model-1" },
                          { "minVersion", 1 },
                          { "desiredCount", kItems / 4 },
                          { "items", std::move(items) } };
  const std::string text = json::serialize(body);
  return "POST /texts/step HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " +
         std::string(kBatch) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(text.size()) + "\r\n\r\n" + text;
}

int
CallFront(const std::string& aFront,
          const std::string& aRequest,
          Message& aResponse)
{
  const auto channel = Connect(aFront, kFrontPort, 1000);
  if (!channel || !channel->Send(aRequest)) {
    return 0;
  }
  aResponse = channel->Read(NowMs() + 6000);
  return aResponse.m_isComplete ? aResponse.Status() : 0;
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
  const json::value engine{ { "zone", "zone-1" },
                            { "version", "v1" },
                            { "slots", kSlots },
                            { "stage", "both" },
                            { "models",
                              json::array{
                                { { "name", "model-1" },
                                  { "version", 1 },
                                  { "adapters", json::array() } } } } };
  for (int i = 0; i < kEngines; ++i) {
    deployment.StartWorker("i-engine-" + std::to_string(i),
                           "engines",
                           deployment.Address(30 + i),
                           { "first=300", "gap=1000", "bytes=24" },
                           engine);
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
  Message response;
  int status = 0;
  for (int i = 0; i < 10 && status != 202; ++i) {
    status = CallFront(front, MakeSubmission(), response);
    Record("requester submits, answer " + std::to_string(status));
    SleepMs(status == 202 ? 0 : 500);
  }
  if (status != 202) {
    deployment.Finish(2);
  }
  const int64_t start = NowMs();
  int last = 0;
  bool wasGone = false;
  while (NowMs() - start < kDurationMs) {
    const int read = CallFront(front,
                               "GET /heatherdeal/lots/" + std::string(kBatch) +
                                 "?after=0 HTTP/1.1\r\nHost: h.example\r\n\r\n",
                               response);
    const int body =
      CallFront(front,
                "GET /heatherdeal/items/" + std::string(kBatch) +
                  "?id=" + ItemId(0) + " HTTP/1.1\r\nHost: h.example\r\n\r\n",
                response);
    if (read != last) {
      std::printf("%lld s: results %d, body of an item %d\n",
                  static_cast<long long>((NowMs() - start) / 1000),
                  read,
                  body);
      std::fflush(stdout);
    }
    wasGone = wasGone || read == 404 || body == 404;
    last = read;
    SleepMs(1000);
  }
  deployment.Finish(wasGone ? 1 : 0);
}
