#pragma once

#include <span>

namespace heatherdeal::bench {

struct Point
{
  double m_size = 0.0;
  double m_value = 0.0;
};

/// Value = m_base + m_slope * size, by least squares.
struct Line
{
  double m_base = 0.0;
  double m_slope = 0.0;
  /// Greatest distance of a point from the line, as a share of its value.
  double m_worstError = 0.0;
};

Line
Fit(std::span<const Point> aPoints);

} // namespace heatherdeal::bench
