#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "boost/asio/awaitable.hpp"

#include "kernel/context.h"

namespace heatherdeal::forwarding {

/// Returns true if the request id is a valid object name.
bool
IsValidRequestId(std::string_view aRequestId);

/// Records in the object API that the call is about to be sent. Returns
/// AlreadySubmitted if any entry host has recorded it before and the record has
/// not been released, and RecordUnavailable if the record could not be created
/// or read.
boost::asio::awaitable<absl::Status>
ClaimSubmission(kernel::Context& aContext,
                size_t aLoopIndex,
                std::string aName);

/// Records that the claimed call did not run, so that it can be claimed again.
void
ReleaseSubmission(kernel::Context& aContext, std::string aName);

} // namespace heatherdeal::forwarding
