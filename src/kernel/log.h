#pragma once

#include <string_view>

#include "core/failure.h"

namespace heatherdeal::kernel {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Sends log lines to standard output, from aLeast on.
void
StartLogging(std::string_view aProcess, LogLevel aLeast);

/// Writes what waits; later lines are lost.
void
StopLogging();

/// Logs a failure with its type and fields.
void
LogFailure(LogLevel aLevel,
           std::string_view aPart,
           const core::Failure& aFailure);

} // namespace heatherdeal::kernel
