#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.h"

namespace heatherdeal::kernel {

/// A counter that any thread may increment.
struct Counter
{
  std::atomic<uint64_t> m_value{ 0 };

  void Add(uint64_t aCount = 1)
  {
    m_value.fetch_add(aCount, std::memory_order_relaxed);
  }
};

/// A value that goes up and down. Any thread may set it.
struct Gauge
{
  std::atomic<int64_t> m_value{ 0 };

  void Set(int64_t aValue) { m_value.store(aValue, std::memory_order_relaxed); }
};

/// A latency histogram whose bucket bounds double. Any thread may add to it.
class LatencyHistogram
{
public:
  static constexpr size_t kBuckets = 16;

  void Add(core::Duration aLatency);

  /// Returns the inclusive upper bound of a bucket; the last bucket is
  /// unbounded.
  static core::Duration BucketUpperBound(size_t aBucket);
  uint64_t CountInBucket(size_t aBucket) const
  {
    return m_counts[aBucket].load();
  }
  core::Duration Sum() const { return core::Duration(m_sum.load()); }

private:
  std::array<std::atomic<uint64_t>, kBuckets> m_counts{};
  std::atomic<int64_t> m_sum{ 0 };
};

/// The name of a counter and its value when it was read.
struct CounterReading
{
  std::string m_name;
  uint64_t m_value = 0;
};

/// The counters, gauges and latency histograms of a process, by name.
/// Thread-safe.
class Counters
{
public:
  /// Returns the counter of this name and creates it on first use. The
  /// reference is valid as long as this object.
  Counter& Get(std::string_view aName);

  /// Returns the gauge of this name and creates it on first use. The reference
  /// is valid as long as this object.
  Gauge& GaugeOf(std::string_view aName);

  /// Returns the histogram of this name and creates it on first use. The
  /// reference is valid as long as this object.
  LatencyHistogram& Latency(std::string_view aName);

  /// Returns the values of all counters, sorted by name.
  std::vector<CounterReading> Read() const;
  /// Returns the gauges in the Prometheus text format.
  std::string GaugesToPrometheusText() const;
  /// Returns the histograms in the Prometheus text format.
  std::string LatenciesToPrometheusText() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> m_counters;
  std::map<std::string, std::unique_ptr<Gauge>, std::less<>> m_gauges;
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
    m_histograms;
};

/// Returns all metrics in the Prometheus text format.
std::string
ToPrometheusText(const Counters& aCounters);

} // namespace heatherdeal::kernel
