#pragma once

#include <memory>
#include <optional>

#include "batches/batches.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::batches {

/// Hands all batches of this host over when an operator retires it, and reports
/// when the host is empty: other hosts own all open batches. While there is no
/// other host that stays, it goes on owning them. Use only on the control
/// thread.
class Retirement : public std::enable_shared_from_this<Retirement>
{
public:
  Retirement(kernel::Context& aContext, std::shared_ptr<Batches> aBatches);

  /// Subscribes to retirement orders.
  void Start();

private:
  void ApplyRetirements(std::span<const objectstore::StoredObject> aObjects);
  /// Starts leaving the cluster; batches are handed over within aTimeLimit at
  /// the latest.
  void StartRetirement(core::Duration aTimeLimit);
  /// True if no other host can own the batches; logs each change.
  bool IsBlocked();
  /// Hands all batches over once they are done or the time limit has passed;
  /// otherwise checks again later.
  void HandOverIfDue();
  /// Writes the state for the operator; retries until the empty state is
  /// stored.
  void ReportState(std::string_view aState);

  kernel::Context& m_context;
  std::shared_ptr<Batches> m_batches;
  kernel::DeadlineTimer m_checkTimer;
  std::optional<core::Instant> m_handOverAt;
  bool m_handedOver = false;
  bool m_wasBlocked = false;
};

} // namespace heatherdeal::batches
