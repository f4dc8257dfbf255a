#include "reports/reportsmodule.h"

#include "configuration/configurationmodule.h"
#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::reports {

namespace {

constexpr int64_t kMaxPollIntervalMilliseconds = 60'000;
constexpr core::Duration kDefaultPollInterval = std::chrono::milliseconds(500);

struct ReportsSettings
{
  core::Duration m_pollInterval = kDefaultPollInterval;
};

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  ReportsSettings settings;
  settings.m_pollInterval =
    aReader.MillisecondsOr("interval_ms",
                           { 10, kMaxPollIntervalMilliseconds },
                           settings.m_pollInterval);
  return settings;
}

/// Returns the hosts whose service consists of model engines.
std::vector<objectstore::HostEntry>
SelectEngines(const configuration::Document& aDocument,
              std::span<const objectstore::HostEntry> aHosts)
{
  std::vector<objectstore::HostEntry> engines;
  for (const objectstore::HostEntry& host : aHosts) {
    const configuration::Service* service =
      configuration::FindService(aDocument, { host.m_service });
    if (service != nullptr &&
        std::holds_alternative<configuration::ModelEngines>(service->m_kind)) {
      engines.push_back(host);
    }
  }
  return engines;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const ReportsSettings&>(aSettings);
  auto reports =
    std::make_shared<EngineReports>(aContext, settings.m_pollInterval);
  aContext.Provide(reports);
  const auto active = aContext.Get<configuration::ActiveConfiguration>();
  const auto hosts = aContext.Get<objectstore::Hosts>();
  const auto updateEngines = [reports, active, hosts] {
    const auto entries = hosts->Read();
    reports->SetEngines(SelectEngines(*active->Read(), *entries));
  };
  hosts->Subscribe([updateEngines](std::span<const objectstore::HostEntry>) {
    updateEngines();
  });
  active->Subscribe(
    [updateEngines](const configuration::Document&) { updateEngines(); });
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  boost::json::object dump;
  for (const auto& [id, status] :
       aContext.Get<EngineReports>()->LatestStatuses()) {
    dump[id.m_value] = { { "version", status.m_version.m_number },
                         { "running", status.m_running },
                         { "queued", status.m_queued } };
  }
  return dump;
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
                                               http::kModuleName,
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

} // namespace heatherdeal::reports
