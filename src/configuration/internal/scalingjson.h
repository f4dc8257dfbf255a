#pragma once

#include "boost/json/object.hpp"

#include "configuration/upstreamscaling.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::configuration {

UpstreamScaling
ParseScaling(kernel::SettingsReader& aReader);

boost::json::object
ToObject(const UpstreamScaling& aScaling);

} // namespace heatherdeal::configuration
