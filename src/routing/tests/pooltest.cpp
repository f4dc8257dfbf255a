#include "routing/pool.h"

#include <cstdio>

#include "catch2/catch.hpp"

#include "kernel/controlthread.h"

namespace heatherdeal::routing {

TEST_CASE("a restart of an upstream is another run")
{
  Upstream upstream;
  upstream.m_id.m_value = "u";
  upstream.m_stats = std::make_shared<UpstreamStats>();
  const core::UpstreamRun first = RunOf(upstream);
  CHECK(RunOf(upstream) == first);
  upstream.m_stats->m_incarnation = 2;
  CHECK(RunOf(upstream) != first);
}

namespace {

objectstore::HostEntry
MakeHost(std::string_view aName)
{
  objectstore::HostEntry host;
  host.m_name = aName;
  host.m_service = "desk";
  host.m_failureDomain.m_value = "d0";
  host.m_slots = 6;
  return host;
}

configuration::Document
MakeDocument(configuration::UpstreamKind aKind)
{
  configuration::Service service;
  service.m_name.m_value = "desk";
  service.m_kind = std::move(aKind);
  configuration::Document document;
  document.m_services = { service };
  return document;
}

} // namespace

// Guards against a change of deployments that did not ask for it.
TEST_CASE("expected work replaces only the default policy of plain services")
{
  const RouterSettings preferring{ .m_prefersExpectedWork = true };
  configuration::Service service;
  service.m_routing = configuration::TwoChoices{ 30 };
  CHECK(std::holds_alternative<configuration::TwoChoices>(
    EffectivePolicy(service, {})));
  const auto policy = EffectivePolicy(service, preferring);
  CHECK(std::get<configuration::LeastExpectedWork>(policy)
          .m_domainPreferencePercent == 30);
  service.m_kind = configuration::ModelEngines{};
  CHECK(std::holds_alternative<configuration::TwoChoices>(
    EffectivePolicy(service, preferring)));
  service.m_kind = configuration::PlainServers{};
  service.m_routing = configuration::RoundRobin{};
  CHECK(std::holds_alternative<configuration::RoundRobin>(
    EffectivePolicy(service, preferring)));
}

// Guards against expected work that is left behind when a request ends, and
// against the loss of what was learned when the host list changes.
TEST_CASE("a reservation holds its expected work and reports what it took")
{
  kernel::Counters counters;
  Router router("d0", counters, { .m_prefersExpectedWork = true });
  router.SetDocument(MakeDocument(configuration::PlainServers{}));
  const objectstore::HostEntry hosts[] = { MakeHost("u") };
  router.SetHosts(hosts);
  const WorkClass workClass{ "route", 100, 0 };
  const core::Instant start = kernel::Now();
  for (int i = 0; i < 100; ++i) {
    const auto reservation =
      router.ReserveUpstream(router.FindPool("desk"), workClass, {}, start);
    reservation->ReportLoad({ 1, 0, 6, 2.0 }, start);
    reservation->ReportCompletion(start, start + std::chrono::milliseconds(80));
  }
  router.SetHosts(hosts);
  const auto pool = router.FindPool("desk");
  const UpstreamStats& stats = *pool->m_upstreams.front().m_stats;
  CHECK(stats.m_outstandingWork.load() == 0);
  CHECK(stats.m_reportedSlots.load() == 6);
  {
    const auto first = router.ReserveUpstream(pool, workClass, {}, start);
    const auto second = router.ReserveUpstream(pool, workClass, {}, start);
    CHECK(stats.m_outstanding.load() == 2);
    CHECK(stats.m_outstandingWork.load() == Approx(80'000).epsilon(0.05));
  }
  CHECK(stats.m_outstanding.load() == 0);
  CHECK(stats.m_outstandingWork.load() == 0);
  CHECK(counters.Get("routing.desk_work_samples").m_value.load() == 99);
}

TEST_CASE("body sizes of the same magnitude share a work class")
{
  const WorkKey key = KeyOf({ "route", 300, 0 });
  CHECK(KeyOf({ "route", 500, 0 }) == key);
  CHECK(KeyOf({ "route", 3000, 0 }) != key);
  CHECK(KeyOf({ "route", 300, 1 }) != key);
  CHECK(KeyOf({ "other", 300, 0 }) != key);
}

// Prints the time of one reservation by policy for
// docs/design/expected-work.md.
TEST_CASE("cost of a reservation", "[.cost]")
{
  constexpr int kReservations = 500'000;
  for (const bool isByWork : { false, true }) {
    kernel::Counters counters;
    Router router("d0", counters, { .m_prefersExpectedWork = isByWork });
    router.SetDocument(MakeDocument(configuration::PlainServers{}));
    std::vector<objectstore::HostEntry> hosts;
    for (int i = 0; i < 18; ++i) {
      hosts.push_back(MakeHost("u" + std::to_string(i)));
    }
    router.SetHosts(hosts);
    const auto pool = router.FindPool("desk");
    const core::Instant start = kernel::Now();
    for (int i = 0; i < kReservations; ++i) {
      const auto reservation = router.ReserveUpstream(
        pool, { "route", 100, 0 }, {}, start + core::Duration(i));
      reservation->ReportLoad({ 1, 0, 6, 1.0 }, start + core::Duration(i));
      reservation->ReportCompletion(start, start + core::Duration(25'000));
    }
    const auto elapsed = kernel::Now() - start;
    std::printf("%s: %.0f ns\n",
                isByWork ? "expected work" : "two choices",
                1000.0 * static_cast<double>(elapsed.count()) / kReservations);
  }
}

} // namespace heatherdeal::routing
