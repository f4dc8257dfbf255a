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

constexpr core::Duration kCallTime = std::chrono::seconds(2);
constexpr core::Duration kInterval = std::chrono::milliseconds(500);

/// Reads GET /seen of one stand-in; nullopt if it cannot be read.
std::optional<boost::json::value>
Ask(tools::BlockingClient& aClient, const core::Endpoint& aPeer)
{
  http::Request request;
  request.m_target = "/seen";
  const absl::StatusOr<http::Answer> answer =
    aClient.Call(aPeer, std::move(request), kernel::Now() + kCallTime);
  if (!answer.ok()) {
    return std::nullopt;
  }
  const auto value = kernel::ParseJson(answer->m_body, "seen");
  if (!value.ok()) {
    return std::nullopt;
  }
  return *value;
}

/// Reads GET /seen of all peers and leaves out those that cannot be read.
std::vector<boost::json::value>
AskAll(tools::BlockingClient& aClient, std::span<const core::Endpoint> aPeers)
{
  std::vector<boost::json::value> seen;
  for (const core::Endpoint& peer : aPeers) {
    std::optional<boost::json::value> value = Ask(aClient, peer);
    if (value) {
      seen.push_back(*std::move(value));
    }
  }
  return seen;
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
AreDone(std::span<const boost::json::value> aTrainers, size_t aExpected)
{
  return aTrainers.size() == aExpected &&
         std::ranges::all_of(aTrainers, [](const boost::json::value& aSeen) {
           return aSeen.at("done").as_bool();
         });
}

void
Wait(core::Duration aDuration)
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
  const core::Instant deadline = kernel::Now() + aSettings.m_limit;
  std::vector<boost::json::value> trainers;
  while (kernel::Now() < deadline) {
    trainers = AskAll(client, aSettings.m_trainers);
    if (AreDone(trainers, aSettings.m_trainers.size())) {
      break;
    }
    PrintProgress(trainers);
    Wait(kInterval);
  }
  Sightings sightings;
  sightings.m_trainers = AskAll(client, aSettings.m_trainers);
  sightings.m_callers = AskAll(client, aSettings.m_callers);
  sightings.m_plainServices = AskAll(client, aSettings.m_plainServices);
  sightings.m_engines = AskAll(client, aSettings.m_engines);
  const Findings findings = Judge(sightings);
  std::cout << ToTable(aSettings.m_deployment, findings);
  std::vector<std::string> broken = BrokenPromises(findings);
  if (sightings.m_trainers.size() != aSettings.m_trainers.size() ||
      sightings.m_callers.size() != aSettings.m_callers.size()) {
    broken.emplace_back("a stand-in did not answer");
  }
  for (const std::string& promise : broken) {
    std::cout << "  BROKEN " << promise << '\n';
  }
  return broken.empty() ? 0 : 1;
}

} // namespace heatherdeal::audit
