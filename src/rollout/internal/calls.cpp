#include "rollout/internal/calls.h"

#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/json.h"

namespace heatherdeal::rollout {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kOk = 200;
constexpr uint32_t kTooManyRequests = 429;
constexpr size_t kMaxLineBytes = 1024 * 1024;

/// One line of an engine's stream: tokens, or the end mark.
struct StreamLine
{
  bool m_end = false;
  uint32_t m_offset = 0;
  uint32_t m_tokens = 0;
  std::string m_text;
  std::optional<core::WeightVersion> m_version;
};

StreamLine
ParseLine(kernel::SettingsReader& aReader)
{
  const kernel::Range count{ 0, UINT32_MAX };
  StreamLine line;
  line.m_end = aReader.FlagOr("end", false);
  line.m_offset = static_cast<uint32_t>(aReader.IntegerOr("offset", count, 0));
  line.m_tokens = static_cast<uint32_t>(aReader.Integer("tokens", count));
  line.m_text = aReader.TextOr("text", "");
  if (aReader.OptionalValue("version") != nullptr) {
    line.m_version = core::WeightVersion{ static_cast<uint64_t>(
      aReader.Integer("version", { 0, INT64_MAX })) };
  }
  return line;
}

std::string
GenerateBody(const GenerateCall& aCall)
{
  const boost::json::value body{
    { "prompt", aCall.m_prompt },
    { "resume_text", aCall.m_resumeText },
    { "resume_tokens", aCall.m_start.m_resumeFrom },
    { "max_tokens", aCall.m_start.m_maxTokens },
    { "seed", aCall.m_seed },
    { "priority", aCall.m_start.m_urgent ? "training-urgent" : "training" }
  };
  return boost::json::serialize(body);
}

core::Failure
RefusalOf(const http::ResponseHead& aHead, const core::Endpoint& aPeer)
{
  if (aHead.m_status == kTooManyRequests) {
    return core::Overload{ http::ToText(aPeer) };
  }
  return core::PeerRefused{ http::ToText(aPeer),
                            aHead.m_status,
                            core::Executed::Unknown };
}

/// Signals one line; false if the stream is over or cannot be read on.
bool
SignalLine(const GenerateCall& aCall, std::string_view aLine, SignalSink& aSink)
{
  const StartStream& start = aCall.m_start;
  absl::StatusOr<StreamLine> line =
    kernel::ParseMessage<StreamLine>(aLine, "stream", ParseLine);
  if (!line.ok()) {
    aSink(StreamFailed{
      start.m_sample, start.m_attempt, http::FailureOf(line.status()) });
    return false;
  }
  if (line->m_end) {
    aSink(StreamEnded{ start.m_sample, start.m_attempt, line->m_tokens });
    return false;
  }
  aSink(TextArrived{ { start.m_sample,
                       start.m_attempt,
                       line->m_offset,
                       line->m_tokens,
                       line->m_version },
                     std::move(line->m_text) });
  return true;
}

/// Signals the whole lines in aPending and leaves the rest there.
bool
SignalLines(const GenerateCall& aCall, std::string& aPending, SignalSink& aSink)
{
  size_t begin = 0;
  bool goesOn = true;
  while (goesOn) {
    const size_t end = aPending.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view line(aPending.data() + begin, end - begin);
    goesOn = SignalLine(aCall, line, aSink);
    begin = end + 1;
  }
  aPending.erase(0, begin);
  return goesOn;
}

} // namespace

asio::awaitable<void>
Generate(http::Client& aClient, GenerateCall aCall, SignalSink aSink)
{
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/generate";
  request.m_body = GenerateBody(aCall);
  const auto fail = [&](core::Failure aFailure) {
    aSink(StreamFailed{
      aCall.m_start.m_sample, aCall.m_start.m_attempt, std::move(aFailure) });
  };
  absl::StatusOr<std::unique_ptr<http::ResponseStream>> answer =
    co_await aClient.OpenStream(aCall.m_peer,
                                std::move(request),
                                http::Reuse::Allowed,
                                kernel::Now() + aCall.m_progressTime);
  if (!answer.ok()) {
    fail(http::FailureOf(answer.status()));
    co_return;
  }
  if ((*answer)->Head().m_status != kOk) {
    fail(RefusalOf((*answer)->Head(), aCall.m_peer));
    co_return;
  }
  std::string pending;
  while (!aCall.m_cancelled->load()) {
    const absl::StatusOr<std::string_view> part =
      co_await (*answer)->Read(kernel::Now() + aCall.m_progressTime);
    if (!part.ok()) {
      fail(http::FailureOf(part.status()));
      co_return;
    }
    pending += *part;
    if (!SignalLines(aCall, pending, aSink)) {
      co_return;
    }
    const bool endedWithoutMark = (*answer)->HasEnded();
    if (endedWithoutMark || pending.size() > kMaxLineBytes) {
      fail(core::TruncatedResponse{ http::ToText(aCall.m_peer) });
      co_return;
    }
  }
}

asio::awaitable<void>
Score(http::Client& aClient, ScoreCall aCall, SignalSink aSink)
{
  boost::json::array texts;
  for (const std::string& text : aCall.m_texts) {
    texts.emplace_back(text);
  }
  const boost::json::value body{ { "prompt", aCall.m_prompt },
                                 { "texts", std::move(texts) } };
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/score";
  request.m_body = boost::json::serialize(body);
  const ScoreGroup& score = aCall.m_score;
  const auto fail = [&](core::Failure aFailure) {
    aSink(ScoringFailed{ score.m_group, score.m_attempt, std::move(aFailure) });
  };
  const absl::StatusOr<http::Response> answer = co_await aClient.Call(
    aCall.m_peer, std::move(request), http::Reuse::Allowed, score.m_deadline);
  if (!answer.ok()) {
    fail(http::FailureOf(answer.status()));
    co_return;
  }
  if (answer->m_head.m_status != kOk) {
    fail(RefusalOf(answer->m_head, aCall.m_peer));
    co_return;
  }
  absl::StatusOr<std::vector<double>> scores =
    kernel::ParseMessage<std::vector<double>>(
      answer->m_body, "scores", [](kernel::SettingsReader& aReader) {
        std::vector<double> parsed;
        aReader.ForEach(
          "scores",
          [&](const boost::json::value& aValue, std::string_view aPath) {
            if (!aValue.is_number()) {
              aReader.Errors().m_errors.push_back(
                { std::string(aPath), "(value)", "a number" });
              return;
            }
            parsed.push_back(aValue.to_number<double>());
          });
        return parsed;
      });
  if (!scores.ok()) {
    fail(http::FailureOf(scores.status()));
    co_return;
  }
  const auto count = static_cast<uint32_t>(scores->size());
  aSink(ScoresArrived{ { score.m_group, score.m_attempt, count },
                       *std::move(scores) });
}

} // namespace heatherdeal::rollout
