#include "kernel/counters.h"

#include <algorithm>
#include <cctype>

namespace heatherdeal::kernel {

namespace {

constexpr core::Duration kFirstBound = std::chrono::milliseconds(1);

std::string
MetricName(std::string_view aName, std::string_view aSuffix)
{
  std::string name = "heatherdeal_" + std::string(aName) + std::string(aSuffix);
  std::ranges::replace_if(
    name, [](unsigned char aC) { return std::isalnum(aC) == 0; }, '_');
  return name;
}

std::string
SecondsText(core::Duration aDuration)
{
  return std::to_string(std::chrono::duration<double>(aDuration).count());
}

std::string
HistogramText(std::string_view aName, const LatencyHistogram& aHistogram)
{
  const std::string name = MetricName(aName, "_seconds");
  std::string text = "# TYPE " + name + " histogram\n";
  uint64_t count = 0;
  for (size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    count += aHistogram.CountOf(i);
    const bool last = i + 1 == LatencyHistogram::kBuckets;
    const std::string bound =
      last ? "+Inf" : SecondsText(LatencyHistogram::BoundOf(i));
    text +=
      name + "_bucket{le=\"" + bound + "\"} " + std::to_string(count) + "\n";
  }
  text += name + "_sum " + SecondsText(aHistogram.Sum()) + "\n";
  text += name + "_count " + std::to_string(count) + "\n";
  return text;
}

} // namespace

void
LatencyHistogram::Add(core::Duration aLatency)
{
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && aLatency > BoundOf(bucket)) {
    bucket += 1;
  }
  m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
  m_sum.fetch_add(aLatency.count(), std::memory_order_relaxed);
}

core::Duration
LatencyHistogram::BoundOf(size_t aBucket)
{
  return kFirstBound * (int64_t{ 1 } << aBucket);
}

LatencyHistogram&
Counters::Latency(std::string_view aName)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_latencies.find(aName);
  if (found != m_latencies.end()) {
    return *found->second;
  }
  const auto made = m_latencies.emplace(std::string(aName),
                                        std::make_unique<LatencyHistogram>());
  return *made.first->second;
}

std::string
Counters::LatenciesText() const
{
  const std::scoped_lock lock(m_mutex);
  std::string text;
  for (const auto& [name, histogram] : m_latencies) {
    text += HistogramText(name, *histogram);
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
  const auto made =
    m_counters.emplace(std::string(aName), std::make_unique<Counter>());
  return *made.first->second;
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
    const std::string name = MetricName(reading.m_name, "_total");
    text += "# TYPE " + name + " counter\n";
    text += name + " " + std::to_string(reading.m_value) + "\n";
  }
  return text + aCounters.LatenciesText();
}

} // namespace heatherdeal::kernel
