#include "routing/tests/loadmodel.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <queue>
#include <random>

#include "core/overloaded.h"
#include "routing/choice.h"

namespace heatherdeal::routing {

namespace {

// All times are in microseconds of virtual time.
constexpr double kSecond = 1e6;
constexpr double kMillisecond = 1e3;
constexpr double kOneWayDelay = 2.0 * kMillisecond;
constexpr double kPhaseLength = 600.0 * kMillisecond;
constexpr double kTailFactor = 5.0;
constexpr double kMaxWork = 1500.0 * kMillisecond;
// Late calls: the objectives of the two kinds.
constexpr double kShortObjective = 150.0 * kMillisecond;
constexpr double kLongObjective = 800.0 * kMillisecond;
constexpr double kShortMean = 25.0 * kMillisecond;
constexpr double kLongMean = 200.0 * kMillisecond;
constexpr WorkKey kShortKey{ 1 };
constexpr WorkKey kLongKey{ 2 };

core::Instant
ToInstant(double aMicroseconds)
{
  // The first reports must not seem to be of the time before the model began.
  return core::Instant(std::chrono::seconds(100) +
                       core::Duration(static_cast<int64_t>(aMicroseconds)));
}

struct Call
{
  bool m_isLong = false;
  size_t m_host = 0;
  size_t m_upstream = 0;
  double m_sentAt = 0.0;
  double m_remaining = 0.0;
  double m_expected = 0.0;
  double m_workTimeAtSend = 1.0;
  bool m_hadWaiting = false;
};

/// What a host knows of an upstream.
struct HostView
{
  uint32_t m_outstanding = 0;
  double m_outstandingWork = 0.0;
  uint32_t m_reportedLoad = 0;
  uint32_t m_reportedWaiting = 0;
  uint32_t m_reportedSlots = 0;
  core::Instant m_reportedAt{};
  WorkTimeState m_workTime;
};

struct Host
{
  core::FailureDomainId m_failureDomain;
  std::vector<HostView> m_views;
  WorkEstimates m_estimates;
  uint64_t m_sequence = 0;
};

struct ModelUpstream
{
  core::FailureDomainId m_failureDomain;
  double m_speed = 1.0;
  bool m_isSlow = false;
  std::vector<size_t> m_running;
  std::deque<size_t> m_waiting;
  double m_updatedAt = 0.0;
  /// Increases with every change, so that older completions are ignored.
  uint64_t m_version = 0;
};

struct Arrival
{
  bool m_isLong = false;
};

struct Receipt
{
  size_t m_call = 0;
};

struct Completion
{
  size_t m_upstream = 0;
  uint64_t m_version = 0;
};

struct PhaseChange
{
  size_t m_upstream = 0;
};

/// The answer of a call with the load at its end.
struct Answer
{
  size_t m_call = 0;
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  double m_workTime = 0.0;
};

using ModelEvent =
  std::variant<Arrival, Receipt, Completion, PhaseChange, Answer>;

struct ScheduledEvent
{
  double m_at = 0.0;
  uint64_t m_number = 0;
  ModelEvent m_event;

  bool operator>(const ScheduledEvent& aOther) const
  {
    return std::tie(m_at, m_number) > std::tie(aOther.m_at, aOther.m_number);
  }
};

KindResult
Summarize(std::vector<double> aTimes, double aObjective)
{
  KindResult result;
  result.m_calls = aTimes.size();
  if (aTimes.empty()) {
    return result;
  }
  std::ranges::sort(aTimes);
  const auto quantile = [&aTimes](double aShare) {
    const double index = aShare * static_cast<double>(aTimes.size() - 1);
    return aTimes[static_cast<size_t>(index)] / kMillisecond;
  };
  const auto late = aTimes.end() - std::ranges::upper_bound(aTimes, aObjective);
  result.m_p50 = quantile(0.5);
  result.m_p95 = quantile(0.95);
  result.m_p99 = quantile(0.99);
  result.m_shareLate =
    static_cast<double>(late) / static_cast<double>(aTimes.size());
  return result;
}

class LoadModel
{
public:
  LoadModel(const ModelSettings& aSettings, const ModelPolicy& aPolicy)
    : m_settings(aSettings)
    , m_policy(aPolicy)
    , m_random(aSettings.m_seed)
  {
    MakeUpstreams();
    MakeHosts();
  }

