#pragma once

#include "boost/json/object.hpp"

#include "configuration/document.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::configuration {

Job
ParseJob(kernel::SettingsReader& aReader);

boost::json::object
ToObject(const Job& aJob);

int64_t
ToMilliseconds(core::Duration aDuration);

} // namespace heatherdeal::configuration
