#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::routing {

/// How long work takes on an upstream, relative to the usual, as known from its
/// reports and from requests.
struct WorkTimeState
{
  /// The last reported figure; 0 if the upstream reports none.
  double m_reported = 0.0;
  core::Instant m_reportedAt{};
  /// Decaying mean of the reported figures.
  double m_meanReported = 1.0;
  /// Decaying mean of the time that requests took, divided by the time that was
  /// expected by the reported figure.
  double m_unreported = 1.0;
  uint32_t m_samples = 0;
};

/// Records a figure that the upstream reported.
void
RecordReport(WorkTimeState& aState, double aReported, core::Instant aNow);

/// Records how long a request took, relative to what was expected of an
/// upstream whose work takes as long as this one reports.
void
RecordRatio(WorkTimeState& aState, double aRatio);

/// Returns how long work takes now by the reports alone. The last report fades
/// towards the mean of the reports. 1 if the upstream reports no figure.
double
ExpectReportedWorkTime(const WorkTimeState& aState, core::Instant aNow);

/// Returns how long work takes now, by the reports and by what requests took.
double
ExpectWorkTime(const WorkTimeState& aState, core::Instant aNow);

} // namespace heatherdeal::routing
