#include <mutex>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/json/serialize.hpp"

#include "http/httpmodule.h"
#include "kernel/eventlog.h"
#include "kernel/json.h"
#include "kernel/plugin.h"
#include "standin/endpoints.h"
#include "standin/engine/generation.h"
#include "standin/locator.h"

// Stand-in for a live application. It fetches the addresses of entry hosts,
// sends look-ups, submissions that must not run twice, and prompts, and checks
// every response.

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kModuleName = "caller";
constexpr size_t kLoopIndex = 0;
constexpr uint32_t kStatusOk = 200;
constexpr core::Duration kCallTimeout = std::chrono::seconds(10);

struct CallerSettings
{
  bool m_enabled = false;
  std::vector<core::Endpoint> m_entryHosts;
  std::string m_name;
  std::string m_failureDomain;
  std::string m_plainService;
  std::string m_engineService;
  double m_medianTokens = 60.0;
  uint32_t m_streamCount = 2;
  core::Duration m_pauseBetweenCalls = std::chrono::milliseconds(20);
};

/// Counts the requests of the caller by their outcome.
struct CallCounts
{
  uint64_t m_requestCount = 0;
  uint64_t m_correctResponses = 0;
  uint64_t m_failedRequests = 0;
  /// Calls without a complete response: the connection failed or broke off.
  uint64_t m_unansweredRequests = 0;
  uint64_t m_wrongResponses = 0;
  uint64_t m_submissionCount = 0;
};

/// Holds the request ids of submissions by the outcome that the caller learned.
/// A submission of unknown outcome may have run.
struct Submissions
{
  std::vector<std::string> m_succeeded;
  std::vector<std::string> m_reportedNotRun;
  std::vector<std::string> m_unknownOutcome;
};

class Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(kernel::Context& aContext, CallerSettings aSettings)
    : m_context(aContext)
    , m_settings(std::move(aSettings))
  {
  }

  asio::awaitable<void> SendCalls(uint32_t aStream);
  asio::awaitable<void> HandleSeen(http::Exchange& aExchange);

private:
  asio::awaitable<void> CallOnce(Locator& aEntryLocator,
                                 const std::string& aId,
                                 uint64_t aNumber);
  http::Request MakeLookUpRequest(const std::string& aId) const;
  http::Request MakeSubmissionRequest(const std::string& aId) const;
  http::Request MakePromptRequest(const std::string& aId, uint64_t aSeed) const;
  bool IsExpectedResponse(const http::Response& aResponse,
                          const std::string& aId,
                          uint64_t aNumber) const;
  void RecordSubmission(const std::string& aId,
                        const absl::StatusOr<http::Response>& aResponse);

  kernel::Context& m_context;
  CallerSettings m_settings;
  std::mutex m_mutex;
  CallCounts m_counts;
  Submissions m_submissions;
};

/// The kinds of calls, which the caller makes in turn.
enum class CallKind : uint8_t
{
  LookUp,
  Submission,
  Prompt,
};

CallKind
CallKindOf(uint64_t aNumber)
{
  return static_cast<CallKind>(aNumber % 3);
}

http::Request
Caller::MakeLookUpRequest(const std::string& aId) const
{
  http::Request request;
  request.m_target = "/apps/" + m_settings.m_plainService + "/lookup/" + aId;
  request.m_headers.push_back({ "X-Heatherdeal-Request-Id", aId });
  return request;
}

http::Request
Caller::MakeSubmissionRequest(const std::string& aId) const
{
  http::Request request = MakeLookUpRequest(aId);
  request.m_method = "POST";
  request.m_target = "/apps/" + m_settings.m_plainService + "/submit";
  request.m_body = "{}";
  return request;
}

http::Request
Caller::MakePromptRequest(const std::string& aId, uint64_t aSeed) const
{
  http::Request request = MakeLookUpRequest(aId);
  request.m_method = "POST";
  request.m_target = "/apps/" + m_settings.m_engineService + "/v1/generate";
  request.m_headers.push_back({ "X-Heatherdeal-Idempotent", "true" });
  request.m_body =
    boost::json::serialize(boost::json::value{ { "prompt", aId },
                                               { "seed", aSeed },
                                               { "max_tokens", 64 },
                                               { "priority", "live" } });
  return request;
}

/// Returns the text of a token stream, or "" if the end line is missing.
std::string
ParseStreamText(std::string_view aBody)
{
  std::string text;
  while (!aBody.empty()) {
    const size_t end = aBody.find('\n');
    const auto line = kernel::ParseJson(aBody.substr(0, end), "line");
    if (!line.ok() || end == std::string_view::npos) {
      return {};
    }
    if (line->as_object().contains("end")) {
      return text;
    }
    text += line->at("text").as_string();
    aBody.remove_prefix(end + 1);
  }
  return {};
}

bool
Caller::IsExpectedResponse(const http::Response& aResponse,
                           const std::string& aId,
                           uint64_t aNumber) const
{
  if (CallKindOf(aNumber) != CallKind::Prompt) {
    const auto body = kernel::ParseJson(aResponse.m_body, "answer");
    return body.ok() && body->at("id").as_string() == aId.c_str();
  }
  LengthModel lengthModel;
  lengthModel.m_medianTokens = m_settings.m_medianTokens;
  std::string expected;
  const uint32_t tokenCount = ResponseLength(lengthModel, aId, aNumber, 64);
  for (uint32_t i = 0; i < tokenCount; ++i) {
    expected += TokenText(aId, aNumber, i);
  }
  return ParseStreamText(aResponse.m_body) == expected;
}

