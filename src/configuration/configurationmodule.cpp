#include "configuration/configurationmodule.h"

#include "configuration/documentjson.h"
#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::configuration {

namespace {

boost::asio::awaitable<void>
ReplyWithDocument(std::shared_ptr<ActiveConfiguration> aConfiguration,
                  http::Exchange& aExchange)
{
  // Other hosts need the keys of customers, and nobody else may see them.
  const bool isForHost = http::QueryNumber(aExchange.ReceivedRequest().m_target,
                                           kKeysParameter) == 1;
  const auto document = aConfiguration->Read();
  http::Response response;
  response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
  response.m_body =
    isForHost ? ToJson(*document) : ToJsonWithoutKeys(*document);
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  auto active = std::make_shared<ActiveConfiguration>(aContext.Metrics());
  aContext.Provide(active);
  aContext.Get<objectstore::ObjectStore>()->Watch(
    std::string(kObjectKind),
    [active](std::span<const objectstore::StoredObject> aObjects) {
      for (const objectstore::StoredObject& object : aObjects) {
        if (object.m_key.m_name == kObjectName) {
          active->ApplyIfNewer(object.m_value);
        }
      }
    });
  aContext.Get<http::Server>()->AddRoute(
    { "GET", "/v1/configuration", [active](http::Exchange& aExchange) {
       return ReplyWithDocument(active, aExchange);
     } });
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const auto document = aContext.Get<ActiveConfiguration>()->Read();
  return { { "generation", document->m_generation },
           { "services", document->m_services.size() },
           { "jobs", document->m_jobs.size() } };
}

constexpr std::string_view kDependencies[] = { http::kModuleName,
                                               objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::configuration
