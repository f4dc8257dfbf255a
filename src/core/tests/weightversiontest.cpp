#include "core/weightversion.h"

#include "catch2/catch.hpp"

namespace heatherdeal::core {

TEST_CASE(
  "appended tokens extend the last span and a new version starts a new span")
{
  std::vector<VersionSpan> spans;
  AppendTokens(spans, 3, { 7 });
  AppendTokens(spans, 2, { 7 });
  AppendTokens(spans, 4, { 8 });
  AppendTokens(spans, 0, { 9 });
  REQUIRE(spans ==
          std::vector<VersionSpan>{ { 0, 5, { 7 } }, { 5, 9, { 8 } } });
  CHECK(SpansCoverAllTokens(spans, 9));
  CHECK(OldestVersion(spans) == WeightVersion{ 7 });
}

TEST_CASE("spans with a gap, an overlap or a wrong end do not cover all tokens")
{
  struct Case
  {
    std::vector<VersionSpan> m_spans;
    uint32_t m_tokenCount;
    bool m_isCovered;
  };
  const std::vector<Case> cases{
    { {}, 0, true },
    { {}, 1, false },
    { { { 0, 2, { 1 } }, { 3, 4, { 2 } } }, 4, false },
    { { { 0, 3, { 1 } }, { 2, 4, { 2 } } }, 4, false },
    { { { 0, 0, { 1 } } }, 0, false },
    { { { 1, 4, { 1 } } }, 4, false },
    { { { 0, 2, { 1 } }, { 2, 4, { 1 } } }, 4, true },
  };
  for (const Case& c : cases) {
    CHECK(SpansCoverAllTokens(c.m_spans, c.m_tokenCount) == c.m_isCovered);
  }
}

TEST_CASE("versions behind is zero if the version is the newer one")
{
  CHECK(VersionsBehind({ 3 }, { 5 }) == 2);
  CHECK(VersionsBehind({ 5 }, { 3 }) == 0);
}

} // namespace heatherdeal::core
