#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

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

  /// All counters, ordered by name.
  std::vector<CounterReading> Read() const;

private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> m_counters;
};

/// The readings in the Prometheus text format.
std::string
ToPrometheusText(const Counters& aCounters);

} // namespace heatherdeal::kernel
