#pragma once

#include "boost/json/object.hpp"

#include "configuration/document.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::configuration {

/// Parses a route of the document.
Route
ParseRoute(kernel::SettingsReader& aReader);

/// Returns the route as a JSON object.
boost::json::object
ToObject(const Route& aRoute);

/// Parses the caller limits of the document.
CallerLimits
ParseLimits(kernel::SettingsReader& aReader);

/// Returns the caller limits as a JSON object.
boost::json::object
ToObject(const CallerLimits& aLimits);

} // namespace heatherdeal::configuration
