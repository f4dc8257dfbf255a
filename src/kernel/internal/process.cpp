#include "kernel/process.h"

#include <algorithm>
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

/// A parsed command line, or the code to exit with.
using CommandLineResult = std::variant<CommandLine, ExitCode>;

CommandLineResult
ParseCommandLine(const Program& aProgram, int aArgc, const char* const* aArgv)
{
  cxxopts::Options options{ std::string(aProgram.m_name),
                            std::string(aProgram.m_summary) };
  options.add_options()("h,help", "print this help")("version",
                                                     "print the version")(
    "settings", "settings file in JSON", cxxopts::value<std::string>(), "FILE")(
    "check", "check the settings and exit")(
    "plugins", "print the plug-ins of this binary");
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
ParseSections(const boost::json::value& aDocument,
              std::span<const PluginDescriptor> aPlugins,
              SettingsErrors& aErrors)
{
  static const boost::json::value kEmptySection = boost::json::object();
  ParsedSettings parsed;
  SettingsReader root(aDocument, "$", aErrors);
  const auto section = [&](std::string_view aName) {
    const boost::json::value* value = root.Optional(aName);
    return value == nullptr ? &kEmptySection : value;
  };
  SettingsReader kernel(
    *section(kKernelSection), root.PathOf(kKernelSection), aErrors);
  parsed.m_kernel = ParseKernelSettings(kernel);
  for (const PluginDescriptor& plugin : aPlugins) {
    SettingsReader reader(
      *section(plugin.m_name), root.PathOf(plugin.m_name), aErrors);
    parsed.m_plugins.push_back(plugin.m_parseSettings(reader));
  }
  return parsed;
}

std::optional<boost::json::value>
ReadDocument(std::string_view aFile, SettingsErrors& aErrors)
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
      { "$", std::string(aFile), "JSON: " + error.message() });
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
  // Those that others need drain last.
  for (size_t i = aPlugins.size(); i > 0; --i) {
    if (aPlugins[i - 1].m_drain != nullptr) {
      aPlugins[i - 1].m_drain(aContext);
    }
  }
}

/// Checks the settings file again after SIGHUP. Plug-ins read their sections
/// at the start only; an invalid file shows now, not at the next start.
void
NoteReload(const Program& aProgram,
           std::string_view aFile,
           std::span<const PluginDescriptor> aPlugins)
{
  SettingsErrors errors;
  const auto document = ReadDocument(aFile, errors);
  if (document) {
    ParseSections(*document, aPlugins, errors);
  }
  LogEvent(
    LogLevel::Info,
    "kernel",
    "reloaded",
    { { "program", aProgram.m_name }, { "valid", errors.m_errors.empty() } });
}

void
AwaitReload(boost::asio::signal_set& aSignals, std::function<void()> aReload)
{
  aSignals.async_wait(
    [&aSignals, aReload](boost::system::error_code aError, int) {
      if (!aError) {
        aReload();
        AwaitReload(aSignals, aReload);
      }
    });
}

ExitCode
RunUntilDrained(Context& aContext,
                std::span<const PluginDescriptor> aPlugins,
                core::Duration aDrainLimit,
                std::function<void()> aReload)
{
  boost::asio::signal_set reloads(aContext.Control().Context(), SIGHUP);
  AwaitReload(reloads, std::move(aReload));
  ExitCode code = ExitCode::Ok;
  DeadlineTimer drainTimer(aContext.Control(), [&] {
    LogEvent(LogLevel::Error, "kernel", "drain-timed-out", {});
    code = ExitCode::DrainTimedOut;
    aContext.Control().Stop();
  });
  boost::asio::signal_set signals(
    aContext.Control().Context(), SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (aError) {
      return;
    }
    LogEvent(LogLevel::Info, "kernel", "drain-started", {});
    drainTimer.Set(Now() + aDrainLimit);
    DrainPlugins(aContext, aPlugins);
    aContext.Stopping().Request(
      [&] { aContext.Control().Post([&] { aContext.Control().Stop(); }); });
  });
  aContext.Control().Run();
  aContext.Traffic().Stop();
  if (!aContext.Failed().ok()) {
    LogEvent(LogLevel::Error,
             "kernel",
             "failed",
             { { "reason", aContext.Failed().ToString() } });
    return ExitCode::StartFailed;
  }
  return code;
}

ExitCode
RunWithSettings(const Program& aProgram, const CommandLine& aCommandLine)
{
  std::vector<PluginDescriptor> plugins;
  const absl::Status ordered = OrderPlugins(plugins);
  if (!ordered.ok()) {
    std::cerr << aProgram.m_name << ": " << ordered << '\n';
    return ExitCode::StartFailed;
  }
  SettingsErrors errors;
  ParsedSettings parsed;
  const auto document = ReadDocument(aCommandLine.m_settingsFile, errors);
  if (document) {
    parsed = ParseSections(*document, plugins, errors);
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
  const absl::Status started = StartPlugins(context, plugins, parsed.m_plugins);
  if (!started.ok()) {
    LogEvent(LogLevel::Error,
             "kernel",
             "start-failed",
             { { "reason", started.ToString() } });
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
      NoteReload(aProgram, aCommandLine.m_settingsFile, plugins);
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
