#pragma once

#include <atomic>

#include "core/instant.h"

namespace heatherdeal::lease {

/// The permission to send requests under one epoch of a lease. The control
/// thread extends and revokes it; a traffic thread checks it right before it
/// sends a request, which may be long after the request was decided on.
class ActPermission
{
public:
  explicit ActPermission(core::Instant aActUntil) { ExtendTo(aActUntil); }

  /// Ignored after Revoke.
  void ExtendTo(core::Instant aActUntil)
  {
    if (!m_revoked.load()) {
      m_actUntil.store(aActUntil.time_since_epoch().count());
    }
  }

  void Revoke()
  {
    m_revoked.store(true);
    m_actUntil.store(core::Instant::min().time_since_epoch().count());
  }

  /// Returns the instant before which a request must be sent. Peers that check
  /// fencing tokens refuse outdated requests themselves, so they may be sent
  /// requests until the permission is revoked.
  core::Instant SendBefore(bool aChecksFencingToken) const
  {
    if (aChecksFencingToken && !m_revoked.load()) {
      return core::Instant::max();
    }
    return core::Instant(core::Duration(m_actUntil.load()));
  }

private:
  std::atomic<bool> m_revoked{ false };
  std::atomic<core::Duration::rep> m_actUntil{ 0 };
};

} // namespace heatherdeal::lease
