#include "relay/relaymodule.h"

#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "limits/limitsmodule.h"
#include "quarantine/quarantinemodule.h"
#include "resumption/resumptionmodule.h"
#include "routing/routingmodule.h"

namespace heatherdeal::relay {

namespace {

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  aContext.Provide(std::make_shared<Relay>(aContext));
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { http::kModuleName,
                                               limits::kModuleName,
                                               quarantine::kModuleName,
                                               resumption::kModuleName,
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

} // namespace heatherdeal::relay
