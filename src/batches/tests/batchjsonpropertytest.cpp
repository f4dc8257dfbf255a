// Stored batch objects are read back as they were written, whatever they hold.
// To run with another seed: RC_PARAMS="seed=N max_success=M" test_batches

#include "batches/internal/batchjson.h"

#include "catch2/catch.hpp"
#include "core/tests/anyvalues.h"

namespace heatherdeal::batches {

namespace {

using core::AnyBytes;
using core::AnyNumber;
using core::AnyText;

std::vector<core::WeightVersion>
AnyVersions()
{
  std::vector<core::WeightVersion> versions;
  const int count = *rc::gen::inRange(0, 3);
  for (int i = 0; i < count; ++i) {
    versions.push_back({ AnyNumber<uint64_t>(UINT64_MAX) });
  }
  return versions;
}

BatchItem
AnyItem()
{
  BatchItem item;
  item.m_id.m_value = AnyText();
  item.m_path = AnyText();
  const int headers = *rc::gen::inRange(0, 3);
  for (int i = 0; i < headers; ++i) {
    item.m_headers.push_back({ AnyText(), AnyText() });
  }
  item.m_body = AnyBytes();
  item.m_group = AnyText();
  item.m_expectedTokens = AnyNumber<uint32_t>(UINT32_MAX);
  if (*rc::gen::arbitrary<bool>()) {
    item.m_reward =
      RewardRequest{ AnyText(), AnyText(), AnyText(), AnyBytes() };
  }
  return item;
}

ItemResult
AnyResult()
{
  if (*rc::gen::arbitrary<bool>()) {
    return { { AnyText() }, Lost{} };
  }
  return { { AnyText() }, Completed{ AnyText(), AnyVersions(), AnyText() } };
}

/// True if the text is read back and is then written as before.
template<typename T>
bool
IsReadBack(const T& aValue, absl::StatusOr<T> (*aParse)(std::string_view))
{
  const absl::StatusOr<T> back = aParse(ToJson(aValue));
  return back.ok() && ToJson(*back) == ToJson(aValue);
}

} // namespace

TEST_CASE("every submission is read back")
{
  CHECK(rc::check([] {
    Submission submission;
    submission.m_id.m_value = AnyText();
    submission.m_host = AnyText();
    submission.m_path = AnyText();
    submission.m_customer.m_value = AnyText();
    submission.m_weights = AnyText();
    submission.m_oldestAllowedVersion.m_number = AnyNumber<int64_t>(INT64_MAX);
    submission.m_wantedGroups = AnyNumber<uint32_t>(UINT32_MAX);
    submission.m_acceptedAt = AnyNumber<int64_t>(INT64_MAX);
    submission.m_items.push_back(AnyItem());
    RC_ASSERT(IsReadBack(submission, ParseSubmission));
  }));
}

// Guards against a batch that its next owner can't load, because one of its
// results has an empty text.
TEST_CASE("every chunk of results is read back")
{
  CHECK(rc::check([] {
    ResultChunk chunk;
    chunk.m_number = AnyNumber<int64_t>(INT64_MAX);
    chunk.m_results.push_back(AnyResult());
    chunk.m_results.push_back(AnyResult());
    RC_ASSERT(IsReadBack(chunk, ParseChunk));
  }));
}

TEST_CASE("every checkpoint is read back")
{
  CHECK(rc::check([] {
    PartialText text;
    text.m_item.m_value = AnyText();
    text.m_text = AnyText();
    text.m_lastEvent = AnyNumber<int64_t>(INT64_MAX);
    text.m_versions = AnyVersions();
    if (*rc::gen::arbitrary<bool>()) {
      text.m_software = core::Software{ { AnyText() }, { AnyText() } };
    }
    Checkpoint checkpoint;
    checkpoint.m_texts.push_back(std::move(text));
    RC_ASSERT(IsReadBack(checkpoint, ParseCheckpoint));
  }));
}

TEST_CASE("every placement is read back")
{
  CHECK(rc::check([] {
    Placement placement;
    placement.m_owner = AnyText();
    placement.m_customer.m_value = AnyText();
    placement.m_ended = *rc::gen::arbitrary<bool>();
    placement.m_acceptedAt = AnyNumber<int64_t>(INT64_MAX);
    RC_ASSERT(IsReadBack(placement, ParsePlacement));
  }));
}

} // namespace heatherdeal::batches
