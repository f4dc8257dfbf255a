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

/// Starts logging to standard output. Events below aMinLevel are discarded.
void
StartLogging(std::string_view aProcess, LogLevel aMinLevel);

/// Writes all queued lines and stops logging. Events logged later are
/// discarded.
void
StopLogging();

/// Logs a failure with its kind and fields.
void
LogFailure(LogLevel aLevel,
           std::string_view aComponent,
           const core::Failure& aFailure);

} // namespace heatherdeal::kernel
