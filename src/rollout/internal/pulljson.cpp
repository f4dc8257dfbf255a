#include "rollout/internal/pulljson.h"

#include "boost/json/serialize.hpp"

#include "kernel/json.h"

namespace heatherdeal::rollout {

namespace {

constexpr size_t kMaxDoneAboveEntries = 100'000;
constexpr int64_t kMaxWaitMilliseconds = 120'000;
constexpr int64_t kMaxShardIndex = 1023;

uint64_t
ReadUnsigned(kernel::SettingsReader& aReader, std::string_view aName)
{
  return static_cast<uint64_t>(aReader.Integer(aName, { 0, INT64_MAX }));
}

delivery::DoneSet
ReadDoneSet(kernel::SettingsReader& aReader)
{
  delivery::DoneSet done;
  done.m_lowWatermark = ReadUnsigned(aReader, "done_low");
  aReader.ForEach(
    "done_above",
    [&](const boost::json::value& aValue, std::string_view aPath) {
      boost::json::error_code error;
      const auto ordinal = aValue.to_number<uint64_t>(error);
      if (error || done.m_aboveWatermark.size() >= kMaxDoneAboveEntries) {
        aReader.Errors().m_errors.push_back(
          { std::string(aPath),
            "(value)",
            "a group ordinal; at most 100000 entries" });
        return;
      }
      done.m_aboveWatermark.push_back(ordinal);
    });
  if (!IsWellFormed(done)) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("done_above"),
        "(list)",
        "strictly ascending ordinals above done_low" });
  }
  return done;
}

PullMessage
ReadPull(kernel::SettingsReader& aReader)
{
  PullMessage pull;
  pull.m_shard.m_job.m_value = aReader.Text("job");
  pull.m_shard.m_index =
    static_cast<uint32_t>(aReader.IntegerOr("shard", { 0, kMaxShardIndex }, 0));
  pull.m_cursor.m_incarnation = ReadUnsigned(aReader, "incarnation");
  pull.m_cursor.m_lastBatchNumber = ReadUnsigned(aReader, "number");
  pull.m_cursor.m_epoch = ReadUnsigned(aReader, "epoch");
  pull.m_cursor.m_publishedVersion.m_number = ReadUnsigned(aReader, "version");
  pull.m_cursor.m_done = ReadDoneSet(aReader);
  pull.m_maxWait = aReader.MillisecondsOr(
    "wait_ms", { 0, kMaxWaitMilliseconds }, std::chrono::seconds(10));
  return pull;
}

boost::json::value
ToJsonValue(const core::Sample& aSample)
{
  boost::json::array spans;
  for (const core::VersionSpan& span : aSample.m_spans) {
    spans.push_back(
      boost::json::array{ span.m_begin, span.m_end, span.m_version.m_number });
  }
  return { { "member", aSample.m_id.m_member },
           { "text", aSample.m_text },
           { "tokens", aSample.m_tokens },
           { "spans", std::move(spans) },
           { "score", aSample.m_score } };
}

boost::json::value
ToJsonValue(const core::Group& aGroup)
{
  boost::json::array samples;
  for (const core::Sample& sample : aGroup.m_samples) {
    samples.push_back(ToJsonValue(sample));
  }
  return { { "ordinal", aGroup.m_ordinal },
           { "prompt", aGroup.m_prompt },
           { "samples", std::move(samples) } };
}

} // namespace

absl::StatusOr<PullMessage>
ParsePull(std::string_view aBody)
{
  return kernel::ParseMessage<PullMessage>(aBody, "pull", ReadPull);
}

std::string
ToJson(const BatchResponse& aResponse)
{
  boost::json::array groups;
  for (const core::Group& group : aResponse.m_batch.m_groups) {
    groups.push_back(ToJsonValue(group));
  }
  boost::json::array abandoned;
  for (const core::GroupOrdinal ordinal : aResponse.m_abandonedGroups) {
    abandoned.emplace_back(ordinal);
  }
  return boost::json::serialize(
    boost::json::value{ { "number", aResponse.m_batch.m_number },
                        { "epoch", aResponse.m_batch.m_epoch },
                        { "groups", std::move(groups) },
                        { "abandoned", std::move(abandoned) } });
}

} // namespace heatherdeal::rollout
