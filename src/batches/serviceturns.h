#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "configuration/document.h"
#include "core/instant.h"

namespace heatherdeal::batches {

/// The services of a split route take turns in starting the items of a batch,
/// in proportion to their weights. A service that can take none at its turn is
/// waited for, then passed over until it takes one again.
struct ServiceTurns
{
  /// The number of items started so far.
  uint64_t m_started = 0;
  /// From when on a service that could take no item is passed over, by service.
  std::map<core::ServiceId, core::Instant> m_passOverFrom;
};

/// Returns the service whose turn it is among those that were not tried yet, or
/// nothing if all were.
std::optional<core::ServiceId>
FindServiceInTurn(const ServiceTurns& aTurns,
                  const configuration::Route& aRoute,
                  std::span<const core::ServiceId> aTried);

/// Ends the turn: the service has taken an item.
void
RecordTaken(ServiceTurns& aTurns, const core::ServiceId& aService);

/// Whether a service that took no item has engines that may take one later.
enum class ServiceState
{
  Busy,
  WithoutEngines,
};

/// Records that the service took no item. Returns true if it is passed over.
bool
RecordNotTaken(ServiceTurns& aTurns,
               const core::ServiceId& aService,
               ServiceState aState,
               core::Instant aNow);

} // namespace heatherdeal::batches
