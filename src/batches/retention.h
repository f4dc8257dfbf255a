#pragma once

#include <cstdint>

#include "batches/batch.h"
#include "core/instant.h"

namespace heatherdeal::batches {

/// True if the batch may be removed: its trainer has ended it, and it was
/// accepted longer ago than aRetention. An open batch never expires, since its
/// trainer may still read each result.
bool
IsExpired(const Placement& aPlacement,
          int64_t aNowUnixMs,
          core::Duration aRetention);

} // namespace heatherdeal::batches
