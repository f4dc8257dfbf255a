#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"
#include "quarantine/suspects.h"

namespace heatherdeal::quarantine {

/// Keeps refused requests in the object store, so that they stay refused when
/// all hosts were stopped at once. Control thread only.
class RefusalStore : public std::enable_shared_from_this<RefusalStore>
{
public:
  /// Returns the requests that are refused now.
  using Collect = std::function<std::vector<SuspectReport>()>;
  /// Takes requests that the store holds.
  using Merge = std::function<void(std::span<const SuspectReport>)>;

  RefusalStore(kernel::Context& aContext, Collect aCollect, Merge aMerge);

  /// Reads what the store holds. Tries again until the store answers.
  void Load();
  /// Stores the requests that are refused now, unless another host has. Tries
  /// again until it succeeds.
  void Save();

private:
  void Synchronise();
  void HandleRead(const absl::StatusOr<objectstore::StoredObject>& aRead);
  void WriteRefused(uint64_t aVersion, std::span<const SuspectReport> aStored);
  void FinishStep(bool aSucceeded);

  kernel::Context& m_context;
  Collect m_collect;
  Merge m_merge;
  kernel::DeadlineTimer m_timer;
  bool m_isCallInFlight = false;
  /// True if a request was refused since the last write began.
  bool m_mustSave = false;
};

} // namespace heatherdeal::quarantine
