#include "batches/batches.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/post.hpp"

#include "batches/internal/itemrun.h"
#include "batches/internal/poolviews.h"
#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

namespace asio = boost::asio;

constexpr core::Duration kDefaultItemTimeout = std::chrono::seconds(40);

// The minimum time between two probes of an engine that refuses items.
constexpr core::Duration kProbeInterval = std::chrono::milliseconds(120);
constexpr core::Duration kMoveCheckInterval = std::chrono::milliseconds(250);
// How often waiting items are tried again on engines that were excluded.
constexpr core::Duration kEngineRetryInterval = std::chrono::milliseconds(50);

const configuration::Route*
FindSubmissionRoute(const configuration::Document& aDocument,
                    const Submission& aSubmission)
{
  return configuration::FindRoute(
    aDocument, aSubmission.m_host, aSubmission.m_path);
}

http::Request
MakeRequest(const Submission& aSubmission, const BatchItem& aItem)
{
  http::Request request;
  request.m_method = "POST";
  request.m_target = aItem.m_path;
  request.m_headers.push_back({ "Host", aSubmission.m_host });
  for (const ItemHeader& header : aItem.m_headers) {
    request.m_headers.push_back({ header.m_name, header.m_value });
  }
  request.m_body = aItem.m_body;
  return request;
}

asio::awaitable<void>
RunItemAndReport(http::Client& aClient,
                 kernel::Context& aContext,
                 ItemRunTask aTask,
                 std::function<void(RunReport)> aDone)
{
  auto report =
    std::make_shared<RunReport>(co_await RunItem(aClient, std::move(aTask)));
  aContext.Control().Post([aDone, report] { aDone(std::move(*report)); });
}

} // namespace

bool
Batches::IsOwned(const OwnedPtr& aOwned) const
{
  const auto found = m_owned.find(aOwned->m_id.m_value);
  return found != m_owned.end() && found->second == aOwned;
}

BatchPolicy
Batches::MakePolicy(const OwnedBatch& aOwned,
                    const Submission& aSubmission) const
{
  BatchPolicy policy;
  policy.m_shortItemsStartAt = aOwned.m_run.m_policy.m_shortItemsStartAt;
  // Without a route no item starts. Until the route is known, no text that it
  // may not allow is taken over either.
  policy.m_singleVersion = true;
  core::Duration itemTimeout = kDefaultItemTimeout;
  const auto document = m_configuration->Read();
  const configuration::Route* route =
    FindSubmissionRoute(*document, aSubmission);
  if (route != nullptr) {
    policy.m_maxAttempts = route->m_maxAttempts;
    if (const auto* kind =
          std::get_if<configuration::BatchSubmissions>(&route->m_kind)) {
      itemTimeout = kind->m_itemTimeout;
      policy.m_singleVersion = kind->m_singleVersion;
    }
  }
  policy.m_itemDeadline = aOwned.m_acceptedAt + itemTimeout;
  return policy;
}

core::Instant
Batches::ToMonotonic(int64_t aUnixMilliseconds)
{
  const int64_t ageMs =
    std::max<int64_t>(0, kernel::UnixMilliseconds() - aUnixMilliseconds);
  return kernel::Now() - std::chrono::milliseconds(ageMs);
}

void
Batches::HandleConfiguration(const configuration::Document& aDocument)
{
  const auto owned = m_owned;
  for (const auto& [id, batch] : owned) {
    if (!batch->m_loaded) {
      // An ended batch is loaded only when a caller asks for it.
      if (!IsEnded(id)) {
        EnsureLoading(batch);
      }
      continue;
    }
    const Submission& submission = *batch->m_run.m_submission;
    // The policy of a route that was removed stays in force.
    if (FindSubmissionRoute(aDocument, submission) != nullptr) {
      ApplyPolicy(batch->m_run, MakePolicy(*batch, submission), kernel::Now());
    }
  }
  RunDueWork();
}

void
Batches::RunDueWork()
{
  const core::Instant now = kernel::Now();
  StartItems();
  MoveItemsIfDue();
  core::Instant next = core::Instant::max();
  const auto owned = m_owned;
  for (const auto& [id, batch] : owned) {
    if (batch->m_loaded) {
      ProcessBatch(batch);
      next = std::min(next, FindNextDeadline(batch->m_run, now));
      if (FindNextItemToStart(batch->m_run, now)) {
        next = std::min(next, now + kEngineRetryInterval);
      }
    }
    for (const PendingRead& pending : batch->m_pendingReads) {
      next = std::min(next,
                      IsDue(*batch, pending, now) ? batch->m_confirmationWaitEnd
                                                  : pending.m_expiresAt);
    }
  }
  if (next != core::Instant::max()) {
    m_workTimer.Set(std::max(next, now + std::chrono::milliseconds(1)));
  }
}

