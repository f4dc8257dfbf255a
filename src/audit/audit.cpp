#include "audit/audit.h"

#include <algorithm>
#include <iostream>
#include <optional>

#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"

#include "audit/findings.h"
#include "kernel/json.h"
#include "tools/blockingclient.h"

namespace heatherdeal::audit {

namespace {

constexpr core::Duration kRequestTimeout = std::chrono::seconds(2);
constexpr core::Duration kPollInterval = std::chrono::milliseconds(500);

/// Reads GET /seen of one stand-in; nullopt if it cannot be read.
std::optional<boost::json::value>
FetchObservation(tools::BlockingClient& aClient, const core::Endpoint& aPeer)
{
  http::Request request;
  request.m_target = "/seen";
  const absl::StatusOr<http::Response> response =
    aClient.Call(aPeer, std::move(request), kernel::Now() + kRequestTimeout);
  if (!response.ok()) {
    return std::nullopt;
  }
  const auto value = kernel::ParseJson(response->m_body, "seen");
  if (!value.ok()) {
    return std::nullopt;
  }
  return *value;
}

/// Reads GET /seen of all peers and leaves out those that cannot be read.
std::vector<boost::json::value>
FetchObservations(tools::BlockingClient& aClient,
                  std::span<const core::Endpoint> aPeers)
{
  std::vector<boost::json::value> fetched;
  for (const core::Endpoint& peer : aPeers) {
    std::optional<boost::json::value> value = FetchObservation(aClient, peer);
    if (value) {
      fetched.push_back(*std::move(value));
    }
  }
  return fetched;
}

void
PrintProgress(std::span<const boost::json::value> aTrainers)
{
  for (const boost::json::value& trainer : aTrainers) {
    std::cout << "  batch " << trainer.at("batches").to_number<uint64_t>()
              << ", groups "
              << trainer.at("groups_held_to").to_number<uint64_t>() << " of "
              << trainer.at("groups_wanted").to_number<uint64_t>()
              << ", version " << trainer.at("version").to_number<uint64_t>()
              << std::endl;
  }
}

bool
AreAllDone(std::span<const boost::json::value> aTrainers, size_t aExpectedCount)
{
  return aTrainers.size() == aExpectedCount &&
         std::ranges::all_of(aTrainers,
                             [](const boost::json::value& aObservation) {
                               return aObservation.at("done").as_bool();
                             });
}

void
SleepFor(core::Duration aDuration)
{
  boost::asio::io_context loop;
  boost::asio::steady_timer timer(loop, aDuration);
  timer.wait();
}

} // namespace

int
RunAudit(const AuditSettings& aSettings)
{
  tools::BlockingClient client;
  const core::Instant deadline = kernel::Now() + aSettings.m_timeLimit;
  std::vector<boost::json::value> trainers;
  while (kernel::Now() < deadline) {
    trainers = FetchObservations(client, aSettings.m_trainers);
    if (AreAllDone(trainers, aSettings.m_trainers.size())) {
      break;
    }
    PrintProgress(trainers);
    SleepFor(kPollInterval);
  }
  Observations observations;
  observations.m_trainers = FetchObservations(client, aSettings.m_trainers);
  observations.m_callers = FetchObservations(client, aSettings.m_callers);
  observations.m_plainServices =
    FetchObservations(client, aSettings.m_plainServices);
  observations.m_engines = FetchObservations(client, aSettings.m_engines);
  const Findings findings = ComputeFindings(observations);
  std::cout << FormatTable(aSettings.m_deployment, findings);
  std::vector<std::string> violations = DescribeViolations(findings);
  if (observations.m_trainers.size() != aSettings.m_trainers.size() ||
      observations.m_callers.size() != aSettings.m_callers.size()) {
    violations.emplace_back("GET /seen failed at a trainer or caller stand-in");
  }
  for (const std::string& violation : violations) {
    std::cout << "  BROKEN " << violation << '\n';
  }
  return violations.empty() ? 0 : 1;
}

} // namespace heatherdeal::audit
