#include "kernel/eventlog.h"

#include <chrono>
#include <memory>
#include <string>

#include "boost/json/object.hpp"
#include "boost/json/serialize.hpp"
#include "easylogging++.h"

#include "kernel/controlthread.h"
#include "kernel/internal/logwriter.h"

namespace heatherdeal::kernel {

namespace {

struct LogState
{
  std::string m_process;
  LogLevel m_minLevel = LogLevel::Info;
  std::unique_ptr<LogWriter> m_writer;
};

LogState&
GlobalLogState()
{
  static LogState state;
  return state;
}

std::string_view
ToText(LogLevel aLevel)
{
  constexpr std::string_view kNames[] = { "debug", "info", "warning", "error" };
  return kNames[static_cast<size_t>(aLevel)];
}

boost::json::string_view
ToJsonView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

boost::json::value
ToJson(const LogValue& aValue)
{
  return std::visit(
    [](const auto& aAlternative) { return boost::json::value(aAlternative); },
    aValue);
}

} // namespace

void
StartLogging(std::string_view aProcess, LogLevel aMinLevel)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  LogState& state = GlobalLogState();
  state.m_process = aProcess;
  state.m_minLevel = aMinLevel;
  state.m_writer = std::make_unique<LogWriter>();
}

void
StopLogging()
{
  GlobalLogState().m_writer.reset();
}

void
LogEvent(LogLevel aLevel,
         std::string_view aComponent,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  LogState& state = GlobalLogState();
  if (aLevel < state.m_minLevel || !state.m_writer) {
    return;
  }
  boost::json::object line;
  line["t"] = UnixMilliseconds();
  line["process"] = state.m_process;
  line["level"] = ToJsonView(ToText(aLevel));
  line["part"] = ToJsonView(aComponent);
  line["event"] = ToJsonView(aEvent);
  for (const LogField& field : aFields) {
    line[ToJsonView(field.m_name)] = ToJson(field.m_value);
  }
  const uint64_t dropped = state.m_writer->TakeDroppedCount();
  if (dropped > 0) {
    line["lines_dropped"] = dropped;
  }
  state.m_writer->Push(aLevel, boost::json::serialize(line));
}

void
LogFailure(LogLevel aLevel,
           std::string_view aComponent,
           const core::Failure& aFailure)
{
  LogEvent(aLevel,
           aComponent,
           "failure",
           { { "kind", core::KindOf(aFailure) },
             { "detail", core::Describe(aFailure) } });
}

} // namespace heatherdeal::kernel
