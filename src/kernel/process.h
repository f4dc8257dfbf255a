#pragma once

#include <string_view>

namespace heatherdeal::kernel {

/// Exit codes of every binary.
enum class ExitCode : int
{
  Ok = 0,
  Usage = 2,
  InvalidSettings = 3,
  StartFailed = 4,
  DrainTimedOut = 5,
};

/// What a binary is; its plug-ins are those linked into it.
struct Program
{
  std::string_view m_name;
  std::string_view m_summary;
};

/// Parses the command line, checks the settings, starts every plug-in and
/// runs until SIGTERM or SIGINT has drained them. Returns the exit code.
int
RunProcess(const Program& aProgram, int aArgc, const char* const* aArgv);

} // namespace heatherdeal::kernel
