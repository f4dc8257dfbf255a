#include "batches/reach.h"

namespace heatherdeal::batches {

namespace {

constexpr core::Duration kSilence = std::chrono::milliseconds(200);
constexpr core::Duration kRest = std::chrono::milliseconds(1000);

} // namespace

bool
IsSilence(core::Duration aTook)
{
  return aTook >= kSilence;
}

void
NoteFailure(Reach& aReach,
            std::string_view aHost,
            core::Duration aTook,
            core::Instant aNow)
{
  // Expired entries are erased, so that hosts that never come back do not
  // accumulate.
  std::erase_if(aReach.m_restsUntil,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  if (IsSilence(aTook)) {
    aReach.m_restsUntil.insert_or_assign(std::string(aHost), aNow + kRest);
  }
}

void
NoteAnswer(Reach& aReach, std::string_view aHost)
{
  const auto found = aReach.m_restsUntil.find(aHost);
  if (found != aReach.m_restsUntil.end()) {
    aReach.m_restsUntil.erase(found);
  }
}

bool
Rests(const Reach& aReach, std::string_view aHost, core::Instant aNow)
{
  const auto found = aReach.m_restsUntil.find(aHost);
  return found != aReach.m_restsUntil.end() && aNow < found->second;
}

} // namespace heatherdeal::batches
