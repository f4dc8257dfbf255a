#include "routing/pool.h"

#include "catch2/catch.hpp"

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

} // namespace heatherdeal::routing
