#include "weights/weightsmodule.h"

#include "configuration/configurationmodule.h"
#include "gossip/gossipmodule.h"
#include "kernel/plugin.h"
#include "lease/leasesettings.h"
#include "lease/releasedelay.h"
#include "objectstore/objectstoremodule.h"
#include "weights/engineversions.h"
#include "weights/internal/weightupdater.h"
#include "weights/newestversion.h"
#include "weights/weightsobject.h"

namespace heatherdeal::weights {

namespace {

constexpr int64_t kMaxOrderTimeMilliseconds = 3'600'000;

/// The state of the plug-in: a weight updater for each service of engines.
struct WeightsPlugin
{
  kernel::Context* m_context = nullptr;
  WeightsSettings m_settings;
  std::map<std::string, std::shared_ptr<WeightUpdater>, std::less<>> m_updaters;
  std::map<std::string, core::WeightVersion, std::less<>> m_targetVersions;
  std::unique_ptr<lease::ReleaseDelay> m_releaseDelay;
};

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  WeightsSettings settings;
  settings.m_lease = lease::ParseLeasePolicy(aReader);
  settings.m_orderTimeout = aReader.MillisecondsOr(
    "order_time_ms", { 1, kMaxOrderTimeMilliseconds }, settings.m_orderTimeout);
  return settings;
}

void
AddOrUpdateService(WeightsPlugin& aPlugin,
                   const configuration::Service& aService)
{
  std::shared_ptr<WeightUpdater>& serviceUpdater =
    aPlugin.m_updaters[aService.m_name.m_value];
  const bool isNew = serviceUpdater == nullptr;
  if (isNew) {
    serviceUpdater = std::make_shared<WeightUpdater>(
      *aPlugin.m_context, aService, aPlugin.m_settings);
    const auto hosts = aPlugin.m_context->Get<objectstore::Hosts>()->Read();
    serviceUpdater->SetHosts(*hosts);
  } else {
    serviceUpdater->SetService(aService);
  }
  for (const auto& [name, version] : aPlugin.m_targetVersions) {
    serviceUpdater->HandleEvent(name, TargetAnnounced{ version });
  }
  if (isNew) {
    serviceUpdater->Start();
  }
}

void
ApplyDocument(WeightsPlugin& aPlugin, const configuration::Document& aDocument)
{
  for (const configuration::Service& service : aDocument.m_services) {
    if (std::holds_alternative<configuration::ModelEngines>(service.m_kind)) {
      AddOrUpdateService(aPlugin, service);
    }
  }
}

void
RaiseTarget(WeightsPlugin& aPlugin, const gossip::VersionUpdate& aUpdate)
{
  core::WeightVersion& target = aPlugin.m_targetVersions[aUpdate.m_weights];
  target = std::max(target, aUpdate.m_version);
  for (const auto& [name, updater] : aPlugin.m_updaters) {
    updater->HandleEvent(aUpdate.m_weights, TargetAnnounced{ target });
  }
}

void
RaiseTargets(WeightsPlugin& aPlugin,
             std::span<const objectstore::StoredObject> aObjects)
{
  for (const objectstore::StoredObject& object : aObjects) {
    const absl::StatusOr<core::WeightVersion> version =
      ParseNewestVersion(object);
    if (!version.ok()) {
      aPlugin.m_context->Metrics().Get("weights.invalid_object").Add();
      continue;
    }
    const gossip::VersionUpdate update{ object.m_key.m_name, *version };
    aPlugin.m_context->Get<gossip::Gossip>()->AnnounceVersion(update);
    RaiseTarget(aPlugin, update);
  }
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto plugin = std::make_shared<WeightsPlugin>();
  plugin->m_context = &aContext;
  plugin->m_settings = std::any_cast<const WeightsSettings&>(aSettings);
  aContext.Provide(plugin);
  aContext.Get<configuration::ActiveConfiguration>()->Subscribe(
    [plugin](const configuration::Document& aDocument) {
      ApplyDocument(*plugin, aDocument);
    });
  aContext.Get<objectstore::Hosts>()->Subscribe(
    [plugin](std::span<const objectstore::HostEntry> aHosts) {
      for (const auto& [name, updater] : plugin->m_updaters) {
        updater->SetHosts(aHosts);
      }
    });
  auto observer = std::make_shared<EngineVersionObserver>();
  observer->m_observe = [plugin](const core::UpstreamId& aEngine,
                                 core::WeightVersion aVersion) {
    // Reports do not name a weight set. Engines that send them serve only one.
    for (const auto& [name, updater] : plugin->m_updaters) {
      updater->BroadcastEvent(VersionObserved{ aEngine, aVersion });
    }
  };
  aContext.Provide(observer);
  // During an outage of the store, a new version becomes known through a pull
  // of the trainer. The host that receives the pull spreads it by gossip.
  aContext.Get<gossip::Gossip>()->SubscribeVersions(
    [plugin](const gossip::VersionUpdate& aUpdate) {
      RaiseTarget(*plugin, aUpdate);
    });
  aContext.Get<objectstore::ObjectStore>()->Watch(
    std::string(kObjectKind),
    [plugin](std::span<const objectstore::StoredObject> aObjects) {
      RaiseTargets(*plugin, aObjects);
    });
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  const auto plugin = aContext.Get<WeightsPlugin>();
  for (const auto& [name, updater] : plugin->m_updaters) {
    updater->Resign();
  }
  plugin->m_releaseDelay = std::make_unique<lease::ReleaseDelay>(aContext);
}

boost::json::value
Dump(kernel::Context& aContext)
{
  boost::json::object dump;
  for (const auto& [name, updater] :
       aContext.Get<WeightsPlugin>()->m_updaters) {
    boost::json::object updates;
    for (const auto& [weightSet, state] : updater->Updates()) {
      updates[weightSet] = { { "epoch", state.m_epoch },
                             { "target", state.m_targetVersion.m_number },
                             { "engines", state.m_engines.size() },
                             { "at_target", CountEnginesAtTarget(state) },
                             { "orders", state.m_sentOrderCount } };
    }
    dump[name] = std::move(updates);
  }
  return dump;
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
                                               gossip::kModuleName,
                                               objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::weights
