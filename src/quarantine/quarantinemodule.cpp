#include "quarantine/quarantinemodule.h"

#include "gossip/gossipmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::quarantine {

namespace {

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  QuarantineSettings settings;
  settings.m_persists = aReader.FlagOr("persists", false);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto quarantine = std::make_shared<Quarantine>(
    aContext, std::any_cast<const QuarantineSettings&>(aSettings));
  quarantine->Start();
  aContext.Provide(std::move(quarantine));
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  return aContext.Get<Quarantine>()->Dump();
}

constexpr std::string_view kDependencies[] = { gossip::kModuleName,
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

} // namespace heatherdeal::quarantine
