#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "core/instant.h"
#include "kernel/log.h"

namespace heatherdeal::kernel {

using LogValue = std::variant<std::string, int64_t, uint64_t, double, bool>;

/// A named value of a log event, such as an input or result of a decision.
struct LogField
{
  std::string_view m_name;
  LogValue m_value;

  LogField(std::string_view aName, std::string_view aValue)
    : m_name(aName)
    , m_value(std::string(aValue))
  {
  }
  template<typename Value>
  LogField(std::string_view aName, Value aValue)
    : m_name(aName)
    , m_value(Widen(aValue))
  {
  }

private:
  static LogValue Widen(bool aValue) { return aValue; }
  static LogValue Widen(double aValue) { return aValue; }
  static LogValue Widen(const char* aValue) { return std::string(aValue); }
  static LogValue Widen(std::string aValue) { return aValue; }
  static LogValue Widen(int32_t aValue) { return int64_t{ aValue }; }
  static LogValue Widen(int64_t aValue) { return aValue; }
  static LogValue Widen(uint32_t aValue) { return uint64_t{ aValue }; }
  static LogValue Widen(uint64_t aValue) { return aValue; }
};

/// Logs an event as one line of JSON. Does not block: if the queue of the log
/// writer is full, the line is dropped, and the next line that is accepted
/// contains the number of dropped lines.
void
LogEvent(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields);

/// Returns the duration in whole milliseconds.
inline int64_t
Milliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace heatherdeal::kernel
