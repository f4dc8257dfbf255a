#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "kernel/context.h"

namespace heatherdeal::usage {

/// Returns the address of the host, if the host list has it.
std::optional<core::Endpoint>
FindEndpoint(const kernel::Context& aContext, std::string_view aHost);

/// Returns the names of the hosts of a role for which aIsWanted returns true.
std::vector<std::string>
FindHosts(const kernel::Context& aContext,
          std::string_view aRole,
          const std::function<bool(std::string_view aHost)>& aIsWanted);

} // namespace heatherdeal::usage
