#pragma once

#include "boost/json/object.hpp"

#include "configuration/customer.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::configuration {

Customer
ParseCustomer(kernel::SettingsReader& aReader);

boost::json::object
ToObject(const Customer& aCustomer);

} // namespace heatherdeal::configuration
