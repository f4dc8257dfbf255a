#include "http/responsebuffer.h"

#include "core/failure.h"

namespace heatherdeal::http {

bool
ResponseMemory::TryReserve(uint64_t aBytes)
{
  const uint64_t used = m_usedBytes.fetch_add(aBytes) + aBytes;
  if (used > m_limits.m_maxBufferedBytes) {
    m_usedBytes.fetch_sub(aBytes);
    return false;
  }
  uint64_t peak = m_peakBytes.load();
  while (used > peak && !m_peakBytes.compare_exchange_weak(peak, used)) {
  }
  return true;
}

ResponseBuffer::ResponseBuffer(std::shared_ptr<ResponseMemory> aMemory,
                               std::string aPeer)
  : m_memory(std::move(aMemory))
  , m_peer(std::move(aPeer))
{
}

ResponseBuffer::~ResponseBuffer()
{
  m_memory->Release(m_reservedBytes);
}

absl::Status
ResponseBuffer::Append(std::string_view aPart)
{
  const ResponseLimits& limits = m_memory->Limits();
  const bool fitsIntoResponse =
    m_reservedBytes + aPart.size() <= limits.m_maxResponseBytes;
  if (!fitsIntoResponse) {
    return core::ToStatus(
      core::ResponseTooLarge{ m_peer, limits.m_maxResponseBytes });
  }
  if (!m_memory->TryReserve(aPart.size())) {
    return core::ToStatus(
      core::ResponseTooLarge{ m_peer, limits.m_maxBufferedBytes });
  }
  m_reservedBytes += aPart.size();
  m_body += aPart;
  return absl::OkStatus();
}

} // namespace heatherdeal::http
