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

// Stand-in for a live application: asks where to connect, sends look-ups,
// submissions that must not run twice, and prompts; checks every answer.

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kModuleName = "caller";
constexpr size_t kLoopIndex = 0;
constexpr uint32_t kOk = 200;
constexpr core::Duration kCallTime = std::chrono::seconds(10);

struct CallerSettings
{
  bool m_enabled = false;
  std::vector<core::Endpoint> m_entries;
  std::string m_name;
  std::string m_failureDomain;
  std::string m_plainService;
  std::string m_engineService;
  double m_medianTokens = 60.0;
  uint32_t m_streams = 2;
  core::Duration m_pause = std::chrono::milliseconds(20);
};

/// What the caller got back.
struct CallCounts
{
  uint64_t m_requests = 0;
  uint64_t m_answers = 0;
  uint64_t m_failures = 0;
  /// Calls that got no answer at all: cut off, or nobody there.
  uint64_t m_unanswered = 0;
  uint64_t m_wrongAnswers = 0;
  uint64_t m_submissions = 0;
};

/// Submissions, by what the caller was told of them.
struct Submissions
{
  std::vector<std::string> m_answered;
  std::vector<std::string> m_saidNotRun;
  std::vector<std::string> m_unknown;
};

class Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(kernel::Context& aContext, CallerSettings aSettings)
    : m_context(aContext)
    , m_settings(std::move(aSettings))
  {
  }

  asio::awaitable<void> Run(uint32_t aStream);
  asio::awaitable<void> Seen(http::Exchange& aExchange);

private:
  asio::awaitable<void> CallOnce(Locator& aLocator,
                                 const std::string& aId,
                                 uint64_t aNumber);
  http::Request LookUp(const std::string& aId) const;
  http::Request Submission(const std::string& aId) const;
  http::Request Prompt(const std::string& aId, uint64_t aSeed) const;
  bool IsRight(const http::Response& aAnswer,
               const std::string& aId,
               uint64_t aNumber) const;
  void NoteSubmission(const std::string& aId,
                      const absl::StatusOr<http::Response>& aAnswer);

  kernel::Context& m_context;
  CallerSettings m_settings;
  std::mutex m_mutex;
  CallCounts m_counts;
  Submissions m_submissions;
};

enum class CallKind : uint8_t
{
  LookUp,
  Submission,
  Prompt,
};

CallKind
KindOf(uint64_t aNumber)
{
  return static_cast<CallKind>(aNumber % 3);
}

http::Request
Caller::LookUp(const std::string& aId) const
{
  http::Request request;
  request.m_target = "/apps/" + m_settings.m_plainService + "/lookup/" + aId;
  request.m_headers.push_back({ "X-Heatherdeal-Request-Id", aId });
  return request;
}

http::Request
Caller::Submission(const std::string& aId) const
{
  http::Request request = LookUp(aId);
  request.m_method = "POST";
  request.m_target = "/apps/" + m_settings.m_plainService + "/submit";
  request.m_body = "{}";
  return request;
}