void
Batches::MoveItemsIfDue()
{
  // Moves are considered only at intervals, because an engine may be slow for a
  // short time, such as during a weight update.
  if (m_nextMoveCheck == core::Instant{} || kernel::Now() >= m_nextMoveCheck) {
    m_nextMoveCheck = kernel::Now() + kMoveCheckInterval;
    MoveItems();
  }
}

void
Batches::ProcessBatch(const OwnedPtr& aOwned)
{
  MarkOverdueItemsLost(aOwned->m_run, kernel::Now());
  StartScoreRequests(aOwned);
  StoreDueResults(aOwned);
  AnswerPendingReads(aOwned);
}

void
Batches::StartItems()
{
  std::vector<OwnedPtr> openBatches;
  for (const auto& [id, owned] : m_owned) {
    if (owned->m_loaded && !owned->m_run.m_ended) {
      openBatches.push_back(owned);
    }
  }
  // The oldest batch comes first, because its trainer has waited longest.
  std::ranges::sort(openBatches, {}, [](const OwnedPtr& aOwned) {
    return aOwned->m_run.m_submission->m_acceptedAt;
  });
  PoolViews views;
  for (const OwnedPtr& owned : openBatches) {
    StartItemsOfBatch(owned, views);
  }
  for (const auto& [service, pool] :
       m_relay->UpstreamRouter().ReadPools()->m_byService) {
    pool->m_demand->m_waitingItems.store(views.CountWaitingItems(*pool));
  }
}

void
Batches::StartItemsOfBatch(const OwnedPtr& aOwned, PoolViews& aViews)
{
  const auto document = m_configuration->Read();
  const configuration::Route* route =
    FindSubmissionRoute(*document, *aOwned->m_run.m_submission);
  if (route == nullptr) {
    return;
  }
  ReportDiscardedTexts(
    aOwned->m_id,
    DiscardTextsOfOtherServices(aOwned->m_run, FindServicesWithEngines(*route)),
    "their service gets no items of the route any more");
  while (MayStartRequest() &&
         FindNextItemToStart(aOwned->m_run, kernel::Now())) {
    if (!StartNextItem(aOwned, *route, aViews)) {
      return;
    }
  }
}

bool
Batches::StartNextItem(const OwnedPtr& aOwned,
                       const configuration::Route& aRoute,
                       PoolViews& aViews)
{
  BatchRun& run = aOwned->m_run;
  std::vector<core::ServiceId> tried;
  while (const auto service =
           FindServiceInTurn(run.m_serviceTurns, aRoute, tried)) {
    tried.push_back(*service);
    const core::Instant now = kernel::Now();
    if (!HasItemFor(run, *service, now)) {
      continue;
    }
    const auto pool = m_relay->UpstreamRouter().FindPool(service->m_value);
    if (pool && StartItemAt(aOwned, pool, aViews)) {
      RecordTaken(run.m_serviceTurns, *service);
      return true;
    }
    const ServiceState state = pool && routing::HasStayingUpstream(*pool)
                                 ? ServiceState::Busy
                                 : ServiceState::WithoutEngines;
    if (!RecordNotTaken(run.m_serviceTurns, *service, state, now)) {
      return false;
    }
  }
  return false;
}

bool
Batches::StartItemAt(const OwnedPtr& aOwned,
                     const std::shared_ptr<const routing::Pool>& aPool,
                     PoolViews& aViews)
{
  BatchRun& run = aOwned->m_run;
  const core::Instant now = kernel::Now();
  PoolView& view = aViews.FindOrAdd(aPool, run.m_submission->m_weights);
  std::optional<ItemStart> start = ChooseNextStart(run, view.m_engines, now);
  if (!start && DiscardTexts(aOwned, view)) {
    start = ChooseNextStart(run, view.m_engines, now);
  }
  if (start) {
    StartItem(aOwned, *start, view);
    return true;
  }
  if (view.m_hasLimits) {
    view.m_waitingItems += CountItemsToStart(run, now);
  }
  ProbeEngine(aOwned, view);
  return false;
}

