#include "kernel/internal/logwriter.h"

#include "easylogging++.h"

namespace heatherdeal::kernel {

namespace {

constexpr size_t kMaxWaitingBytes = 256 * 1024;

void
WriteLine(LogLevel aLevel, const std::string& aText)
{
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << aText;
      return;
    case LogLevel::Info:
      LOG(INFO) << aText;
      return;
    case LogLevel::Warning:
      LOG(WARNING) << aText;
      return;
    case LogLevel::Error:
      LOG(ERROR) << aText;
      return;
  }
}

} // namespace

LogWriter::LogWriter()
  : m_thread([this] { Run(); })
{
}

LogWriter::~LogWriter()
{
  {
    const std::scoped_lock lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_one();
  m_thread.join();
}

void
LogWriter::Push(LogLevel aLevel, std::string aLine)
{
  {
    const std::scoped_lock lock(m_mutex);
    if (m_waitingBytes + aLine.size() > kMaxWaitingBytes) {
      m_dropped += 1;
      return;
    }
    m_waitingBytes += aLine.size();
    m_waiting.push_back({ aLevel, std::move(aLine) });
    if (m_waiting.size() > 1) {
      return;
    }
  }
  m_wake.notify_one();
}

uint64_t
LogWriter::TakeDropped()
{
  const std::scoped_lock lock(m_mutex);
  return std::exchange(m_dropped, 0);
}

void
LogWriter::Run()
{
  std::unique_lock lock(m_mutex);
  for (;;) {
    m_wake.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
    if (m_waiting.empty()) {
      return;
    }
    std::vector<Line> lines = std::exchange(m_waiting, {});
    m_waitingBytes = 0;
    lock.unlock();
    for (const Line& line : lines) {
      WriteLine(line.m_level, line.m_text);
    }
    lock.lock();
  }
}

} // namespace heatherdeal::kernel
