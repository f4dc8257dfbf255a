#include "routing/servicework.h"

#include <string>

namespace heatherdeal::routing {

namespace {

std::string
NameCounter(std::string_view aService, std::string_view aCounter)
{
  return "routing." + std::string(aService) + "_" + std::string(aCounter);
}

} // namespace

ServiceWork::ServiceWork(kernel::Counters& aCounters, std::string_view aService)
  : m_samples(aCounters.Get(NameCounter(aService, "work_samples")))
  , m_unusedSamples(aCounters.Get(NameCounter(aService, "work_samples_unused")))
  , m_expectedTotal(
      aCounters.Get(NameCounter(aService, "expected_work_microseconds")))
  , m_measuredTotal(
      aCounters.Get(NameCounter(aService, "measured_work_microseconds")))
{
}

ExpectedWork
ServiceWork::Estimate(WorkKey aKey) const
{
  const std::scoped_lock lock(m_mutex);
  return routing::Estimate(m_estimates, aKey);
}

std::optional<double>
ServiceWork::AddSample(const WorkSample& aSample, core::Instant aNow)
{
  const std::scoped_lock lock(m_mutex);
  const double previous =
    routing::Estimate(m_estimates, aSample.m_key).m_request;
  const auto ratio = routing::AddSample(m_estimates, aSample, aNow);
  if (!ratio) {
    m_unusedSamples.Add();
    return std::nullopt;
  }
  m_samples.Add();
  m_expectedTotal.Add(static_cast<uint64_t>(previous));
  m_measuredTotal.Add(static_cast<uint64_t>(previous * *ratio));
  return ratio;
}

} // namespace heatherdeal::routing
