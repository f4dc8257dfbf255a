#pragma once

#include <functional>
#include <memory>
#include <variant>

#include "boost/asio/awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/core/tcp_stream.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/string_body.hpp"

#include "http/internal/readdeadline.h"
#include "http/server.h"

namespace heatherdeal::http {

/// The failure, HTTP status and counter for a request that could not be read.
struct ReadFailure
{
  core::Failure m_failure;
  uint32_t m_status = 0;
  std::string_view m_counter;
};

/// The caller has closed the connection, or it had to give way, so that no
/// response is sent.
struct CallerGone
{};

/// Connection of a caller. Reads requests and runs their handlers one after
/// another.
class Connection
{
public:
  Connection(std::shared_ptr<Server> aServer,
             boost::beast::tcp_stream aStream,
             size_t aLoopIndex);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> ServeRequests();

  boost::beast::tcp_stream& Stream() { return m_stream; }
  const ServerSettings& Settings() const { return m_server->Settings(); }
  ProcessBudget::IncomingConnection& BudgetSlot() { return *m_budgetSlot; }
  bool IsDraining() const;

  /// Calls aOnDisconnect once if the caller closes the connection while its
  /// request is being handled.
  void WatchForDisconnect(std::function<void()> aOnDisconnect);

private:
  struct DisconnectWatch
  {
    std::function<void()> m_onDisconnect;
    bool m_active = true;
  };
  /// Reaches the connection from other threads, by way of its loop.
  struct GiveWayTarget
  {
    Connection* m_connection = nullptr;
  };
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Reservation = ProcessBudget::Reservation;
  /// A complete request, or why there is none.
  using ReadResult = std::variant<Request, ReadFailure, CallerGone>;

  /// Reads and handles one request. Returns false if the connection has to be
  /// closed.
  boost::asio::awaitable<bool> ServeNextRequest();
  boost::asio::awaitable<ReadResult> ReadRequest(Parser& aParser);
  boost::asio::awaitable<ReadResult> ReadBody(Parser& aParser,
                                              Request aHead,
                                              const ReadDeadline& aDeadline);
  /// Parses the bytes that have arrived, or waits for more of them if they hold
  /// nothing that can be parsed.
  boost::asio::awaitable<boost::system::error_code> ReadSome(
    Parser& aParser,
    const ReadDeadline& aDeadline);
  /// Waits for more bytes.
  boost::asio::awaitable<boost::system::error_code> FillBuffer(
    bool aIsBody,
    const ReadDeadline& aDeadline);
  /// Resizes a reservation. If the budget has no room, waits while stalled
  /// connections give way. Returns false if none does.
  boost::asio::awaitable<bool> Reserve(Reservation& aReservation,
                                       uint64_t aBytes);
  void GiveWay();
  void ReleaseBuffer();
  std::function<void()> MakeGiveWayCallback();
  ReadResult ToResult(boost::system::error_code aError) const;
  /// Sends the response to a request that was not read completely, and discards
  /// a limited part of what still arrives, so that the caller can read it.
  boost::asio::awaitable<void> RejectUnread(ReadFailure aFailure);
  boost::asio::awaitable<void> SendErrorResponse(core::Failure aFailure,
                                                 uint32_t aStatus);
  boost::asio::awaitable<void> DiscardInput();
  boost::asio::awaitable<void> CallHandler(Exchange& aExchange);

  std::shared_ptr<Server> m_server;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  /// Bytes of the connection itself and of m_buffer.
  Reservation m_ownBytes;
  size_t m_loopIndex;
  std::shared_ptr<DisconnectWatch> m_disconnectWatch;
  bool m_isGivingWay = false;
  std::shared_ptr<GiveWayTarget> m_giveWayTarget;
  std::unique_ptr<ProcessBudget::IncomingConnection> m_budgetSlot;
};

} // namespace heatherdeal::http
