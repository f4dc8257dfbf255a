#pragma once

#include <string_view>
#include <vector>

#include "core/ids.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::standin {

/// Reads an array of {"address", "port"}.
std::vector<core::Endpoint>
ParseEndpoints(kernel::SettingsReader& aReader, std::string_view aName);

/// An answer of GET /v1/addresses, and how long it may be kept.
struct Addresses
{
  std::vector<core::Endpoint> m_endpoints;
  core::Duration m_lifetime{};
};

Addresses
ParseAddresses(kernel::SettingsReader& aReader);

} // namespace heatherdeal::standin
