#include "rollout/internal/calls.h"

#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/json.h"

namespace heatherdeal::rollout {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kStatusOk = 200;
constexpr uint32_t kStatusTooManyRequests = 429;
constexpr size_t kMaxLineBytes = 1024 * 1024;

/// Holds one line of an engine's stream: tokens or the end marker.
struct StreamLine
{
  bool m_isEndMarker = false;
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
  line.m_isEndMarker = aReader.FlagOr("end", false);
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
MakeGenerateBody(const GenerateCall& aCall)
{
  const boost::json::value body{
    { "prompt", aCall.m_prompt },
    { "resume_text", aCall.m_resumeText },
    { "resume_tokens", aCall.m_startStream.m_resumeFrom },
    { "max_tokens", aCall.m_startStream.m_maxTokens },
    { "seed", aCall.m_seed },
    { "priority",
      aCall.m_startStream.m_urgent ? "training-urgent" : "training" }
  };
  return boost::json::serialize(body);
}

core::Failure
FailureFromStatus(const http::ResponseHead& aHead, const core::Endpoint& aPeer)
{
  if (aHead.m_status == kStatusTooManyRequests) {
    return core::Overload{ http::ToText(aPeer) };
  }
  return core::PeerRefused{ http::ToText(aPeer),
                            aHead.m_status,
                            core::Executed::Unknown };
}

/// Passes one line to aSink. Returns false if the stream has ended or the line
/// is malformed.
bool
HandleLine(const GenerateCall& aCall,
           std::string_view aLine,
           ShardInputSink& aSink)
{
  const StartStream& start = aCall.m_startStream;
  absl::StatusOr<StreamLine> line =
    kernel::ParseMessage<StreamLine>(aLine, "stream", ParseLine);
  if (!line.ok()) {
    aSink(StreamFailed{
      start.m_sample, start.m_attempt, http::FailureOf(line.status()) });
    return false;
  }
  if (line->m_isEndMarker) {
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

/// Passes the complete lines in aBuffer to aSink and keeps an incomplete last
/// line there. Returns false if no more lines must be read.
bool
HandleCompleteLines(const GenerateCall& aCall,
                    std::string& aBuffer,
                    ShardInputSink& aSink)
{
  size_t begin = 0;
  bool shouldContinue = true;
  while (shouldContinue) {
    const size_t end = aBuffer.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view line(aBuffer.data() + begin, end - begin);
    shouldContinue = HandleLine(aCall, line, aSink);
    begin = end + 1;
  }
  aBuffer.erase(0, begin);
  return shouldContinue;
}

} // namespace

asio::awaitable<void>
StreamSample(http::Client& aClient, GenerateCall aCall, ShardInputSink aSink)
{
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/generate";
  request.m_body = MakeGenerateBody(aCall);
  const auto reportFailure = [&](core::Failure aFailure) {
    aSink(StreamFailed{ aCall.m_startStream.m_sample,
                        aCall.m_startStream.m_attempt,
                        std::move(aFailure) });
  };
  absl::StatusOr<std::unique_ptr<http::ResponseStream>> response =
    co_await aClient.OpenStream(aCall.m_peer,
                                std::move(request),
                                http::Reuse::Allowed,
                                kernel::Now() + aCall.m_progressTimeout);
  if (!response.ok()) {
    reportFailure(http::FailureOf(response.status()));
    co_return;
  }
  if ((*response)->Head().m_status != kStatusOk) {
    reportFailure(FailureFromStatus((*response)->Head(), aCall.m_peer));
    co_return;
  }
  std::string buffer;
  while (!aCall.m_cancelled->load()) {
    const absl::StatusOr<std::string_view> chunk =
      co_await (*response)->Read(kernel::Now() + aCall.m_progressTimeout);
    if (!chunk.ok()) {
      reportFailure(http::FailureOf(chunk.status()));
      co_return;
    }
    buffer += *chunk;
    if (!HandleCompleteLines(aCall, buffer, aSink)) {
      co_return;
    }
    const bool endedWithoutMarker = (*response)->HasEnded();
    if (endedWithoutMarker || buffer.size() > kMaxLineBytes) {
      reportFailure(core::TruncatedResponse{ http::ToText(aCall.m_peer) });
      co_return;
    }
  }
}

asio::awaitable<void>
RequestScores(http::Client& aClient, ScoreCall aCall, ShardInputSink aSink)
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
  const ScoreGroup& score = aCall.m_scoreGroup;
  const auto reportFailure = [&](core::Failure aFailure) {
    aSink(ScoringFailed{ score.m_group, score.m_attempt, std::move(aFailure) });
  };
  const absl::StatusOr<http::Response> response = co_await aClient.Call(
    aCall.m_peer, std::move(request), http::Reuse::Allowed, score.m_deadline);
  if (!response.ok()) {
    reportFailure(http::FailureOf(response.status()));
    co_return;
  }
  if (response->m_head.m_status != kStatusOk) {
    reportFailure(FailureFromStatus(response->m_head, aCall.m_peer));
    co_return;
  }
  absl::StatusOr<std::vector<double>> scores =
    kernel::ParseMessage<std::vector<double>>(
      response->m_body, "scores", [](kernel::SettingsReader& aReader) {
        std::vector<double> parsedScores;
        aReader.ForEach(
          "scores",
          [&](const boost::json::value& aValue, std::string_view aPath) {
            if (!aValue.is_number()) {
              aReader.Errors().m_errors.push_back(
                { std::string(aPath), "(value)", "a number" });
              return;
            }
            parsedScores.push_back(aValue.to_number<double>());
          });
        return parsedScores;
      });
  if (!scores.ok()) {
    reportFailure(http::FailureOf(scores.status()));
    co_return;
  }
  const auto count = static_cast<uint32_t>(scores->size());
  aSink(ScoresArrived{ { score.m_group, score.m_attempt, count },
                       *std::move(scores) });
}

} // namespace heatherdeal::rollout
