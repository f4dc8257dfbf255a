#include <memory>
#include <thread>
#include <unistd.h>

#include "catch2/catch.hpp"

#include "kernel/internal/logwriter.h"

namespace heatherdeal::kernel {

namespace {

size_t
CountBytes(int aDescriptor)
{
  char buffer[4096];
  size_t total = 0;
  ssize_t got = 0;
  while ((got = ::read(aDescriptor, buffer, sizeof buffer)) > 0) {
    total += static_cast<size_t>(got);
  }
  return total;
}

} // namespace

TEST_CASE("an output that nobody reads costs lines, and no caller waits")
{
  constexpr int kLines = 20'000;
  const std::string line(200, 'x');
  int ends[2] = { -1, -1 };
  REQUIRE(::pipe(ends) == 0);
  const int saved = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  ::close(ends[1]);
  auto writer = std::make_unique<LogWriter>();
  // Far more than the pipe and the queue hold; returns although nobody reads.
  for (int i = 0; i < kLines; ++i) {
    writer->Push(LogLevel::Info, line);
  }
  const uint64_t dropped = writer->TakeDropped();
  size_t bytes = 0;
  std::thread reader([&bytes, end = ends[0]] { bytes = CountBytes(end); });
  // Writes what waits, now that somebody reads.
  writer.reset();
  ::dup2(saved, STDOUT_FILENO);
  ::close(saved);
  reader.join();
  ::close(ends[0]);
  CHECK(dropped > 0);
  CHECK(bytes >= (kLines - dropped) * line.size());
}

} // namespace heatherdeal::kernel
