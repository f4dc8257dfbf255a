#include "kernel/plugin.h"
#include "reports/reportsmodule.h"
#include "weights/engineversions.h"
#include "weights/weightsmodule.h"

namespace heatherdeal::weights {

namespace {

constexpr std::string_view kName = "reportedversions";

/// Passes on the versions in the engines' own reports, where they send any.
absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  const auto versions = aContext.Get<EngineVersions>();
  aContext.Get<reports::EngineReports>()->Subscribe(
    [versions](const reports::EngineStatus& aStatus) {
      versions->m_observe(aStatus.m_engine, aStatus.m_version);
    });
  return absl::OkStatus();
}

constexpr std::string_view kNeeds[] = { reports::kModuleName, kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kName,
  .m_needs = kNeeds,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::weights
