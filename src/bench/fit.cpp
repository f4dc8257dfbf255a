#include "bench/fit.h"

#include <algorithm>
#include <cmath>

namespace heatherdeal::bench {

Line
Fit(std::span<const Point> aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double sizes = 0.0;
  double values = 0.0;
  double squares = 0.0;
  double products = 0.0;
  for (const Point& point : aPoints) {
    sizes += point.m_size;
    values += point.m_value;
    squares += point.m_size * point.m_size;
    products += point.m_size * point.m_value;
  }
  Line line;
  const double spread = count * squares - sizes * sizes;
  line.m_slope =
    spread == 0.0 ? 0.0 : (count * products - sizes * values) / spread;
  line.m_base = (values - line.m_slope * sizes) / count;
  for (const Point& point : aPoints) {
    const double fitted = line.m_base + line.m_slope * point.m_size;
    if (point.m_value != 0.0) {
      line.m_worstError = std::max(
        line.m_worstError, std::abs(fitted - point.m_value) / point.m_value);
    }
  }
  return line;
}

} // namespace heatherdeal::bench
