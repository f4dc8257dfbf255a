#pragma once

#include "configuration/document.h"
#include "core/instant.h"

namespace heatherdeal::relay {

/// Returns when an attempt without a response times out, so that the request
/// can be retried on another upstream. An attempt of a request that is not
/// idempotent times out at the request's deadline only.
core::Instant
AttemptDeadline(const configuration::Route& aRoute,
                uint32_t aAttemptsMade,
                core::Instant aNow,
                core::Instant aDeadline);

/// Returns the time until which a request is retried while every upstream
/// refuses it for lack of capacity. After this time the refusal is returned to
/// the caller.
core::Instant
RefusalRetryDeadline(const configuration::Route& aRoute,
                     core::Instant aArrivedAt,
                     core::Instant aDeadline);

/// True if requests of this kind can safely be executed more than once.
bool
IsIdempotent(const configuration::RequestKind& aKind);

} // namespace heatherdeal::relay
