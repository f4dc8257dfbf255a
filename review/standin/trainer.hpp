// A trainer of the review: submits batches at the entry machines, reads their
// results and ends them, as PROTOCOL.md says.
#pragma once

#include "system.hpp"

namespace review {

/// Any answer of an entry machine to a call of a trainer.
inline Message
TrainerCall(System& aSystem,
            std::mt19937_64& aRandom,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody,
            const std::vector<std::pair<std::string, std::string>>& aHeaders,
            int aTimeoutMs)
{
  Message request;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_headers = { { "Host", "line.example" } };
  request.m_headers.insert(
    request.m_headers.end(), aHeaders.begin(), aHeaders.end());
  request.m_body = aBody;
  const auto& machine = aSystem.m_entries[aRandom() % aSystem.m_entries.size()];
  return Call(machine->Address(), aSystem.m_ports.m_front, request, aTimeoutMs);
}

struct Batch
{
  std::string m_id;
  std::vector<std::string> m_items;
  std::string m_body;
  size_t m_wanted = 0;
  double m_sentAt = 0;
  bool m_isAccepted = false;
  std::vector<int> m_answers; // of the submission, 0 for none
  std::vector<json::object> m_results;
};

inline Batch
MakeBatch(std::mt19937_64& aRandom,
          size_t aGroups,
          const std::string& aModel,
          int aStep,
          bool aWantsAll = false)
{
  Batch batch;
  batch.m_id = RandomId(aRandom);
  batch.m_wanted = aWantsAll ? aGroups : std::max<size_t>(1, aGroups * 9 / 10);
  json::object body{ { "step", aStep },
                     { "model", aModel },
                     { "minVersion", 1 },
                     { "desiredCount", batch.m_wanted } };
  body["items"] = MakeItems(aRandom, aGroups, aModel, batch.m_items);
  batch.m_body = json::serialize(body);
  return batch;
}

/// Submits the batch again and again until it is accepted, aTries tries are
/// made or aPatienceS seconds have passed. Honours Retry-After.
inline void
Submit(System& aSystem,
       std::mt19937_64& aRandom,
       Batch& aBatch,
       int aTries,
       double aPatienceS = 1000)
{
  aBatch.m_sentAt = aSystem.m_record.Now();
  const double until = aBatch.m_sentAt + aPatienceS;
  for (int i = 0; i < aTries && !aBatch.m_isAccepted; ++i) {
    if (aSystem.m_record.Now() >= until) {
      return;
    }
    aSystem.m_record.Line("trainer submits batch " + aBatch.m_id + " with " +
                          std::to_string(aBatch.m_items.size()) + " items");
    const Message answer = TrainerCall(
      aSystem,
      aRandom,
      "POST",
      "/train/" + aBatch.m_id.substr(0, 6),
      aBatch.m_body,
      { { "Request-Id", aBatch.m_id }, { "Content-Type", "application/json" } },
      6000);
    aSystem.m_record.Line("submission of " + aBatch.m_id + " is answered " +
                          std::to_string(answer.m_status));
    aBatch.m_answers.push_back(answer.m_status);
    aBatch.m_isAccepted = answer.m_status == 202;
    if (!aBatch.m_isAccepted) {
      const double after = std::atof(answer.Header("Retry-After").c_str());
      SleepMs(std::clamp(static_cast<int>(after * 1000), 50, 4000));
    }
  }
}

/// Reads once from the end of what was read.
inline bool
ReadOn(System& aSystem, std::mt19937_64& aRandom, Batch& aBatch, int aWaitMs)
{
  const Message answer =
    TrainerCall(aSystem,
                aRandom,
                "GET",
                "/heatherdeal/lots/" + aBatch.m_id +
                  "?after=" + std::to_string(aBatch.m_results.size()),
                "",
                { { "Wait-Ms", std::to_string(aWaitMs) } },
                aWaitMs + 2500);
  if (answer.m_status != 200) {
    aSystem.m_record.Line("read of " + aBatch.m_id + " is answered " +
                          std::to_string(answer.m_status));
    return false;
  }
  const json::object body = json::parse(answer.m_body).as_object();
  for (const json::value& result : body.at("results").as_array()) {
    aBatch.m_results.push_back(result.as_object());
  }
  return true;
}

/// Number of groups (four items each, in order) whose results were all read.
inline size_t
CountWholeGroups(const Batch& aBatch)
{
  std::set<std::string> read;
  for (const json::object& result : aBatch.m_results) {
    read.insert(std::string(result.at("id").as_string()));
  }
  size_t groups = 0;
  for (size_t i = 0; i + 4 <= aBatch.m_items.size(); i += 4) {
    groups += read.contains(aBatch.m_items[i]) &&
              read.contains(aBatch.m_items[i + 1]) &&
              read.contains(aBatch.m_items[i + 2]) &&
              read.contains(aBatch.m_items[i + 3]);
  }
  return groups;
}

/// Asks for the end of the batch; returns the status of each try.
inline std::vector<int>
End(System& aSystem, std::mt19937_64& aRandom, Batch& aBatch, int aTries)
{
  std::vector<int> answers;
  for (int i = 0; i < aTries; ++i) {
    const Message answer = TrainerCall(aSystem,
                                       aRandom,
                                       "DELETE",
                                       "/heatherdeal/lots/" + aBatch.m_id,
                                       "",
                                       {},
                                       5000);
    aSystem.m_record.Line("end of " + aBatch.m_id + " is answered " +
                          std::to_string(answer.m_status));
    answers.push_back(answer.m_status);
    if (answer.m_status == 200) {
      break;
    }
    SleepMs(std::clamp(
      static_cast<int>(std::atof(answer.Header("Retry-After").c_str()) * 1000),
      50,
      4000));
  }
  return answers;
}

inline json::object
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aKind,
          const std::string& aService)
{
  return { { "name", aName },         { "host", "line.example" },
           { "pathPrefix", aPrefix }, { "kind", aKind },
           { "service", aService },   { "timeoutMs", 1500 },
           { "sloMs", 400 },          { "maxAttempts", 3 },
           { "priority", 1 } };
}

inline json::object
MakeRolloutRoute(const std::string& aService)
{
  json::object route = MakeRoute("train", "/train/", "rollout", aService);
  route["timeoutMs"] = 10000;
  route["runTargetMs"] = 7500;
  route["maxQueueS"] = 40;
  route["sessionAffinity"] = true;
  route["singleVersion"] = false;
  return route;
}

inline json::object
MakeModelService(const std::string& aName, const std::string& aModel)
{
  return { { "name", aName },
           { "healthPath", "/health" },
           { "maxConns", 140 },
           { "engine",
             { { "models", json::array{ { { "name", aModel } } } } } } };
}

inline json::value
MakeConfiguration(json::array aRoutes, json::array aServices)
{
  return { { "version", 3 },
           { "routes", std::move(aRoutes) },
           { "services", std::move(aServices) },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 33554432 },
               { "headerTimeoutMs", 5000 },
               { "idleTimeoutMs", 30000 } } } };
}

} // namespace review
