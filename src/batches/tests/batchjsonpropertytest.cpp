// Stored batch objects are read back as they were written, whatever they hold.
// To run with another seed: RC_PARAMS="seed=N max_success=M" test_batches

#include "batches/internal/batchjson.h"

#include "catch2/catch.hpp"
#include "rapidcheck.h"

namespace heatherdeal::batches {

namespace {

/// Texts of any UTF-8: empty ones, control characters, characters with a
/// meaning in JSON, and the first and last code points of each length.
rc::Gen<std::string>
GenerateText()
{
  const auto piece = rc::gen::element<std::string>("a",
                                                   " ",
                                                   "\n",
                                                   "\r",
                                                   "\"",
                                                   "\\",
                                                   "\\u",
                                                   std::string("\0", 1),
                                                   "\x01",
                                                   "\x1f",
                                                   "\x7f",
                                                   "\xc2\x80",
                                                   "\xdf\xbf",
                                                   "\xe0\xa0\x80",
                                                   "\xed\x9f\xbf",
                                                   "\xee\x80\x80",
                                                   "\xef\xbf\xbf",
                                                   "\xf0\x90\x80\x80",
                                                   "\xf4\x8f\xbf\xbf");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                      [](const std::vector<std::string>& aPieces) {
                        std::string text;
                        for (const std::string& part : aPieces) {
                          text += part;
                        }
                        return text;
                      });
}

std::string
AnyText()
{
  return *GenerateText();
}

std::string
AnyBytes()
{
  return *rc::gen::arbitrary<std::string>();
}

template<typename Number>
Number
AnyNumber(Number aMax)
{
  return *rc::gen::element<Number>(0, 1, aMax / 2, aMax - 1, aMax);
}

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
