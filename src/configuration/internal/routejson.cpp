#include "configuration/internal/routejson.h"

#include "boost/json/array.hpp"

#include "core/overloaded.h"

namespace heatherdeal::configuration {

namespace {

constexpr int64_t kMaxMilliseconds = 3'600'000;
constexpr int64_t kMaxAttempts = 100;
constexpr int64_t kMaxPriority = 1000;
constexpr int64_t kMaxWeight = 1'000'000;
constexpr int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr int64_t kMaxBodyBytes = 1024LL * 1024 * 1024;
constexpr kernel::Range kMillisecondsRange{ 1, kMaxMilliseconds };
constexpr std::string_view kRequestKindNames[] = { "safe",
                                                   "unsafe",
                                                   "stream",
                                                   "batch" };

int64_t
ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

RequestKind
ParseRequestKind(kernel::SettingsReader& aReader)
{
  switch (aReader.ChoiceOr("kind", kRequestKindNames, 0)) {
    case 0:
      return SafeRequests{};
    case 1:
      return UnsafeRequests{};
    case 2:
      return StreamRequests{ aReader.FlagOr("resumable", false) };
    default:
      break;
  }
  BatchSubmissions batches;
  batches.m_itemTimeout = aReader.MillisecondsOr(
    "give_up_after_ms", kMillisecondsRange, batches.m_itemTimeout);
  batches.m_resultTarget = aReader.MillisecondsOr(
    "result_target_ms", kMillisecondsRange, batches.m_resultTarget);
  batches.m_singleVersion = aReader.FlagOr("single_version", false);
  return batches;
}

} // namespace

Route
ParseRoute(kernel::SettingsReader& aReader)
{
  Route route;
  route.m_name = aReader.TextOr("name", "");
  route.m_host = aReader.Text("host");
  route.m_prefix = aReader.Text("prefix");
  route.m_kind = ParseRequestKind(aReader);
  route.m_timeout =
    aReader.MillisecondsOr("timeout_ms", kMillisecondsRange, route.m_timeout);
  route.m_latencyObjective = aReader.MillisecondsOr(
    "objective_ms", kMillisecondsRange, route.m_latencyObjective);
  route.m_maxAttempts = static_cast<uint32_t>(
    aReader.IntegerOr("attempts", { 1, kMaxAttempts }, route.m_maxAttempts));
  route.m_priority = static_cast<uint32_t>(
    aReader.IntegerOr("priority", { 0, kMaxPriority }, route.m_priority));
  route.m_isPublic = aReader.FlagOr("public", false);
  aReader.ForEach(
    "services", [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader element(aValue, aPath, aReader.Errors());
      WeightedService target;
      target.m_service.m_value = element.Text("name");
      target.m_weight = static_cast<uint32_t>(
        element.IntegerOr("weight", { 0, kMaxWeight }, 1));
      route.m_services.push_back(std::move(target));
    });
  return route;
}

boost::json::object
ToObject(const Route& aRoute)
{
  boost::json::object object{ { "name", aRoute.m_name },
                              { "host", aRoute.m_host },
                              { "prefix", aRoute.m_prefix } };
  std::visit(core::Overloaded{
               [&object](const SafeRequests&) { object["kind"] = "safe"; },
               [&object](const UnsafeRequests&) { object["kind"] = "unsafe"; },
               [&object](const StreamRequests& aStream) {
                 object["kind"] = "stream";
                 object["resumable"] = aStream.m_resumable;
               },
               [&object](const BatchSubmissions& aBatches) {
                 object["kind"] = "batch";
                 object["give_up_after_ms"] =
                   ToMilliseconds(aBatches.m_itemTimeout);
                 object["result_target_ms"] =
                   ToMilliseconds(aBatches.m_resultTarget);
                 object["single_version"] = aBatches.m_singleVersion;
               } },
             aRoute.m_kind);
  object["timeout_ms"] = ToMilliseconds(aRoute.m_timeout);
  object["objective_ms"] = ToMilliseconds(aRoute.m_latencyObjective);
  object["attempts"] = aRoute.m_maxAttempts;
  object["priority"] = aRoute.m_priority;
  // Hosts of earlier releases reject this field, so that it is written only if
  // it is used.
  if (aRoute.m_isPublic) {
    object["public"] = true;
  }
  boost::json::array services;
  for (const WeightedService& target : aRoute.m_services) {
    services.push_back(
      { { "name", target.m_service.m_value }, { "weight", target.m_weight } });
  }
  object["services"] = std::move(services);
  return object;
}

CallerLimits
ParseLimits(kernel::SettingsReader& aReader)
{
  CallerLimits limits;
  limits.m_maxHeaderBytes = static_cast<uint32_t>(aReader.IntegerOr(
    "header_bytes", { 256, kMaxHeaderBytes }, limits.m_maxHeaderBytes));
  limits.m_maxBodyBytes = static_cast<uint64_t>(
    aReader.IntegerOr("body_bytes",
                      { 0, kMaxBodyBytes },
                      static_cast<int64_t>(limits.m_maxBodyBytes)));
  limits.m_headerTimeout = aReader.MillisecondsOr(
    "header_time_ms", kMillisecondsRange, limits.m_headerTimeout);
  limits.m_idleTimeout = aReader.MillisecondsOr(
    "idle_time_ms", kMillisecondsRange, limits.m_idleTimeout);
  return limits;
}

boost::json::object
ToObject(const CallerLimits& aLimits)
{
  return { { "header_bytes", aLimits.m_maxHeaderBytes },
           { "body_bytes", aLimits.m_maxBodyBytes },
           { "header_time_ms", ToMilliseconds(aLimits.m_headerTimeout) },
           { "idle_time_ms", ToMilliseconds(aLimits.m_idleTimeout) } };
}

} // namespace heatherdeal::configuration
