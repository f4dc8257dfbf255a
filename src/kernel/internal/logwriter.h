#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "kernel/log.h"

namespace heatherdeal::kernel {

/// Writes log lines to standard output on its own thread, so that callers do
/// not block when the output does.
class LogWriter
{
public:
  LogWriter();
  /// Writes all queued lines and joins the thread.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a line, or drops it if the queue is full. Thread-safe.
  void Push(LogLevel aLevel, std::string aLine);
  /// Returns the number of lines dropped since the previous call.
  uint64_t TakeDroppedCount();

private:
  struct Line
  {
    LogLevel m_level = LogLevel::Info;
    std::string m_text;
  };

  void WriteQueuedLines();

  std::mutex m_mutex;
  std::condition_variable m_wakeUp;
  std::vector<Line> m_queuedLines;
  size_t m_queuedBytes = 0;
  uint64_t m_droppedCount = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace heatherdeal::kernel
