#pragma once

#include <memory>
#include <optional>

#include "batches/batches.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::batches {

/// Empties this host when an operator asks for it, and says when it is empty.
/// Control thread only.
class Retirement : public std::enable_shared_from_this<Retirement>
{
public:
  Retirement(kernel::Context& aContext, std::shared_ptr<Batches> aBatches);

  void Start();

private:
  void Learn(std::span<const objectstore::StoredObject> aObjects);
  void Begin(core::Duration aWithin);
  /// Hands over what is left when everything is done or time runs out.
  void Check();
  void Report(std::string_view aState);

  kernel::Context& m_context;
  std::shared_ptr<Batches> m_batches;
  kernel::DeadlineTimer m_timer;
  std::optional<core::Instant> m_handOverAt;
  bool m_handedOver = false;
};

} // namespace heatherdeal::batches
