#include "kernel/plugin.h"
#include "reports/reportsmodule.h"
#include "weights/engineversions.h"
#include "weights/weightsmodule.h"

namespace heatherdeal::weights {

namespace {

constexpr std::string_view kPluginName = "reportedversions";

/// Forwards the versions from reports that engines send by themselves.
absl::Status
Start(kernel::Context& aContext, const std::any&)
{
  const auto observer = aContext.Get<EngineVersionObserver>();
  aContext.Get<reports::EngineReports>()->Subscribe(
    [observer](const reports::EngineStatus& aStatus) {
      observer->m_observe(aStatus.m_engine, aStatus.m_version);
    });
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { reports::kModuleName,
                                               kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kPluginName,
  .m_dependencies = kDependencies,
  .m_parseSettings = kernel::ParseNoSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::weights
