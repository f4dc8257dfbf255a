#include "customers/customersmodule.h"

#include "configuration/configurationmodule.h"
#include "customers/authenticator.h"
#include "kernel/plugin.h"

namespace heatherdeal::customers {

namespace {

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  CustomerSettings settings;
  settings.m_required = aReader.FlagOr("required", settings.m_required);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto authenticator = std::make_shared<Authenticator>(
    aContext.Get<configuration::ActiveConfiguration>(),
    std::any_cast<const CustomerSettings&>(aSettings));
  authenticator->Start();
  aContext.Provide(std::move(authenticator));
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::customers
