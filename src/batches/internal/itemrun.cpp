#include "batches/internal/itemrun.h"

#include "http/exchange.h"
#include "kernel/controlthread.h"
#include "kernel/eventlog.h"
#include "relay/eventstream.h"
#include "relay/upstreamcodec.h"

namespace heatherdeal::batches {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kOk = 200;
constexpr uint32_t kUnprocessable = 422;
// A request may wait in the engine's queue behind others.
constexpr core::Duration kFirstEventTime = std::chrono::seconds(3);
// Longer than a change of weights holds a stream up.
constexpr core::Duration kProgressTime = std::chrono::milliseconds(1800);
// How often a run tells what it has brought.
constexpr core::Duration kTellInterval = std::chrono::milliseconds(500);
// An engine refuses while it loads weights, or for want of a free place.
constexpr core::Duration kRefusalTime = std::chrono::milliseconds(150);

void
LogEnd(const ItemRunTask& aTask,
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
      { "engine", aTask.m_ticket->Chosen().m_id.m_value },
      { "outcome", aOutcome },
      { "detail", aDetail },
      { "expected_tokens", aTask.m_expectedTokens },
      { "took_ms", kernel::Milliseconds(kernel::Now() - aTask.m_startedAt) },
      { "resumed_after", aTask.m_resumeAfter },
      { "last_event", aReport.m_lastEvent } });
}

RunEnding
EndingOf(uint32_t aStatus)
{
  if (aStatus == kUnprocessable) {
    return RunImpossible{};
  }
  return RunFailed{};
}

/// Follows the versions and the ids of a stream.
class TextCollector
{
public:
  TextCollector(const ItemRunTask& aTask, core::WeightVersion aVersion)
    : m_ticket(*aTask.m_ticket)
    , m_reader(relay::CodecInUse().m_versionField)
    , m_next(aTask.m_resumeAfter + 1)
    , m_oldest(aTask.m_oldest)
    , m_version(aVersion)
  {
  }

  /// False if the stream cannot be used any further.
  bool Take(std::string_view aPart, RunReport& aReport)
  {
    for (relay::StreamEvent& event : m_reader.ParseChunk(aPart)) {
      if (!TakeEvent(event, aReport)) {
        return false;
      }
    }
    return true;
  }

private:
  bool TakeEvent(relay::StreamEvent& aEvent, RunReport& aReport)
  {
    if (aEvent.m_version) {
      m_version = *aEvent.m_version;
    }
    if (m_version < m_oldest) {
      aReport.m_ending = RunOutdated{};
      return false;
    }
    if (aEvent.m_id != m_next) {
      aReport.m_ending = RunBroken{};
      return false;
    }
    // Each event that the report holds has left its version there.
    if (!aReport.m_versions.empty()) {
      aReport.m_text += '\n';
    }
    aReport.m_text += aEvent.m_data;
    aReport.m_lastEvent = aEvent.m_id;
    m_next += 1;
    const core::Instant now = kernel::Now();
    if (m_lastAt != core::Instant{}) {
      m_ticket.ReportEventGap(now - m_lastAt, now);
    }
    m_lastAt = now;
    if (aReport.m_versions.empty() || aReport.m_versions.back() != m_version) {
      aReport.m_versions.push_back(m_version);
    }
    return true;
  }

  routing::UpstreamReservation& m_ticket;
  core::Instant m_lastAt{};
  relay::EventStreamParser m_reader;
  uint64_t m_next;
  core::WeightVersion m_oldest;
  core::WeightVersion m_version;
};

/// Hands over what has come so far; the report goes on behind it.
void
TellProgress(const ItemRunTask& aTask, RunReport& aReport)
{
  RunReport part;
  std::swap(part.m_text, aReport.m_text);
  std::swap(part.m_versions, aReport.m_versions);
  part.m_lastEvent = aReport.m_lastEvent;
  aTask.m_progress(std::move(part));
}

