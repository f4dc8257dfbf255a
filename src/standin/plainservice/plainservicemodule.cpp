#include <map>
#include <mutex>

#include "boost/json/serialize.hpp"

#include "http/httpmodule.h"
#include "kernel/json.h"
#include "kernel/plugin.h"

// Stand-in for the plain services: it responds with the request id and target,
// and counts how often each request id has run.

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
  asio::awaitable<void> HandleRequest(http::Exchange& aExchange);
  /// Scores texts; a longer text gets a lower score.
  asio::awaitable<void> HandleScore(http::Exchange& aExchange);
  asio::awaitable<void> HandleSeen(http::Exchange& aExchange);

  kernel::Context& m_context;
  std::mutex m_mutex;
  std::map<std::string, uint64_t> m_runsByRequestId;
};

asio::awaitable<void>
PlainService::HandleRequest(http::Exchange& aExchange)
{
  const http::Request& request = aExchange.ReceivedRequest();
  const std::string id(
    http::FindHeader(request.m_headers, "X-Heatherdeal-Request-Id"));
  {
    const std::scoped_lock lock(m_mutex);
    m_runsByRequestId[id] += 1;
  }
  http::Response response;
  response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  response.m_body = boost::json::serialize(
    boost::json::value{ { "id", id }, { "target", request.m_target } });
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
PlainService::HandleScore(http::Exchange& aExchange)
{
  using Texts = std::vector<std::string>;
  const absl::StatusOr<Texts> texts =
    kernel::ParseMessage<Texts>(aExchange.ReceivedRequest().m_body,
                                "score",
                                [](kernel::SettingsReader& aReader) {
                                  aReader.Text("prompt");
                                  return aReader.OptionalTexts("texts");
                                });
  http::Response response;
  if (!texts.ok()) {
    response = http::MakeFailureResponse(http::FailureOf(texts.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  boost::json::array scores;
  for (const std::string& text : *texts) {
    scores.emplace_back(1.0 / (1.0 + static_cast<double>(text.size())));
  }
  response.m_body = boost::json::serialize(
    boost::json::value{ { "scores", std::move(scores) } });
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
PlainService::HandleSeen(http::Exchange& aExchange)
{
  boost::json::object runs;
  {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [id, count] : m_runsByRequestId) {
      runs[id] = count;
    }
  }
  http::Response response;
  response.m_body =
    boost::json::serialize(boost::json::value{ { "runs", std::move(runs) } });
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

void
PlainService::AddRoutes()
{
  const auto self = shared_from_this();
  const auto server = m_context.Get<http::Server>();
  server->AddRoute({ "*", "/", [self](http::Exchange& aExchange) {
                      return self->HandleRequest(aExchange);
                    } });
  server->AddRoute({ "POST", "/v1/score", [self](http::Exchange& aExchange) {
                      return self->HandleScore(aExchange);
                    } });
  server->AddRoute({ "GET", "/seen", [self](http::Exchange& aExchange) {
                      return self->HandleSeen(aExchange);
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
