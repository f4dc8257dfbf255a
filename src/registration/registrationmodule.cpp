#include "registration/registrationmodule.h"

#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"
#include "registration/internal/registrar.h"

namespace heatherdeal::registration {

namespace {

constexpr int64_t kMaxPort = 65535;

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  RegistrationSettings settings;
  settings.m_service = aReader.TextOr("service", "");
  settings.m_enabled = !settings.m_service.empty();
  settings.m_port =
    static_cast<uint16_t>(aReader.IntegerOr("port", { 0, kMaxPort }, 0));
  settings.m_gossipPort =
    static_cast<uint16_t>(aReader.IntegerOr("gossip_port", { 0, kMaxPort }, 0));
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto registrar = std::make_shared<Registrar>(
    aContext, std::any_cast<const RegistrationSettings&>(aSettings));
  aContext.Provide(registrar);
  registrar->EnsureRegistered();
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::registration
