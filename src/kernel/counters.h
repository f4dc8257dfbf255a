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

/// One counter; any thread may add to it.
struct Counter
{
  std::atomic<uint64_t> m_value{ 0 };

  void Add(uint64_t aCount = 1)
  {
    m_value.fetch_add(aCount, std::memory_order_relaxed);
  }
};

/// How long something took, in buckets that double; any thread may add.
class LatencyHistogram
{
public:
  static constexpr size_t kBuckets = 16;

  void Add(core::Duration aLatency);

  /// Upper bound of a bucket; the last one has none.
  static core::Duration BoundOf(size_t aBucket);
  uint64_t CountOf(size_t aBucket) const { return m_counts[aBucket].load(); }
  core::Duration Sum() const { return core::Duration(m_sum.load()); }

private:
  std::array<std::atomic<uint64_t>, kBuckets> m_counts{};
  std::atomic<int64_t> m_sum{ 0 };
};

/// A counter's name and its value at one moment.
struct CounterReading
{
  std::string m_name;
  uint64_t m_value = 0;
};

/// The counters of one process, by name.
class Counters
{
public:
  /// The counter of that name, made on first use; valid as long as this.
  Counter& Get(std::string_view aName);

  /// The histogram of that name, made on first use; valid as long as this.
  LatencyHistogram& Latency(std::string_view aName);

  /// All counters, ordered by name.
  std::vector<CounterReading> Read() const;
  /// The histograms in the Prometheus text format.
  std::string LatenciesText() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> m_counters;
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
    m_latencies;
};

/// The readings and histograms in the Prometheus text format.
std::string
ToPrometheusText(const Counters& aCounters);

} // namespace heatherdeal::kernel
