#include "http/exchange.h"

#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/asio/write.hpp"
#include "boost/beast/http/chunk_encode.hpp"
#include "boost/beast/http/empty_body.hpp"
#include "boost/beast/http/serializer.hpp"
#include "boost/beast/http/string_body.hpp"
#include "boost/beast/http/write.hpp"
#include "boost/json/serialize.hpp"
#include "boost/json/value.hpp"

#include "core/overloaded.h"
#include "http/internal/connection.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kRetryAfterSeconds = "1";

boost::json::string_view
JsonView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

template<typename Message>
void
SetHead(Message& aMessage, const ResponseHead& aHead, bool aKeepAlive)
{
  aMessage.version(kHttp11);
  aMessage.result(aHead.m_status);
  for (const Header& header : aHead.m_headers) {
    aMessage.insert(header.m_name, header.m_value);
  }
  aMessage.keep_alive(aKeepAlive);
}

/// Shows the connection as one that writes, for the lifetime of this object.
class WritingScope
{
public:
  WritingScope(Connection& aConnection, uint64_t aReservedBytes)
    : m_connection(aConnection)
  {
    m_connection.BudgetSlot().BeginActivity(budget::WritingResponse{});
    m_connection.BudgetSlot().RecordReservedBytes(aReservedBytes);
  }
  ~WritingScope()
  {
    m_connection.BudgetSlot().BeginActivity(budget::RunningRequest{});
  }
  WritingScope(const WritingScope&) = delete;
  WritingScope& operator=(const WritingScope&) = delete;

private:
  Connection& m_connection;
};

absl::Status
WriteErrorToStatus(boost::system::error_code aError)
{
  if (!aError) {
    return absl::OkStatus();
  }
  return core::ToStatus(
    core::ConnectionFailed{ "caller", core::Executed::Unknown });
}

} // namespace

Exchange::Exchange(Connection& aConnection,
                   Request aRequest,
                   size_t aLoopIndex,
                   bool aKeepAlive)
  : m_connection(aConnection)
  , m_request(std::move(aRequest))
  , m_loopIndex(aLoopIndex)
  , m_keepAlive(aKeepAlive)
{
}

asio::awaitable<absl::Status>
Exchange::Respond(Response aResponse)
{
  m_responseStarted = true;
  beast::http::response<beast::http::string_body> message;
  SetHead(message, aResponse.m_head, m_keepAlive);
  message.body() = std::move(aResponse.m_body);
  message.prepare_payload();
  const WritingScope scope(m_connection, message.body().size());
  beast::http::response_serializer<beast::http::string_body> serializer(
    message);
  boost::system::error_code error;
  m_connection.Stream().expires_after(m_connection.Settings().m_writeTimeout);
  while (!serializer.is_done() && !error) {
    const size_t writtenBytes = co_await beast::http::async_write_some(
      m_connection.Stream(),
      serializer,
      asio::redirect_error(asio::use_awaitable, error));
    m_connection.BudgetSlot().RecordProgress(writtenBytes);
  }
  m_responseEnded = !error;
  co_return WriteErrorToStatus(error);
}

asio::awaitable<void>
Exchange::RespondIgnoringErrors(Response aResponse)
{
  // The connection checks HasResponseEnded, so a write error still closes it.
  (void)co_await Respond(std::move(aResponse));
}

asio::awaitable<absl::Status>
Exchange::StartStream(ResponseHead aHead)
{
  m_responseStarted = true;
  beast::http::response<beast::http::empty_body> message;
  SetHead(message, aHead, m_keepAlive);
  message.chunked(true);
  const WritingScope scope(m_connection, 0);
  beast::http::response_serializer<beast::http::empty_body> serializer(message);
  boost::system::error_code error;
  m_connection.Stream().expires_after(m_connection.Settings().m_writeTimeout);
  co_await beast::http::async_write_header(
    m_connection.Stream(),
    serializer,
    asio::redirect_error(asio::use_awaitable, error));
  co_return WriteErrorToStatus(error);
}

