#include "routing/routingmodule.h"

#include "configuration/configurationmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::routing {

namespace {

constexpr std::string_view kPolicyNames[] = { "as-configured",
                                              "least-expected-work" };

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  RouterSettings settings;
  settings.m_prefersExpectedWork =
    aReader.ChoiceOr("policy", kPolicyNames, 0) == 1;
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto router =
    std::make_shared<Router>(aContext.Self().m_failureDomain,
                             aContext.Metrics(),
                             std::any_cast<const RouterSettings&>(aSettings));
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
        { "outstanding_work_ms",
          upstream.m_stats->m_outstandingWork.load() / 1000 },
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
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::routing