bool
Batches::DiscardTexts(const OwnedPtr& aOwned, const PoolView& aView)
{
  const size_t discarded =
    DiscardOrphanedTexts(aOwned->m_run, aView.m_engines, kernel::Now());
  ReportDiscardedTexts(
    aOwned->m_id, discarded, "no engine of the software that began them");
  return discarded > 0;
}

void
Batches::ReportDiscardedTexts(const BatchId& aBatch,
                              size_t aTexts,
                              std::string_view aReason)
{
  if (aTexts == 0) {
    return;
  }
  m_context.Metrics().Get("batches.texts_discarded").Add(aTexts);
  kernel::LogEvent(kernel::LogLevel::Info,
                   "batches",
                   "texts-discarded",
                   { { "batch", aBatch.m_value },
                     { "texts", aTexts },
                     { "reason", aReason } });
}

std::vector<core::ServiceId>
Batches::FindServicesWithEngines(const configuration::Route& aRoute) const
{
  std::vector<core::ServiceId> services;
  for (const configuration::WeightedService& target : aRoute.m_services) {
    const auto pool =
      m_relay->UpstreamRouter().FindPool(target.m_service.m_value);
    if (target.m_weight > 0 && pool && routing::HasStayingUpstream(*pool)) {
      services.push_back(target.m_service);
    }
  }
  return services;
}

void
Batches::ProbeEngine(const OwnedPtr& aOwned, PoolView& aView)
{
  const BatchRun& run = aOwned->m_run;
  const std::optional<ItemStart> probe =
    FindProbe(run, aView.m_engines, kernel::Now());
  if (!probe) {
    return;
  }
  const core::Instant until = kernel::Now() + kProbeInterval;
  routing::UpstreamStats& stats =
    *aView.m_pool->m_upstreams[probe->m_engine].m_stats;
  stats.m_avoidUntil.store(until.time_since_epoch().count());
  StartItem(aOwned, *probe, aView);
  aView.m_engines[probe->m_engine].m_usable = false;
}

void
Batches::MoveItems()
{
  const auto document = m_configuration->Read();
  PoolViews views;
  for (const auto& [id, owned] : m_owned) {
    const bool cannotMove =
      !owned->m_loaded || owned->m_run.m_ended ||
      FindNextItemToStart(owned->m_run, kernel::Now()).has_value();
    const configuration::Route* route =
      cannotMove ? nullptr
                 : FindSubmissionRoute(*document, *owned->m_run.m_submission);
    if (route == nullptr) {
      continue;
    }
    for (const configuration::WeightedService& target : route->m_services) {
      const auto pool =
        m_relay->UpstreamRouter().FindPool(target.m_service.m_value);
      if (pool) {
        MoveItemsOfPool(
          owned, views.FindOrAdd(pool, owned->m_run.m_submission->m_weights));
      }
    }
  }
}

void
Batches::MoveItemsOfPool(const OwnedPtr& aOwned, const PoolView& aView)
{
  for (const size_t item : FindItemsToMove(aOwned->m_run, aView.m_engines)) {
    const auto active = aOwned->m_activeRequests.find(item);
    if (active == aOwned->m_activeRequests.end()) {
      continue;
    }
    const BatchRun& run = aOwned->m_run;
    kernel::LogEvent(kernel::LogLevel::Info,
                     "batches",
                     "run-moved",
                     { { "batch", aOwned->m_id.m_value },
                       { "item", run.m_submission->m_items[item].m_id.m_value },
                       { "from", run.m_items[item].m_lastEngine.m_value } });
    m_context.Metrics().Get("batches.runs_moved").Add();
    asio::post(m_context.Traffic().Loop(active->second.m_loop),
               [abort = active->second.m_abort] { abort->RequestAbort(); });
    aOwned->m_activeRequests.erase(active);
  }
}

