#include <map>
#include <mutex>

#include "boost/json/serialize.hpp"

#include "http/httpmodule.h"
#include "kernel/json.h"
#include "kernel/plugin.h"

// Stand-in for the plain services: answers with what it was asked, and counts
// how often each request id has run.

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kModuleName = "plainservice";

struct PlainServiceSettings
{
  bool m_enabled = false;
};

class PlainService : public std::enable_shared_from_this<PlainService>
{
public:
  explicit PlainService(kernel::Context& aContext)
    : m_context(aContext)
  {
  }

  void AddRoutes();

private:
  asio::awaitable<void> Answer(http::Exchange& aExchange);
  asio::awaitable<void> Score(http::Exchange& aExchange);
  asio::awaitable<void> Seen(http::Exchange& aExchange);

  kernel::Context& m_context;
  std::mutex m_mutex;
  std::map<std::string, uint64_t> m_runs;
};

asio::awaitable<void>
PlainService::Answer(http::Exchange& aExchange)
{
  const http::Request& asked = aExchange.ReceivedRequest();
  const std::string id(
    http::FindHeader(asked.m_headers, "X-Heatherdeal-Request-Id"));
  {
    const std::scoped_lock lock(m_mutex);
    m_runs[id] += 1;
  }
  http::Response answer;
  answer.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  answer.m_body = boost::json::serialize(
    boost::json::value{ { "id", id }, { "target", asked.m_target } });
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
PlainService::Score(http::Exchange& aExchange)
{
  using Texts = std::vector<std::string>;
  const absl::StatusOr<Texts> texts =
    kernel::ParseMessage<Texts>(aExchange.ReceivedRequest().m_body,
                                "score",
                                [](kernel::SettingsReader& aReader) {
                                  aReader.Text("prompt");
                                  return aReader.OptionalTexts("texts");
                                });
  http::Response answer;
  if (!texts.ok()) {
    answer = http::MakeFailureResponse(http::FailureOf(texts.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(answer));
    co_return;
  }
  boost::json::array scores;
  for (const std::string& text : *texts) {
    scores.emplace_back(1.0 / (1.0 + static_cast<double>(text.size())));
  }
  answer.m_body = boost::json::serialize(
    boost::json::value{ { "scores", std::move(scores) } });
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
PlainService::Seen(http::Exchange& aExchange)
{
  boost::json::object runs;
  {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [id, count] : m_runs) {
      runs[id] = count;
    }
  }
  http::Response answer;
  answer.m_body =
    boost::json::serialize(boost::json::value{ { "runs", std::move(runs) } });
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

void
PlainService::AddRoutes()
{
  const auto self = shared_from_this();
  const auto server = m_context.Get<http::Server>();
  server->AddRoute({ "*", "/", [self](http::Exchange& aExchange) {
                      return self->Answer(aExchange);
                    } });
  server->AddRoute({ "POST", "/v1/score", [self](http::Exchange& aExchange) {
                      return self->Score(aExchange);
                    } });
  server->AddRoute({ "GET", "/seen", [self](http::Exchange& aExchange) {
                      return self->Seen(aExchange);
                    } });
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  return PlainServiceSettings{ aReader.FlagOr("enabled", false) };
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  if (std::any_cast<const PlainServiceSettings&>(aSettings).m_enabled) {
    std::make_shared<PlainService>(aContext)->AddRoutes();
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