void
Caller::RecordSubmission(const std::string& aId,
                         const absl::StatusOr<http::Response>& aResponse)
{
  m_counts.m_submissionCount += 1;
  if (!aResponse.ok()) {
    m_submissions.m_unknownOutcome.push_back(aId);
    return;
  }
  if (aResponse->m_head.m_status == kStatusOk) {
    m_submissions.m_succeeded.push_back(aId);
    return;
  }
  const bool reportedNotRun =
    aResponse->m_body.find("\"executed\":\"no\"") != std::string::npos;
  (reportedNotRun ? m_submissions.m_reportedNotRun
                  : m_submissions.m_unknownOutcome)
    .push_back(aId);
}

asio::awaitable<void>
Caller::CallOnce(Locator& aEntryLocator,
                 const std::string& aId,
                 uint64_t aNumber)
{
  const CallKind kind = CallKindOf(aNumber);
  http::Request request = kind == CallKind::LookUp ? MakeLookUpRequest(aId)
                          : kind == CallKind::Submission
                            ? MakeSubmissionRequest(aId)
                            : MakePromptRequest(aId, aNumber);
  const http::Reuse reuse =
    kind == CallKind::Submission ? http::Reuse::Never : http::Reuse::Allowed;
  const core::Endpoint entry = co_await aEntryLocator.FindEndpoint();
  http::Client& client = m_context.Get<http::Clients>()->ForLoop(kLoopIndex);
  const absl::StatusOr<http::Response> response = co_await client.Call(
    entry, std::move(request), reuse, kernel::Now() + kCallTimeout);
  if (!response.ok()) {
    aEntryLocator.UseNextEndpoint();
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "caller",
                     "unanswered",
                     { { "request", aId },
                       { "peer", http::ToText(entry) },
                       { "reason", http::DescribeStatus(response.status()) } });
  }
  const std::scoped_lock lock(m_mutex);
  m_counts.m_requestCount += 1;
  m_counts.m_unansweredRequests += response.ok() ? 0 : 1;
  if (kind == CallKind::Submission) {
    RecordSubmission(aId, response);
  }
  if (!response.ok() || response->m_head.m_status != kStatusOk) {
    m_counts.m_failedRequests += 1;
  } else if (!IsExpectedResponse(*response, aId, aNumber)) {
    m_counts.m_wrongResponses += 1;
  } else {
    m_counts.m_correctResponses += 1;
  }
}

asio::awaitable<void>
Caller::SendCalls(uint32_t aStream)
{
  Locator locator(m_context.Get<http::Clients>()->ForLoop(kLoopIndex),
                  m_settings.m_entryHosts,
                  "entry",
                  m_settings.m_failureDomain);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (uint64_t number = 0; !m_context.ProcessShutdown().IsRequested();
       ++number) {
    const std::string id = m_settings.m_name + "-" + std::to_string(aStream) +
                           "-" + std::to_string(number);
    co_await CallOnce(locator, id, number);
    timer.expires_after(m_settings.m_pauseBetweenCalls);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

boost::json::array
ToJsonArray(std::span<const std::string> aTexts)
{
  boost::json::array array;
  for (const std::string& text : aTexts) {
    array.emplace_back(text);
  }
  return array;
}

asio::awaitable<void>
Caller::HandleSeen(http::Exchange& aExchange)
{
  http::Response response;
  {
    const std::scoped_lock lock(m_mutex);
    response.m_body = boost::json::serialize(boost::json::value{
      { "requests", m_counts.m_requestCount },
      { "answers", m_counts.m_correctResponses },
      { "failures", m_counts.m_failedRequests },
      { "unanswered", m_counts.m_unansweredRequests },
      { "wrong_answers", m_counts.m_wrongResponses },
      { "answered", ToJsonArray(m_submissions.m_succeeded) },
      { "said_not_run", ToJsonArray(m_submissions.m_reportedNotRun) },
      { "unknown", ToJsonArray(m_submissions.m_unknownOutcome) } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  CallerSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_entryHosts = ParseEndpoints(aReader, "entries");
  settings.m_name = aReader.TextOr("name", "caller");
  settings.m_failureDomain = aReader.TextOr("failure_domain", "");
  settings.m_plainService = aReader.TextOr("plain_service", "");
  settings.m_engineService = aReader.TextOr("engine_service", "");
  settings.m_medianTokens = aReader.NumberOr("median_tokens", 1.0, 1e6, 60.0);
  settings.m_streamCount =
    static_cast<uint32_t>(aReader.IntegerOr("streams", { 1, 1024 }, 2));
  settings.m_pauseBetweenCalls = aReader.MillisecondsOr(
    "pause_ms", { 0, 60'000 }, settings.m_pauseBetweenCalls);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const CallerSettings&>(aSettings);
  if (!settings.m_enabled) {
    return absl::OkStatus();
  }
  auto caller = std::make_shared<Caller>(aContext, settings);
  aContext.Get<http::Server>()->AddRoute(
    { "GET", "/seen", [caller](http::Exchange& aExchange) {
       return caller->HandleSeen(aExchange);
     } });
  for (uint32_t stream = 0; stream < settings.m_streamCount; ++stream) {
    asio::co_spawn(
      aContext.Traffic().Loop(kLoopIndex),
      [caller, stream] { return caller->SendCalls(stream); },
      asio::detached);
  }
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::standin
