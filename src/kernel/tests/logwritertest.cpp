#include <memory>
#include <thread>
#include <unistd.h>

#include "catch2/catch.hpp"

#include "kernel/internal/logwriter.h"

namespace heatherdeal::kernel {

namespace {

size_t
CountBytesUntilEnd(int aDescriptor)
{
  char buffer[4096];
  size_t byteCount = 0;
  ssize_t bytesRead = 0;
  while ((bytesRead = ::read(aDescriptor, buffer, sizeof buffer)) > 0) {
    byteCount += static_cast<size_t>(bytesRead);
  }
  return byteCount;
}

} // namespace

TEST_CASE("a blocked output drops log lines instead of blocking the caller")
{
  constexpr int kLines = 20'000;
  const std::string line(200, 'x');
  int pipeEnds[2] = { -1, -1 };
  REQUIRE(::pipe(pipeEnds) == 0);
  const int savedStdout = ::dup(STDOUT_FILENO);
  ::dup2(pipeEnds[1], STDOUT_FILENO);
  ::close(pipeEnds[1]);
  auto writer = std::make_unique<LogWriter>();
  // The lines exceed the capacity of the pipe and the queue. Push has to return
  // although nothing reads the pipe.
  for (int i = 0; i < kLines; ++i) {
    writer->Push(LogLevel::Info, line);
  }
  const uint64_t droppedCount = writer->TakeDroppedCount();
  size_t writtenBytes = 0;
  std::thread reader([&writtenBytes, descriptor = pipeEnds[0]] {
    writtenBytes = CountBytesUntilEnd(descriptor);
  });
  // The destructor writes the queued lines, because the pipe is read now.
  writer.reset();
  ::dup2(savedStdout, STDOUT_FILENO);
  ::close(savedStdout);
  reader.join();
  ::close(pipeEnds[0]);
  CHECK(droppedCount > 0);
  CHECK(writtenBytes >= (kLines - droppedCount) * line.size());
}

} // namespace heatherdeal::kernel
