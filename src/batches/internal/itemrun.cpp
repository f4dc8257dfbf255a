#include "batches/internal/itemrun.h"

#include "core/utf8.h"
#include "http/exchange.h"
#include "kernel/controlthread.h"
#include "kernel/eventlog.h"
#include "relay/eventstream.h"
#include "relay/relay.h"
#include "relay/upstreamcodec.h"

namespace heatherdeal::batches {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kOk = 200;
constexpr uint32_t kUnprocessable = 422;
constexpr uint32_t kInternalError = 500;
// Includes the time that a request may wait in the engine's queue.
constexpr core::Duration kFirstEventTimeout = std::chrono::seconds(3);
// Longer than a weight update pauses a stream.
constexpr core::Duration kStallTimeout = std::chrono::milliseconds(1800);
// A text has to fit into one object of the store together with its encoding.
constexpr size_t kMaxTextBytes = 600UL * 1024;
// The time between two progress reports of a run.
constexpr core::Duration kProgressInterval = std::chrono::milliseconds(500);
// How long an engine is excluded after it refused an item, because it was
// loading weights or had no free slot.
constexpr core::Duration kRefusalBackoff = std::chrono::milliseconds(150);

void
LogRunEnd(const ItemRunTask& aTask,
          std::string_view aOutcome,
          std::string_view aDetail,
          const RunReport& aReport)
{
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "batches",
    "run-ended",
    { { "batch", aTask.m_batchId },
      { "item", aTask.m_itemId },
      { "engine", aTask.m_reservation->Chosen().m_id.m_value },
      { "software",
        aTask.m_reservation->Chosen().m_software.m_version.m_value },
      { "outcome", aOutcome },
      { "detail", aDetail },
      { "expected_tokens", aTask.m_expectedTokens },
      { "took_ms", kernel::Milliseconds(kernel::Now() - aTask.m_startedAt) },
      { "resumed_after", aTask.m_resumeAfter },
      { "last_event", aReport.m_lastEvent } });
}

RunOutcome
ClassifyErrorStatus(uint32_t aStatus)
{
  if (aStatus == kUnprocessable) {
    return RunUnprocessable{};
  }
  // Other statuses say nothing of the item, so that they do not count towards
  // its attempts.
  if (aStatus != kInternalError) {
    return RunInterrupted{};
  }
  return RunFailed{};
}

/// Collects the text of a stream and checks its event ids and weight versions.
class TextCollector
{
public:
  TextCollector(const ItemRunTask& aTask, core::WeightVersion aVersion)
    : m_reservation(*aTask.m_reservation)
    , m_memory(aTask.m_memory)
    , m_parser(relay::CodecInUse().m_versionField, kMaxTextBytes)
    , m_textBytes(aTask.m_resumedBytes)
    , m_nextEventId(aTask.m_resumeAfter + 1)
    , m_oldestAllowedVersion(aTask.m_oldestAllowedVersion)
    , m_version(aVersion)
  {
  }

  /// Adds a part of the stream to the report. Returns false if the stream is
  /// not usable any further; the report then holds the reason.
  bool AppendPart(std::string_view aPart, RunReport& aReport)
  {
    for (relay::StreamEvent& event : m_parser.ParseChunk(aPart)) {
      if (!AppendEvent(event, aReport)) {
        return false;
      }
    }
    if (m_parser.IsEventTooLarge() || m_textBytes > kMaxTextBytes) {
      return Reject(aReport, RunUnusable{}, "text too large");
    }
    // The buffer of a text that grows is copied into a larger one.
    const uint64_t bytes =
      budget::CostOfBody(m_textBytes + m_parser.BufferedBytes(), false, 1);
    if (m_memory && !m_memory->TryResize(bytes)) {
      return Reject(aReport, RunOverBudget{}, "no memory for the text");
    }
    return true;
  }

  /// Returns the outcome of a stream that has ended without an error.
  RunOutcome OutcomeAtEnd(const http::ResponseStream& aStream) const
  {
    if (m_parser.IsInEvent()) {
      return RunInterrupted{};
    }
    if (aStream.IsEndMarked()) {
      return RunCompleted{};
    }
    return RunEndUnconfirmed{ m_lastEventAt == core::Instant{} };
  }

