#include "lease/releasedelay.h"

namespace heatherdeal::lease {

namespace {

constexpr core::Duration kReleaseTime = std::chrono::milliseconds(500);

} // namespace

ReleaseDelay::ReleaseDelay(kernel::Context& aContext)
  : m_hold(aContext.ProcessShutdown().Acquire())
  , m_timer(aContext.Control(), [this] { m_hold.reset(); })
{
  m_timer.Set(kernel::Now() + kReleaseTime);
}

} // namespace heatherdeal::lease
