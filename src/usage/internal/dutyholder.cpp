#include "usage/internal/dutyholder.h"

#include <charconv>

#include "absl/status/status.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "core/overloaded.h"
#include "core/rendezvous.h"
#include "gossip/gossip.h"
#include "http/client.h"
#include "kernel/eventlog.h"
#include "objectstore/hosts.h"
#include "usage/internal/countscodec.h"
#include "usage/internal/hostlookup.h"
#include "usage/internal/reportdelivery.h"

namespace heatherdeal::usage {

namespace {

namespace asio = boost::asio;
using objectstore::CallPriority;
using objectstore::StoredObject;

constexpr size_t kLoopIndex = 0;
constexpr uint32_t kMisdirected = 421;
constexpr std::string_view kLeaseName = "usage";
// Each candidate reads the lease twice a second, so only a few hosts compete.
constexpr size_t kCandidates = 3;
constexpr core::Duration kCandidateCheckInterval = std::chrono::seconds(1);
// Gossip hears of the other candidates meanwhile.
constexpr core::Duration kFirstCandidateDelay = std::chrono::milliseconds(1000);
// Less than the time that the sender waits.
constexpr core::Duration kForwardTimeout = std::chrono::milliseconds(1000);
// If no holder is known after this time, each host competes: the candidates may
// be unable to reach the store.
constexpr core::Duration kNoHolderTimeout = std::chrono::seconds(6);

Moment
CurrentMoment()
{
  return { kernel::Now(), kernel::UnixMilliseconds() };
}

objectstore::ObjectKey
ContentKey(WindowId aWindow)
{
  return { std::string(kContentKind), std::to_string(aWindow) };
}

std::optional<WindowId>
ParseWindow(std::string_view aName)
{
  WindowId window = 0;
  const auto [end, error] =
    std::from_chars(aName.data(), aName.data() + aName.size(), window);
  const bool isNumber =
    error == std::errc() && end == aName.data() + aName.size();
  return isNumber ? std::optional(window) : std::nullopt;
}

uint64_t
Sum(const CustomerCounts& aCounts)
{
  uint64_t sum = 0;
  for (const auto& [customer, count] : aCounts) {
    sum += count;
  }
  return sum;
}

void
LogContent(WindowId aWindow,
           const CustomerCounts& aCounts,
           bool aIsPartial,
           std::string_view aOutcome)
{
  kernel::LogEvent(kernel::LogLevel::Info,
                   "usage",
                   "content-decided",
                   { { "window", aWindow },
                     { "customers", static_cast<uint64_t>(aCounts.size()) },
                     { "starts", Sum(aCounts) },
                     { "partial", aIsPartial },
                     { "outcome", aOutcome } });
}

} // namespace

DutyHolder::DutyHolder(kernel::Context& aContext,
                       const UsageSettings& aSettings,
                       std::shared_ptr<HolderAnnouncement> aAnnouncement)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_announcement(std::move(aAnnouncement))
  , m_timer(aContext.Control(),
            [this] { HandleEvent(ReportingDue{ ExpectedHosts() }); })
  , m_competeTimer(aContext.Control(), [this] { CompeteIfCandidate(); })
{
  m_state.m_policy = m_settings.m_reporting;
}

void
DutyHolder::Start()
{
  m_startedAt = kernel::Now();
  m_competeFrom = m_startedAt + kFirstCandidateDelay;
  CompeteIfCandidate();
}

void
DutyHolder::Resign()
{
  m_isResigned = true;
  if (m_lease) {
    m_lease->Resign();
  }
}

bool
DutyHolder::IsCandidate() const
{
  const std::string& self = m_context.Self().m_host;
  const auto gossip = m_context.Get<gossip::Gossip>();
  std::vector<std::string> hosts = FindHosts(
    m_context, objectstore::kRolloutRole, [&](std::string_view aHost) {
      return gossip->IsAvailable(aHost);
    });
  hosts = core::RankHosts(hosts, kLeaseName);
  hosts.resize(std::min(hosts.size(), kCandidates));
  const bool isHolderKnown =
    m_announcement->Known().m_epoch > 0 &&
    gossip->IsRecentlyHeard(m_announcement->Known().m_host);
  const bool isDutyVacant =
    !isHolderKnown && kernel::Now() >= m_startedAt + kNoHolderTimeout;
  return isDutyVacant || std::ranges::find(hosts, self) != hosts.end();
}

void
DutyHolder::CompeteIfCandidate()
{
  if (m_isResigned) {
    return;
  }
  const bool isCandidate = IsCandidate();
  if (!m_lease && isCandidate && kernel::Now() >= m_competeFrom) {
    Compete();
  } else if (m_lease && !isCandidate &&
             std::holds_alternative<lease::Following>(
               m_lease->State().m_role)) {
    m_lease->Resign();
    m_lease.reset();
  }
  m_competeTimer.Set(kernel::Now() + kCandidateCheckInterval);
}

void
DutyHolder::Compete()
{
  m_lease = std::make_shared<lease::LeaseClient>(
    m_context,
    objectstore::ObjectKey{ "leases", std::string(kLeaseName) },
    m_settings.m_lease,
    m_context.Self().m_host,
    lease::LeaseCallbacks{
      [this](const lease::LeaseGranted& aGrant) { OnGranted(aGrant); },
      [this](std::string_view) { OnLost(); },
      [this](const lease::LeaseExtended& aExtension) {
        m_permission->ExtendTo(aExtension.m_actUntil);
      } });
  m_lease->Start();
}

void
DutyHolder::OnGranted(const lease::LeaseGranted& aGrant)
{
  m_permission = std::make_shared<lease::ActPermission>(aGrant.m_actUntil);
  kernel::LogEvent(kernel::LogLevel::Info,
                   "usage",
                   "duty-taken",
                   { { "epoch", aGrant.m_epoch } });
  m_context.Metrics().GaugeOf("usage.is_holder").Set(1);
  HandleEvent(DutyGranted{ aGrant.m_epoch, aGrant.m_predecessorActedUntil });
  m_announcement->Announce({ m_context.Self().m_host, aGrant.m_epoch });
}

void
DutyHolder::OnLost()
{
  m_permission->Revoke();
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "usage",
    "duty-lost",
    { { "epoch", m_state.m_term ? m_state.m_term->m_epoch : 0 } });
  m_context.Metrics().GaugeOf("usage.is_holder").Set(0);
  HandleEvent(DutyLost{});
}

