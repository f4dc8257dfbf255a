#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/status.h"
#include "boost/asio/awaitable.hpp"

#include "core/failure.h"
#include "http/message.h"

namespace heatherdeal::http {

class Connection;

/// One request and the way to answer it. Belongs to one traffic loop.
class Exchange
{
public:
  Exchange(Connection& aConnection,
           Request aRequest,
           size_t aLoopIndex,
           bool aKeepAlive);

  const Request& Asked() const { return m_request; }
  size_t LoopIndex() const { return m_loopIndex; }
  /// True once an answer has begun.
  bool HasBegun() const { return m_begun; }
  /// True once an answer has been sent to its end mark.
  bool HasEnded() const { return m_ended; }
  bool KeepAlive() const { return m_keepAlive; }

  /// Sends a whole answer.
  boost::asio::awaitable<absl::Status> Respond(Answer aAnswer);

  /// The same, for handlers that have nothing to do if the caller is gone.
  boost::asio::awaitable<void> Reply(Answer aAnswer);

  /// Begins an answer of unknown length.
  boost::asio::awaitable<absl::Status> StartStream(AnswerHead aHead);
  /// Sends a part; suspends while the caller does not read.
  boost::asio::awaitable<absl::Status> Write(std::string_view aPart);
  /// Sends the end mark.
  boost::asio::awaitable<absl::Status> Finish();

  /// Calls aOnGone once on the loop if the caller closes its connection
  /// before the answer has been sent.
  void WatchCaller(std::function<void()> aOnGone);

private:
  Connection& m_connection;
  Request m_request;
  size_t m_loopIndex;
  bool m_keepAlive;
  bool m_begun = false;
  bool m_ended = false;
};

using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

/// The HTTP status that stands for a failure.
uint32_t
StatusOf(const core::Failure& aFailure);

/// An answer with the failure as JSON: error, detail, executed.
Answer
FailureAnswer(const core::Failure& aFailure);

/// The failure behind a status; statuses of others become PeerRefused.
core::Failure
FailureOf(const absl::Status& aStatus);

/// The failure's kind and fields in one line.
std::string
DescribeStatus(const absl::Status& aStatus);

} // namespace heatherdeal::http