asio::awaitable<absl::Status>
Exchange::Write(std::string_view aPart)
{
  if (aPart.empty()) {
    co_return absl::OkStatus();
  }
  const WritingScope scope(m_connection, aPart.size());
  boost::system::error_code error;
  m_connection.Stream().expires_after(m_connection.Settings().m_writeTimeout);
  const auto chunk =
    beast::http::make_chunk(asio::buffer(aPart.data(), aPart.size()));
  co_await asio::async_write(m_connection.Stream(),
                             chunk,
                             asio::redirect_error(asio::use_awaitable, error));
  co_return WriteErrorToStatus(error);
}

asio::awaitable<absl::Status>
Exchange::Finish()
{
  const WritingScope scope(m_connection, 0);
  boost::system::error_code error;
  m_connection.Stream().expires_after(m_connection.Settings().m_writeTimeout);
  const auto end = beast::http::make_chunk_last();
  co_await asio::async_write(m_connection.Stream(),
                             end,
                             asio::redirect_error(asio::use_awaitable, error));
  m_responseEnded = !error;
  co_return WriteErrorToStatus(error);
}

void
Exchange::NotifyOnDisconnect(std::function<void()> aOnDisconnect)
{
  m_connection.WatchForDisconnect(std::move(aOnDisconnect));
}

uint32_t
HttpStatusOf(const core::Failure& aFailure)
{
  return std::visit(
    core::Overloaded{ [](const core::InvalidSetting&) { return 400U; },
                      [](const core::InvalidInput&) { return 400U; },
                      [](const core::Unauthorized&) { return 401U; },
                      [](const core::NotFound&) { return 404U; },
                      [](const core::VersionConflict&) { return 409U; },
                      [](const core::GenerationRegressed&) { return 409U; },
                      [](const core::StaleCursor&) { return 409U; },
                      [](const core::PullSuperseded&) { return 409U; },
                      [](const core::AlreadySubmitted&) { return 409U; },
                      [](const core::FenceRejected&) { return 409U; },
                      [](const core::WatchGap&) { return 410U; },
                      [](const core::NotOwner&) { return 421U; },
                      [](const core::Quarantined&) { return 422U; },
                      [](const core::Overload&) { return 429U; },
                      [](const core::DeadlineExceeded&) { return 504U; },
                      [](const core::NoUpstream&) { return 503U; },
                      [](const core::RateLimited&) { return 503U; },
                      [](const core::RecordUnavailable&) { return 503U; },
                      [](const core::SoftwareUnavailable&) { return 503U; },
                      [](const core::Draining&) { return 503U; },
                      [](const auto&) { return 502U; } },
    aFailure);
}

Response
MakeFailureResponse(const core::Failure& aFailure)
{
  boost::json::object body;
  body["error"] = JsonView(core::KindOf(aFailure));
  body["detail"] = core::Describe(aFailure);
  body["executed"] = JsonView(core::ToText(core::ExecutedOf(aFailure)));
  std::visit(
    core::Overloaded{
      [&body](const core::StaleCursor& aF) {
        body["seen_incarnation"] = aF.m_seenIncarnation;
        body["seen_number"] = aF.m_seenNumber;
      },
      [&body](const core::VersionConflict& aF) { body["found"] = aF.m_found; },
      [&body](const core::NotOwner& aF) { body["owner"] = aF.m_owner; },
      [](const auto&) {} },
    aFailure);
  Response response;
  response.m_head.m_status = HttpStatusOf(aFailure);
  response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  if (response.m_head.m_status == 429 || response.m_head.m_status == 503) {
    response.m_head.m_headers.push_back(
      { "Retry-After", std::string(kRetryAfterSeconds) });
  }
  response.m_body = boost::json::serialize(body);
  return response;
}

core::Failure
FailureOf(const absl::Status& aStatus)
{
  const std::optional<core::Failure> failure = core::FailureFromStatus(aStatus);
  if (failure) {
    return *failure;
  }
  return core::PeerRefused{ std::string(aStatus.message()), 0, {} };
}

std::string
DescribeStatus(const absl::Status& aStatus)
{
  return core::Describe(FailureOf(aStatus));
}

} // namespace heatherdeal::http
