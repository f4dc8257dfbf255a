#include "kernel/counters.h"

#include <algorithm>
#include <cctype>

namespace heatherdeal::kernel {

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
    std::string name = "heatherdeal_" + reading.m_name + "_total";
    std::ranges::replace_if(
      name, [](unsigned char aC) { return std::isalnum(aC) == 0; }, '_');
    text += "# TYPE " + name + " counter\n";
    text += name + " " + std::to_string(reading.m_value) + "\n";
  }
  return text;
}

} // namespace heatherdeal::kernel
