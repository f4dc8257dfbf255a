// Two batches are done and read. In one of them an item's output is empty. The
// processes of the store machines are killed and come back; the batches are
// read again.

#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "boost/json/parse.hpp"
#include "boost/json/serialize.hpp"

#include "deployment.h"
#include "worker.h"
#include "world.h"

namespace {

using namespace review;

constexpr int kItems = 8;
constexpr int kEvents = 10;
constexpr int kEngines = 8;
constexpr int kStores = 4;
constexpr int64_t kFirstReadMs = 20'000;
// Well over contactMs, catchUpS and recoverS together.
constexpr int64_t kSecondReadMs = 25'000;

struct Batch
{
  std::string m_id;
  std::string m_what;
  bool m_hasEmptyOutput = false;
};

json::value
MakeConfiguration()
{
  return {
    { "version", 7 },
    { "routes",
      json::array{ { { "name", "texts" },
                     { "host", kHostName },
                     { "pathPrefix", "/texts/" },
                     { "kind", "rollout" },
                     { "timeoutMs", 10000 },
                     { "sloMs", 400 },
                     { "runTargetMs", 7500 },
                     { "maxQueueS", 60 },
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
            { { "slots", 8 },
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
MakeSubmission(const Batch& aBatch)
{
  json::array items;
  for (int item = 0; item < kItems; ++item) {
    char suffix[8];
    std::snprintf(suffix, sizeof suffix, "%02x", item);
    const std::string id = aBatch.m_id.substr(0, 14) + suffix;
    const bool isEmpty = aBatch.m_hasEmptyOutput && item == 0;
    json::object headers{
      { "Model", "model-1" },
      { "Token-Counts", "64," + std::to_string(isEmpty ? 1 : kEvents) },
      { "Prompt-Prefix", (isEmpty ? "empty" : "5eed") + id + ":64" }
    };
    items.push_back({ { "id", id },
                      { "path", "/texts/" + std::to_string(item) },
                      { "headers", std::move(headers) },
                      { "body", "q83vEjRWeJA=" },
                      { "tokens", 64 + kEvents },
                      { "group", "g" + std::to_string(item / 4) },
                      { "scorer",
                        { { "id", "4" + id.substr(1) },
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
         "\r\nRequest-Id: " + aBatch.m_id +
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

/// Reads all results of the batch from the start. Returns them by position, as
/// many as come until the time is up.
std::vector<std::string>
ReadResults(const std::string& aFront,
            const std::string& aBatch,
            int64_t aDeadlineMs)
{
  std::vector<std::string> results;
  std::map<int, int> otherAnswers;
  while (results.size() < kItems && NowMs() < aDeadlineMs) {
    const Message response =
      CallFront(aFront,
                "GET /heatherdeal/lots/" + aBatch +
                  "?after=" + std::to_string(results.size()) +
                  " HTTP/1.1\r\nHost: " + std::string(kHostName) +
                  "\r\nWait-Ms: 500\r\n\r\n");
    if (!response.m_isComplete || response.Status() != 200) {
      otherAnswers[response.Status()] += 1;
      SleepMs(500);
      continue;
    }
    const json::value page = json::parse(response.m_body);
    for (const json::value& result : page.at("results").as_array()) {
      results.push_back(json::serialize(result));
    }
  }
  std::string line = "requester reads " + aBatch + ": " +
                     std::to_string(results.size()) + " of " +
                     std::to_string(kItems) + " results";
  for (const auto& [status, count] : otherAnswers) {
    line +=
      ", " + std::to_string(count) + " x status " + std::to_string(status);
  }
  Record(line);
  return results;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc > 2 && std::string(aArgv[1]) == "worker") {
    return RunWorker(aArgc, aArgv);
  }
  const Batch batches[] = {
    { "b100000000000000", "plain", false },
    { "b200000000000000", "an item's output is empty", true },
  };
  Deployment deployment(aArgv[1]);
  deployment.TheStore().Put("config", "main", MakeConfiguration());
  for (int i = 0; i < kEngines; ++i) {
    deployment.StartWorker("i-engine-" + std::to_string(i),
                           "engines",
                           deployment.Address(30 + i),
                           { "first=50", "gap=20", "bytes=24" },
                           MakeEngineEntry("zone-1", 8));
  }
  deployment.StartWorker(
    "i-plain",
    "plain",
    deployment.Address(50),
    { "plain" },
    { { "zone", "zone-1" }, { "version", "v1" }, { "slots", 12 } });
  const auto startStores = [&] {
    for (int i = 0; i < kStores; ++i) {
      deployment.StartHost({ "store-" + std::to_string(i),
                             deployment.Address(20 + i),
                             "zone-" + std::to_string(i),
                             false });
    }
  };
  startStores();
  const std::string front = deployment.Address(10);
  deployment.StartHost({ "front-1", front, "zone-1", true });
  if (!deployment.AwaitReady(front, 15000)) {
    std::fprintf(stderr, "the front is not ready\n");
    deployment.Finish(2);
  }
  SleepMs(5000);
  std::map<std::string, std::vector<std::string>> before;
  for (const Batch& batch : batches) {
    int status = 0;
    for (int i = 0; i < 10 && status != 202; ++i) {
      status = CallFront(front, MakeSubmission(batch)).Status();
      Record("requester submits " + batch.m_id + " (" + batch.m_what +
             "), answer " + std::to_string(status));
      SleepMs(status == 202 ? 0 : 500);
    }
    before[batch.m_id] = ReadResults(front, batch.m_id, NowMs() + kFirstReadMs);
    if (status != 202 || before[batch.m_id].size() < kItems) {
      std::fprintf(stderr,
                   "%s is not done: answer %d, %zu results\n",
                   batch.m_id.c_str(),
                   status,
                   before[batch.m_id].size());
      deployment.Finish(2);
    }
  }
  if (IsTroubleWanted()) {
    Record("trouble: the processes of all store machines are killed");
    for (int i = 0; i < kStores; ++i) {
      deployment.Host("store-" + std::to_string(i)).Kill();
    }
    SleepMs(500);
    Record("the platform starts them again");
    startStores();
  }
  const int64_t limit = NowMs() + kSecondReadMs;
  int broken = 0;
  for (const Batch& batch : batches) {
    const bool isSame =
      ReadResults(front, batch.m_id, limit) == before[batch.m_id];
    Record(batch.m_id + " (" + batch.m_what +
           "): " + (isSame ? "the same results" : "NOT READABLE AS BEFORE"));
    std::printf("%s (%s): %s\n",
                batch.m_id.c_str(),
                batch.m_what.c_str(),
                isSame ? "read again" : "can't be read again");
    broken += isSame ? 0 : 1;
  }
  deployment.Finish(broken > 0 ? 1 : 0);
}