  ModelResult Run()
  {
    ScheduleArrival(false);
    ScheduleArrival(true);
    while (!m_events.empty() &&
           m_events.top().m_at < m_settings.m_seconds * kSecond) {
      const ScheduledEvent next = m_events.top();
      m_events.pop();
      m_now = next.m_at;
      std::visit([this](const auto& aEvent) { Handle(aEvent); }, next.m_event);
    }
    ModelResult result{ Summarize(m_shortTimes, kShortObjective),
                        Summarize(m_longTimes, kLongObjective) };
    const auto shortCalls = static_cast<double>(result.m_short.m_calls);
    const auto longCalls = static_cast<double>(result.m_long.m_calls);
    result.m_shareLate = (result.m_short.m_shareLate * shortCalls +
                          result.m_long.m_shareLate * longCalls) /
                         (shortCalls + longCalls);
    return result;
  }

private:
  void MakeUpstreams()
  {
    m_upstreams.resize(m_settings.m_upstreams);
    for (size_t i = 0; i < m_upstreams.size(); ++i) {
      const double share =
        static_cast<double>(i) / static_cast<double>(m_upstreams.size() - 1);
      m_upstreams[i].m_speed =
        m_settings.m_minSpeed +
        share * (m_settings.m_maxSpeed - m_settings.m_minSpeed);
      // Neighbours in the list have different domains, so that each domain has
      // fast and slow upstreams.
      m_upstreams[i].m_failureDomain.m_value =
        std::to_string(i % m_settings.m_failureDomains);
      SchedulePhaseChange(i);
    }
  }

  void MakeHosts()
  {
    m_hosts.resize(m_settings.m_hosts);
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      m_hosts[i].m_failureDomain.m_value =
        std::to_string(i % m_settings.m_failureDomains);
      m_hosts[i].m_views.resize(m_upstreams.size());
      m_hosts[i].m_sequence = m_random() % m_upstreams.size();
    }
  }

  void Schedule(double aAt, ModelEvent aEvent)
  {
    m_events.push({ aAt, m_nextNumber++, aEvent });
  }

  double DrawExponential(double aMean)
  {
    return std::exponential_distribution<double>(1.0 / aMean)(m_random);
  }

  void ScheduleArrival(bool aIsLong)
  {
    const double phaseShare =
      m_settings.m_phasesPerSecond * kPhaseLength / kSecond;
    const double slowShare = phaseShare / (1.0 + phaseShare);
    const double rate = 1.0 - slowShare + slowShare / m_settings.m_phaseFactor;
    const double capacity =
      std::accumulate(m_upstreams.begin(),
                      m_upstreams.end(),
                      0.0,
                      [](double aSum, const ModelUpstream& aUpstream) {
                        return aSum + aUpstream.m_speed;
                      }) *
      m_settings.m_slots * rate;
    const double share =
      aIsLong ? m_settings.m_longShare : 1.0 - m_settings.m_longShare;
    if (share <= 0.0) {
      return;
    }
    const double interval = (aIsLong ? kLongMean : kShortMean) /
                            (capacity * m_settings.m_utilization * share);
    Schedule(m_now + DrawExponential(interval), Arrival{ aIsLong });
  }

  void SchedulePhaseChange(size_t aUpstream)
  {
    if (m_settings.m_phasesPerSecond <= 0.0) {
      return;
    }
    const double wait =
      m_upstreams[aUpstream].m_isSlow
        ? kPhaseLength
        : DrawExponential(kSecond / m_settings.m_phasesPerSecond);
    Schedule(m_now + wait, PhaseChange{ aUpstream });
  }

  /// Draws the work of a call: evenly between half and one and a half times the
  /// usual, and five times as much for the tail. Its mean is that of the kind.
  double DrawWork(bool aIsLong)
  {
    const double mean = aIsLong ? kLongMean : kShortMean;
    const double usual =
      mean / (1.0 + m_settings.m_tailShare * (kTailFactor - 1.0));
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const double factor = 0.5 + unit(m_random);
    const bool isTail = unit(m_random) < m_settings.m_tailShare;
    return std::min(kMaxWork, usual * factor * (isTail ? kTailFactor : 1.0));
  }

