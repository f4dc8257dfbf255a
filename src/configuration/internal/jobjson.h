#pragma once

#include "boost/json/object.hpp"

#include "configuration/document.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::configuration {

/// Parses a job of the document.
Job
ParseJob(kernel::SettingsReader& aReader);

/// Returns the job as a JSON object.
boost::json::object
ToObject(const Job& aJob);

/// Returns the duration in whole milliseconds.
int64_t
ToMilliseconds(core::Duration aDuration);

} // namespace heatherdeal::configuration
