#include "configuration/documentwarnings.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace heatherdeal::configuration {

namespace {

using Warnings = std::vector<DocumentWarning>;

std::string
ElementPath(std::string_view aArray, size_t aIndex)
{
  return "$." + std::string(aArray) + "[" + std::to_string(aIndex) + "]";
}

/// FindRoute takes the first of several routes that match equally well.
void
FindUnreachableRoutes(const Document& aDocument, Warnings& aWarnings)
{
  std::set<std::pair<std::string_view, std::string_view>> known;
  for (size_t i = 0; i < aDocument.m_routes.size(); ++i) {
    const Route& route = aDocument.m_routes[i];
    if (!known.emplace(route.m_host, route.m_prefix).second) {
      aWarnings.push_back(
        { ElementPath("routes", i),
          "never matches, because an earlier route has the same host and "
          "prefix" });
    }
  }
}

void
FindShortTimeouts(const Document& aDocument, Warnings& aWarnings)
{
  for (size_t i = 0; i < aDocument.m_routes.size(); ++i) {
    const Route& route = aDocument.m_routes[i];
    if (route.m_timeout < route.m_latencyObjective) {
      aWarnings.push_back({ ElementPath("routes", i),
                            "has a timeout that is shorter than its "
                            "objective" });
    }
  }
}

bool
IsUsed(const Document& aDocument, const core::ServiceId& aService)
{
  const bool hasRoute =
    std::ranges::any_of(aDocument.m_routes, [&](const Route& aRoute) {
      return std::ranges::find(
               aRoute.m_services, aService, &WeightedService::m_service) !=
             aRoute.m_services.end();
    });
  const bool hasJob =
    std::ranges::any_of(aDocument.m_jobs, [&](const Job& aJob) {
      return aJob.m_service == aService || aJob.m_scorer == aService;
    });
  return hasRoute || hasJob;
}

void
FindUnusedServices(const Document& aDocument, Warnings& aWarnings)
{
  for (size_t i = 0; i < aDocument.m_services.size(); ++i) {
    if (!IsUsed(aDocument, aDocument.m_services[i].m_name)) {
      aWarnings.push_back(
        { ElementPath("services", i), "is used by no route and no job" });
    }
  }
}

void
FindCustomersWithoutKeys(const Document& aDocument, Warnings& aWarnings)
{
  for (size_t i = 0; i < aDocument.m_customers.size(); ++i) {
    if (aDocument.m_customers[i].m_keys.empty()) {
      aWarnings.push_back({ ElementPath("customers", i), "has no keys" });
    }
  }
}

} // namespace

std::vector<DocumentWarning>
FindWarnings(const Document& aDocument)
{
  Warnings warnings;
  FindUnreachableRoutes(aDocument, warnings);
  FindShortTimeouts(aDocument, warnings);
  FindUnusedServices(aDocument, warnings);
  FindCustomersWithoutKeys(aDocument, warnings);
  return warnings;
}

} // namespace heatherdeal::configuration