http::Request
Caller::Prompt(const std::string& aId, uint64_t aSeed) const
{
  http::Request request = LookUp(aId);
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

/// The text of a stream of tokens; "" if its end mark is missing.
std::string
TextOf(std::string_view aBody)
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
Caller::IsRight(const http::Response& aAnswer,
                const std::string& aId,
                uint64_t aNumber) const
{
  if (KindOf(aNumber) != CallKind::Prompt) {
    const auto body = kernel::ParseJson(aAnswer.m_body, "answer");
    return body.ok() && body->at("id").as_string() == aId.c_str();
  }
  LengthModel lengths;
  lengths.m_medianTokens = m_settings.m_medianTokens;
  std::string expected;
  const uint32_t length = LengthOf(lengths, aId, aNumber, 64);
  for (uint32_t i = 0; i < length; ++i) {
    expected += TokenText(aId, aNumber, i);
  }
  return TextOf(aAnswer.m_body) == expected;
}

void
Caller::NoteSubmission(const std::string& aId,
                       const absl::StatusOr<http::Response>& aAnswer)
{
  m_counts.m_submissions += 1;
  if (!aAnswer.ok()) {
    m_submissions.m_unknown.push_back(aId);
    return;
  }
  if (aAnswer->m_head.m_status == kOk) {
    m_submissions.m_answered.push_back(aId);
    return;
  }
  const bool saidNotRun =
    aAnswer->m_body.find("\"executed\":\"no\"") != std::string::npos;
  (saidNotRun ? m_submissions.m_saidNotRun : m_submissions.m_unknown)
    .push_back(aId);
}

asio::awaitable<void>
Caller::CallOnce(Locator& aLocator, const std::string& aId, uint64_t aNumber)
{
  const CallKind kind = KindOf(aNumber);
  http::Request request = kind == CallKind::LookUp       ? LookUp(aId)
                          : kind == CallKind::Submission ? Submission(aId)
                                                         : Prompt(aId, aNumber);
  const http::Reuse reuse =
    kind == CallKind::Submission ? http::Reuse::Never : http::Reuse::Allowed;
  const core::Endpoint entry = co_await aLocator.Find();
  http::Client& client = m_context.Get<http::Clients>()->ForLoop(kLoopIndex);
  const absl::StatusOr<http::Response> answer = co_await client.Call(
    entry, std::move(request), reuse, kernel::Now() + kCallTime);
  if (!answer.ok()) {
    aLocator.Reject();
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "caller",
                     "unanswered",
                     { { "request", aId },
                       { "peer", http::ToText(entry) },
                       { "reason", http::DescribeStatus(answer.status()) } });
  }
  const std::scoped_lock lock(m_mutex);
  m_counts.m_requests += 1;
  m_counts.m_unanswered += answer.ok() ? 0 : 1;
  if (kind == CallKind::Submission) {
    NoteSubmission(aId, answer);
  }
  if (!answer.ok() || answer->m_head.m_status != kOk) {
    m_counts.m_failures += 1;
  } else if (!IsRight(*answer, aId, aNumber)) {
    m_counts.m_wrongAnswers += 1;
  } else {
    m_counts.m_answers += 1;
  }
}

asio::awaitable<void>
Caller::Run(uint32_t aStream)
{
  Locator locator(m_context.Get<http::Clients>()->ForLoop(kLoopIndex),
                  m_settings.m_entries,
                  "entry",
                  m_settings.m_failureDomain);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (uint64_t number = 0; !m_context.ProcessShutdown().IsRequested();
       ++number) {
    const std::string id = m_settings.m_name + "-" + std::to_string(aStream) +
                           "-" + std::to_string(number);
    co_await CallOnce(locator, id, number);
    timer.expires_after(m_settings.m_pause);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

boost::json::array
ToArray(std::span<const std::string> aTexts)
{
  boost::json::array array;
  for (const std::string& text : aTexts) {
    array.emplace_back(text);
  }
  return array;
}

asio::awaitable<void>
Caller::Seen(http::Exchange& aExchange)
{
  http::Response answer;
  {
    const std::scoped_lock lock(m_mutex);
    answer.m_body = boost::json::serialize(boost::json::value{
      { "requests", m_counts.m_requests },
      { "answers", m_counts.m_answers },
      { "failures", m_counts.m_failures },
      { "unanswered", m_counts.m_unanswered },
      { "wrong_answers", m_counts.m_wrongAnswers },
      { "answered", ToArray(m_submissions.m_answered) },
      { "said_not_run", ToArray(m_submissions.m_saidNotRun) },
      { "unknown", ToArray(m_submissions.m_unknown) } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  CallerSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_entries = ParseEndpoints(aReader, "entries");
  settings.m_name = aReader.TextOr("name", "caller");
  settings.m_failureDomain = aReader.TextOr("failure_domain", "");
  settings.m_plainService = aReader.TextOr("plain_service", "");
  settings.m_engineService = aReader.TextOr("engine_service", "");
  settings.m_medianTokens = aReader.NumberOr("median_tokens", 1.0, 1e6, 60.0);
  settings.m_streams =
    static_cast<uint32_t>(aReader.IntegerOr("streams", { 1, 1024 }, 2));
  settings.m_pause =
    aReader.MillisecondsOr("pause_ms", { 0, 60'000 }, settings.m_pause);
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
       return caller->Seen(aExchange);
     } });
  for (uint32_t stream = 0; stream < settings.m_streams; ++stream) {
    asio::co_spawn(
      aContext.Traffic().Loop(kLoopIndex),
      [caller, stream] { return caller->Run(stream); },
      asio::detached);
  }
  return absl::OkStatus();
}

constexpr std::string_view kNeeds[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kNeeds,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::standin
