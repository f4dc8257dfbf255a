#include "kernel/counters.h"

#include <algorithm>
#include <cctype>

namespace heatherdeal::kernel {

namespace {

constexpr core::Duration kFirstBucketBound = std::chrono::milliseconds(1);

std::string
ToMetricName(std::string_view aName, std::string_view aSuffix)
{
  std::string name = "heatherdeal_" + std::string(aName) + std::string(aSuffix);
  std::ranges::replace_if(
    name, [](unsigned char aC) { return std::isalnum(aC) == 0; }, '_');
  return name;
}

std::string
FormatSeconds(core::Duration aDuration)
{
  return std::to_string(std::chrono::duration<double>(aDuration).count());
}

std::string
HistogramToPrometheusText(std::string_view aName,
                          const LatencyHistogram& aHistogram)
{
  const std::string name = ToMetricName(aName, "_seconds");
  std::string text = "# TYPE " + name + " histogram\n";
  // Prometheus buckets are cumulative.
  uint64_t cumulativeCount = 0;
  for (size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    cumulativeCount += aHistogram.CountInBucket(i);
    const bool isLast = i + 1 == LatencyHistogram::kBuckets;
    const std::string bound =
      isLast ? "+Inf" : FormatSeconds(LatencyHistogram::BucketUpperBound(i));
    text += name + "_bucket{le=\"" + bound + "\"} " +
            std::to_string(cumulativeCount) + "\n";
  }
  text += name + "_sum " + FormatSeconds(aHistogram.Sum()) + "\n";
  text += name + "_count " + std::to_string(cumulativeCount) + "\n";
  return text;
}

} // namespace

void
LatencyHistogram::Add(core::Duration aLatency)
{
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && aLatency > BucketUpperBound(bucket)) {
    bucket += 1;
  }
  m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
  m_sum.fetch_add(aLatency.count(), std::memory_order_relaxed);
}

core::Duration
LatencyHistogram::BucketUpperBound(size_t aBucket)
{
  return kFirstBucketBound * (int64_t{ 1 } << aBucket);
}

LatencyHistogram&
Counters::Latency(std::string_view aName)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_histograms.find(aName);
  if (found != m_histograms.end()) {
    return *found->second;
  }
  const auto inserted = m_histograms.emplace(
    std::string(aName), std::make_unique<LatencyHistogram>());
  return *inserted.first->second;
}

Gauge&
Counters::GaugeOf(std::string_view aName)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_gauges.find(aName);
  if (found != m_gauges.end()) {
    return *found->second;
  }
  const auto inserted =
    m_gauges.emplace(std::string(aName), std::make_unique<Gauge>());
  return *inserted.first->second;
}

std::string
Counters::GaugesToPrometheusText() const
{
  const std::scoped_lock lock(m_mutex);
  std::string text;
  for (const auto& [name, gauge] : m_gauges) {
    const std::string metric = ToMetricName(name, "");
    text += "# TYPE " + metric + " gauge\n";
    text += metric + " " + std::to_string(gauge->m_value.load()) + "\n";
  }
  return text;
}

std::string
Counters::LatenciesToPrometheusText() const
{
  const std::scoped_lock lock(m_mutex);
  std::string text;
  for (const auto& [name, histogram] : m_histograms) {
    text += HistogramToPrometheusText(name, *histogram);
  }
  return text;
}

Counter&
Counters::Get(std::string_view aName)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_counters.find(aName);
  if (found != m_counters.end()) {
    return *found->second;
  }
  const auto inserted =
    m_counters.emplace(std::string(aName), std::make_unique<Counter>());
  return *inserted.first->second;
}

std::vector<CounterReading>
Counters::Read() const
{
  const std::scoped_lock lock(m_mutex);
  std::vector<CounterReading> readings;
  readings.reserve(m_counters.size());
  for (const auto& [name, counter] : m_counters) {
    readings.push_back(
      { name, counter->m_value.load(std::memory_order_relaxed) });
  }
  return readings;
}

std::string
ToPrometheusText(const Counters& aCounters)
{
  std::string text;
  for (const CounterReading& reading : aCounters.Read()) {
    const std::string name = ToMetricName(reading.m_name, "_total");
    text += "# TYPE " + name + " counter\n";
    text += name + " " + std::to_string(reading.m_value) + "\n";
  }
  text += aCounters.GaugesToPrometheusText();
  return text + aCounters.LatenciesToPrometheusText();
}

} // namespace heatherdeal::kernel
