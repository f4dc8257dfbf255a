#include "bench/fit.h"

#include <algorithm>
#include <cmath>

namespace heatherdeal::bench {

Line
FitLine(std::span<const Point> aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double sizeSum = 0.0;
  double valueSum = 0.0;
  double squaredSizeSum = 0.0;
  double productSum = 0.0;
  for (const Point& point : aPoints) {
    sizeSum += point.m_size;
    valueSum += point.m_value;
    squaredSizeSum += point.m_size * point.m_size;
    productSum += point.m_size * point.m_value;
  }
  Line line;
  const double determinant = count * squaredSizeSum - sizeSum * sizeSum;
  line.m_slope = determinant == 0.0
                   ? 0.0
                   : (count * productSum - sizeSum * valueSum) / determinant;
  line.m_intercept = (valueSum - line.m_slope * sizeSum) / count;
  for (const Point& point : aPoints) {
    const double fitted = line.m_intercept + line.m_slope * point.m_size;
    if (point.m_value != 0.0) {
      line.m_maxRelativeError =
        std::max(line.m_maxRelativeError,
                 std::abs(fitted - point.m_value) / point.m_value);
    }
  }
  return line;
}

} // namespace heatherdeal::bench
