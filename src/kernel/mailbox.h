#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <utility>
#include <vector>

#include "kernel/controlthread.h"

namespace heatherdeal::kernel {

/// Passes events from any thread to a handler on the control thread. Events
/// that arrive before the handler runs are handled as one batch.
template<typename Event>
class Mailbox : public std::enable_shared_from_this<Mailbox<Event>>
{
public:
  using Handler = std::function<void(std::span<Event>)>;

  Mailbox(ControlThread& aControl, Handler aHandler)
    : m_control(aControl)
    , m_handler(std::move(aHandler))
  {
  }

  /// Queues an event for the handler. Thread-safe.
  void Push(Event aEvent)
  {
    {
      const std::scoped_lock lock(m_mutex);
      m_pending.push_back(std::move(aEvent));
      if (m_pending.size() > 1) {
        return;
      }
    }
    m_control.Post(
      [self = this->shared_from_this()] { self->HandlePendingEvents(); });
  }

private:
  void HandlePendingEvents()
  {
    std::vector<Event> events;
    {
      const std::scoped_lock lock(m_mutex);
      events.swap(m_pending);
    }
    m_handler(events);
  }

  ControlThread& m_control;
  Handler m_handler;
  std::mutex m_mutex;
  std::vector<Event> m_pending;
};

} // namespace heatherdeal::kernel