  /// Returns when the last event became complete, or Instant{} if none did.
  core::Instant LastEventAt() const { return m_lastEventAt; }
  /// Returns why the stream is not usable any further.
  std::string_view Rejection() const { return m_rejection; }

private:
  /// Always returns false.
  bool Reject(RunReport& aReport,
              RunOutcome aOutcome,
              std::string_view aRejection)
  {
    aReport.m_outcome = aOutcome;
    m_rejection = aRejection;
    return false;
  }

  bool AppendEvent(relay::StreamEvent& aEvent, RunReport& aReport)
  {
    if (aEvent.m_version) {
      m_version = *aEvent.m_version;
    }
    if (m_version < m_oldestAllowedVersion) {
      return Reject(aReport, RunOutdatedWeights{}, "outdated weight version");
    }
    if (aEvent.m_id != m_nextEventId) {
      return Reject(aReport, RunInterrupted{}, "unexpected event id");
    }
    // Neither the stored result nor the trainer's JSON could hold the text, and
    // a text with other bytes in their place would not be the engine's.
    if (!core::IsUtf8(aEvent.m_data)) {
      return Reject(aReport, RunUnusable{}, "text is not UTF-8");
    }
    // The version list is non-empty exactly if the report already holds an
    // event.
    if (!aReport.m_versions.empty()) {
      aReport.m_text += '\n';
    }
    aReport.m_text += aEvent.m_data;
    m_textBytes += aEvent.m_data.size();
    aReport.m_lastEvent = aEvent.m_id;
    m_nextEventId += 1;
    const core::Instant now = kernel::Now();
    if (m_lastEventAt != core::Instant{}) {
      m_reservation.ReportEventGap(now - m_lastEventAt, now);
    }
    m_lastEventAt = now;
    if (aReport.m_versions.empty() || aReport.m_versions.back() != m_version) {
      aReport.m_versions.push_back(m_version);
    }
    return true;
  }

  std::string_view m_rejection;
  routing::UpstreamReservation& m_reservation;
  std::shared_ptr<http::ProcessBudget::Reservation> m_memory;
  core::Instant m_lastEventAt{};
  relay::EventStreamParser m_parser;
  /// Size of the whole text.
  size_t m_textBytes;
  uint64_t m_nextEventId;
  core::WeightVersion m_oldestAllowedVersion;
  /// The version that generates the current event.
  core::WeightVersion m_version;
};

/// Reports the text collected so far and removes it from aReport.
void
ReportProgress(const ItemRunTask& aTask, RunReport& aReport)
{
  RunReport part;
  std::swap(part.m_text, aReport.m_text);
  std::swap(part.m_versions, aReport.m_versions);
  part.m_lastEvent = aReport.m_lastEvent;
  aTask.m_onProgress(std::move(part));
}

asio::awaitable<void>
ReadText(http::ResponseStream& aStream,
         const ItemRunTask& aTask,
         core::WeightVersion aVersion,
         RunReport& aReport)
{
  TextCollector text(aTask, aVersion);
  const core::Instant startedAt = kernel::Now();
  core::Instant nextReportAt = startedAt + kProgressInterval;
  while (!aStream.HasEnded()) {
    // Only complete events count as progress, not every byte.
    const core::Instant stallsAt = text.LastEventAt() == core::Instant{}
                                     ? startedAt + kFirstEventTimeout
                                     : text.LastEventAt() + kStallTimeout;
    const core::Instant limit = std::min(aTask.m_deadline, stallsAt);
    const absl::StatusOr<std::string_view> part = co_await aStream.Read(limit);
    if (!part.ok()) {
      aReport.m_outcome = RunInterrupted{};
      LogRunEnd(aTask, "broken", http::DescribeStatus(part.status()), aReport);
      co_return;
    }
    if (!text.AppendPart(*part, aReport)) {
      aStream.Abandon();
      LogRunEnd(aTask, "unusable", text.Rejection(), aReport);
      co_return;
    }
    if (kernel::Now() >= nextReportAt && !aReport.m_versions.empty()) {
      ReportProgress(aTask, aReport);
      nextReportAt = kernel::Now() + kProgressInterval;
    }
  }
  aReport.m_outcome = text.OutcomeAtEnd(aStream);
  if (!std::holds_alternative<RunCompleted>(aReport.m_outcome)) {
    LogRunEnd(aTask,
              "broken",
              "the stream ended before the text was known to be complete",
              aReport);
  }
}

} // namespace