asio::awaitable<void>
ReadText(http::AnswerStream& aStream,
         const ItemRunTask& aTask,
         core::WeightVersion aVersion,
         RunReport& aReport)
{
  TextCollector text(aTask, aVersion);
  core::Duration patience = kFirstEventTime;
  core::Instant tellAt = kernel::Now() + kTellInterval;
  while (!aStream.HasEnded()) {
    const core::Instant limit =
      std::min(aTask.m_deadline, kernel::Now() + patience);
    const absl::StatusOr<std::string_view> part = co_await aStream.Read(limit);
    if (!part.ok()) {
      aReport.m_ending = RunBroken{};
      LogEnd(aTask, "broken", http::DescribeStatus(part.status()), aReport);
      co_return;
    }
    patience = kProgressTime;
    if (!text.Take(*part, aReport)) {
      aStream.Abandon();
      LogEnd(aTask, "unusable", "order or version of its events", aReport);
      co_return;
    }
    if (kernel::Now() >= tellAt && !aReport.m_versions.empty()) {
      TellProgress(aTask, aReport);
      tellAt = kernel::Now() + kTellInterval;
    }
  }
  aReport.m_ending = RunCompleted{};
}

} // namespace

asio::awaitable<RunReport>
RunItem(http::Client& aClient, ItemRunTask aTask)
{
  RunReport report;
  const routing::Upstream& engine = aTask.m_ticket->Chosen();
  relay::SendContext sending;
  sending.m_requestId = aTask.m_itemId;
  sending.m_expectedInstance = engine.m_id;
  sending.m_timeLeft = aTask.m_deadline - kernel::Now();
  if (aTask.m_resumeAfter > 0) {
    sending.m_resumeAfter = aTask.m_resumeAfter;
  }
  relay::CodecInUse().m_encodeRequest(aTask.m_request, sending);
  const core::Instant limit =
    std::min(aTask.m_deadline, kernel::Now() + kFirstEventTime);
  auto opened = co_await aClient.Open(engine.m_endpoint,
                                      aTask.m_request,
                                      http::Reuse::Allowed,
                                      limit,
                                      aTask.m_abort);
  if (!opened.ok()) {
    report.m_ending = RunBroken{};
    aTask.m_ticket->ReportFailure(kernel::Now());
    LogEnd(aTask, "broken", http::DescribeStatus(opened.status()), report);
    co_return report;
  }
  const std::unique_ptr<http::AnswerStream> stream = *std::move(opened);
  const relay::DecodedHead reception =
    relay::CodecInUse().m_decodeHead(stream->Head(), aTask.m_itemId);
  if (!std::holds_alternative<relay::Served>(reception.m_outcome)) {
    const bool foreign =
      std::holds_alternative<relay::MismatchedResponse>(reception.m_outcome);
    report.m_ending = RunRefused{};
    if (!foreign) {
      aTask.m_ticket->ReportRefusal(kernel::Now() + kRefusalTime);
    }
    if (foreign) {
      report.m_ending = RunBroken{};
      stream->Abandon();
    }
    LogEnd(aTask,
           foreign ? "foreign" : "refused",
           std::to_string(stream->Head().m_status),
           report);
    co_return report;
  }
  const auto& served = std::get<relay::Served>(reception.m_outcome);
  if (stream->Head().m_status == kOk && served.m_proof.empty()) {
    report.m_ending = RunBroken{};
    stream->Abandon();
    LogEnd(aTask, "unproved", "no proof with the answer", report);
    co_return report;
  }
  if (stream->Head().m_status != kOk) {
    report.m_ending = EndingOf(stream->Head().m_status);
    LogEnd(aTask, "failed", std::to_string(stream->Head().m_status), report);
    co_return report;
  }
  aTask.m_ticket->ReportAcceptance();
  const core::WeightVersion version =
    reception.m_version.value_or(core::WeightVersion{});
  co_await ReadText(*stream, aTask, version, report);
  if (std::holds_alternative<RunCompleted>(report.m_ending)) {
    aTask.m_ticket->ReportSuccess();
    LogEnd(aTask, "completed", "", report);
  }
  co_return report;
}

} // namespace heatherdeal::batches
