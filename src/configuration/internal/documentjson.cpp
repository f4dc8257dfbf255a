#include "configuration/documentjson.h"

#include "boost/json/serialize.hpp"
#include "xxhash.h"

#include "configuration/internal/customerjson.h"
#include "configuration/internal/hiddenvalues.h"
#include "configuration/internal/jobjson.h"
#include "configuration/internal/routejson.h"
#include "configuration/internal/scalingjson.h"
#include "core/overloaded.h"
#include "kernel/json.h"

namespace heatherdeal::configuration {

namespace {

constexpr int64_t kMaxGeneration = INT64_MAX;
constexpr int64_t kMaxAttempts = 10;
constexpr int64_t kMaxConcurrency = 1'000'000;
constexpr int64_t kMaxConcurrentLoads = 10'000;
constexpr int64_t kMaxMilliseconds = 3'600'000;
constexpr kernel::Range kPercentRange{ 0, 100 };
constexpr std::string_view kUpstreamKindNames[] = { "plain", "engine" };
constexpr std::string_view kAtMostOncePolicyNames[] = { "store-record",
                                                        "per-receipt" };
constexpr std::string_view kRoutingPolicyNames[] = { "two-choices",
                                                     "round-robin",
                                                     "least-reported",
                                                     "least-expected-work" };

UpstreamKind
ParseUpstreamKind(kernel::SettingsReader& aReader)
{
  if (aReader.ChoiceOr("kind", kUpstreamKindNames, 0) == 0) {
    return PlainServers{};
  }
  ModelEngines engines;
  engines.m_weights = aReader.Text("weights");
  engines.m_additionalWeights = aReader.OptionalTexts("also_serves");
  engines.m_trainingCeilingPercent = static_cast<uint32_t>(
    aReader.IntegerOr("training_ceiling_percent", kPercentRange, 70));
  engines.m_floorPercent = static_cast<uint32_t>(
    aReader.IntegerOr("floor_percent", kPercentRange, 50));
  engines.m_concurrentLoads = static_cast<uint32_t>(
    aReader.IntegerOr("concurrent_loads", { 1, kMaxConcurrentLoads }, 2));
  return engines;
}

AtMostOncePolicy
ParseAtMostOncePolicy(kernel::SettingsReader& aReader)
{
  if (aReader.ChoiceOr("once", kAtMostOncePolicyNames, 0) == 1) {
    return OncePerReceivedRequest{};
  }
  return OncePerRequestId{};
}

RoutingPolicy
ParseRoutingPolicy(kernel::SettingsReader& aReader)
{
  const auto domainPreferencePercent = [&aReader] {
    return static_cast<uint32_t>(
      aReader.IntegerOr("domain_preference_percent", kPercentRange, 50));
  };
  switch (aReader.ChoiceOr("routing", kRoutingPolicyNames, 0)) {
    case 1:
      return RoundRobin{};
    case 2:
      return LeastReportedLoad{};
    case 3:
      return LeastExpectedWork{ domainPreferencePercent() };
    default:
      return TwoChoices{ domainPreferencePercent() };
  }
}

Service
ParseService(kernel::SettingsReader& aReader)
{
  Service service;
  service.m_name.m_value = aReader.Text("name");
  service.m_kind = ParseUpstreamKind(aReader);
  service.m_routing = ParseRoutingPolicy(aReader);
  service.m_atMostOncePolicy = ParseAtMostOncePolicy(aReader);
  service.m_callTimeout = aReader.MillisecondsOr(
    "call_time_ms", { 1, kMaxMilliseconds }, service.m_callTimeout);
  service.m_maxAttemptsPerCall = static_cast<uint32_t>(aReader.IntegerOr(
    "attempts", { 1, kMaxAttempts }, service.m_maxAttemptsPerCall));
  service.m_maxConcurrentRequests = static_cast<uint32_t>(aReader.IntegerOr(
    "concurrency", { 1, kMaxConcurrency }, service.m_maxConcurrentRequests));
  if (const boost::json::value* scaling = aReader.OptionalValue("scaling")) {
    kernel::SettingsReader element(
      *scaling, aReader.PathOf("scaling"), aReader.Errors());
    service.m_scaling = ParseScaling(element);
  }
  return service;
}

boost::json::object
ToObject(const Service& aService)
{
  boost::json::object object{ { "name", aService.m_name.m_value } };
  std::visit(
    core::Overloaded{
      [&object](const ModelEngines& aEngines) {
        object["kind"] = "engine";
        object["weights"] = aEngines.m_weights;
        boost::json::array additionalWeights;
        for (const std::string& weights : aEngines.m_additionalWeights) {
          additionalWeights.emplace_back(weights);
        }
        object["also_serves"] = std::move(additionalWeights);
        object["training_ceiling_percent"] = aEngines.m_trainingCeilingPercent;
        object["floor_percent"] = aEngines.m_floorPercent;
        object["concurrent_loads"] = aEngines.m_concurrentLoads;
      },
      [&object](const PlainServers&) { object["kind"] = "plain"; } },
    aService.m_kind);
  std::visit(core::Overloaded{ [&object](const TwoChoices& aChoices) {
                                object["routing"] = "two-choices";
                                object["domain_preference_percent"] =
                                  aChoices.m_domainPreferencePercent;
                              },
                               [&object](const RoundRobin&) {
                                 object["routing"] = "round-robin";
                               },
                               [&object](const LeastReportedLoad&) {
                                 object["routing"] = "least-reported";
                               },
                               [&object](const LeastExpectedWork& aWork) {
                                 object["routing"] = "least-expected-work";
                                 object["domain_preference_percent"] =
                                   aWork.m_domainPreferencePercent;
                               } },
             aService.m_routing);
  object["call_time_ms"] = ToMilliseconds(aService.m_callTimeout);
  object["once"] =
    std::visit(core::Overloaded{
                 [](const OncePerRequestId&) { return "store-record"; },
                 [](const OncePerReceivedRequest&) { return "per-receipt"; } },
               aService.m_atMostOncePolicy);
  object["attempts"] = aService.m_maxAttemptsPerCall;
  object["concurrency"] = aService.m_maxConcurrentRequests;
  // Fields that hosts of earlier releases reject are written only if they are
  // used.
  if (aService.m_scaling) {
    object["scaling"] = ToObject(*aService.m_scaling);
  }
  return object;
}

Document
ReadDocumentFields(kernel::SettingsReader& aReader)
{
  Document document;
  document.m_generation = static_cast<uint64_t>(
    aReader.IntegerOr("generation", { 0, kMaxGeneration }, 0));
  const auto parseElement = [&aReader](const boost::json::value& aValue,
                                       std::string_view aPath,
                                       auto aParse) {
    kernel::SettingsReader reader(aValue, aPath, aReader.Errors());
    return aParse(reader);
  };
  aReader.ForEach(
    "services", [&](const boost::json::value& aValue, std::string_view aPath) {
      document.m_services.push_back(parseElement(aValue, aPath, ParseService));
    });
  aReader.ForEach(
    "jobs", [&](const boost::json::value& aValue, std::string_view aPath) {
      document.m_jobs.push_back(parseElement(aValue, aPath, ParseJob));
    });
  aReader.ForEach(
    "routes", [&](const boost::json::value& aValue, std::string_view aPath) {
      document.m_routes.push_back(parseElement(aValue, aPath, ParseRoute));
    });
  if (const boost::json::value* limits = aReader.OptionalValue("limits")) {
    document.m_limits =
      parseElement(*limits, aReader.PathOf("limits"), ParseLimits);
  }
  aReader.ForEach(
    "customers", [&](const boost::json::value& aValue, std::string_view aPath) {
      document.m_customers.push_back(
        parseElement(aValue, aPath, ParseCustomer));
    });
  return document;
}

} // namespace

ParsedDocument
ParseDocument(std::string_view aText)
{
  ParsedDocument parsed;
  const absl::StatusOr<boost::json::value> value =
    kernel::ParseJson(aText, "$");
  if (!value.ok()) {
    parsed.m_errors.push_back(
      { "$", "(text)", std::string(value.status().message()) });
    return parsed;
  }
  kernel::SettingsErrors errors;
  {
    kernel::SettingsReader reader(*value, "$", errors);
    parsed.m_document = ReadDocumentFields(reader);
  }
  parsed.m_errors = std::move(errors.m_errors);
  HideSecretValues(parsed.m_errors);
  if (parsed.m_errors.empty()) {
    parsed.m_errors = Validate(parsed.m_document);
  }
  return parsed;
}

namespace {

boost::json::object
ToObject(const Document& aDocument)
{
  boost::json::array services;
  for (const Service& service : aDocument.m_services) {
    services.push_back(ToObject(service));
  }
  boost::json::array jobs;
  for (const Job& job : aDocument.m_jobs) {
    jobs.push_back(ToObject(job));
  }
  boost::json::array routes;
  for (const Route& route : aDocument.m_routes) {
    routes.push_back(ToObject(route));
  }
  boost::json::object object{ { "generation", aDocument.m_generation },
                              { "services", std::move(services) },
                              { "jobs", std::move(jobs) },
                              { "routes", std::move(routes) },
                              { "limits", ToObject(aDocument.m_limits) } };
  if (!aDocument.m_customers.empty()) {
    boost::json::array customers;
    for (const Customer& customer : aDocument.m_customers) {
      customers.push_back(ToObject(customer));
    }
    object["customers"] = std::move(customers);
  }
  return object;
}

} // namespace

std::string
ToJson(const Document& aDocument)
{
  return boost::json::serialize(ToObject(aDocument));
}

std::string
ToJsonWithoutKeys(const Document& aDocument)
{
  boost::json::object object = ToObject(aDocument);
  if (boost::json::value* customers = object.if_contains("customers")) {
    for (boost::json::value& customer : customers->as_array()) {
      boost::json::value& keys = customer.as_object()["keys"];
      keys = keys.as_array().size();
    }
  }
  return boost::json::serialize(object);
}

DocumentIdentity
IdentifyDocument(const Document& aDocument)
{
  const std::string text = ToJson(aDocument);
  return { aDocument.m_generation, XXH64(text.data(), text.size(), 0) };
}

} // namespace heatherdeal::configuration
