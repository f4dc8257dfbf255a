#include "routing/routingmodule.h"

#include "configuration/configurationmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::routing {

namespace {

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  auto router = std::make_shared<Router>(aContext.Self().m_failureDomain);
  aContext.Provide(router);
  aContext.Get<objectstore::Hosts>()->Subscribe(
    [router](std::span<const objectstore::HostEntry> aHosts) {
      router->SetHosts(aHosts);
    });
  aContext.Get<configuration::ActiveConfiguration>()->Subscribe(
    [router](const configuration::Document& aDocument) {
      router->SetDocument(aDocument);
    });
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  boost::json::object dump;
  const auto document =
    aContext.Get<configuration::ActiveConfiguration>()->Read();
  for (const configuration::Service& service : document->m_services) {
    boost::json::object upstreams;
    const auto pool = aContext.Get<Router>()->FindPool(service.m_name.m_value);
    for (const Upstream& upstream : pool->m_upstreams) {
      upstreams[upstream.m_id.m_value] = {
        { "outstanding", upstream.m_stats->m_outstanding.load() },
        { "leaving", upstream.m_leaving }
      };
    }
    dump[service.m_name.m_value] = std::move(upstreams);
  }
  return dump;
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
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

} // namespace heatherdeal::routing