void
Batches::StartItem(const OwnedPtr& aOwned,
                   const ItemStart& aStart,
                   PoolView& aView)
{
  const size_t itemIndex = aStart.m_item;
  EngineSnapshot& engine = aView.m_engines[aStart.m_engine];
  BatchRun& run = aOwned->m_run;
  const Submission& submission = *run.m_submission;
  const BatchItem& item = submission.m_items[itemIndex];
  ItemRunTask task;
  task.m_request = MakeRequest(submission, item);
  task.m_batchId = submission.m_id.m_value;
  task.m_itemId = item.m_id.m_value;
  task.m_customer = submission.m_customer;
  task.m_isAnonymous = submission.m_customer.m_value.empty() && HasCustomers();
  task.m_reservation = std::make_shared<routing::UpstreamReservation>(
    aView.m_pool, aStart.m_engine);
  engine.m_outstanding += 1;
  aView.m_pool->m_demand->m_calls.fetch_add(1);
  if (task.m_reservation->Chosen().m_stats->m_pacing.NextPermitAt() >
      kernel::Now()) {
    engine.m_usable = false;
  }
  task.m_resumeAfter = run.m_items[itemIndex].m_eventCount;
  task.m_oldestAllowedVersion = submission.m_oldestAllowedVersion;
  task.m_expectedTokens = item.m_expectedTokens;
  task.m_startedAt = kernel::Now();
  task.m_deadline = run.m_policy.m_itemDeadline;
  task.m_abort = std::make_shared<http::CallAbort>();
  task.m_limits = m_context.Get<limits::UpstreamLimits>();
  task.m_memory = ReserveText(*aOwned, itemIndex);
  task.m_resumedBytes = run.m_items[itemIndex].m_text.size();
  const uint64_t runNumber =
    StartItemRun(run, itemIndex, { engine.m_id, engine.m_software });
  const size_t loop = m_context.Traffic().NextIndex();
  aOwned->m_activeRequests[itemIndex] = { loop, task.m_abort };
  m_context.Metrics().Get("batches.runs").Add();
  const core::Instant startedAt = task.m_startedAt;
  task.m_onProgress = [self = shared_from_this(), aOwned, itemIndex, runNumber](
                        RunReport aPart) {
    auto part = std::make_shared<RunReport>(std::move(aPart));
    self->m_context.Control().Post([self, aOwned, itemIndex, runNumber, part] {
      AddPartialText(aOwned->m_run, itemIndex, runNumber, *part);
      self->StoreCheckpoint(aOwned);
    });
  };
  auto done =
    [self = shared_from_this(), aOwned, itemIndex, runNumber, startedAt](
      RunReport aReport) {
      self->m_context.Metrics()
        .Latency("batches.run")
        .Add(kernel::Now() - startedAt);
      if (!self->IsOwned(aOwned)) {
        return;
      }
      aOwned->m_activeRequests.erase(itemIndex);
      FinishItemRun(
        aOwned->m_run, itemIndex, runNumber, std::move(aReport), kernel::Now());
      ReleaseFinishedText(*aOwned, itemIndex);
      self->RunDueWork();
    };
  asio::co_spawn(m_context.Traffic().Loop(loop),
                 RunItemAndReport(m_context.Get<http::Clients>()->ForLoop(loop),
                                  m_context,
                                  std::move(task),
                                  std::move(done)),
                 asio::detached);
}

bool
Batches::MayStartRequest() const
{
  if (!m_budget) {
    return true;
  }
  size_t active = 0;
  for (const auto& [id, owned] : m_owned) {
    active += owned->m_activeRequests.size();
  }
  const budget::BudgetLimits& limits = m_budget->Limits();
  return active < limits.m_maxConnections - limits.m_maxIncoming;
}

std::shared_ptr<http::ProcessBudget::Reservation>
Batches::ReserveText(OwnedBatch& aOwned, size_t aItem) const
{
  if (!m_budget) {
    return nullptr;
  }
  auto& memory = aOwned.m_textMemory[aItem];
  if (!memory) {
    memory = std::make_shared<http::ProcessBudget::Reservation>(m_budget);
  }
  return memory;
}

void
Batches::ReleaseFinishedText(OwnedBatch& aOwned, size_t aItem)
{
  if (aOwned.m_run.m_items[aItem].m_text.empty()) {
    aOwned.m_textMemory.erase(aItem);
  }
}

void
Batches::AbortActiveRequests(OwnedBatch& aOwned)
{
  for (const auto& [item, active] : aOwned.m_activeRequests) {
    asio::post(m_context.Traffic().Loop(active.m_loop),
               [abort = active.m_abort] { abort->RequestAbort(); });
  }
  aOwned.m_activeRequests.clear();
}

} // namespace heatherdeal::batches
