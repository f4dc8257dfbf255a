#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace heatherdeal::http {

/// Limits of the memory that responses of other processes may occupy.
struct ResponseLimits
{
  /// Maximum size of the body of one response that is read as a whole.
  uint64_t m_maxResponseBytes = 8ULL * 1024 * 1024;
  /// Maximum size of all such bodies that are being read at the same time.
  uint64_t m_maxBufferedBytes = 64ULL * 1024 * 1024;
};

/// The memory that bodies occupy while they are read. Thread-safe.
class ResponseMemory
{
public:
  explicit ResponseMemory(const ResponseLimits& aLimits)
    : m_limits(aLimits)
  {
  }

  const ResponseLimits& Limits() const { return m_limits; }
  /// Returns false if the limit would be exceeded.
  bool TryReserve(uint64_t aBytes);
  void Release(uint64_t aBytes) { m_usedBytes.fetch_sub(aBytes); }
  /// Returns the highest number of bytes that were reserved at the same time.
  uint64_t PeakBytes() const { return m_peakBytes.load(); }

private:
  ResponseLimits m_limits;
  std::atomic<uint64_t> m_usedBytes{ 0 };
  std::atomic<uint64_t> m_peakBytes{ 0 };
};

/// Collects the body of one response within the limits.
class ResponseBuffer
{
public:
  ResponseBuffer(std::shared_ptr<ResponseMemory> aMemory, std::string aPeer);
  ~ResponseBuffer();
  ResponseBuffer(const ResponseBuffer&) = delete;
  ResponseBuffer& operator=(const ResponseBuffer&) = delete;

  /// Appends a part of the body. Fails with ResponseTooLarge; the response must
  /// then be abandoned.
  absl::Status Append(std::string_view aPart);
  /// Prepares for a body of this size.
  void Expect(uint64_t aBytes) { m_body.reserve(aBytes); }
  uint64_t Size() const { return m_body.size(); }
  /// Returns the body.
  std::string Take() { return std::move(m_body); }

private:
  std::shared_ptr<ResponseMemory> m_memory;
  std::string m_peer;
  std::string m_body;
  uint64_t m_reservedBytes = 0;
};

} // namespace heatherdeal::http
