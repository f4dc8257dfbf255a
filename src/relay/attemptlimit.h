#pragma once

#include "configuration/document.h"
#include "core/instant.h"

namespace heatherdeal::relay {

/// When an attempt that has not been answered is given up in favour of
/// another upstream. A request that may run once only is never given up
/// before its deadline.
core::Instant
AttemptDeadline(const configuration::Route& aRoute,
                uint32_t aAttemptsMade,
                core::Instant aNow,
                core::Instant aDeadline);

/// Until when a request that upstreams refuse for lack of room is offered
/// again before the caller is told to come back.
core::Instant
OfferUntil(const configuration::Route& aRoute,
           core::Instant aArrived,
           core::Instant aDeadline);

/// True if running the requests of the kind twice does no harm.
bool
IsIdempotent(const configuration::RequestKind& aKind);

} // namespace heatherdeal::relay