  size_t DrawHost(bool aIsLong)
  {
    const size_t count = m_hosts.size();
    if (!m_settings.m_hasSeparateHosts) {
      return m_random() % count;
    }
    // As many hosts send long calls as there are rollout hosts.
    const size_t longHosts = count / 5;
    return aIsLong ? m_random() % longHosts
                   : longHosts + m_random() % (count - longHosts);
  }

  std::vector<UpstreamFacts> ReadFacts(const Host& aHost) const
  {
    std::vector<UpstreamFacts> facts(m_upstreams.size());
    for (size_t i = 0; i < facts.size(); ++i) {
      const HostView& view = aHost.m_views[i];
      facts[i].m_failureDomain = m_upstreams[i].m_failureDomain;
      facts[i].m_slots = m_settings.m_slots;
      facts[i].m_outstanding = view.m_outstanding;
      facts[i].m_outstandingWork = view.m_outstandingWork;
      facts[i].m_reportedLoad = view.m_reportedLoad;
      facts[i].m_reportedSlots = view.m_reportedSlots;
      facts[i].m_reportedAt = view.m_reportedAt;
      facts[i].m_workTime = view.m_workTime;
    }
    return facts;
  }

  size_t Choose(Host& aHost, const ExpectedWork& aWork)
  {
    const std::vector<UpstreamFacts> facts = ReadFacts(aHost);
    const ChoiceRequest request{
      aHost.m_failureDomain, {}, aHost.m_sequence++, ToInstant(m_now), aWork
    };
    const auto choose = [&](const configuration::RoutingPolicy& aPolicy) {
      return *ChooseUpstream(
        SourceOf(std::span<const UpstreamFacts>(facts)), aPolicy, request);
    };
    return std::visit(
      core::Overloaded{
        [&](const LeastOutstanding&) {
          size_t best = request.m_sequence % facts.size();
          for (size_t i = 1; i < facts.size(); ++i) {
            const size_t index = (request.m_sequence + i) % facts.size();
            if (facts[index].m_outstanding < facts[best].m_outstanding) {
              best = index;
            }
          }
          return best;
        },
        [&](const auto& aPolicy) { return choose(aPolicy); } },
      m_policy);
  }

  void Handle(const Arrival& aArrival)
  {
    ScheduleArrival(aArrival.m_isLong);
    Call call;
    call.m_isLong = aArrival.m_isLong;
    call.m_host = DrawHost(call.m_isLong);
    call.m_sentAt = m_now;
    call.m_remaining = DrawWork(call.m_isLong);
    Host& host = m_hosts[call.m_host];
    const ExpectedWork work =
      Estimate(host.m_estimates, call.m_isLong ? kLongKey : kShortKey);
    call.m_upstream = Choose(host, work);
    call.m_expected = work.m_request;
    HostView& view = host.m_views[call.m_upstream];
    call.m_hadWaiting = view.m_reportedWaiting > 0;
    call.m_workTimeAtSend =
      ExpectReportedWorkTime(view.m_workTime, ToInstant(m_now));
    view.m_outstanding += 1;
    view.m_outstandingWork += call.m_expected;
    m_calls.push_back(call);
    Schedule(m_now + kOneWayDelay, Receipt{ m_calls.size() - 1 });
  }

  double RateOf(const ModelUpstream& aUpstream) const
  {
    return aUpstream.m_speed /
           (aUpstream.m_isSlow ? m_settings.m_phaseFactor : 1.0);
  }

  void Advance(ModelUpstream& aUpstream)
  {
    const double work = (m_now - aUpstream.m_updatedAt) * RateOf(aUpstream);
    for (const size_t call : aUpstream.m_running) {
      m_calls[call].m_remaining -= work;
    }
    aUpstream.m_updatedAt = m_now;
  }

  /// Starts calls on free slots and schedules the next completion.
  void Proceed(size_t aUpstream)
  {
    ModelUpstream& upstream = m_upstreams[aUpstream];
    while (!upstream.m_waiting.empty() &&
           upstream.m_running.size() < m_settings.m_slots) {
      upstream.m_running.push_back(upstream.m_waiting.front());
      upstream.m_waiting.pop_front();
    }
    upstream.m_version += 1;
    if (upstream.m_running.empty()) {
      return;
    }
    const size_t next = *FindNextToComplete(upstream);
    const double wait =
      std::max(0.0, m_calls[next].m_remaining) / RateOf(upstream);
    Schedule(m_now + wait, Completion{ aUpstream, upstream.m_version });
  }

