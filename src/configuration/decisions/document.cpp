#include "configuration/document.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>

#include "core/overloaded.h"

namespace heatherdeal::configuration {

namespace {

using Errors = std::vector<core::InvalidSetting>;

std::string
JobPath(size_t aIndex, std::string_view aField)
{
  return "$.jobs[" + std::to_string(aIndex) + "]." + std::string(aField);
}

/// Returns a position below aTotal; aTotal consecutive sequence numbers reach
/// each position once, and neighbours lie far apart.
uint64_t
SpreadPosition(uint64_t aSequenceNumber, uint64_t aTotal)
{
  if (aTotal == 0) {
    return 0;
  }
  constexpr double kGoldenSection = 0.618;
  uint64_t stride = std::max<uint64_t>(
    1, static_cast<uint64_t>(kGoldenSection * static_cast<double>(aTotal)));
  while (std::gcd(stride, aTotal) != 1) {
    stride += 1;
  }
  return (aSequenceNumber % aTotal) * stride % aTotal;
}

void
ValidateUniqueNames(const Document& aDocument, Errors& aErrors)
{
  std::set<std::string> services;
  for (size_t i = 0; i < aDocument.m_services.size(); ++i) {
    const std::string& name = aDocument.m_services[i].m_name.m_value;
    if (!services.insert(name).second) {
      aErrors.push_back({ "$.services[" + std::to_string(i) + "].name",
                          name,
                          "a unique name" });
    }
  }
  std::set<std::string> jobs;
  for (size_t i = 0; i < aDocument.m_jobs.size(); ++i) {
    const std::string& name = aDocument.m_jobs[i].m_name.m_value;
    if (!jobs.insert(name).second) {
      aErrors.push_back({ JobPath(i, "name"), name, "a unique name" });
    }
  }
}

void
ValidateJob(const Document& aDocument, size_t aIndex, Errors& aErrors)
{
  const Job& job = aDocument.m_jobs[aIndex];
  const Service* engineService = FindService(aDocument, job.m_service);
  if (engineService == nullptr ||
      !std::holds_alternative<ModelEngines>(engineService->m_kind)) {
    aErrors.push_back({ JobPath(aIndex, "service"),
                        job.m_service.m_value,
                        "the name of an engine service in this document" });
  }
  const Service* scorer = FindService(aDocument, job.m_scorer);
  if (scorer == nullptr ||
      !std::holds_alternative<PlainServers>(scorer->m_kind)) {
    aErrors.push_back({ JobPath(aIndex, "scorer"),
                        job.m_scorer.m_value,
                        "the name of a plain service in this document" });
  }
}

void
ValidateRoute(const Document& aDocument, size_t aIndex, Errors& aErrors)
{
  const Route& route = aDocument.m_routes[aIndex];
  const std::string path = "$.routes[" + std::to_string(aIndex) + "].";
  const bool hasSlashes =
    route.m_prefix.starts_with('/') && route.m_prefix.ends_with('/');
  if (!hasSlashes) {
    aErrors.push_back({ path + "prefix",
                        route.m_prefix,
                        "a prefix that begins and ends with a slash" });
  }
  if (route.m_services.empty()) {
    aErrors.push_back({ path + "services", "[]", "at least one service" });
  }
  for (const WeightedService& target : route.m_services) {
    if (FindService(aDocument, target.m_service) == nullptr) {
      aErrors.push_back({ path + "services",
                          target.m_service.m_value,
                          "the name of a service in this document" });
    }
  }
}

void
ValidateServices(const Document& aDocument, Errors& aErrors)
{
  for (size_t i = 0; i < aDocument.m_services.size(); ++i) {
    const std::optional<UpstreamScaling>& scaling =
      aDocument.m_services[i].m_scaling;
    if (scaling) {
      const std::string path = "$.services[" + std::to_string(i) + "].scaling";
      std::ranges::move(ValidateScaling(*scaling, path),
                        std::back_inserter(aErrors));
    }
  }
}

} // namespace

const Route*
FindRoute(const Document& aDocument,
          std::string_view aHost,
          std::string_view aPath)
{
  const Route* longestMatch = nullptr;
  for (const Route& route : aDocument.m_routes) {
    const bool matches =
      route.m_host == aHost && aPath.starts_with(route.m_prefix);
    if (matches && (longestMatch == nullptr ||
                    route.m_prefix.size() > longestMatch->m_prefix.size())) {
      longestMatch = &route;
    }
  }
  return longestMatch;
}

const core::ServiceId&
ChooseService(const Route& aRoute, uint64_t aSequenceNumber)
{
  const core::ServiceId* chosen =
    ChooseServiceExcept(aRoute, aSequenceNumber, {});
  return chosen == nullptr ? aRoute.m_services.front().m_service : *chosen;
}

const core::ServiceId*
ChooseServiceExcept(const Route& aRoute,
                    uint64_t aSequenceNumber,
                    std::span<const core::ServiceId> aExcluded)
{
  const auto isExcluded = [&](const WeightedService& aTarget) {
    return std::ranges::find(aExcluded, aTarget.m_service) != aExcluded.end();
  };
  uint64_t totalWeight = 0;
  for (const WeightedService& target : aRoute.m_services) {
    totalWeight += isExcluded(target) ? 0 : target.m_weight;
  }
  uint64_t position = SpreadPosition(aSequenceNumber, totalWeight);
  for (const WeightedService& target : aRoute.m_services) {
    if (isExcluded(target)) {
      continue;
    }
    if (position < target.m_weight) {
      return &target.m_service;
    }
    position -= target.m_weight;
  }
  return nullptr;
}

const Service*
FindService(const Document& aDocument, const core::ServiceId& aName)
{
  const auto found =
    std::ranges::find(aDocument.m_services, aName, &Service::m_name);
  return found == aDocument.m_services.end() ? nullptr : &*found;
}

std::vector<core::InvalidSetting>
Validate(const Document& aDocument)
{
  Errors errors;
  ValidateUniqueNames(aDocument, errors);
  for (size_t i = 0; i < aDocument.m_jobs.size(); ++i) {
    ValidateJob(aDocument, i, errors);
  }
  for (size_t i = 0; i < aDocument.m_routes.size(); ++i) {
    ValidateRoute(aDocument, i, errors);
  }
  ValidateServices(aDocument, errors);
  std::ranges::move(ValidateCustomers(aDocument.m_customers),
                    std::back_inserter(errors));
  return errors;
}

std::vector<core::InvalidSetting>
ValidateChange(const Document& aInForce, const Document& aOffered)
{
  Errors errors;
  for (size_t i = 0; i < aOffered.m_jobs.size(); ++i) {
    const Job& job = aOffered.m_jobs[i];
    const auto jobInForce =
      std::ranges::find(aInForce.m_jobs, job.m_name, &Job::m_name);
    if (jobInForce == aInForce.m_jobs.end()) {
      continue;
    }
    // Groups are numbered within a shard, so a different number of shards would
    // give new meanings to the group numbers that a trainer already holds.
    if (jobInForce->m_shards != job.m_shards) {
      errors.push_back(
        { JobPath(i, "shards"),
          std::to_string(job.m_shards),
          "the shard count in force; only a new job may set another" });
    }
    if (jobInForce->m_promptsFile != job.m_promptsFile) {
      errors.push_back(
        { JobPath(i, "prompts_file"),
          job.m_promptsFile,
          "the prompts file in force; only a new job may set another" });
    }
  }
  return errors;
}

bool
ShouldReplace(const DocumentIdentity& aInForce,
              const DocumentIdentity& aOffered)
{
  return aOffered.m_generation > aInForce.m_generation;
}

bool
HasConflictingContent(const DocumentIdentity& aInForce,
                      const DocumentIdentity& aOffered)
{
  return aOffered.m_generation == aInForce.m_generation &&
         aOffered.m_digest != aInForce.m_digest;
}

} // namespace heatherdeal::configuration
