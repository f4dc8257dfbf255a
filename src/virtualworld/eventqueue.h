#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "core/instant.h"

namespace heatherdeal::virtualworld {

/// Runs tasks in the order of their instants on a virtual clock. The clock
/// advances only when a task is due.
class EventQueue
{
public:
  using Task = std::function<void()>;

  core::Instant Now() const { return m_now; }

  /// Runs aTask at aInstant, or now if that has passed. Tasks of one instant
  /// run in the order in which they were added.
  void ScheduleAt(core::Instant aInstant, Task aTask);
  /// Runs aTask when aDelay has passed.
  void ScheduleAfter(core::Duration aDelay, Task aTask);

  /// Runs the tasks that are due up to aEnd, then sets the clock to aEnd.
  /// Throws std::runtime_error if too many tasks run at one instant, which
  /// means that code reschedules itself without delay, like a spinning thread.
  void RunUntil(core::Instant aEnd);

private:
  struct ScheduledTask
  {
    core::Instant m_instant;
    uint64_t m_sequenceNumber = 0;
    Task m_task;

    bool operator>(const ScheduledTask& aOther) const
    {
      return m_instant != aOther.m_instant
               ? m_instant > aOther.m_instant
               : m_sequenceNumber > aOther.m_sequenceNumber;
    }
  };

  core::Instant m_now{};
  uint64_t m_sequenceNumber = 0;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>>
    m_tasks;
};

} // namespace heatherdeal::virtualworld
