#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/ids.h"
#include "rollout/policy.h"

namespace heatherdeal::configuration {

/// A pool of engines that batch requests and load weights.
struct ModelEngines
{
  /// Name of the weights in the weight store.
  std::string m_weights;
  /// Further sets of weights that the engines hold beside it.
  std::vector<std::string> m_alsoServes;
  /// Share of an engine's slots that training may use, in percent.
  uint32_t m_trainingCeilingPercent = 70;
  /// Share of the engines that stays in service during a weight change.
  uint32_t m_floorPercent = 50;
  /// Loads that the weight store allows at once.
  uint32_t m_concurrentLoads = 2;
};

/// A pool of ordinary HTTP servers.
struct PlainServers
{};

using UpstreamKind = std::variant<ModelEngines, PlainServers>;

/// Routing policies; both count the host's own outstanding requests.
struct TwoChoices
{
  /// How much busier, in percent of its slots, an upstream of the own
  /// failure domain may be and still be preferred.
  uint32_t m_domainPreferencePercent = 50;
};

struct RoundRobin
{};

struct LeastReported
{};

using RoutingPolicy = std::variant<TwoChoices, RoundRobin, LeastReported>;

/// A call that may not be repeated is recorded under its request id in the
/// object API before it is sent: one write a call. It is refused while the
/// store does not answer.
struct StoreRecord
{};

/// Each receipt of a call is sent at most once; a caller that sends it again
/// itself is not recognised.
struct PerReceipt
{};

using OncePolicy = std::variant<StoreRecord, PerReceipt>;

/// A service that callers reach through entry hosts.
struct Service
{
  core::ServiceId m_name;
  UpstreamKind m_kind = PlainServers{};
  RoutingPolicy m_routing = TwoChoices{};
  core::Duration m_callTime = std::chrono::seconds(30);
  uint32_t m_attempts = 3;
  OncePolicy m_once = StoreRecord{};
  /// Requests that one entry host carries at once.
  uint32_t m_concurrency = 512;
};

/// Samples for one trainer.
struct Job
{
  core::JobId m_name;
  core::TrainerId m_trainer;
  core::ServiceId m_service;
  core::ServiceId m_scorer;
  std::string m_promptsFile;
  uint32_t m_shards = 1;
  /// Share of the training slots against other jobs of the service.
  uint32_t m_weight = 1;
  rollout::ShardPolicy m_policy;
};

/// May run any number of times.
struct SafeRequests
{};

/// May run at most once for each time that a caller sends it.
struct UnsafeRequests
{};

/// Answered by a series of events.
struct StreamRequests
{
  /// Another upstream can go on behind the last event.
  bool m_resumable = false;
};

/// Accepts batches of generation requests that run later.
struct BatchSubmissions
{
  /// An item may be given up so long after its batch was accepted.
  core::Duration m_giveUpAfter = std::chrono::seconds(40);
  /// All results are wanted so long after the batch was accepted.
  core::Duration m_resultTarget = std::chrono::seconds(8);
  /// Every text has to come from one weight version.
  bool m_singleVersion = false;
};

/// What the requests of a route are, and so what may be repeated.
using RequestKind =
  std::variant<SafeRequests, UnsafeRequests, StreamRequests, BatchSubmissions>;

/// A service that takes a share of a route's requests.
struct WeightedService
{
  core::ServiceId m_service;
  uint32_t m_weight = 1;
};

/// Requests of a virtual host whose path begins with a prefix.
struct Route
{
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  RequestKind m_kind = SafeRequests{};
  /// The longest that a caller is kept waiting.
  core::Duration m_timeout = std::chrono::seconds(30);
  /// An answer within this time is worth most.
  core::Duration m_objective = std::chrono::seconds(1);
  /// Upstreams that one request may be sent to.
  uint32_t m_attempts = 1;
  /// 0 is the most urgent.
  uint32_t m_priority = 0;
  std::vector<WeightedService> m_services;
};

/// Bounds on what callers send, and on how long they take or stay idle.
struct CallerLimits
{
  uint32_t m_headerBytes = 16 * 1024;
  uint64_t m_bodyBytes = 32 * 1024 * 1024;
  core::Duration m_headerTime = std::chrono::seconds(10);
  core::Duration m_idleTime = std::chrono::seconds(60);
};

/// One whole configuration. A later one has a higher generation.
struct Document
{
  uint64_t m_generation = 0;
  std::vector<Service> m_services;
  std::vector<Job> m_jobs;
  std::vector<Route> m_routes;
  CallerLimits m_limits;
};

/// The route of a request: of those of the host, the one with the longest
/// prefix that begins the path. Null if none does.
const Route*
FindRoute(const Document& aDocument,
          std::string_view aHost,
          std::string_view aPath);

/// The service that a request goes to; aTicket spreads requests by weight.
const core::ServiceId&
ServiceFor(const Route& aRoute, uint64_t aTicket);

const Service*
FindService(const Document& aDocument, const core::ServiceId& aName);

/// Every contradiction within the document; empty if it may be accepted.
std::vector<core::InvalidSetting>
Validate(const Document& aDocument);

/// Contradictions between a document and the one that it would replace.
std::vector<core::InvalidSetting>
ValidateChange(const Document& aInForce, const Document& aOffered);

/// What identifies a document: its generation and a hash of its content.
struct Identity
{
  uint64_t m_generation = 0;
  uint64_t m_digest = 0;
};

/// True if aOffered must replace aInForce.
bool
MustReplace(const Identity& aInForce, const Identity& aOffered);

/// True if both have one generation and different contents: an operator has
/// deleted and re-created the object.
bool
IsContradiction(const Identity& aInForce, const Identity& aOffered);

} // namespace heatherdeal::configuration
