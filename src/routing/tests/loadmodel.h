#pragma once

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/document.h"

namespace heatherdeal::routing {

/// Chooses the upstream to which this host has the fewest requests in flight.
struct LeastOutstanding
{};

using ModelPolicy = std::variant<LeastOutstanding,
                                 configuration::TwoChoices,
                                 configuration::LeastExpectedWork>;

/// What the fourth figure of a load report contains.
enum class ReportedFigure : uint8_t
{
  None,
  /// The slow phases of a machine only.
  Phases,
  /// The slow phases and the speed of the machine.
  PhasesAndSpeed
};

/// A service with many choosing hosts, some upstreams, and two kinds of calls.
struct ModelSettings
{
  size_t m_hosts = 60;
  size_t m_upstreams = 18;
  uint32_t m_slots = 6;
  size_t m_failureDomains = 3;
  double m_minSpeed = 0.55;
  double m_maxSpeed = 1.2;
  /// A machine is slow for 600 ms, this often per second on average.
  double m_phasesPerSecond = 1.0 / 3.0;
  double m_phaseFactor = 2.5;
  ReportedFigure m_figure = ReportedFigure::PhasesAndSpeed;
  /// Work that arrives, as a share of what the upstreams can do.
  double m_utilization = 0.6;
  /// Share of that work that long calls cause.
  double m_longShare = 0.5;
  /// True if some hosts send only short calls and the others only long ones.
  bool m_hasSeparateHosts = false;
  double m_tailShare = 0.01;
  double m_seconds = 30.0;
  double m_warmUpSeconds = 5.0;
  uint64_t m_seed = 1;
};

/// Times of the calls of one kind in milliseconds.
struct KindResult
{
  double m_p50 = 0.0;
  double m_p95 = 0.0;
  double m_p99 = 0.0;
  double m_shareLate = 0.0;
  size_t m_calls = 0;
};

struct ModelResult
{
  KindResult m_short;
  KindResult m_long;
  double m_shareLate = 0.0;
};

/// Runs the model on virtual time. The same settings give the same result.
ModelResult
RunLoadModel(const ModelSettings& aSettings, const ModelPolicy& aPolicy);

} // namespace heatherdeal::routing
