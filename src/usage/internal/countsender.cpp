#include "usage/internal/countsender.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "gossip/gossip.h"
#include "http/client.h"
#include "objectstore/hosts.h"
#include "usage/internal/countscodec.h"
#include "usage/internal/hostlookup.h"

namespace heatherdeal::usage {

namespace {

namespace asio = boost::asio;

constexpr size_t kLoopIndex = 0;
constexpr uint32_t kOk = 200;
constexpr uint32_t kMisdirected = 421;
constexpr core::Duration kSendTimeout = std::chrono::milliseconds(1500);
// Requests that began in a window are counted when their answer arrives. Nearly
// all take less than this; a later one still counts until the content is fixed.
constexpr int64_t kFinalDelayMilliseconds = 3000;
// Counts are retained for longer than a content may be decided.
constexpr int64_t kRetentionMilliseconds = 75'000;
constexpr int64_t kIntervalMilliseconds = 1000;
constexpr int64_t kDrainIntervalMilliseconds = 250;
// The holder gets at most this many messages a second. With more hosts each of
// them sends less often; what one of many loses when it dies is less, too.
constexpr int64_t kMessagesPerSecond = 150;
constexpr int64_t kMaxIntervalMilliseconds = 3000;

// How long messages go by way of another host before the holder is tried again.
constexpr core::Duration kDetourTime = std::chrono::seconds(10);

} // namespace

CountSender::SendResult
CountSender::DecodeResult(const absl::StatusOr<http::Response>& aResponse)
{
  SendResult result;
  if (!aResponse.ok()) {
    result.m_isUnreachable = true;
    return result;
  }
  if (aResponse->m_head.m_status == kOk) {
    const auto receipt = DecodeReceipt(aResponse->m_body);
    if (receipt.ok()) {
      result.m_receipt = *receipt;
    }
  } else if (aResponse->m_head.m_status == kMisdirected) {
    const auto holder = DecodeHolder(aResponse->m_body);
    if (holder.ok()) {
      result.m_newerHolder = *holder;
    }
  } else {
    result.m_isUnreachable = true;
  }
  return result;
}

CountSender::CountSender(kernel::Context& aContext,
                         const UsageSettings& aSettings,
                         std::shared_ptr<UsageCounter> aCounter,
                         std::shared_ptr<HolderAnnouncement> aAnnouncement)
  : m_context(aContext)
  , m_policy(aSettings.m_reporting)
  , m_counter(std::move(aCounter))
  , m_announcement(std::move(aAnnouncement))
  , m_run(static_cast<uint64_t>(kernel::UnixMilliseconds()))
  , m_phaseMilliseconds(static_cast<int64_t>(
      std::hash<std::string>()(aContext.Self().m_host) % kIntervalMilliseconds))
  , m_timer(aContext.Control(), [this] { Tick(); })
{
}

void
CountSender::Start()
{
  m_announcement->Subscribe([weak = weak_from_this()](const Holder& aHolder) {
    if (const auto self = weak.lock()) {
      SetHolder(self->m_state, aHolder);
      self->m_detour.clear();
      self->SendIfDue();
    }
  });
  ScheduleTick();
}

void
CountSender::Drain()
{
  m_isDraining = true;
  Tick();
}

int64_t
CountSender::SendIntervalMilliseconds() const
{
  if (m_isDraining) {
    return kDrainIntervalMilliseconds;
  }
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  const int64_t senders = std::ranges::count(
    *hosts, objectstore::kEntryRole, &objectstore::HostEntry::m_service);
  return std::clamp(senders * 1000 / kMessagesPerSecond,
                    kIntervalMilliseconds,
                    kMaxIntervalMilliseconds);
}

void
CountSender::ScheduleTick()
{
  const int64_t interval = SendIntervalMilliseconds();
  const int64_t sinceLast =
    (kernel::UnixMilliseconds() - m_phaseMilliseconds) % interval;
  m_timer.Set(kernel::Now() + std::chrono::milliseconds(
                                interval - std::max<int64_t>(sinceLast, 0)));
}

void
CountSender::Tick()
{
  SendIfDue();
  ScheduleTick();
}

void
CountSender::ChooseDetour()
{
  const auto gossip = m_context.Get<gossip::Gossip>();
  const std::vector<std::string> candidates = FindHosts(
    m_context, objectstore::kRolloutRole, [&](std::string_view aHost) {
      return aHost != m_state.m_holder.m_host && aHost != m_detour &&
             gossip->IsAvailable(aHost);
    });
  m_detour.clear();
  if (!candidates.empty()) {
    // Differs between hosts, so that one host does not pass on all counts.
    const size_t index =
      static_cast<size_t>(m_phaseMilliseconds) + m_detourCount++;
    m_detour = candidates[index % candidates.size()];
    m_detourUntil = kernel::Now() + kDetourTime;
  }
}

std::optional<core::Endpoint>
CountSender::FindTarget() const
{
  return FindEndpoint(m_context,
                      m_detour.empty() ? m_state.m_holder.m_host : m_detour);
}

void
CountSender::SendIfDue()
{
  const int64_t now = kernel::UnixMilliseconds();
  const int64_t window = m_policy.m_windowMilliseconds;
  const WindowCounts counts = m_counter->Retain(
    WindowAt(now - kRetentionMilliseconds, window), WindowAt(now, window) + 1);
  kernel::Counters& metrics = m_context.Metrics();
  metrics.GaugeOf("usage.windows")
    .Set(static_cast<int64_t>(counts.m_windows.size()));
  metrics.GaugeOf("usage.uncounted_starts")
    .Set(static_cast<int64_t>(counts.m_uncountedStarts));
  if (kernel::Now() >= m_detourUntil) {
    m_detour.clear();
  }
  const auto endpoint = FindTarget();
  if (!endpoint) {
    return;
  }
  const WindowId open = WindowAt(now - kFinalDelayMilliseconds, window);
  if (open == 0) {
    return;
  }
  auto message = PrepareMessage(m_state, counts, open - 1);
  if (message) {
    message->m_message.m_host = m_context.Self().m_host;
    message->m_message.m_run = m_run;
    Send(*endpoint, *std::move(message));
  }
}

void
CountSender::Send(const core::Endpoint& aHolder, PreparedMessage aMessage)
{
  http::Request request;
  request.m_method = "POST";
  request.m_target = kCountsPath;
  request.m_body = EncodeCounts(aMessage.m_message);
  m_context.Metrics().Get("usage.messages").Add();
  m_context.Metrics().Get("usage.message_bytes").Add(request.m_body.Size());
  auto send = [](std::shared_ptr<CountSender> aSelf,
                 core::Endpoint aPeer,
                 http::Request aRequest,
                 PreparedMessage aSent) -> asio::awaitable<void> {
    const absl::StatusOr<http::Response> response =
      co_await aSelf->m_context.Get<http::Clients>()
        ->ForLoop(kLoopIndex)
        .Call(std::move(aPeer),
              std::move(aRequest),
              http::Reuse::Allowed,
              kernel::Now() + kSendTimeout);
    aSelf->m_context.Control().Post(
      [aSelf, sent = std::move(aSent), result = DecodeResult(response)] {
        aSelf->HandleResult(sent, result);
      });
  };
  asio::co_spawn(
    m_context.Traffic().Loop(kLoopIndex),
    send(shared_from_this(), aHolder, std::move(request), std::move(aMessage)),
    asio::detached);
}

void
CountSender::HandleResult(const PreparedMessage& aMessage,
                          const SendResult& aResult)
{
  if (!aResult.m_receipt) {
    m_context.Metrics().Get("usage.messages_failed").Add();
  }
  RecordReceipt(m_state, aMessage, aResult.m_receipt);
  if (aResult.m_newerHolder) {
    m_announcement->Announce(*aResult.m_newerHolder);
  }
  const bool isCurrent = aMessage.m_message.m_epoch == m_state.m_holder.m_epoch;
  if (aResult.m_isUnreachable && isCurrent) {
    const bool wasDirect = m_detour.empty();
    ChooseDetour();
    // Otherwise the next message waits for its time, so that nothing loops.
    if (wasDirect && !m_detour.empty()) {
      SendIfDue();
    }
  }
}

} // namespace heatherdeal::usage
