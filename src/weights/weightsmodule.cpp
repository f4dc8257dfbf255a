#include "weights/weightsmodule.h"

#include "configuration/configurationmodule.h"
#include "gossip/gossipmodule.h"
#include "kernel/plugin.h"
#include "lease/leasesettings.h"
#include "objectstore/objectstoremodule.h"
#include "weights/engineversions.h"
#include "weights/internal/serviceweights.h"
#include "weights/newestversion.h"
#include "weights/weightsobject.h"

namespace heatherdeal::weights {

namespace {

constexpr int64_t kMaxMilliseconds = 3'600'000;
constexpr core::Duration kResignTime = std::chrono::milliseconds(500);

/// The services of engines and their orders.
struct Weights
{
  kernel::Context* m_context = nullptr;
  WeightsSettings m_settings;
  std::map<std::string, std::shared_ptr<ServiceWeights>, std::less<>>
    m_services;
  std::map<std::string, core::WeightVersion, std::less<>> m_targets;
  std::unique_ptr<kernel::DeadlineTimer> m_drainTimer;
  kernel::Shutdown::Hold m_drainHold;
};

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  WeightsSettings settings;
  settings.m_lease = lease::ParseLeasePolicy(aReader);
  settings.m_orderTime = aReader.MillisecondsOr(
    "order_time_ms", { 1, kMaxMilliseconds }, settings.m_orderTime);
  return settings;
}

void
AddService(Weights& aWeights, const configuration::Service& aService)
{
  std::shared_ptr<ServiceWeights>& weights =
    aWeights.m_services[aService.m_name.m_value];
  if (weights) {
    weights->SetService(aService);
    return;
  }
  weights = std::make_shared<ServiceWeights>(
    *aWeights.m_context, aService, aWeights.m_settings);
  const auto hosts = aWeights.m_context->Get<objectstore::Hosts>()->Read();
  weights->SetHosts(*hosts);
  for (const auto& [name, version] : aWeights.m_targets) {
    weights->Feed(name, TargetSeen{ version });
  }
  weights->Start();
}

void
SetDocument(Weights& aWeights, const configuration::Document& aDocument)
{
  for (const configuration::Service& service : aDocument.m_services) {
    if (std::holds_alternative<configuration::ModelEngines>(service.m_kind)) {
      AddService(aWeights, service);
    }
  }
}

void
SetTarget(Weights& aWeights, const gossip::VersionUpdate& aNews)
{
  core::WeightVersion& target = aWeights.m_targets[aNews.m_weights];
  target = std::max(target, aNews.m_version);
  for (const auto& [name, service] : aWeights.m_services) {
    service->Feed(aNews.m_weights, TargetSeen{ target });
  }
}

void
SetTargets(Weights& aWeights,
           std::span<const objectstore::StoredObject> aObjects)
{
  for (const objectstore::StoredObject& object : aObjects) {
    const absl::StatusOr<core::WeightVersion> version =
      ParseNewestVersion(object);
    if (!version.ok()) {
      aWeights.m_context->Metrics().Get("weights.invalid_object").Add();
      continue;
    }
    const gossip::VersionUpdate news{ object.m_key.m_name, *version };
    aWeights.m_context->Get<gossip::Gossip>()->AnnounceVersion(news);
    SetTarget(aWeights, news);
  }
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto weights = std::make_shared<Weights>();
  weights->m_context = &aContext;
  weights->m_settings = std::any_cast<const WeightsSettings&>(aSettings);
  aContext.Provide(weights);
  aContext.Get<configuration::Active>()->Subscribe(
    [weights](const configuration::Document& aDocument) {
      SetDocument(*weights, aDocument);
    });
  aContext.Get<objectstore::Hosts>()->Subscribe(
    [weights](std::span<const objectstore::HostEntry> aHosts) {
      for (const auto& [name, service] : weights->m_services) {
        service->SetHosts(aHosts);
      }
    });
  auto versions = std::make_shared<EngineVersions>();
  versions->m_observe = [weights](const core::UpstreamId& aEngine,
                                  core::WeightVersion aVersion) {
    // Reports name one set of weights: the service's only one.
    for (const auto& [name, service] : weights->m_services) {
      service->FeedAll(VersionObserved{ aEngine, aVersion });
    }
  };
  aContext.Provide(versions);
  // During an outage of the store a trainer's pull is the first to name a
  // version; the other hosts pass it on.
  aContext.Get<gossip::Gossip>()->SubscribeVersions(
    [weights](const gossip::VersionUpdate& aNews) {
      SetTarget(*weights, aNews);
    });
  aContext.Get<objectstore::ObjectStore>()->Watch(
    std::string(kObjectKind),
    [weights](std::span<const objectstore::StoredObject> aObjects) {
      SetTargets(*weights, aObjects);
    });
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  const auto weights = aContext.Get<Weights>();
  for (const auto& [name, service] : weights->m_services) {
    service->Resign();
  }
  // Leaves the release of the leases time to reach the store.
  weights->m_drainHold = aContext.ProcessShutdown().Acquire();
  weights->m_drainTimer = std::make_unique<kernel::DeadlineTimer>(
    aContext.Control(),
    [weak = std::weak_ptr(weights)] { weak.lock()->m_drainHold.reset(); });
  weights->m_drainTimer->Set(kernel::Now() + kResignTime);
}

boost::json::value
Dump(kernel::Context& aContext)
{
  boost::json::object dump;
  for (const auto& [name, service] : aContext.Get<Weights>()->m_services) {
    boost::json::object waves;
    for (const auto& [weights, state] : service->States()) {
      waves[weights] = { { "epoch", state.m_epoch },
                         { "target", state.m_target.m_number },
                         { "engines", state.m_engines.size() },
                         { "at_target", EnginesAtTarget(state) },
                         { "orders", state.m_orders } };
    }
    dump[name] = std::move(waves);
  }
  return dump;
}

constexpr std::string_view kNeeds[] = { configuration::kModuleName,
                                        gossip::kModuleName,
                                        objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kNeeds,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::weights
