#include "http/server.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "http/internal/connection.h"
#include "kernel/log.h"
#include "kernel/sleep.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view kAnyMethod = "*";
// Bounds the bytes that arrive before they are read. At 5 ms of round-trip time
// this allows 13 MB/s for each connection.
constexpr int kSocketBufferBytes = 64 * 1024;
// Accepting fails again at once while no descriptor is free.
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(50);

void
BoundSocketBuffers(tcp::acceptor& aAcceptor)
{
  boost::system::error_code ignored;
  aAcceptor.set_option(
    asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  aAcceptor.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                       ignored);
}

asio::awaitable<void>
ServeConnection(std::shared_ptr<Server> aServer,
                tcp::socket aSocket,
                size_t aLoopIndex)
{
  Connection connection(std::move(aServer),
                        boost::beast::tcp_stream(std::move(aSocket)),
                        aLoopIndex);
  co_await connection.ServeRequests();
}

asio::awaitable<void>
AcceptConnections(std::shared_ptr<Server> aServer,
                  std::shared_ptr<tcp::acceptor> aAcceptor)
{
  kernel::Context& context = aServer->Kernel();
  for (;;) {
    const size_t loopIndex = context.Traffic().NextIndex();
    tcp::socket socket(context.Traffic().Loop(loopIndex));
    boost::system::error_code error;
    co_await aAcceptor->async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      context.Metrics().Get("http.accept_failed").Add();
      co_await kernel::SleepUntil(kernel::Now() + kAcceptPause);
      continue;
    }
    if (aServer->OpenConnections().load() >=
          aServer->Settings().m_maxConnections ||
        !aServer->Budget()->AdmitConnection()) {
      context.Metrics().Get("http.connections_refused").Add();
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(context.Traffic().Loop(loopIndex),
                   ServeConnection(aServer, std::move(socket), loopIndex),
                   asio::detached);
  }
}

} // namespace

Server::Server(kernel::Context& aContext, ServerSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_budget(aContext.Get<ProcessBudget>())
{
  if (!m_budget) {
    m_budget = std::make_shared<ProcessBudget>(aContext.Metrics(),
                                               m_settings.m_budgetLimits);
  }
}

void
Server::AddRoute(Route aRoute)
{
  m_routes.push_back(std::move(aRoute));
}

absl::Status
Server::Listen()
{
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(m_settings.m_listen.m_address, error);
  if (error) {
    return core::ToStatus(core::InvalidSetting{
      "$.http.address", m_settings.m_listen.m_address, "an IP address" });
  }
  // Accepting is cheap, so it shares a loop with requests.
  auto acceptor = std::make_shared<tcp::acceptor>(m_context.Traffic().Loop(0));
  const tcp::endpoint endpoint(address, m_settings.m_listen.m_port);
  acceptor->open(endpoint.protocol(), error);
  if (!error) {
    acceptor->set_option(asio::socket_base::reuse_address(true), error);
  }
  // Accepted sockets inherit the sizes, which also bound the TCP window.
  if (!error && m_budget->Limits().m_isOfMachine) {
    BoundSocketBuffers(*acceptor);
  }
  if (!error) {
    acceptor->bind(endpoint, error);
  }
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return core::ToStatus(core::ConnectionFailed{
      m_settings.m_listen.m_address + ":" +
        std::to_string(m_settings.m_listen.m_port) + " " + error.message(),
      core::Executed::No });
  }
  m_port = acceptor->local_endpoint().port();
  asio::co_spawn(m_context.Traffic().Loop(0),
                 AcceptConnections(shared_from_this(), acceptor),
                 asio::detached);
  return absl::OkStatus();
}

const Route*
Server::FindRoute(std::string_view aMethod, std::string_view aTarget) const
{
  const std::string_view path = PathOf(aTarget);
  const Route* longestMatch = nullptr;
  for (const Route& route : m_routes) {
    const bool matches =
      path.starts_with(route.m_pathPrefix) &&
      (route.m_method == kAnyMethod || route.m_method == aMethod);
    if (matches &&
        (longestMatch == nullptr ||
         route.m_pathPrefix.size() > longestMatch->m_pathPrefix.size())) {
      longestMatch = &route;
    }
  }
  return longestMatch;
}

bool
Server::HasOperatorToken(const Request& aRequest) const
{
  const std::string_view token =
    FindHeader(aRequest.m_headers, "X-Heatherdeal-Operator-Token");
  return !m_settings.m_operatorToken.empty() &&
         token == m_settings.m_operatorToken;
}

} // namespace heatherdeal::http
