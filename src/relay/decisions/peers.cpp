#include "relay/peers.h"

#include <algorithm>
#include <vector>

namespace heatherdeal::relay {

namespace {

constexpr core::Duration kReachedMemory = std::chrono::seconds(5);
constexpr core::Duration kAvoidTime = std::chrono::milliseconds(1500);

/// The lower, the better.
enum class Preference
{
  ReachedLately,
  Unknown,
  LastResort,
  Excluded,
};

Preference
PreferenceOf(const PeerTable& aTable,
             const PeerCandidate& aCandidate,
             std::span<const std::string> aTried,
             core::Instant aNow)
{
  if (std::ranges::find(aTried, aCandidate.m_name) != aTried.end()) {
    return Preference::Excluded;
  }
  const auto found = aTable.find(aCandidate.m_name);
  const PeerState state = found == aTable.end() ? PeerState{} : found->second;
  if (state.m_avoidUntil > aNow) {
    return Preference::Excluded;
  }
  if (!aCandidate.m_isEntry) {
    // Hosts without callers are rarely cut off, unlike those that failed just
    // now.
    return aTried.empty() ? Preference::LastResort : Preference::ReachedLately;
  }
  return state.m_reachedUntil > aNow ? Preference::ReachedLately
                                     : Preference::Unknown;
}

} // namespace

void
RecordOutcome(PeerTable& aTable,
              std::string_view aPeer,
              PeerOutcome aOutcome,
              core::Instant aNow)
{
  std::erase_if(aTable, [aNow](const auto& aEntry) {
    return aEntry.second.m_reachedUntil <= aNow &&
           aEntry.second.m_avoidUntil <= aNow;
  });
  PeerState& state = aTable[std::string(aPeer)];
  if (aOutcome == PeerOutcome::Reached) {
    state = { aNow + kReachedMemory, {} };
  } else {
    state = { {}, aNow + kAvoidTime };
  }
}

std::optional<size_t>
ChoosePeer(const PeerTable& aTable,
           std::span<const PeerCandidate> aCandidates,
           std::span<const std::string> aTried,
           uint64_t aSequence,
           core::Instant aNow)
{
  std::vector<size_t> best;
  Preference bestPreference = Preference::Excluded;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const Preference preference =
      PreferenceOf(aTable, aCandidates[i], aTried, aNow);
    if (preference < bestPreference) {
      best.clear();
      bestPreference = preference;
    }
    if (preference == bestPreference && preference != Preference::Excluded) {
      best.push_back(i);
    }
  }
  return best.empty() ? std::nullopt
                      : std::optional(best[aSequence % best.size()]);
}

} // namespace heatherdeal::relay
