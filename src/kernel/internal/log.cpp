#include "kernel/log.h"

#include <string>

#include "easylogging++.h"

namespace heatherdeal::kernel {

namespace {

el::Level
ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return el::Level::Debug;
    case LogLevel::Info:
      return el::Level::Info;
    case LogLevel::Warning:
      return el::Level::Warning;
    case LogLevel::Error:
      break;
  }
  return el::Level::Error;
}

} // namespace

void
StartLogging(std::string_view aProcess, LogLevel aLeast)
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} " +
                              std::string(aProcess) + " %level %msg");
  for (const LogLevel level : { LogLevel::Debug,
                                LogLevel::Info,
                                LogLevel::Warning,
                                LogLevel::Error }) {
    if (level < aLeast) {
      configuration.set(
        ToLibraryLevel(level), el::ConfigurationType::Enabled, "false");
    }
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void
Log(LogLevel aLevel, std::string_view aPart, std::string_view aMessage)
{
  const std::string line =
    "part=" + std::string(aPart) + " " + std::string(aMessage);
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << line;
      return;
    case LogLevel::Info:
      LOG(INFO) << line;
      return;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      return;
    case LogLevel::Error:
      LOG(ERROR) << line;
      return;
  }
}

void
LogFailure(LogLevel aLevel,
           std::string_view aPart,
           const core::Failure& aFailure)
{
  Log(aLevel, aPart, "failure=" + core::Describe(aFailure));
}

} // namespace heatherdeal::kernel
