#pragma once

#include <span>

namespace heatherdeal::bench {

/// Holds the value measured at one size.
struct Point
{
  double m_size = 0.0;
  double m_value = 0.0;
};

/// Holds the parameters of the line value = m_intercept + m_slope * size.
struct Line
{
  double m_intercept = 0.0;
  double m_slope = 0.0;
  /// The greatest distance of a point from the line, relative to the point's
  /// value.
  double m_maxRelativeError = 0.0;
};

/// Fits a line through the points by least squares.
Line
FitLine(std::span<const Point> aPoints);

} // namespace heatherdeal::bench
