#include "forwarding/forwardingmodule.h"

#include "forwarding/internal/forwarder.h"
#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"
#include "quarantine/quarantinemodule.h"
#include "routing/routingmodule.h"

namespace heatherdeal::forwarding {

namespace {

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  auto forwarder = std::make_shared<Forwarder>(aContext);
  aContext.Get<http::Server>()->AddRoute(
    { "*", "/apps/", [forwarder](http::Exchange& aExchange) {
       return forwarder->Serve(aExchange);
     } });
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { http::kModuleName,
                                               objectstore::kModuleName,
                                               quarantine::kModuleName,
                                               routing::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::forwarding
