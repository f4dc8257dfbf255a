#include "customers/customersmodule.h"

#include "configuration/configurationmodule.h"
#include "customers/authenticator.h"
#include "kernel/plugin.h"
#include "objectstore/objectstore.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::customers {

namespace {

// Less than the time between two confirmations would reject all requests.
constexpr kernel::Range kRevocationRange{ 1000, 3'600'000 };

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  CustomerSettings settings;
  settings.m_required = aReader.FlagOr("required", settings.m_required);
  settings.m_strictRevocation =
    aReader.FlagOr("strict_revocation", settings.m_strictRevocation);
  settings.m_revocationTime = aReader.MillisecondsOr(
    "revocation_ms", kRevocationRange, settings.m_revocationTime);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto authenticator = std::make_shared<Authenticator>(
    aContext.Get<configuration::ActiveConfiguration>(),
    aContext.Get<objectstore::ObjectStore>()->FindConfirmedTime(
      configuration::kObjectKind),
    std::any_cast<const CustomerSettings&>(aSettings));
  authenticator->Start();
  aContext.Provide(std::move(authenticator));
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
                                               objectstore::kModuleName };

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