asio::awaitable<RunReport>
RunItem(http::Client& aClient, ItemRunTask aTask)
{
  RunReport report;
  const routing::Upstream& engine = aTask.m_reservation->Chosen();
  relay::SendContext sendContext;
  sendContext.m_requestId = aTask.m_itemId;
  sendContext.m_expectedInstance = engine.m_id;
  sendContext.m_customer = aTask.m_customer;
  sendContext.m_isAnonymous = aTask.m_isAnonymous;
  sendContext.m_timeLeft = aTask.m_deadline - kernel::Now();
  if (aTask.m_resumeAfter > 0) {
    sendContext.m_resumeAfter = aTask.m_resumeAfter;
  }
  relay::CodecInUse().m_encodeRequest(aTask.m_request, sendContext);
  aTask.m_request.m_repeatedId = aTask.m_itemId;
  const core::Instant limit =
    std::min(aTask.m_deadline, kernel::Now() + kFirstEventTimeout);
  auto opened = co_await aClient.OpenStream(engine.m_endpoint,
                                            aTask.m_request,
                                            http::Reuse::Allowed,
                                            limit,
                                            aTask.m_abort);
  if (!opened.ok()) {
    report.m_outcome = RunInterrupted{};
    // A run that this host has aborted itself says nothing about the engine.
    if (!aTask.m_abort->IsAbortRequested()) {
      aTask.m_reservation->ReportFailure(kernel::Now());
    }
    LogRunEnd(aTask, "broken", http::DescribeStatus(opened.status()), report);
    co_return report;
  }
  const std::unique_ptr<http::ResponseStream> stream = *std::move(opened);
  const relay::DecodedHead decodedHead =
    relay::CodecInUse().m_decodeHead(stream->Head(), aTask.m_itemId);
  relay::ReportSignals(
    *aTask.m_limits, aTask.m_reservation->Chosen(), decodedHead);
  if (!std::holds_alternative<relay::Served>(decodedHead.m_outcome)) {
    const bool isMismatched =
      std::holds_alternative<relay::MismatchedResponse>(decodedHead.m_outcome);
    report.m_outcome = RunRefused{};
    if (!isMismatched) {
      aTask.m_reservation->ReportRefusal(kernel::Now() + kRefusalBackoff);
    }
    if (isMismatched) {
      report.m_outcome = RunInterrupted{};
      stream->Abandon();
    } else {
      co_await stream->DiscardBody();
    }
    LogRunEnd(aTask,
              isMismatched ? "foreign" : "refused",
              std::to_string(stream->Head().m_status),
              report);
    co_return report;
  }
  const auto& served = std::get<relay::Served>(decodedHead.m_outcome);
  if (stream->Head().m_status == kOk && served.m_proof.empty()) {
    report.m_outcome = RunInterrupted{};
    stream->Abandon();
    LogRunEnd(aTask, "unproved", "response without a proof", report);
    co_return report;
  }
  if (stream->Head().m_status != kOk) {
    co_await stream->DiscardBody();
    report.m_outcome = ClassifyErrorStatus(stream->Head().m_status);
    LogRunEnd(aTask, "failed", std::to_string(stream->Head().m_status), report);
    co_return report;
  }
  aTask.m_reservation->ReportAcceptance();
  const core::WeightVersion version =
    decodedHead.m_version.value_or(core::WeightVersion{});
  co_await ReadText(*stream, aTask, version, report);
  if (std::holds_alternative<RunCompleted>(report.m_outcome)) {
    aTask.m_reservation->ReportSuccess();
    LogRunEnd(aTask, "completed", "", report);
  }
  co_return report;
}

} // namespace heatherdeal::batches
