#include "relay/reachability.h"

#include "core/overloaded.h"

namespace heatherdeal::relay {

namespace {

constexpr core::Duration kCheckInterval = std::chrono::milliseconds(500);
// Slow upstreams leave requests unanswered too.
constexpr core::Duration kIntervalWhileReachable = std::chrono::seconds(1);

NextCheck
HandleEvent(Reachability& aState, const RequestUnanswered&, core::Instant aNow)
{
  const auto* reachable = std::get_if<Reachable>(&aState);
  if (reachable == nullptr || reachable->m_nextCheckAt > aNow) {
    return NextCheck::NotNow;
  }
  aState = Checking{};
  return NextCheck::Now;
}

NextCheck
HandleEvent(Reachability& aState, const CheckEnded& aEvent, core::Instant aNow)
{
  if (aEvent.m_hasConnected) {
    aState = Reachable{ aNow + kIntervalWhileReachable };
  } else {
    aState = CutOff{ aNow + kCheckInterval };
  }
  return NextCheck::NotNow;
}

NextCheck
HandleEvent(Reachability& aState, const CheckTimeReached&, core::Instant aNow)
{
  auto* cutOff = std::get_if<CutOff>(&aState);
  if (cutOff == nullptr || cutOff->m_nextCheckAt > aNow) {
    return NextCheck::NotNow;
  }
  cutOff->m_nextCheckAt = core::Instant::max();
  return NextCheck::Now;
}

} // namespace

NextCheck
Apply(Reachability& aState, const ReachabilityEvent& aEvent, core::Instant aNow)
{
  return std::visit(
    [&](const auto& aConcrete) { return HandleEvent(aState, aConcrete, aNow); },
    aEvent);
}

bool
IsCutOff(const Reachability& aState)
{
  return std::holds_alternative<CutOff>(aState);
}

} // namespace heatherdeal::relay
