#include "kernel/internal/logwriter.h"

#include "easylogging++.h"

namespace heatherdeal::kernel {

namespace {

constexpr size_t kMaxQueuedBytes = 256 * 1024;

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
  : m_thread([this] { WriteQueuedLines(); })
{
}

LogWriter::~LogWriter()
{
  {
    const std::scoped_lock lock(m_mutex);
    m_stopping = true;
  }
  m_wakeUp.notify_one();
  m_thread.join();
}

void
LogWriter::Push(LogLevel aLevel, std::string aLine)
{
  {
    const std::scoped_lock lock(m_mutex);
    if (m_queuedBytes + aLine.size() > kMaxQueuedBytes) {
      m_droppedCount += 1;
      return;
    }
    m_queuedBytes += aLine.size();
    m_queuedLines.push_back({ aLevel, std::move(aLine) });
    if (m_queuedLines.size() > 1) {
      return;
    }
  }
  m_wakeUp.notify_one();
}

uint64_t
LogWriter::TakeDroppedCount()
{
  const std::scoped_lock lock(m_mutex);
  return std::exchange(m_droppedCount, 0);
}

void
LogWriter::WriteQueuedLines()
{
  std::unique_lock lock(m_mutex);
  for (;;) {
    m_wakeUp.wait(lock,
                  [this] { return m_stopping || !m_queuedLines.empty(); });
    if (m_queuedLines.empty()) {
      return;
    }
    std::vector<Line> lines = std::exchange(m_queuedLines, {});
    m_queuedBytes = 0;
    lock.unlock();
    for (const Line& line : lines) {
      WriteLine(line.m_level, line.m_text);
    }
    lock.lock();
  }
}

} // namespace heatherdeal::kernel
