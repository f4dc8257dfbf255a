#include "batches/serviceturns.h"

#include <algorithm>

namespace heatherdeal::batches {

namespace {

// Engines with all slots taken, or that load weights, take items again within
// this time.
constexpr core::Duration kMaxTurnWait = std::chrono::seconds(1);

} // namespace

std::optional<core::ServiceId>
FindServiceInTurn(const ServiceTurns& aTurns,
                  const configuration::Route& aRoute,
                  std::span<const core::ServiceId> aTried)
{
  const core::ServiceId* service =
    configuration::ChooseServiceExcept(aRoute, aTurns.m_started, aTried);
  return service == nullptr ? std::nullopt : std::optional(*service);
}

void
RecordTaken(ServiceTurns& aTurns, const core::ServiceId& aService)
{
  aTurns.m_started += 1;
  aTurns.m_passOverFrom.erase(aService);
}

bool
RecordNotTaken(ServiceTurns& aTurns,
               const core::ServiceId& aService,
               ServiceState aState,
               core::Instant aNow)
{
  const core::Instant from =
    aState == ServiceState::WithoutEngines ? aNow : aNow + kMaxTurnWait;
  core::Instant& passOverFrom =
    aTurns.m_passOverFrom.try_emplace(aService, from).first->second;
  passOverFrom = std::min(passOverFrom, from);
  return passOverFrom <= aNow;
}

} // namespace heatherdeal::batches
