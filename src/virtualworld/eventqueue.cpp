#include "virtualworld/eventqueue.h"

#include <algorithm>
#include <stdexcept>

namespace heatherdeal::virtualworld {

namespace {

constexpr size_t kMaxTasksAtInstant = 100'000;

} // namespace

void
EventQueue::At(core::Instant aInstant, Task aTask)
{
  m_entries.push({ std::max(aInstant, m_now), m_sequence++, std::move(aTask) });
}

void
EventQueue::After(core::Duration aDelay, Task aTask)
{
  At(m_now + aDelay, std::move(aTask));
}

void
EventQueue::RunUntil(core::Instant aEnd)
{
  size_t tasksAtInstant = 0;
  while (!m_entries.empty() && m_entries.top().m_instant <= aEnd) {
    // top() is const; the entry may be moved from because it is popped next.
    Entry entry = std::move(const_cast<Entry&>(m_entries.top()));
    m_entries.pop();
    tasksAtInstant = entry.m_instant == m_now ? tasksAtInstant + 1 : 0;
    if (tasksAtInstant > kMaxTasksAtInstant) {
      throw std::runtime_error(
        "too many tasks at one instant: virtual time does not advance");
    }
    m_now = entry.m_instant;
    entry.m_task();
  }
  m_now = aEnd;
}

} // namespace heatherdeal::virtualworld
