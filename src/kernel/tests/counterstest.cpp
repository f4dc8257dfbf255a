#include "kernel/counters.h"

#include "catch2/catch.hpp"

namespace heatherdeal::kernel {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("latencies are counted in buckets with doubling bounds")
{
  Counters counters;
  LatencyHistogram& histogram = counters.Latency("a.b");
  histogram.Add(milliseconds(0));
  histogram.Add(milliseconds(1));
  histogram.Add(milliseconds(3));
  histogram.Add(seconds(3600));
  CHECK(histogram.CountInBucket(0) == 2);
  CHECK(histogram.CountInBucket(2) == 1);
  CHECK(histogram.CountInBucket(LatencyHistogram::kBuckets - 1) == 1);
  counters.Get("c-d").Add(3);
  const std::string text = ToPrometheusText(counters);
  CHECK(text.find("heatherdeal_c_d_total 3\n") != std::string::npos);
  CHECK(text.find("heatherdeal_a_b_seconds_bucket{le=\"0.004000\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("heatherdeal_a_b_seconds_bucket{le=\"+Inf\"} 4\n") !=
        std::string::npos);
  CHECK(text.find("heatherdeal_a_b_seconds_count 4\n") != std::string::npos);
}

} // namespace heatherdeal::kernel
