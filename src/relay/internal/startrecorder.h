#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "relay/relay.h"
#include "usage/usagecounter.h"

namespace heatherdeal::relay {

/// Counts a caller's request once, however often it is tried. A request that
/// was sent without an answer may have run, and is counted when its call ends.
class StartRecorder
{
public:
  /// aCounter is null on hosts that do not count.
  StartRecorder(std::shared_ptr<usage::UsageCounter> aCounter,
                const RoutedCall& aCall);
  ~StartRecorder();
  StartRecorder(const StartRecorder&) = delete;
  StartRecorder& operator=(const StartRecorder&) = delete;

  /// Sets the time at which the next attempt is sent.
  void SetSendTime(int64_t aUnixMilliseconds) { m_sentAt = aUnixMilliseconds; }
  /// The upstream has executed the attempt.
  void ReportExecuted() { Record(m_sentAt); }
  /// The attempt has ended without an answer that tells whether it was
  /// executed.
  void ReportFailure(const core::Failure& aFailure);

private:
  void Record(int64_t aUnixMilliseconds);

  core::CustomerId m_customer;
  /// Null if the request is not to be counted, or has been.
  std::shared_ptr<usage::UsageCounter> m_counter;
  int64_t m_sentAt = 0;
  std::optional<int64_t> m_unansweredSentAt;
};

} // namespace heatherdeal::relay