std::vector<std::string>
DutyHolder::ExpectedHosts() const
{
  const auto gossip = m_context.Get<gossip::Gossip>();
  return FindHosts(
    m_context, objectstore::kEntryRole, [&](std::string_view aHost) {
      return gossip->IsRecentlyHeard(aHost);
    });
}

void
DutyHolder::HandleEvent(const ReportingEvent& aEvent)
{
  std::vector<ReportingEffect> effects;
  Apply(m_state, aEvent, CurrentMoment(), effects);
  for (const ReportingEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Execute(aTyped); }, effect);
  }
  const auto deadline = NextDeadline(m_state, CurrentMoment());
  // Messages of other hosts do not move the deadline.
  if (deadline && !std::holds_alternative<CountsReceived>(aEvent)) {
    m_timer.Set(*deadline);
  }
}

void
DutyHolder::Execute(const ListContents&)
{
  m_context.Get<objectstore::ObjectStore>()->List(
    std::string(kContentKind),
    CallPriority::Lease,
    [self =
       shared_from_this()](absl::StatusOr<std::vector<StoredObject>> aObjects) {
      ContentsListed listed;
      if (aObjects.ok()) {
        listed.m_contents.emplace();
        for (const StoredObject& object : *aObjects) {
          const auto window = ParseWindow(object.m_key.m_name);
          const auto counts = DecodeContent(object.m_value);
          if (window && counts.ok()) {
            (*listed.m_contents)[*window] = *counts;
          }
        }
      }
      self->HandleEvent(listed);
    });
}

void
DutyHolder::Execute(const CreateContent& aEffect)
{
  m_context.Get<objectstore::ObjectStore>()->Write(
    ContentKey(aEffect.m_window),
    0,
    EncodeContent(aEffect.m_counts),
    CallPriority::Lease,
    [self = shared_from_this(), aEffect](absl::StatusOr<uint64_t> aVersion) {
      const WindowId window = aEffect.m_window;
      if (aVersion.ok()) {
        LogContent(window, aEffect.m_counts, aEffect.m_isPartial, "stored");
        self->HandleEvent(ContentStored{ window, aEffect.m_counts });
      } else if (absl::IsAborted(aVersion.status())) {
        self->ReadContent(window);
      } else {
        // Repeated while the store is down, which has its own event.
        self->m_context.Metrics().Get("usage.content_writes_failed").Add();
        self->HandleEvent(ContentUnknown{ window });
      }
    });
}

