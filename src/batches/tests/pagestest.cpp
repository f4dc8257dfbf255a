// Pattern: the results of a large batch become durable all at once, after an
// outage of the store. The trainer reads one page at a time and waits between
// two reads, so small pages delay its step by seconds.

#include "catch2/catch.hpp"

#include "batches/batchrun.h"
#include "batches/internal/batchjson.h"

namespace heatherdeal::batches {

namespace {

constexpr size_t kMaxResponseBytes = 1'000'000;

BatchRun
MakeStoredBatch(size_t aItems, std::string_view aText)
{
  Submission submission;
  submission.m_id = { "batch" };
  ResultChunk chunk;
  for (size_t i = 0; i < aItems; ++i) {
    BatchItem item;
    item.m_id = { "0123456789ab" + std::to_string(1000 + i) };
    submission.m_items.push_back(item);
    Completed completed;
    completed.m_text = aText;
    completed.m_versions = { { 7 }, { 8 } };
    completed.m_score = "3e1b.07.5a2.600.c9f2a4d1";
    chunk.m_results.push_back({ item.m_id, completed });
  }
  BatchRun run =
    MakeBatchRun(std::make_shared<const Submission>(std::move(submission)), {});
  AdoptChunk(run, std::move(chunk));
  return run;
}

size_t
EncodedBytes(std::span<const ItemResult> aPage)
{
  ResultChunk chunk;
  chunk.m_results.assign(aPage.begin(), aPage.end());
  return ToJson(chunk).size();
}

/// Returns the number of pages that hold all results, and checks the size of
/// each.
size_t
CountPages(const BatchRun& aRun)
{
  size_t pages = 0;
  size_t position = 0;
  while (position < aRun.m_durableResults.size()) {
    const std::span<const ItemResult> page = SelectPage(aRun, position);
    REQUIRE_FALSE(page.empty());
    CHECK((page.size() == 1 || EncodedBytes(page) <= kMaxResponseBytes));
    position += page.size();
    pages += 1;
  }
  return pages;
}

} // namespace

TEST_CASE("the results of a large batch fit into few pages")
{
  // 320 texts of 8,000 bytes are 2.6 MB.
  CHECK(CountPages(MakeStoredBatch(320, std::string(8000, 'x'))) == 3);
}

TEST_CASE("pages stay within their limit if texts have to be escaped")
{
  CountPages(MakeStoredBatch(320, std::string(8000, '\n')));
  CountPages(MakeStoredBatch(320, std::string(8000, '\x01')));
  CountPages(MakeStoredBatch(320, std::string(8000, '"')));
}

TEST_CASE("a result that is larger than a page is returned alone")
{
  const BatchRun run =
    MakeStoredBatch(2, std::string(2 * kMaxResponseBytes, 'x'));
  CHECK(SelectPage(run, 0).size() == 1);
  CHECK(SelectPage(run, 1).size() == 1);
  CHECK(SelectPage(run, 2).empty());
}

} // namespace heatherdeal::batches
