#include "batches/unresponsivehosts.h"

namespace heatherdeal::batches {

namespace {

constexpr core::Duration kUnresponsiveThreshold =
  std::chrono::milliseconds(200);
constexpr core::Duration kAvoidanceTime = std::chrono::milliseconds(1000);

} // namespace

bool
IsUnresponsive(core::Duration aElapsed)
{
  return aElapsed >= kUnresponsiveThreshold;
}

void
RecordFailure(UnresponsiveHosts& aHosts,
              std::string_view aHost,
              core::Duration aElapsed,
              core::Instant aNow)
{
  // Expired entries are erased, so that hosts that never come back do not
  // accumulate.
  std::erase_if(aHosts.m_avoidedUntil,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  if (IsUnresponsive(aElapsed)) {
    aHosts.m_avoidedUntil.insert_or_assign(std::string(aHost),
                                           aNow + kAvoidanceTime);
  }
}

void
RecordResponse(UnresponsiveHosts& aHosts, std::string_view aHost)
{
  const auto found = aHosts.m_avoidedUntil.find(aHost);
  if (found != aHosts.m_avoidedUntil.end()) {
    aHosts.m_avoidedUntil.erase(found);
  }
}

bool
IsAvoided(const UnresponsiveHosts& aHosts,
          std::string_view aHost,
          core::Instant aNow)
{
  const auto found = aHosts.m_avoidedUntil.find(aHost);
  return found != aHosts.m_avoidedUntil.end() && aNow < found->second;
}

} // namespace heatherdeal::batches
