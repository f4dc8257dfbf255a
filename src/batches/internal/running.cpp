#include "batches/batches.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/post.hpp"

#include "batches/internal/engineviews.h"
#include "batches/internal/itemrun.h"
#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

namespace asio = boost::asio;

constexpr core::Duration kDefaultGiveUp = std::chrono::seconds(40);

// An engine that has refused is tried by one item in this time.
constexpr core::Duration kTrialTime = std::chrono::milliseconds(120);
constexpr core::Duration kMoveInterval = std::chrono::milliseconds(250);
// Engines that were left alone may take items again.
constexpr core::Duration kEngineRetry = std::chrono::milliseconds(50);

const configuration::Route*
RouteOf(const configuration::Document& aDocument, const Submission& aSubmission)
{
  return configuration::FindRoute(
    aDocument, aSubmission.m_host, aSubmission.m_path);
}

http::Request
RequestOf(const Submission& aSubmission, const BatchItem& aItem)
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
RunAndReport(http::Client& aClient,
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
Batches::PolicyOf(const Submission& aSubmission) const
{
  BatchPolicy policy;
  core::Duration giveUp = kDefaultGiveUp;
  const auto document = m_configuration->Read();
  const configuration::Route* route = RouteOf(*document, aSubmission);
  if (route != nullptr) {
    policy.m_attempts = route->m_maxAttempts;
    if (const auto* kind =
          std::get_if<configuration::BatchSubmissions>(&route->m_kind)) {
      giveUp = kind->m_itemTimeout;
      policy.m_singleVersion = kind->m_singleVersion;
    }
  }
  // The age of the batch is read off the wall clock once, at the start.
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto accepted = std::chrono::milliseconds(aSubmission.m_acceptedAt);
  const auto age = std::max(core::Duration::zero(),
                            std::chrono::duration_cast<core::Duration>(wall) -
                              core::Duration(accepted));
  policy.m_giveUpAt = kernel::Now() + giveUp - std::min(age, giveUp);
  return policy;
}

void
Batches::Pump()
{
  const core::Instant now = kernel::Now();
  StartItems();
  PlanMoves();
  core::Instant next = core::Instant::max();
  const auto owned = m_owned;
  for (const auto& [id, batch] : owned) {
    if (batch->m_loaded) {
      Serve(batch);
      next = std::min(next, NextDeadline(batch->m_run, now));
      if (NextToRun(batch->m_run, now)) {
        next = std::min(next, now + kEngineRetry);
      }
    }
    for (const Waiter& waiter : batch->m_waiters) {
      next = std::min(next, waiter.m_until);
    }
  }
  if (next != core::Instant::max()) {
    m_timer.Set(std::max(next, now + std::chrono::milliseconds(1)));
  }
}

void
Batches::PlanMoves()
{
  // An engine has to be slow for a while: a change of weights is short.
  if (m_movesAt == core::Instant{} || kernel::Now() >= m_movesAt) {
    m_movesAt = kernel::Now() + kMoveInterval;
    MoveItems();
  }
}

void
Batches::Serve(const OwnedPtr& aOwned)
{
  GiveUpLate(aOwned->m_run, kernel::Now());
  StartScores(aOwned);
  StoreResults(aOwned);
  AnswerWaiters(*aOwned);
}

void
Batches::StartItems()
{
  std::vector<OwnedPtr> open;
  for (const auto& [id, owned] : m_owned) {
    if (owned->m_loaded && !owned->m_run.m_ended) {
      open.push_back(owned);
    }
  }
  // The oldest batch first: its trainer has waited longest.
  std::ranges::sort(open, {}, [](const OwnedPtr& aOwned) {
    return aOwned->m_run.m_policy.m_giveUpAt;
  });
  EngineViews views;
  for (const OwnedPtr& owned : open) {
    StartItemsOf(owned, views);
  }
}

void
Batches::StartItemsOf(const OwnedPtr& aOwned, EngineViews& aViews)
{
  BatchRun& run = aOwned->m_run;
  const auto document = m_configuration->Read();
  const configuration::Route* route = RouteOf(*document, *run.m_submission);
  for (;;) {
    const std::optional<size_t> item = NextToRun(run, kernel::Now());
    const auto pool = item ? PoolFor(route, run) : nullptr;
    if (!pool) {
      return;
    }
    EngineView& view = aViews.For(pool, run.m_submission->m_weights);
    const std::optional<size_t> engine =
      ChooseEngine(run, *item, view.m_engines);
    if (!engine) {
      TryEngine(aOwned, view);
      return;
    }
    StartItem(aOwned, *item, view, *engine);
  }
}

void
Batches::TryEngine(const OwnedPtr& aOwned, EngineView& aView)
{
  const BatchRun& run = aOwned->m_run;
  const std::optional<size_t> engine = EngineToTry(run, aView.m_engines);
  const std::optional<size_t> item =
    engine ? ItemToTry(run, aView.m_engines, kernel::Now()) : std::nullopt;
  if (!item) {
    return;
  }
  const core::Instant until = kernel::Now() + kTrialTime;
  routing::UpstreamMeter& meter = *aView.m_pool->m_upstreams[*engine].m_meter;
  meter.m_refusesUntil.store(until.time_since_epoch().count());
  StartItem(aOwned, *item, aView, *engine);
  aView.m_engines[*engine].m_usable = false;
}

std::shared_ptr<const routing::Pool>
Batches::PoolFor(const configuration::Route* aRoute, const BatchRun& aRun) const
{
  if (aRoute == nullptr) {
    return nullptr;
  }
  return m_relay->Upstreams().Find(
    configuration::ChooseService(*aRoute, aRun.m_runs).m_value);
}

void
Batches::MoveItems()
{
  const auto document = m_configuration->Read();
  EngineViews views;
  for (const auto& [id, owned] : m_owned) {
    const bool idle = !owned->m_loaded || owned->m_run.m_ended ||
                      NextToRun(owned->m_run, kernel::Now()).has_value();
    const BatchRun& run = owned->m_run;
    const auto pool =
      idle ? nullptr : PoolFor(RouteOf(*document, *run.m_submission), run);
    if (!pool) {
      continue;
    }
    const EngineView& view =
      views.For(pool, owned->m_run.m_submission->m_weights);
    for (const size_t item : ItemsToMove(owned->m_run, view.m_engines)) {
      const auto work = owned->m_work.find(item);
      if (work == owned->m_work.end()) {
        continue;
      }
      kernel::LogEvent(
        kernel::LogLevel::Info,
        "batches",
        "run-moved",
        { { "batch", id },
          { "item", owned->m_run.m_submission->m_items[item].m_id.m_value },
          { "from", owned->m_run.m_items[item].m_lastEngine.m_value } });
      m_context.Metrics().Get("batches.runs_moved").Add();
      asio::post(m_context.Traffic().Loop(work->second.m_loop),
                 [abort = work->second.m_abort] { abort->Request(); });
      owned->m_work.erase(work);
    }
  }
}

void
Batches::StartItem(const OwnedPtr& aOwned,
                   size_t aItem,
                   EngineView& aView,
                   size_t aEngine)
{
  BatchRun& run = aOwned->m_run;
  const Submission& submission = *run.m_submission;
  const BatchItem& item = submission.m_items[aItem];
  ItemRunTask task;
  task.m_request = RequestOf(submission, item);
  task.m_batchId = submission.m_id.m_value;
  task.m_itemId = item.m_id.m_value;
  task.m_ticket = std::make_shared<routing::Ticket>(aView.m_pool, aEngine);
  aView.m_engines[aEngine].m_outstanding += 1;
  task.m_resumeAfter = run.m_items[aItem].m_events;
  task.m_oldest = submission.m_oldest;
  task.m_expectedTokens = item.m_expectedTokens;
  task.m_startedAt = kernel::Now();
  task.m_deadline = run.m_policy.m_giveUpAt;
  task.m_abort = std::make_shared<http::CallAbort>();
  const uint64_t number = StartRun(run, aItem, aView.m_engines[aEngine].m_id);
  const size_t loop = m_context.Traffic().NextIndex();
  aOwned->m_work[aItem] = { loop, task.m_abort };
  m_context.Metrics().Get("batches.runs").Add();
  const core::Instant startedAt = task.m_startedAt;
  task.m_progress =
    [self = shared_from_this(), aOwned, aItem, number](RunReport aPart) {
      auto part = std::make_shared<RunReport>(std::move(aPart));
      self->m_context.Control().Post([self, aOwned, aItem, number, part] {
        ExtendText(aOwned->m_run, aItem, number, *part);
        self->StoreCheckpoint(aOwned);
      });
    };
  auto done = [self = shared_from_this(), aOwned, aItem, number, startedAt](
                RunReport aReport) {
    self->m_context.Metrics()
      .Latency("batches.run")
      .Add(kernel::Now() - startedAt);
    if (!self->IsOwned(aOwned)) {
      return;
    }
    aOwned->m_work.erase(aItem);
    EndRun(aOwned->m_run, aItem, number, std::move(aReport), kernel::Now());
    self->Pump();
  };
  asio::co_spawn(m_context.Traffic().Loop(loop),
                 RunAndReport(m_context.Get<http::Clients>()->For(loop),
                              m_context,
                              std::move(task),
                              std::move(done)),
                 asio::detached);
}

void
Batches::AbortWork(OwnedBatch& aOwned)
{
  for (const auto& [item, work] : aOwned.m_work) {
    asio::post(m_context.Traffic().Loop(work.m_loop),
               [abort = work.m_abort] { abort->Request(); });
  }
  aOwned.m_work.clear();
}

} // namespace heatherdeal::batches
