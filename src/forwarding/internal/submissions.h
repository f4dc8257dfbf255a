#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "boost/asio/awaitable.hpp"

#include "kernel/context.h"

namespace heatherdeal::forwarding {

/// True for a request id that can name an object.
bool
IsRequestId(std::string_view aId);

/// Records in the object API that the call is about to be sent.
/// AlreadySubmitted if there is a record, made by whichever entry host;
/// RecordUnavailable if the store does not say.
boost::asio::awaitable<absl::Status>
ClaimSubmission(kernel::Context& aContext,
                size_t aLoopIndex,
                std::string aName);

/// Notes that the recorded call was not run after all.
void
ReleaseSubmission(kernel::Context& aContext, std::string aName);

} // namespace heatherdeal::forwarding
