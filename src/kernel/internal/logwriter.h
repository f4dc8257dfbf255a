#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "kernel/log.h"

namespace heatherdeal::kernel {

/// Hands lines from any thread to the sink on a thread of its own.
class LogWriter
{
public:
  LogWriter();
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Drops the line if too many wait.
  void Push(LogLevel aLevel, std::string aLine);
  /// Lines dropped since the last call.
  uint64_t TakeDropped();

private:
  struct Line
  {
    LogLevel m_level = LogLevel::Info;
    std::string m_text;
  };

  void Run();

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<Line> m_waiting;
  size_t m_waitingBytes = 0;
  uint64_t m_dropped = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace heatherdeal::kernel
