#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/http/read.hpp"

#include "core/failure.h"
#include "http/client.h"
#include "http/internal/pooledconnection.h"
#include "kernel/sleep.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr size_t kReadBufferBytes = 16 * 1024;
// Limits for the rest of a response whose body is not needed.
constexpr size_t kMaxDiscardedBytes = 16 * 1024;
constexpr core::Duration kDiscardTimeout = std::chrono::milliseconds(100);
// How long a response waits until it is checked again whether other bodies have
// left their share of the budget.
constexpr core::Duration kBudgetPause = std::chrono::milliseconds(20);

/// Waits until the budget has room. Returns false if it has none before the
/// deadline.
asio::awaitable<bool>
Reserve(ProcessBudget& aBudget,
        ProcessBudget::Reservation& aReservation,
        uint64_t aBytes,
        core::Instant aDeadline)
{
  while (!aReservation.TryResize(aBytes)) {
    aBudget.FreeBytes();
    if (kernel::Now() + kBudgetPause > aDeadline) {
      aBudget.Metrics().Get("http.response_over_budget").Add();
      co_return false;
    }
    co_await kernel::SleepUntil(kernel::Now() + kBudgetPause);
  }
  co_return true;
}

} // namespace

ResponseStream::ResponseStream(std::unique_ptr<PooledConnection> aConnection,
                               ResponseHead aHead,
                               std::shared_ptr<CallAbort> aAbort)
  : m_connection(std::move(aConnection))
  , m_head(std::move(aHead))
  , m_abort(std::move(aAbort))
{
}

ResponseStream::~ResponseStream()
{
  if (m_abort) {
    m_abort->AttachStream(nullptr);
  }
  if (!m_abandoned && HasEnded() && m_connection->m_parser->keep_alive() &&
      m_connection->m_buffer.size() == 0) {
    Client& client = m_connection->m_client;
    client.ReturnConnection(std::move(m_connection));
  }
}

void
ResponseStream::Abandon()
{
  m_connection->m_stream.close();
  m_abandoned = true;
}

bool
ResponseStream::HasEnded() const
{
  return m_connection->m_parser->is_done();
}

bool
ResponseStream::IsEndMarked() const
{
  return m_connection->m_parser->chunked() ||
         m_connection->m_parser->content_length().has_value();
}

asio::awaitable<void>
ResponseStream::DiscardBody()
{
  const core::Instant deadline = kernel::Now() + kDiscardTimeout;
  size_t discardedBytes = 0;
  while (!HasEnded() && discardedBytes <= kMaxDiscardedBytes) {
    const absl::StatusOr<std::string_view> part = co_await Read(deadline);
    if (!part.ok()) {
      co_return;
    }
    discardedBytes += part->size();
  }
}

asio::awaitable<absl::StatusOr<ReceivedBody>>
ResponseStream::ReadBody(std::string aPeer, core::Instant aDeadline)
{
  const Client& client = m_connection->m_client;
  const std::shared_ptr<ResponseMemory>& memory = client.Memory();
  const auto reservation =
    std::make_shared<ProcessBudget::Reservation>(client.Budget());
  ResponseBuffer buffer(memory, aPeer);
  const auto announced = m_connection->m_parser->content_length();
  const bool isLengthKnown =
    announced && *announced <= memory->Limits().m_maxResponseBytes;
  if (isLengthKnown) {
    buffer.Expect(*announced);
  }
  while (!HasEnded()) {
    const absl::StatusOr<std::string_view> part = co_await Read(aDeadline);
    absl::Status status = part.ok() ? buffer.Append(*part) : part.status();
    const uint64_t cost = budget::CostOfBody(buffer.Size(), isLengthKnown, 1);
    const bool hasRoom =
      status.ok() &&
      co_await Reserve(*client.Budget(), *reservation, cost, aDeadline);
    if (status.ok() && !hasRoom) {
      status = core::ToStatus(
        core::ResponseTooLarge{ aPeer, client.Budget()->Limits().m_maxBytes });
    }
    if (!status.ok()) {
      Abandon();
      co_return status;
    }
  }
  (void)reservation->TryResize(budget::CostOfBody(buffer.Size(), true, 1));
  co_return ReceivedBody{ buffer.Take(), reservation };
}

asio::awaitable<absl::StatusOr<std::string_view>>
ResponseStream::Read(core::Instant aDeadline)
{
  auto& parser = *m_connection->m_parser;
  m_readBuffer.resize(kReadBufferBytes);
  // A read may consume only framing, such as the size of a chunk.
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = m_readBuffer.data();
    body.size = m_readBuffer.size();
    boost::system::error_code error;
    m_connection->m_stream.expires_at(kernel::ToSteady(aDeadline));
    co_await beast::http::async_read_some(
      m_connection->m_stream,
      m_connection->m_buffer,
      parser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
    if (error == beast::error::timeout) {
      co_return core::ToStatus(core::DeadlineExceeded{
        ToText(m_connection->m_peer), core::Executed::Unknown });
    }
    if (error) {
      co_return core::ToStatus(
        core::TruncatedResponse{ ToText(m_connection->m_peer) });
    }
    const size_t size = kReadBufferBytes - body.size;
    if (size > 0) {
      co_return std::string_view(m_readBuffer.data(), size);
    }
  }
  co_return std::string_view();
}

} // namespace heatherdeal::http
