#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "boost/asio/awaitable.hpp"

#include "core/ids.h"
#include "core/instant.h"
#include "http/callabort.h"
#include "http/message.h"
#include "http/processbudget.h"
#include "http/responsebuffer.h"
#include "kernel/context.h"

namespace heatherdeal::http {

class PooledConnection;

/// A body that was read as a whole, with the bytes of the budget it occupies.
struct ReceivedBody
{
  std::string m_bytes;
  std::shared_ptr<const void> m_reservation;
};

/// A response whose body is read in parts as it arrives. Destroying the stream
/// before its end closes the connection, so that remaining bytes of this
/// response cannot be read as part of another one.
class ResponseStream
{
public:
  ResponseStream(std::unique_ptr<PooledConnection> aConnection,
                 ResponseHead aHead,
                 std::shared_ptr<CallAbort> aAbort);
  ~ResponseStream();
  ResponseStream(const ResponseStream&) = delete;
  ResponseStream& operator=(const ResponseStream&) = delete;

  const ResponseHead& Head() const { return m_head; }
  /// Records that the request was sent before on a connection that failed.
  void MarkSecondTry() { m_head.m_isOfSecondTry = true; }
  /// True if the response has been read completely.
  bool HasEnded() const;
  /// True if the response itself tells where it ends. Otherwise it ends with
  /// its connection, also if the peer broke off.
  bool IsEndMarked() const;
  /// Closes the connection, to discard a response that is not the expected one.
  void Abandon();

  /// Reads the rest of the body as a whole. aPeer names the sender in failures.
  /// Waits while the budget has no room. Fails like Read, or with
  /// ResponseTooLarge; the connection is closed then.
  boost::asio::awaitable<absl::StatusOr<ReceivedBody>> ReadBody(
    std::string aPeer,
    core::Instant aDeadline);

  /// Reads and discards the rest of a short body, so that the connection can be
  /// reused. Gives up on a long or slow one, which closes the connection.
  boost::asio::awaitable<void> DiscardBody();

  /// Returns the next part of the body, or "" at the end of the response. The
  /// view is valid until the next call. Fails with TruncatedResponse or
  /// DeadlineExceeded.
  boost::asio::awaitable<absl::StatusOr<std::string_view>> Read(
    core::Instant aDeadline);

private:
  std::unique_ptr<PooledConnection> m_connection;
  ResponseHead m_head;
  std::string m_readBuffer;
  bool m_abandoned = false;
  std::shared_ptr<CallAbort> m_abort;
};

/// Specifies whether a call may use an idle pooled connection.
enum class Reuse
{
  /// Uses an idle connection if there is one. If it fails before a response
  /// arrives and the deadline has not passed, sends the request again on a new
  /// connection.
  Allowed,
  /// Always uses a new connection, for requests that must not be sent twice.
  Never,
};

/// Sends requests from one traffic loop and pools their connections. Must only
/// be used on the thread of the loop.
class Client
{
public:
  Client(kernel::Context& aContext,
         size_t aLoopIndex,
         std::shared_ptr<ResponseMemory> aMemory,
         std::shared_ptr<ProcessBudget> aBudget);
  ~Client();

  /// Sends aRequest and reads the head of the response. If no byte of the
  /// request was sent on any connection, fails with ConnectionFailed and
  /// Executed::No.
  boost::asio::awaitable<absl::StatusOr<std::unique_ptr<ResponseStream>>>
  OpenStream(core::Endpoint aPeer,
             Request aRequest,
             Reuse aReuse,
             core::Instant aDeadline,
             std::shared_ptr<CallAbort> aAbort = nullptr);

  /// Sends aRequest and reads the whole response. Fails with ResponseTooLarge
  /// if its body exceeds the limits.
  boost::asio::awaitable<absl::StatusOr<Response>> Call(
    core::Endpoint aPeer,
    Request aRequest,
    Reuse aReuse,
    core::Instant aDeadline,
    std::shared_ptr<CallAbort> aAbort = nullptr);

  /// Returns the memory that limits buffered responses.
  const std::shared_ptr<ResponseMemory>& Memory() const { return m_memory; }
  const std::shared_ptr<ProcessBudget>& Budget() const { return m_budget; }

  /// Returns a connection to the pool after its response was read.
  void ReturnConnection(std::unique_ptr<PooledConnection> aConnection);

private:
  /// Sends aRequest on a new connection, like OpenStream.
  boost::asio::awaitable<absl::StatusOr<std::unique_ptr<ResponseStream>>>
  OpenOnNewConnection(core::Endpoint aPeer,
                      Request aRequest,
                      core::Instant aDeadline,
                      std::shared_ptr<CallAbort> aAbort);
  /// Removes a usable idle connection from the pool that has not carried a
  /// request with this id; nullptr if there is none.
  std::unique_ptr<PooledConnection> TakeIdleConnection(
    const core::Endpoint& aPeer,
    std::string_view aRepeatedId);

  kernel::Context& m_context;
  size_t m_loopIndex;
  std::shared_ptr<ResponseMemory> m_memory;
  std::shared_ptr<ProcessBudget> m_budget;
  std::map<core::Endpoint, std::vector<std::unique_ptr<PooledConnection>>>
    m_idleConnections;
};

/// Holds the clients of a process, one for each traffic loop.
class Clients
{
public:
  explicit Clients(kernel::Context& aContext,
                   const ResponseLimits& aLimits = {});

  Client& ForLoop(size_t aLoopIndex) { return *m_clients[aLoopIndex]; }

private:
  std::vector<std::unique_ptr<Client>> m_clients;
};

/// Returns whether the peer accepts a connection, which is closed again.
boost::asio::awaitable<bool>
CanConnect(core::Endpoint aPeer, core::Instant aDeadline);

/// Returns the endpoint as "address:port", for failures and logs.
std::string
ToText(const core::Endpoint& aEndpoint);

} // namespace heatherdeal::http
