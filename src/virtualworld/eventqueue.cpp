#include "virtualworld/eventqueue.h"

#include <algorithm>
#include <stdexcept>

namespace heatherdeal::virtualworld {

namespace {

constexpr size_t kMaxTasksAtInstant = 100'000;

} // namespace

void
EventQueue::ScheduleAt(core::Instant aInstant, Task aTask)
{
  m_tasks.push(
    { std::max(aInstant, m_now), m_sequenceNumber++, std::move(aTask) });
}

void
EventQueue::ScheduleAfter(core::Duration aDelay, Task aTask)
{
  ScheduleAt(m_now + aDelay, std::move(aTask));
}

void
EventQueue::RunUntil(core::Instant aEnd)
{
  size_t tasksAtInstant = 0;
  while (!m_tasks.empty() && m_tasks.top().m_instant <= aEnd) {
    // top() is const; the task may be moved from because it is popped next.
    ScheduledTask nextTask =
      std::move(const_cast<ScheduledTask&>(m_tasks.top()));
    m_tasks.pop();
    tasksAtInstant = nextTask.m_instant == m_now ? tasksAtInstant + 1 : 0;
    if (tasksAtInstant > kMaxTasksAtInstant) {
      throw std::runtime_error(
        "too many tasks at one instant: virtual time does not advance");
    }
    m_now = nextTask.m_instant;
    nextTask.m_task();
  }
  m_now = aEnd;
}

} // namespace heatherdeal::virtualworld
