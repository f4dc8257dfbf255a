#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/customer.h"
#include "configuration/upstreamscaling.h"
#include "core/failure.h"
#include "core/ids.h"
#include "rollout/policy.h"

namespace heatherdeal::configuration {

/// A pool of model engines, which batch requests and load weights.
struct ModelEngines
{
  /// Name of the weights in the weight store.
  std::string m_weights;
  /// Names of further sets of weights that the engines serve.
  std::vector<std::string> m_additionalWeights;
  /// Maximum share of an engine's slots that training may use, in percent.
  uint32_t m_trainingCeilingPercent = 70;
  /// Minimum share of the engines that stays in service during a weight
  /// change, in percent.
  uint32_t m_floorPercent = 50;
  /// Maximum number of concurrent loads from the weight store.
  uint32_t m_concurrentLoads = 2;
};

/// A pool of plain HTTP servers.
struct PlainServers
{};

using UpstreamKind = std::variant<ModelEngines, PlainServers>;

/// Compares the next upstream in round-robin order with a random one, and picks
/// the random one only if its load is lower by at least one request. The load
/// includes the outstanding requests of this host.
struct TwoChoices
{
  /// How much busier an upstream in the same failure domain may be and still be
  /// preferred, in percent of its slots.
  uint32_t m_domainPreferencePercent = 50;
};

/// Picks the upstreams in turn.
struct RoundRobin
{};

/// Picks the upstream that reports the least load.
struct LeastReportedLoad
{};

/// Compares the same upstreams as TwoChoices, by the time in which they are
/// expected to finish the request. Behaves as TwoChoices without estimates.
struct LeastExpectedWork
{
  /// How much busier an upstream in the same failure domain may be and still be
  /// preferred, in percent of its slots.
  uint32_t m_domainPreferencePercent = 50;
};

using RoutingPolicy =
  std::variant<TwoChoices, RoundRobin, LeastReportedLoad, LeastExpectedWork>;

/// Writes a record of each non-idempotent call to the object API before the
/// call is sent, at the cost of one write per call. The record is named after
/// the request id; calls without one are not recorded. Calls that need a record
/// are rejected while the object API does not respond.
struct OncePerRequestId
{};

/// Sends each received call at most once, without a record of it. A call that
/// the caller sends again is not recognized as a duplicate.
struct OncePerReceivedRequest
{};

/// How calls are protected from being executed more than once.
using AtMostOncePolicy = std::variant<OncePerRequestId, OncePerReceivedRequest>;

/// A service that callers reach through the entry hosts.
struct Service
{
  core::ServiceId m_name;
  UpstreamKind m_kind = PlainServers{};
  RoutingPolicy m_routing = TwoChoices{};
  /// Timeout of a call, including its retries.
  core::Duration m_callTimeout = std::chrono::seconds(30);
  /// Maximum number of attempts for one call.
  uint32_t m_maxAttemptsPerCall = 3;
  AtMostOncePolicy m_atMostOncePolicy = OncePerRequestId{};
  /// Maximum number of requests in flight on one entry host.
  uint32_t m_maxConcurrentRequests = 512;
  /// Empty if the number of upstreams is not up to this system.
  std::optional<UpstreamScaling> m_scaling;
};

/// A rollout job, which generates samples for one trainer.
struct Job
{
  core::JobId m_name;
  core::TrainerId m_trainer;
  /// Service of the engines that generate the samples.
  core::ServiceId m_service;
  /// Plain service that scores the samples.
  core::ServiceId m_scorer;
  std::string m_promptsFile;
  uint32_t m_shards = 1;
  /// Weight of the job in sharing the training slots with other jobs of the
  /// service.
  uint32_t m_weight = 1;
  rollout::ShardPolicy m_policy;
};

/// Requests that may be executed any number of times.
struct SafeRequests
{};

/// Requests that may be executed at most once each time a caller sends them.
struct UnsafeRequests
{};

/// Requests whose response is a stream of events.
struct StreamRequests
{
  /// True if another upstream can resume the stream after the last event.
  bool m_resumable = false;
};

/// Submissions of batches of generation requests that are executed later.
struct BatchSubmissions
{
  /// Time after the acceptance of a batch at which its unfinished items may be
  /// abandoned.
  core::Duration m_itemTimeout = std::chrono::seconds(40);
  /// Target time for all results, from the acceptance of the batch.
  core::Duration m_resultTarget = std::chrono::seconds(8);
  /// True if each text must be generated with a single weight version.
  bool m_singleVersion = false;
};

/// The kind of a route's requests, which decides whether they may be retried.
using RequestKind =
  std::variant<SafeRequests, UnsafeRequests, StreamRequests, BatchSubmissions>;

/// A service that receives a share of a route's requests.
struct WeightedService
{
  core::ServiceId m_service;
  uint32_t m_weight = 1;
};

/// Routes the requests of a virtual host by the prefix of their path.
struct Route
{
  std::string m_name;
  std::string m_host;
  /// Path prefix; begins and ends with a slash.
  std::string m_prefix;
  RequestKind m_kind = SafeRequests{};
  /// Maximum time until the caller receives a response.
  core::Duration m_timeout = std::chrono::seconds(30);
  /// Latency objective of a response.
  core::Duration m_latencyObjective = std::chrono::seconds(1);
  /// Maximum number of upstreams that one request is sent to.
  uint32_t m_maxAttempts = 1;
  /// Priority of the requests; 0 is the highest.
  uint32_t m_priority = 0;
  /// True if requests need no API key although there are customers.
  bool m_isPublic = false;
  std::vector<WeightedService> m_services;
};

/// Limits on the size of callers' requests, on the time that a header may take
/// and on idle connections.
struct CallerLimits
{
  uint32_t m_maxHeaderBytes = 16 * 1024;
  uint64_t m_maxBodyBytes = 32 * 1024 * 1024;
  core::Duration m_headerTimeout = std::chrono::seconds(10);
  core::Duration m_idleTimeout = std::chrono::seconds(60);
};

/// A complete configuration. A newer one has a higher generation.
struct Document
{
  uint64_t m_generation = 0;
  std::vector<Service> m_services;
  std::vector<Job> m_jobs;
  std::vector<Route> m_routes;
  CallerLimits m_limits;
  /// If there are any, requests need an API key unless their route is public.
  std::vector<Customer> m_customers;
};

/// Returns the route of aHost with the longest prefix that matches aPath, or
/// null if there is none.
const Route*
FindRoute(const Document& aDocument,
          std::string_view aHost,
          std::string_view aPath);

/// Returns the service that receives a request. Consecutive sequence numbers
/// alternate between the services in proportion to their weights.
const core::ServiceId&
ChooseService(const Route& aRoute, uint64_t aSequenceNumber);

/// Returns the service that receives a request among those that aExcluded does
/// not contain, or null if none of them has a weight.
const core::ServiceId*
ChooseServiceExcept(const Route& aRoute,
                    uint64_t aSequenceNumber,
                    std::span<const core::ServiceId> aExcluded);

/// Returns the service with the given name, or null if there is none.
const Service*
FindService(const Document& aDocument, const core::ServiceId& aName);

/// Returns every inconsistency within the document; empty if it is valid.
std::vector<core::InvalidSetting>
Validate(const Document& aDocument);

/// Returns the changes from aInForce to aOffered that are not allowed.
std::vector<core::InvalidSetting>
ValidateChange(const Document& aInForce, const Document& aOffered);

/// Identifies a document by its generation and a hash of its content.
struct DocumentIdentity
{
  uint64_t m_generation = 0;
  uint64_t m_digest = 0;
};

/// True if aOffered has a higher generation and must replace aInForce.
bool
ShouldReplace(const DocumentIdentity& aInForce,
              const DocumentIdentity& aOffered);

/// True if both have the same generation but different contents, which happens
/// when an operator deletes and re-creates the object.
bool
HasConflictingContent(const DocumentIdentity& aInForce,
                      const DocumentIdentity& aOffered);

} // namespace heatherdeal::configuration
