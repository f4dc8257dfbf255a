#include "limits/limitsmodule.h"

#include "gossip/gossipmodule.h"
#include "kernel/plugin.h"
#include "routing/routingmodule.h"

namespace heatherdeal::limits {

namespace {

absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  auto limits = std::make_shared<UpstreamLimits>(aContext);
  limits->Start();
  aContext.Provide(std::move(limits));
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  return aContext.Get<UpstreamLimits>()->Dump();
}

constexpr std::string_view kDependencies[] = { gossip::kModuleName,
                                               routing::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::limits
