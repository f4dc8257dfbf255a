#pragma once

#include <string_view>
#include <vector>

#include "core/ids.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::standin {

/// Parses the array aName, whose elements are {"address", "port"}.
std::vector<core::Endpoint>
ParseEndpoints(kernel::SettingsReader& aReader, std::string_view aName);

/// The response to GET /v1/addresses: the endpoints and how long they may be
/// cached.
struct Addresses
{
  std::vector<core::Endpoint> m_endpoints;
  core::Duration m_lifetime{};
};

/// Parses the body of a response to GET /v1/addresses.
Addresses
ParseAddresses(kernel::SettingsReader& aReader);

} // namespace heatherdeal::standin
