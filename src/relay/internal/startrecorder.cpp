#include "relay/internal/startrecorder.h"

namespace heatherdeal::relay {

StartRecorder::StartRecorder(std::shared_ptr<usage::UsageCounter> aCounter,
                             const RoutedCall& aCall)
  : m_customer(aCall.m_customer)
{
  // A call that came by way of another host is counted there.
  const bool isCounted =
    aCall.m_mayDetour && std::holds_alternative<CallerOrigin>(aCall.m_origin);
  if (isCounted && !m_customer.m_value.empty()) {
    m_counter = std::move(aCounter);
  }
}

StartRecorder::~StartRecorder()
{
  if (m_unansweredSentAt) {
    Record(*m_unansweredSentAt);
  }
}

void
StartRecorder::ReportFailure(const core::Failure& aFailure)
{
  if (core::ExecutedOf(aFailure) != core::Executed::No && !m_unansweredSentAt) {
    m_unansweredSentAt = m_sentAt;
  }
}

void
StartRecorder::Record(int64_t aUnixMilliseconds)
{
  if (m_counter) {
    m_counter->RecordStart(m_customer, aUnixMilliseconds);
    m_counter.reset();
  }
}

} // namespace heatherdeal::relay
