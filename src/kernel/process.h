#pragma once

#include <string_view>

namespace heatherdeal::kernel {

/// Exit codes of the service processes.
enum class ExitCode : int
{
  Ok = 0,
  Usage = 2,
  InvalidSettings = 3,
  StartFailed = 4,
  DrainTimedOut = 5,
};

/// Name and help text of a binary. Its plug-ins are those linked into it.
struct Program
{
  std::string_view m_name;
  std::string_view m_summary;
};

/// Parses the command line and the settings file, starts all plug-ins and runs
/// until SIGTERM or SIGINT. Then drains the plug-ins and returns the exit code.
/// Signals that arrive during the start take effect after it.
int
RunProcess(const Program& aProgram, int aArgc, const char* const* aArgv);

} // namespace heatherdeal::kernel
