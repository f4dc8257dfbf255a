#pragma once

#include "kernel/settingsreader.h"
#include "lease/lease.h"

namespace heatherdeal::lease {

/// Reads lease_ms, lease_renew_ms and lease_stop_before_ms; notes an error
/// if they do not leave time to act.
LeasePolicy
ParseLeasePolicy(kernel::SettingsReader& aReader);

} // namespace heatherdeal::lease