void
DutyHolder::ReadContent(WindowId aWindow)
{
  m_context.Get<objectstore::ObjectStore>()->Read(
    ContentKey(aWindow),
    CallPriority::Lease,
    [self = shared_from_this(), aWindow](absl::StatusOr<StoredObject> aObject) {
      const auto counts = aObject.ok() && aObject->m_version != 0
                            ? DecodeContent(aObject->m_value)
                            : absl::StatusOr<CustomerCounts>(
                                absl::UnavailableError("no content"));
      if (counts.ok()) {
        LogContent(aWindow, *counts, false, "found");
        self->HandleEvent(ContentStored{ aWindow, *counts });
      } else {
        self->HandleEvent(ContentUnknown{ aWindow });
      }
    });
}

void
DutyHolder::Execute(const SendReport& aEffect)
{
  m_context.Metrics().Get("usage.reports_sent").Add();
  ReportTask task{
    aEffect, m_settings.m_endpoint, m_context.Self().m_host, m_permission
  };
  auto deliver = [](std::shared_ptr<DutyHolder> aSelf,
                    ReportTask aTask) -> asio::awaitable<void> {
    const ReportResponse response = co_await DeliverReport(
      aSelf->m_context.Get<http::Clients>()->ForLoop(kLoopIndex), aTask);
    aSelf->m_context.Control().Post(
      [aSelf, report = std::move(aTask.m_report), response] {
        aSelf->HandleResponse(report, response);
      });
  };
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 deliver(shared_from_this(), std::move(task)),
                 asio::detached);
}

void
DutyHolder::HandleResponse(const SendReport& aReport,
                           const ReportResponse& aAnswer)
{
  const WindowId window = aReport.m_window;
  const int64_t age =
    kernel::UnixMilliseconds() -
    EndOf(window, m_settings.m_reporting.m_windowMilliseconds);
  std::visit(
    core::Overloaded{ [&](const ReportTaken&) {
                       kernel::LogEvent(kernel::LogLevel::Info,
                                        "usage",
                                        "report-accepted",
                                        { { "window", window },
                                          { "epoch", aReport.m_epoch },
                                          { "age_ms", age } });
                       HandleEvent(SendAccepted{ window });
                     },
                      [&](const FenceOutdated&) {
                        kernel::LogEvent(kernel::LogLevel::Warning,
                                         "usage",
                                         "report-rejected",
                                         { { "window", window },
                                           { "epoch", aReport.m_epoch } });
                        HandleEvent(SendFenced{ window, aReport.m_epoch });
                      },
                      [&](const ReportNotTaken&) {
                        m_context.Metrics().Get("usage.reports_failed").Add();
                        HandleEvent(SendFailed{ window });
                      } },
    aAnswer);
}

void
DutyHolder::Execute(const RemoveContent& aEffect)
{
  m_context.Get<objectstore::ObjectStore>()->Remove(
    ContentKey(aEffect.m_window));
}

void
DutyHolder::Execute(const GiveUpWindow& aEffect)
{
  m_context.Metrics().Get("usage.windows_given_up").Add();
  kernel::LogEvent(kernel::LogLevel::Warning,
                   "usage",
                   "window-given-up",
                   { { "window", aEffect.m_window } });
}

void
DutyHolder::Execute(const ResignDuty&)
{
  // The next epoch is higher, also if this host acquires it.
  m_lease->Resign();
  m_competeFrom = kernel::Now() + m_settings.m_lease.m_duration;
  m_context.Control().Post([self = shared_from_this()] {
    self->m_lease.reset();
    self->CompeteIfCandidate();
  });
}

http::Response
DutyHolder::AcceptCounts(const CountMessage& aMessage)
{
  http::Response response;
  const bool isMeant =
    m_state.m_term && m_state.m_term->m_epoch == aMessage.m_epoch;
  if (!isMeant) {
    response.m_head.m_status = kMisdirected;
    response.m_body = EncodeHolder(m_announcement->Known());
    return response;
  }
  HandleEvent(CountsReceived{ aMessage });
  response.m_body = EncodeReceipt({ DecidedThrough(m_state) });
  return response;
}

