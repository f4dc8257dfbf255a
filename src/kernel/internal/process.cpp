#include "kernel/process.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "boost/asio/signal_set.hpp"
#include "boost/json/parse.hpp"
#include "cxxopts.hpp"

#include "kernel/deadlinetimer.h"
#include "kernel/eventlog.h"
#include "kernel/plugin.h"

#ifndef HEATHERDEAL_VERSION
#define HEATHERDEAL_VERSION "0.0.0"
#endif

namespace heatherdeal::kernel {

namespace {

constexpr std::string_view kKernelSection = "kernel";
constexpr core::Duration kDefaultDrainLimit = std::chrono::minutes(10);
constexpr int64_t kMaxDrainLimitMilliseconds = 24 * 3600 * 1000;
constexpr int64_t kMaxTrafficThreads = 64;

struct CommandLine
{
  std::string m_settingsFile;
  bool m_checkOnly = false;
};

struct KernelSettings
{
  Identity m_identity;
  size_t m_trafficThreads = 1;
  core::Duration m_drainLimit{};
  LogLevel m_logLevel = LogLevel::Info;
};

struct ParsedSettings
{
  KernelSettings m_kernel;
  std::vector<std::any> m_plugins;
};

/// A parsed command line, or an exit code if the process should not start.
using CommandLineResult = std::variant<CommandLine, ExitCode>;

CommandLineResult
ParseCommandLine(const Program& aProgram, int aArgc, const char* const* aArgv)
{
  cxxopts::Options options{ std::string(aProgram.m_name),
                            std::string(aProgram.m_summary) };
  options.add_options()("h,help", "print this help and exit")(
    "version", "print the version and exit")(
    "settings", "settings file (JSON)", cxxopts::value<std::string>(), "FILE")(
    "check", "validate the settings file and exit")(
    "plugins", "print the names of the linked plug-ins and exit");
  try {
    const cxxopts::ParseResult parsed = options.parse(aArgc, aArgv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n';
      return ExitCode::Ok;
    }
    if (parsed.count("version") > 0) {
      std::cout << aProgram.m_name << ' ' << HEATHERDEAL_VERSION << '\n';
      return ExitCode::Ok;
    }
    if (parsed.count("plugins") > 0) {
      for (const std::string_view name : RegisteredPlugins()) {
        std::cout << name << '\n';
      }
      return ExitCode::Ok;
    }
    if (parsed.count("settings") == 0 || !parsed.unmatched().empty()) {
      std::cerr << options.help() << '\n';
      return ExitCode::Usage;
    }
    return CommandLine{ parsed["settings"].as<std::string>(),
                        parsed.count("check") > 0 };
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << aProgram.m_name << ": " << error.what() << '\n';
    return ExitCode::Usage;
  }
}

KernelSettings
ParseKernelSettings(SettingsReader& aReader)
{
  static constexpr std::string_view kLevels[] = {
    "debug", "info", "warning", "error"
  };
  KernelSettings settings;
  settings.m_identity.m_host = aReader.Text("host");
  settings.m_identity.m_failureDomain = aReader.Text("failure_domain");
  settings.m_identity.m_region = aReader.TextOr("region", "local");
  settings.m_identity.m_address = aReader.TextOr("address", "127.0.0.1");
  settings.m_trafficThreads = static_cast<size_t>(
    aReader.IntegerOr("traffic_threads", { 1, kMaxTrafficThreads }, 2));
  settings.m_drainLimit = aReader.MillisecondsOr(
    "drain_limit_ms", { 0, kMaxDrainLimitMilliseconds }, kDefaultDrainLimit);
  settings.m_logLevel =
    static_cast<LogLevel>(aReader.ChoiceOr("log_level", kLevels, 1));
  return settings;
}

ParsedSettings
ParseSettingsSections(const boost::json::value& aDocument,
                      std::span<const PluginDescriptor> aPlugins,
                      SettingsErrors& aErrors)
{
  static const boost::json::value kEmptySection = boost::json::object();
  ParsedSettings parsed;
  SettingsReader rootReader(aDocument, "$", aErrors);
  const auto findSection = [&](std::string_view aName) {
    const boost::json::value* value = rootReader.OptionalValue(aName);
    return value == nullptr ? &kEmptySection : value;
  };
  SettingsReader kernelReader(
    *findSection(kKernelSection), rootReader.PathOf(kKernelSection), aErrors);
  parsed.m_kernel = ParseKernelSettings(kernelReader);
  for (const PluginDescriptor& plugin : aPlugins) {
    SettingsReader pluginReader(
      *findSection(plugin.m_name), rootReader.PathOf(plugin.m_name), aErrors);
    parsed.m_plugins.push_back(plugin.m_parseSettings(pluginReader));
  }
  return parsed;
}

std::optional<boost::json::value>
ReadSettingsFile(std::string_view aFile, SettingsErrors& aErrors)
{
  std::ifstream stream{ std::string(aFile) };
  if (!stream) {
    aErrors.m_errors.push_back({ "$", std::string(aFile), "a readable file" });
    return std::nullopt;
  }
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  boost::json::error_code error;
  boost::json::value document = boost::json::parse(text, error);
  if (error) {
    aErrors.m_errors.push_back(
      { "$", std::string(aFile), "valid JSON: " + error.message() });
    return std::nullopt;
  }
  return document;
}

void
PrintErrors(const Program& aProgram,
            std::span<const core::InvalidSetting> aErrors)
{
  for (const core::InvalidSetting& error : aErrors) {
    std::cerr << aProgram.m_name << ": " << error.m_path << ": found "
              << error.m_value << ", expected " << error.m_expected << '\n';
  }
}

absl::Status
StartPlugins(Context& aContext,
             std::span<const PluginDescriptor> aPlugins,
             std::span<const std::any> aSettings)
{
  for (size_t i = 0; i < aPlugins.size(); ++i) {
    const absl::Status status = aPlugins[i].m_start(aContext, aSettings[i]);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

void
DrainPlugins(Context& aContext, std::span<const PluginDescriptor> aPlugins)
{
  // Reverse start order: dependencies drain after the plug-ins that use them.
  for (size_t i = aPlugins.size(); i > 0; --i) {
    if (aPlugins[i - 1].m_drain != nullptr) {
      aPlugins[i - 1].m_drain(aContext);
    }
  }
}

/// Validates the settings file after SIGHUP and logs the result. Settings are
/// only applied at the start; this detects an invalid file before a restart
/// fails because of it.
void
ValidateSettingsAfterReload(const Program& aProgram,
                            std::string_view aFile,
                            std::span<const PluginDescriptor> aPlugins)
{
  SettingsErrors errors;
  const auto document = ReadSettingsFile(aFile, errors);
  if (document) {
    ParseSettingsSections(*document, aPlugins, errors);
  }
  LogEvent(
    LogLevel::Info,
    "kernel",
    "reloaded",
    { { "program", aProgram.m_name }, { "valid", errors.m_errors.empty() } });
}

/// Blocks or unblocks the signals that operators send to a process, for the
/// calling thread and those that it starts later. A blocked one is kept.
void
SetOperatorSignalsBlocked(bool aAreBlocked)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(aAreBlocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

void
CallOnReloadSignal(boost::asio::signal_set& aSignals,
                   std::function<void()> aOnReload)
{
  aSignals.async_wait(
    [&aSignals, aOnReload](boost::system::error_code aError, int) {
      if (!aError) {
        aOnReload();
        CallOnReloadSignal(aSignals, aOnReload);
      }
    });
}

ExitCode
RunUntilDrained(Context& aContext,
                std::span<const PluginDescriptor> aPlugins,
                core::Duration aDrainLimit,
                std::function<void()> aOnReload)
{
  boost::asio::signal_set reloadSignals(aContext.Control().EventLoop(), SIGHUP);
  CallOnReloadSignal(reloadSignals, std::move(aOnReload));
  ExitCode exitCode = ExitCode::Ok;
  DeadlineTimer drainTimer(aContext.Control(), [&] {
    LogEvent(LogLevel::Error, "kernel", "drain-timed-out", {});
    exitCode = ExitCode::DrainTimedOut;
    aContext.Control().Stop();
  });
  boost::asio::signal_set stopSignals(
    aContext.Control().EventLoop(), SIGTERM, SIGINT);
  stopSignals.async_wait([&](boost::system::error_code aError, int) {
    if (aError) {
      return;
    }
    LogEvent(LogLevel::Info, "kernel", "drain-started", {});
    const core::Instant deadline = Now() + aDrainLimit;
    drainTimer.Set(deadline);
    DrainPlugins(aContext, aPlugins);
    aContext.ProcessShutdown().Request(deadline, [&] {
      aContext.Control().Post([&] { aContext.Control().Stop(); });
    });
  });
  SetOperatorSignalsBlocked(false);
  aContext.Control().Run();
  aContext.Traffic().Stop();
  if (!aContext.FailureStatus().ok()) {
    LogEvent(LogLevel::Error,
             "kernel",
             "failed",
             { { "reason", aContext.FailureStatus().ToString() } });
    return ExitCode::StartFailed;
  }
  return exitCode;
}

ExitCode
RunWithSettings(const Program& aProgram, const CommandLine& aCommandLine)
{
  std::vector<PluginDescriptor> plugins;
  const absl::Status sortStatus = SortPluginsByDependency(plugins);
  if (!sortStatus.ok()) {
    std::cerr << aProgram.m_name << ": " << sortStatus << '\n';
    return ExitCode::StartFailed;
  }
  SettingsErrors errors;
  ParsedSettings parsed;
  const auto document = ReadSettingsFile(aCommandLine.m_settingsFile, errors);
  if (document) {
    parsed = ParseSettingsSections(*document, plugins, errors);
  }
  if (!errors.m_errors.empty()) {
    PrintErrors(aProgram, errors.m_errors);
    return ExitCode::InvalidSettings;
  }
  if (aCommandLine.m_checkOnly) {
    std::cout << "settings are valid\n";
    return ExitCode::Ok;
  }
  StartLogging(std::string(aProgram.m_name) + "[" +
                 parsed.m_kernel.m_identity.m_host + "]",
               parsed.m_kernel.m_logLevel);
  Context context(parsed.m_kernel.m_identity, parsed.m_kernel.m_trafficThreads);
  const absl::Status startStatus =
    StartPlugins(context, plugins, parsed.m_plugins);
  if (!startStatus.ok()) {
    LogEvent(LogLevel::Error,
             "kernel",
             "start-failed",
             { { "reason", startStatus.ToString() } });
    context.Traffic().Stop();
    return ExitCode::StartFailed;
  }
  LogEvent(LogLevel::Info,
           "kernel",
           "started",
           { { "version", HEATHERDEAL_VERSION },
             { "failure_domain", context.Self().m_failureDomain } });
  const ExitCode code =
    RunUntilDrained(context, plugins, parsed.m_kernel.m_drainLimit, [&] {
      ValidateSettingsAfterReload(
        aProgram, aCommandLine.m_settingsFile, plugins);
    });
  LogEvent(LogLevel::Info,
           "kernel",
           "stopped",
           { { "exit_code", static_cast<int32_t>(code) } });
  return code;
}

} // namespace

int
RunProcess(const Program& aProgram, int aArgc, const char* const* aArgv)
{
  // Until the handlers are set, these signals would end the process.
  SetOperatorSignalsBlocked(true);
  const CommandLineResult commandLine =
    ParseCommandLine(aProgram, aArgc, aArgv);
  if (const ExitCode* code = std::get_if<ExitCode>(&commandLine)) {
    return static_cast<int>(*code);
  }
  const ExitCode code =
    RunWithSettings(aProgram, std::get<CommandLine>(commandLine));
  StopLogging();
  return static_cast<int>(code);
}

} // namespace heatherdeal::kernel
