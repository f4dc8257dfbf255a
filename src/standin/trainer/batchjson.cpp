#include "standin/trainer/batchjson.h"

#include <charconv>

#include "kernel/json.h"

namespace heatherdeal::standin {

namespace {

constexpr kernel::Range kNonNegative{ 0, INT64_MAX };

uint64_t
ReadNumber(kernel::SettingsReader& aReader, std::string_view aName)
{
  return static_cast<uint64_t>(aReader.Integer(aName, kNonNegative));
}

core::VersionSpan
ParseSpan(const boost::json::value& aValue)
{
  const boost::json::array& fields = aValue.as_array();
  return { fields.at(0).to_number<uint32_t>(),
           fields.at(1).to_number<uint32_t>(),
           { fields.at(2).to_number<uint64_t>() } };
}

core::Sample
ParseSample(kernel::SettingsReader& aReader, core::GroupOrdinal aGroup)
{
  core::Sample sample;
  sample.m_id = { aGroup,
                  static_cast<uint32_t>(ReadNumber(aReader, "member")) };
  sample.m_text = aReader.Text("text");
  sample.m_tokens = static_cast<uint32_t>(ReadNumber(aReader, "tokens"));
  sample.m_score = aReader.NumberOr("score", -1e9, 1e9, 0.0);
  aReader.ForEach("spans",
                  [&](const boost::json::value& aValue, std::string_view) {
                    sample.m_spans.push_back(ParseSpan(aValue));
                  });
  return sample;
}

core::Group
ParseGroup(kernel::SettingsReader& aReader)
{
  core::Group group;
  group.m_ordinal = ReadNumber(aReader, "ordinal");
  group.m_prompt = aReader.Text("prompt");
  aReader.ForEach(
    "samples", [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader reader(aValue, aPath, aReader.Errors());
      group.m_samples.push_back(ParseSample(reader, group.m_ordinal));
    });
  return group;
}

} // namespace

absl::StatusOr<ReceivedBatch>
ParseBatch(std::string_view aBody)
{
  return kernel::ParseMessage<ReceivedBatch>(
    aBody, "batch", [](kernel::SettingsReader& aReader) {
      ReceivedBatch received;
      received.m_batch.m_number = ReadNumber(aReader, "number");
      received.m_batch.m_epoch = ReadNumber(aReader, "epoch");
      aReader.ForEach(
        "groups",
        [&](const boost::json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader reader(aValue, aPath, aReader.Errors());
          received.m_batch.m_groups.push_back(ParseGroup(reader));
        });
      aReader.ForEach(
        "abandoned", [&](const boost::json::value& aValue, std::string_view) {
          received.m_abandoned.push_back(aValue.to_number<uint64_t>());
        });
      return received;
    });
}

delivery::BatchHead
MakeBatchHead(const ReceivedBatch& aBatch)
{
  delivery::BatchHead head;
  head.m_number = aBatch.m_batch.m_number;
  head.m_epoch = aBatch.m_batch.m_epoch;
  head.m_abandonedGroups = aBatch.m_abandoned;
  for (const core::Group& group : aBatch.m_batch.m_groups) {
    std::optional<core::WeightVersion> oldest;
    for (const core::Sample& sample : group.m_samples) {
      const core::WeightVersion version = core::OldestVersion(sample.m_spans);
      oldest = oldest ? std::min(*oldest, version) : version;
    }
    head.m_groups.push_back({ group.m_ordinal,
                              static_cast<uint32_t>(group.m_samples.size()),
                              oldest.value_or(core::WeightVersion{}) });
  }
  return head;
}

std::optional<core::Endpoint>
ParseOwnerEndpoint(const boost::json::object& aRefusal)
{
  const boost::json::value* field = aRefusal.if_contains("owner");
  if (field == nullptr || !field->is_string()) {
    return std::nullopt;
  }
  const std::string_view text(field->get_string().data(),
                              field->get_string().size());
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  core::Endpoint endpoint{ std::string(text.substr(0, colon)), 0 };
  const std::string_view port = text.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
  return endpoint;
}

} // namespace heatherdeal::standin
