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

/// A received request and its response. Must only be used on the traffic loop
/// of its connection.
class Exchange
{
public:
  Exchange(Connection& aConnection,
           Request aRequest,
           size_t aLoopIndex,
           bool aKeepAlive);

  const Request& ReceivedRequest() const { return m_request; }
  size_t LoopIndex() const { return m_loopIndex; }
  /// True if sending of the response has started.
  bool HasResponseStarted() const { return m_responseStarted; }
  /// True if the response has been sent completely.
  bool HasResponseEnded() const { return m_responseEnded; }
  /// True if the connection stays open after the response.
  bool ShouldKeepAlive() const { return m_keepAlive; }

  /// Sends a complete response.
  boost::asio::awaitable<absl::Status> Respond(Response aResponse);

  /// Sends a complete response and ignores write errors, for handlers that need
  /// no action if the caller has disconnected.
  boost::asio::awaitable<void> RespondIgnoringErrors(Response aResponse);

  /// Starts a response of unknown length by sending its head.
  boost::asio::awaitable<absl::Status> StartStream(ResponseHead aHead);
  /// Sends the next part of the body. Suspends while the caller does not read
  /// (back pressure).
  boost::asio::awaitable<absl::Status> Write(std::string_view aPart);
  /// Ends the response that StartStream has started.
  boost::asio::awaitable<absl::Status> Finish();

  /// Calls aOnDisconnect once, on the loop, if the caller closes its connection
  /// before the response has been sent.
  void NotifyOnDisconnect(std::function<void()> aOnDisconnect);

private:
  Connection& m_connection;
  Request m_request;
  size_t m_loopIndex;
  bool m_keepAlive;
  bool m_responseStarted = false;
  bool m_responseEnded = false;
};

/// Handles a request and sends its response.
using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

/// Returns the HTTP status code for a failure.
uint32_t
HttpStatusOf(const core::Failure& aFailure);

/// Returns a response with the failure as a JSON object: error, detail and
/// executed.
Response
MakeFailureResponse(const core::Failure& aFailure);

/// Returns the failure that the status carries. A status without a failure
/// becomes a PeerRefused failure.
core::Failure
FailureOf(const absl::Status& aStatus);

/// Returns the kind and fields of the status's failure in one line.
std::string
DescribeStatus(const absl::Status& aStatus);

} // namespace heatherdeal::http
