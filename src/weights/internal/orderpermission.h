#pragma once

#include <atomic>

#include "core/instant.h"

namespace heatherdeal::weights {

/// The permission to send orders under one epoch of the lease. The control
/// thread extends and revokes it; a traffic thread checks it right before it
/// sends an order, which may be long after the order was decided on.
class OrderPermission
{
public:
  explicit OrderPermission(core::Instant aActUntil) { ExtendTo(aActUntil); }

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

  /// Returns the instant before which an order must be sent. Engines that check
  /// fencing tokens refuse outdated orders themselves, so they may be sent
  /// orders until the permission is revoked.
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

} // namespace heatherdeal::weights
