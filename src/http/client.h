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
#include "kernel/context.h"

namespace heatherdeal::http {

class PooledConnection;

/// An answer that is still arriving. Dropping it before its end closes the
/// connection, so that no late byte can reach another request.
class AnswerStream
{
public:
  AnswerStream(std::unique_ptr<PooledConnection> aConnection,
               AnswerHead aHead,
               std::shared_ptr<CallAbort> aAbort);
  ~AnswerStream();
  AnswerStream(const AnswerStream&) = delete;
  AnswerStream& operator=(const AnswerStream&) = delete;

  const AnswerHead& Head() const { return m_head; }
  /// True once the end mark has arrived.
  bool HasEnded() const;
  /// Closes the connection: the answer is not the one that was asked for.
  void Abandon();

  /// The next part, or "" after the end mark. The view lasts until the next
  /// call. TruncatedAnswer or DeadlineExceeded otherwise.
  boost::asio::awaitable<absl::StatusOr<std::string_view>> Read(
    core::Instant aDeadline);

private:
  std::unique_ptr<PooledConnection> m_connection;
  AnswerHead m_head;
  std::string m_part;
  bool m_abandoned = false;
  std::shared_ptr<CallAbort> m_abort;
};

/// Which connection a call may use.
enum class Reuse
{
  /// An idle connection, and once a new one if the idle one proves dead.
  Allowed,
  /// Only a new connection: the request must not be sent twice.
  Never,
};

/// Makes calls from one traffic loop; only its thread may use it.
class Client
{
public:
  Client(kernel::Context& aContext, size_t aLoopIndex);
  ~Client();

  /// Sends aRequest and reads the head of the answer. A ConnectionFailed
  /// with Executed::No says that no byte of the request was sent.
  boost::asio::awaitable<absl::StatusOr<std::unique_ptr<AnswerStream>>> Open(
    core::Endpoint aPeer,
    Request aRequest,
    Reuse aReuse,
    core::Instant aDeadline,
    std::shared_ptr<CallAbort> aAbort = nullptr);

  /// The same, and reads the whole answer.
  boost::asio::awaitable<absl::StatusOr<Answer>> Call(
    core::Endpoint aPeer,
    Request aRequest,
    Reuse aReuse,
    core::Instant aDeadline,
    std::shared_ptr<CallAbort> aAbort = nullptr);

  void GiveBack(std::unique_ptr<PooledConnection> aConnection);

private:
  std::unique_ptr<PooledConnection> TakeIdle(const core::Endpoint& aPeer);

  kernel::Context& m_context;
  size_t m_loopIndex;
  std::map<core::Endpoint, std::vector<std::unique_ptr<PooledConnection>>>
    m_idle;
};

/// The clients of a process, one for each traffic loop.
class Clients
{
public:
  explicit Clients(kernel::Context& aContext);

  Client& For(size_t aLoopIndex) { return *m_clients[aLoopIndex]; }

private:
  std::vector<std::unique_ptr<Client>> m_clients;
};

/// The peer in text form, for failures and logs.
std::string
ToText(const core::Endpoint& aEndpoint);

} // namespace heatherdeal::http