std::optional<core::Endpoint>
DutyHolder::FindHolderOf(const CountMessage& aMessage) const
{
  const Holder& holder = m_announcement->Known();
  if (holder.m_epoch != aMessage.m_epoch ||
      holder.m_host == m_context.Self().m_host) {
    return std::nullopt;
  }
  return FindEndpoint(m_context, holder.m_host);
}

asio::awaitable<http::Response>
DutyHolder::Forward(http::Exchange& aExchange, core::Endpoint aHolder)
{
  http::Request request;
  request.m_method = "POST";
  request.m_target = kCountsPath;
  request.m_headers.push_back({ std::string(kForwardedHeader), "1" });
  request.m_body = aExchange.ReceivedRequest().m_body;
  m_context.Metrics().Get("usage.messages_forwarded").Add();
  const absl::StatusOr<http::Response> response =
    co_await m_context.Get<http::Clients>()
      ->ForLoop(aExchange.LoopIndex())
      .Call(std::move(aHolder),
            std::move(request),
            http::Reuse::Allowed,
            kernel::Now() + kForwardTimeout);
  if (!response.ok()) {
    co_return http::MakeFailureResponse(http::FailureOf(response.status()));
  }
  http::Response copy;
  copy.m_head.m_status = response->m_head.m_status;
  copy.m_body = response->m_body;
  co_return copy;
}

asio::awaitable<void>
DutyHolder::ServeCounts(http::Exchange& aExchange)
{
  const absl::StatusOr<CountMessage> message =
    DecodeCounts(aExchange.ReceivedRequest().m_body);
  if (!message.ok()) {
    m_context.Metrics().Get("usage.invalid_messages").Add();
    http::Response rejected =
      http::MakeFailureResponse(http::FailureOf(message.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(rejected));
    co_return;
  }
  m_context.Metrics().Get("usage.messages_received").Add();
  m_context.Metrics()
    .Get("usage.received_bytes")
    .Add(aExchange.ReceivedRequest().m_body.Size());
  using Outcome = std::variant<http::Response, core::Endpoint>;
  const bool isForwarded =
    !http::FindHeader(aExchange.ReceivedRequest().m_headers, kForwardedHeader)
       .empty();
  Outcome outcome = co_await asio::co_spawn(
    m_context.Control().EventLoop(),
    [](std::shared_ptr<DutyHolder> aSelf,
       CountMessage aMessage,
       bool aIsForwarded) -> asio::awaitable<Outcome> {
      const auto holder =
        aIsForwarded ? std::nullopt : aSelf->FindHolderOf(aMessage);
      if (holder) {
        co_return *holder;
      }
      co_return aSelf->AcceptCounts(aMessage);
    }(shared_from_this(), *message, isForwarded),
    asio::use_awaitable);
  if (const auto* holder = std::get_if<core::Endpoint>(&outcome)) {
    const core::Endpoint endpoint = *holder;
    outcome = co_await Forward(aExchange, endpoint);
  }
  http::Response response = std::get<http::Response>(std::move(outcome));
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

boost::json::value
DutyHolder::Dump() const
{
  boost::json::object dump{ { "competes", m_lease != nullptr },
                            { "holds", m_state.m_term.has_value() } };
  if (!m_state.m_term) {
    return dump;
  }
  size_t accepted = 0;
  size_t pending = 0;
  for (const auto& [id, window] : m_state.m_term->m_windows) {
    accepted += std::holds_alternative<ReportAccepted>(window.m_phase) ? 1 : 0;
    pending += std::holds_alternative<ReportAccepted>(window.m_phase) ||
                   std::holds_alternative<GivenUp>(window.m_phase)
                 ? 0
                 : 1;
  }
  dump["epoch"] = m_state.m_term->m_epoch;
  dump["decided_through"] = DecidedThrough(m_state);
  dump["accepted"] = accepted;
  dump["pending"] = pending;
  dump["hosts"] = m_state.m_collection.m_runs.size();
  return dump;
}

} // namespace heatherdeal::usage
