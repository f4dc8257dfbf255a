#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/deadlinetimer.h"
#include "lease/lease.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::lease {

/// Callbacks that run on the control thread when the lease is granted, extended
/// or lost.
struct LeaseCallbacks
{
  std::function<void(const LeaseGranted&)> m_onGranted;
  std::function<void(std::string_view aNewHolder)> m_onLost;
  /// Optional.
  std::function<void(const LeaseExtended&)> m_onExtended;
};

/// Acquires and renews one lease that is kept in the object store. Must be used
/// on the control thread only.
class LeaseClient : public std::enable_shared_from_this<LeaseClient>
{
public:
  LeaseClient(kernel::Context& aContext,
              objectstore::ObjectKey aKey,
              LeasePolicy aPolicy,
              std::string aSelf,
              LeaseCallbacks aCallbacks);

  /// Starts to compete for the lease.
  void Start();
  /// Releases the lease if it is held, and stops competing for it.
  void Resign();

  const LeaseState& State() const { return m_state; }

private:
  void HandleEvent(const LeaseEvent& aEvent);
  void Execute(const ReadRecord& aEffect);
  void Execute(const WriteRecord& aEffect);
  void Execute(const LeaseGranted& aEffect);
  void Execute(const LeaseExtended& aEffect);
  void Execute(const LeaseLost& aEffect);

  std::shared_ptr<objectstore::ObjectStore> m_store;
  objectstore::ObjectKey m_key;
  LeaseState m_state;
  LeaseCallbacks m_callbacks;
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::lease
