#include "http/httpmodule.h"

#include <future>
#include <malloc.h>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/deferred.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/json/serialize.hpp"

#include "kernel/plugin.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr int64_t kMaxBodyBytes = 1024LL * 1024 * 1024;
// Lists of objects and pages of results have up to one megabyte.
constexpr int64_t kMinResponseBytes = 2LL * 1024 * 1024;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr int64_t kMaxTimeoutMilliseconds = 3'600'000;
constexpr int64_t kMinMemoryMegabytes = 64;
constexpr int64_t kMaxMemoryMegabytes = 1'048'576;
constexpr int64_t kMinDescriptors = 256;
constexpr int64_t kMaxDescriptors = 10'000'000;
constexpr uint64_t kBytesPerMegabyte = 1'000'000;
// Larger blocks are returned to the operating system when they are freed. By
// default the bound rises to the size of the largest freed block, after which
// large bodies fragment the heap.
constexpr int kMaxHeapBlockBytes = 128 * 1024;

/// Returns the generous defaults if the settings name no machine.
budget::BudgetLimits
ParseBudget(kernel::SettingsReader& aReader)
{
  const int64_t megabytes =
    aReader.IntegerOr("memory_mb", { 0, kMaxMemoryMegabytes }, 0);
  const int64_t descriptors = aReader.IntegerOr(
    "max_fds", { kMinDescriptors, kMaxDescriptors }, kMaxDescriptors);
  if (megabytes == 0) {
    return {};
  }
  if (megabytes < kMinMemoryMegabytes) {
    aReader.Errors().m_errors.push_back({ aReader.PathOf("memory_mb"),
                                          std::to_string(megabytes),
                                          "0 or at least 64" });
  }
  return budget::DeriveLimits(
    { static_cast<uint64_t>(megabytes) * kBytesPerMegabyte,
      static_cast<uint32_t>(descriptors) });
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  ServerSettings settings;
  settings.m_listen.m_address = aReader.TextOr("address", "127.0.0.1");
  settings.m_listen.m_port =
    static_cast<uint16_t>(aReader.Integer("port", { 0, kMaxPort }));
  settings.m_maxHeaderBytes = static_cast<uint32_t>(
    aReader.IntegerOr("header_bytes", { 256, kMaxHeaderBytes }, 16 * 1024));
  settings.m_maxBodyBytes = static_cast<uint64_t>(
    aReader.IntegerOr("body_bytes", { 0, kMaxBodyBytes }, 8 * 1024 * 1024));
  settings.m_maxConnections = static_cast<uint32_t>(
    aReader.IntegerOr("connections", { 1, kMaxConnections }, 4096));
  const kernel::Range range{ 1, kMaxTimeoutMilliseconds };
  settings.m_requestTimeout =
    aReader.MillisecondsOr("request_time_ms", range, settings.m_requestTimeout);
  settings.m_idleTimeout =
    aReader.MillisecondsOr("idle_time_ms", range, settings.m_idleTimeout);
  settings.m_writeTimeout =
    aReader.MillisecondsOr("write_time_ms", range, settings.m_writeTimeout);
  settings.m_responseLimits.m_maxResponseBytes =
    static_cast<uint64_t>(aReader.IntegerOr(
      "response_bytes",
      { kMinResponseBytes, kMaxBodyBytes },
      static_cast<int64_t>(settings.m_responseLimits.m_maxResponseBytes)));
  settings.m_responseLimits.m_maxBufferedBytes =
    static_cast<uint64_t>(aReader.IntegerOr(
      "buffered_response_bytes",
      { kMinResponseBytes, kMaxBodyBytes },
      static_cast<int64_t>(settings.m_responseLimits.m_maxBufferedBytes)));
  settings.m_budgetLimits = ParseBudget(aReader);
  settings.m_operatorToken = aReader.TextOr("operator_token", "");
  return settings;
}

asio::awaitable<void>
HandleHealthRequest(Exchange& aExchange)
{
  Response response;
  response.m_body = "ok\n";
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
HandleReadinessRequest(kernel::Context& aContext, Exchange& aExchange)
{
  Response response;
  response.m_body = "ready\n";
  if (aContext.ProcessShutdown().IsRequested()) {
    response = MakeFailureResponse(core::Draining{ aContext.Self().m_host });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
HandleMetricsRequest(kernel::Context& aContext, Exchange& aExchange)
{
  Response response;
  response.m_head.m_headers.push_back({ "Content-Type", "text/plain" });
  const auto budget = aContext.Get<ProcessBudget>();
  aContext.Metrics()
    .GaugeOf("http.budget_bytes")
    .Set(static_cast<int64_t>(budget->Usage().m_bytes));
  response.m_body = kernel::ToPrometheusText(aContext.Metrics());
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

/// Serializes the state of all plug-ins. Runs on the control thread, which owns
/// that state.
asio::awaitable<std::string>
SerializeDump(kernel::Context& aContext)
{
  co_return boost::json::serialize(kernel::DumpPlugins(aContext));
}

asio::awaitable<void>
HandleDumpRequest(std::shared_ptr<Server> aServer, Exchange& aExchange)
{
  if (!aServer->HasOperatorToken(aExchange.ReceivedRequest())) {
    Response unauthorized = MakeFailureResponse(core::Unauthorized{ "/dump" });
    co_await aExchange.RespondIgnoringErrors(std::move(unauthorized));
    co_return;
  }
  Response response;
  response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  response.m_body =
    co_await asio::co_spawn(aServer->Kernel().Control().EventLoop(),
                            SerializeDump(aServer->Kernel()),
                            asio::use_awaitable);
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const ServerSettings&>(aSettings);
  if (settings.m_budgetLimits.m_isOfMachine) {
    ::mallopt(M_MMAP_THRESHOLD, kMaxHeapBlockBytes);
  }
  aContext.Provide(std::make_shared<ProcessBudget>(aContext.Metrics(),
                                                   settings.m_budgetLimits));
  auto server = std::make_shared<Server>(aContext, settings);
  aContext.Provide(
    std::make_shared<Clients>(aContext, settings.m_responseLimits));
  aContext.Provide(server);
  server->AddRoute({ "GET", "/healthz", HandleHealthRequest });
  server->AddRoute({ "GET", "/readyz", [&aContext](Exchange& aExchange) {
                      return HandleReadinessRequest(aContext, aExchange);
                    } });
  server->AddRoute({ "GET", "/metrics", [&aContext](Exchange& aExchange) {
                      return HandleMetricsRequest(aContext, aExchange);
                    } });
  std::weak_ptr<Server> weakServer = server;
  server->AddRoute({ "GET", "/dump", [weakServer](Exchange& aExchange) {
                      return HandleDumpRequest(weakServer.lock(), aExchange);
                    } });
  // Posted, so that the server listens after all plug-ins have started and
  // added their routes.
  aContext.Control().Post([server, &aContext] {
    const absl::Status status = server->Listen();
    if (!status.ok()) {
      aContext.StopWithFailure(status);
    }
  });
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const auto server = aContext.Get<Server>();
  const budget::BudgetUsage usage = server->Budget()->Usage();
  return { { "port", server->Port() },
           { "open_connections", server->OpenConnections().load() },
           { "budget_bytes", usage.m_bytes },
           { "budget_incoming", usage.m_incoming },
           { "budget_outgoing", usage.m_outgoing } };
}

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = {},
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::http
