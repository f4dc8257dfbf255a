#include "usage/internal/reportdelivery.h"

#include <algorithm>

#include "http/exchange.h"

namespace heatherdeal::usage {

namespace {

namespace asio = boost::asio;

// Leaves time for a second attempt before the report is due.
constexpr core::Duration kResponseTimeout = std::chrono::milliseconds(2500);

} // namespace

asio::awaitable<ReportResponse>
DeliverReport(http::Client& aClient, const ReportTask& aTask)
{
  const UsageReport report{ aTask.m_report.m_window,
                            aTask.m_report.m_counts,
                            aTask.m_holder,
                            aTask.m_report.m_epoch };
  http::Request request = CodecInUse().m_encodeReport(report);
  // Whether or not the service checks fences, nothing is sent after the lease.
  const core::Instant sendBefore = aTask.m_permission->SendBefore(false);
  const core::Instant now = kernel::Now();
  if (now >= sendBefore) {
    co_return ReportNotTaken{};
  }
  // The connection is closed when the lease expires, so that a report that is
  // held up on the way is not delivered under the next holder.
  const absl::StatusOr<http::Response> response =
    co_await aClient.Call(aTask.m_service,
                          std::move(request),
                          http::Reuse::Never,
                          std::min(sendBefore, now + kResponseTimeout));
  if (!response.ok()) {
    co_return ReportNotTaken{};
  }
  co_return CodecInUse().m_decodeReport(*response);
}

} // namespace heatherdeal::usage