  std::vector<size_t>::iterator FindNextToComplete(ModelUpstream& aUpstream)
  {
    return std::ranges::min_element(
      aUpstream.m_running, {}, [this](size_t aCall) {
        return m_calls[aCall].m_remaining;
      });
  }

  void Handle(const Receipt& aReceipt)
  {
    const size_t index = m_calls[aReceipt.m_call].m_upstream;
    Advance(m_upstreams[index]);
    m_upstreams[index].m_waiting.push_back(aReceipt.m_call);
    Proceed(index);
  }

  double ReportedWorkTime(const ModelUpstream& aUpstream) const
  {
    switch (m_settings.m_figure) {
      case ReportedFigure::None:
        return 0.0;
      case ReportedFigure::Phases:
        return aUpstream.m_isSlow ? m_settings.m_phaseFactor : 1.0;
      case ReportedFigure::PhasesAndSpeed:
        return 1.0 / RateOf(aUpstream);
    }
    return 0.0;
  }

  void Handle(const Completion& aCompletion)
  {
    ModelUpstream& upstream = m_upstreams[aCompletion.m_upstream];
    if (upstream.m_version != aCompletion.m_version) {
      return;
    }
    Advance(upstream);
    const auto completed = FindNextToComplete(upstream);
    const size_t call = *completed;
    upstream.m_running.erase(completed);
    Proceed(aCompletion.m_upstream);
    Schedule(m_now + kOneWayDelay,
             Answer{ call,
                     static_cast<uint32_t>(upstream.m_running.size()),
                     static_cast<uint32_t>(upstream.m_waiting.size()),
                     ReportedWorkTime(upstream) });
  }

  void Handle(const PhaseChange& aChange)
  {
    ModelUpstream& upstream = m_upstreams[aChange.m_upstream];
    Advance(upstream);
    upstream.m_isSlow = !upstream.m_isSlow;
    Proceed(aChange.m_upstream);
    SchedulePhaseChange(aChange.m_upstream);
  }

  void Handle(const Answer& aAnswer)
  {
    const Call& call = m_calls[aAnswer.m_call];
    Host& host = m_hosts[call.m_host];
    HostView& view = host.m_views[call.m_upstream];
    const core::Instant now = ToInstant(m_now);
    view.m_outstanding -= 1;
    view.m_outstandingWork -= call.m_expected;
    view.m_reportedLoad = aAnswer.m_running + aAnswer.m_waiting;
    view.m_reportedWaiting = aAnswer.m_waiting;
    view.m_reportedSlots = m_settings.m_slots;
    view.m_reportedAt = now;
    if (aAnswer.m_workTime > 0.0) {
      RecordReport(view.m_workTime, aAnswer.m_workTime, now);
    }
    const double workTime =
      (call.m_workTimeAtSend + ExpectReportedWorkTime(view.m_workTime, now)) /
      2.0;
    const WorkSample sample{ call.m_isLong ? kLongKey : kShortKey,
                             now - ToInstant(call.m_sentAt),
                             workTime,
                             call.m_hadWaiting || aAnswer.m_waiting > 0 };
    if (const auto ratio = AddSample(host.m_estimates, sample, now)) {
      RecordRatio(view.m_workTime, *ratio);
    }
    if (call.m_sentAt >= m_settings.m_warmUpSeconds * kSecond) {
      (call.m_isLong ? m_longTimes : m_shortTimes)
        .push_back(m_now - call.m_sentAt);
    }
  }

  ModelSettings m_settings;
  ModelPolicy m_policy;
  std::mt19937_64 m_random;
  double m_now = 0.0;
  uint64_t m_nextNumber = 0;
  std::
    priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>>
      m_events;
  std::vector<ModelUpstream> m_upstreams;
  std::vector<Host> m_hosts;
  std::vector<Call> m_calls;
  std::vector<double> m_shortTimes;
  std::vector<double> m_longTimes;
};

} // namespace

ModelResult
RunLoadModel(const ModelSettings& aSettings, const ModelPolicy& aPolicy)
{
  return LoadModel(aSettings, aPolicy).Run();
}

} // namespace heatherdeal::routing
