#pragma once

#include <span>
#include <string>
#include <string_view>

#include "core/failure.h"
#include "http/message.h"
#include "quarantine/suspects.h"

namespace heatherdeal::quarantine {

/// Returns the fingerprint of a request: its method, target, body and headers,
/// in whatever order and case the headers come. Leaves out aAttemptHeaders,
/// which differ between attempts of the same request, and headers for tracing.
Fingerprint
ComputeFingerprint(const http::Request& aRequest,
                   std::span<const std::string_view> aAttemptHeaders);

/// Returns the fingerprint as 16 hexadecimal digits.
std::string
ToText(Fingerprint aFingerprint);

/// Returns the failure of a request that is refused until aRefusalEnd.
core::Quarantined
MakeFailure(Fingerprint aFingerprint,
            core::Instant aRefusalEnd,
            core::Instant aNow);

} // namespace heatherdeal::quarantine
