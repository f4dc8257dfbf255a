#pragma once

#include "boost/json/object.hpp"

#include "configuration/document.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::configuration {

Route
ParseRoute(kernel::SettingsReader& aReader);

boost::json::object
ToObject(const Route& aRoute);

CallerLimits
ParseLimits(kernel::SettingsReader& aReader);

boost::json::object
ToObject(const CallerLimits& aLimits);

} // namespace heatherdeal::configuration
