#include "kernel/eventlog.h"

#include <chrono>
#include <memory>
#include <string>

#include "boost/json/object.hpp"
#include "boost/json/serialize.hpp"
#include "easylogging++.h"

#include "kernel/internal/logwriter.h"

namespace heatherdeal::kernel {

namespace {

struct LogState
{
  std::string m_process;
  LogLevel m_least = LogLevel::Info;
  std::unique_ptr<LogWriter> m_writer;
};

LogState&
State()
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
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

boost::json::value
ToJson(const LogValue& aValue)
{
  return std::visit(
    [](const auto& aTyped) { return boost::json::value(aTyped); }, aValue);
}

int64_t
WallMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void
StartLogging(std::string_view aProcess, LogLevel aLeast)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  LogState& state = State();
  state.m_process = aProcess;
  state.m_least = aLeast;
  state.m_writer = std::make_unique<LogWriter>();
}

void
StopLogging()
{
  State().m_writer.reset();
}

void
LogEvent(LogLevel aLevel,
         std::string_view aPart,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  LogState& state = State();
  if (aLevel < state.m_least || !state.m_writer) {
    return;
  }
  boost::json::object line;
  line["t"] = WallMilliseconds();
  line["process"] = state.m_process;
  line["level"] = View(ToText(aLevel));
  line["part"] = View(aPart);
  line["event"] = View(aEvent);
  for (const LogField& field : aFields) {
    line[View(field.m_name)] = ToJson(field.m_value);
  }
  const uint64_t dropped = state.m_writer->TakeDropped();
  if (dropped > 0) {
    line["lines_dropped"] = dropped;
  }
  state.m_writer->Push(aLevel, boost::json::serialize(line));
}

void
LogFailure(LogLevel aLevel,
           std::string_view aPart,
           const core::Failure& aFailure)
{
  LogEvent(aLevel,
           aPart,
           "failure",
           { { "kind", core::KindOf(aFailure) },
             { "detail", core::Describe(aFailure) } });
}

} // namespace heatherdeal::kernel
