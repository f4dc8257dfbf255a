#include "tools/blockingclient.h"

#include <charconv>
#include <future>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/use_future.hpp"

#include "core/failure.h"

namespace heatherdeal::tools {

BlockingClient::BlockingClient()
  : m_context(kernel::Identity{ "tool", "", "", "" }, 1)
  , m_clients(std::make_shared<http::Clients>(m_context))
{
}

BlockingClient::~BlockingClient()
{
  m_context.Traffic().Stop();
}

absl::StatusOr<http::Response>
BlockingClient::Call(const core::Endpoint& aPeer,
                     http::Request aRequest,
                     core::Instant aDeadline)
{
  std::future<absl::StatusOr<http::Response>> response = boost::asio::co_spawn(
    m_context.Traffic().Loop(0),
    m_clients->ForLoop(0).Call(
      aPeer, std::move(aRequest), http::Reuse::Allowed, aDeadline),
    boost::asio::use_future);
  return response.get();
}

absl::StatusOr<core::Endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  core::Endpoint endpoint;
  if (colon != std::string_view::npos) {
    endpoint.m_address = aText.substr(0, colon);
    const std::string_view port = aText.substr(colon + 1);
    const char* end = port.data() + port.size();
    const auto [parsedEnd, error] =
      std::from_chars(port.data(), end, endpoint.m_port);
    if (error == std::errc() && parsedEnd == end && endpoint.m_port != 0) {
      return endpoint;
    }
  }
  return core::ToStatus(
    core::InvalidInput{ std::string(aText), "ADDRESS:PORT" });
}

} // namespace heatherdeal::tools
