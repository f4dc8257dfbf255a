#include "relay/relaymodule.h"

#include "configuration/configurationmodule.h"
#include "gossip/gossipmodule.h"
#include "http/httpmodule.h"
#include "http/server.h"
#include "kernel/plugin.h"
#include "limits/limitsmodule.h"
#include "quarantine/quarantinemodule.h"
#include "relay/internal/peerrelay.h"
#include "relay/relay.h"
#include "resumption/resumptionmodule.h"
#include "routing/routingmodule.h"
#include "usage/usagemodule.h"

namespace heatherdeal::relay {

namespace {

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  auto relay = std::make_shared<Relay>(aContext);
  relay->Start();
  aContext.Get<http::Server>()->AddRoute(
    { "*", std::string(kPeerPath), [relay](http::Exchange& aExchange) {
       return relay->ServePeer(aExchange);
     } });
  aContext.Provide(std::move(relay));
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = {
  configuration::kModuleName, gossip::kModuleName,     http::kModuleName,
  limits::kModuleName,        quarantine::kModuleName, resumption::kModuleName,
  routing::kModuleName,       usage::kModuleName
};

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::relay
