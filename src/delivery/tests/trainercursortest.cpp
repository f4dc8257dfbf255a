#include "delivery/trainercursor.h"

#include "catch2/catch.hpp"

namespace heatherdeal::delivery {

TEST_CASE("the done set merges contiguous groups into its low watermark")
{
  DoneSet set;
  for (const core::GroupOrdinal ordinal : { 2, 5, 0, 5, 1 }) {
    Insert(set, ordinal);
  }
  CHECK(set == DoneSet{ 3, { 5 } });
  Insert(set, 3);
  Insert(set, 4);
  CHECK(set == DoneSet{ 6, {} });
  CHECK(Contains(set, 5));
  CHECK_FALSE(Contains(set, 6));
}

TEST_CASE("a done set with unsorted, duplicate or low entries is malformed")
{
  CHECK(IsWellFormed({ 3, { 4, 7 } }));
  CHECK_FALSE(IsWellFormed({ 3, { 3 } }));
  CHECK_FALSE(IsWellFormed({ 3, { 7, 4 } }));
  CHECK_FALSE(IsWellFormed({ 3, { 4, 4 } }));
}

TEST_CASE(
  "a trainer accepts only the next complete, fresh batch of the current owner")
{
  struct Case
  {
    const char* m_name;
    BatchHead m_batch;
    size_t m_rejectionIndex;
  };
  constexpr size_t kAccepted = SIZE_MAX;
  const Cursor cursor{ 1, 4, 2, { 10 }, { 8, { 9 } } };
  const std::vector<Case> cases{
    { "next", { 5, 2, { { 8, 4, { 9 } } }, {} }, kAccepted },
    { "newer owner", { 5, 3, { { 8, 4, { 8 } } }, {} }, kAccepted },
    { "number repeated", { 4, 2, { { 8, 4, { 9 } } }, {} }, 0 },
    { "number skipped", { 6, 2, { { 8, 4, { 9 } } }, {} }, 0 },
    { "outdated owner", { 5, 1, { { 8, 4, { 9 } } }, {} }, 1 },
    { "group already held", { 5, 2, { { 9, 4, { 9 } } }, {} }, 2 },
    { "duplicate group",
      { 5, 2, { { 8, 4, { 9 } }, { 8, 4, { 9 } } }, {} },
      2 },
    { "too old", { 5, 2, { { 8, 4, { 7 } } }, {} }, 3 },
    { "missing sample", { 5, 2, { { 8, 3, { 9 } } }, {} }, 4 },
  };
  for (const Case& testCase : cases) {
    INFO(testCase.m_name);
    Cursor updatedCursor = cursor;
    const auto rejection =
      AcceptBatch(updatedCursor, testCase.m_batch, { 2, 4 });
    CHECK((rejection ? rejection->index() : kAccepted) ==
          testCase.m_rejectionIndex);
    CHECK(updatedCursor.m_lastBatchNumber == (rejection ? 4U : 5U));
    CHECK(Contains(updatedCursor.m_done, 8) == !rejection);
  }
}

} // namespace heatherdeal::delivery
