#pragma once

#include "kernel/settingsreader.h"
#include "lease/lease.h"

namespace heatherdeal::lease {

/// Reads lease_ms, lease_renew_ms and lease_stop_before_ms. Adds an error to
/// the reader unless lease_ms exceeds the sum of the other two.
LeasePolicy
ParseLeasePolicy(kernel::SettingsReader& aReader);

} // namespace heatherdeal::lease
