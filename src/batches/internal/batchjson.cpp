#include "batches/internal/batchjson.h"

#include "absl/strings/escaping.h"
#include "boost/json/serialize.hpp"

#include "core/overloaded.h"
#include "kernel/json.h"

namespace heatherdeal::batches {

namespace {

namespace json = boost::json;

constexpr kernel::Range kNonNegative{ 0, INT64_MAX };

std::string
ReadBase64(kernel::SettingsReader& aReader, std::string_view aName)
{
  std::string bytes;
  const std::string text = aReader.TextOr(aName, "");
  if (!absl::Base64Unescape(text, &bytes)) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf(aName), "(text)", "base64" });
  }
  return bytes;
}

/// Hosts of earlier releases reject this field, so that it is written only if
/// it is used.
void
AddCustomer(json::object& aObject, const core::CustomerId& aCustomer)
{
  if (!aCustomer.m_value.empty()) {
    aObject["customer"] = aCustomer.m_value;
  }
}

json::value
ToValue(const RewardRequest& aReward)
{
  return { { "id", aReward.m_id },
           { "host", aReward.m_host },
           { "path", aReward.m_path },
           { "body", absl::Base64Escape(aReward.m_body) } };
}

json::value
ToValue(const BatchItem& aItem)
{
  json::array headers;
  for (const ItemHeader& header : aItem.m_headers) {
    headers.push_back(
      { { "name", header.m_name }, { "value", header.m_value } });
  }
  json::object item{ { "id", aItem.m_id.m_value },
                     { "path", aItem.m_path },
                     { "headers", std::move(headers) },
                     { "body", absl::Base64Escape(aItem.m_body) },
                     { "group", aItem.m_group },
                     { "expected_tokens", aItem.m_expectedTokens } };
  if (aItem.m_reward) {
    item["reward"] = ToValue(*aItem.m_reward);
  }
  return item;
}

RewardRequest
ParseReward(kernel::SettingsReader& aReader)
{
  RewardRequest reward;
  reward.m_id = aReader.AnyText("id");
  reward.m_host = aReader.AnyText("host");
  reward.m_path = aReader.AnyText("path");
  reward.m_body = ReadBase64(aReader, "body");
  return reward;
}

BatchItem
ParseItem(kernel::SettingsReader& aReader)
{
  BatchItem item;
  item.m_id.m_value = aReader.AnyText("id");
  item.m_path = aReader.AnyText("path");
  aReader.ForEach(
    "headers", [&](const json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader element(aValue, aPath, aReader.Errors());
      item.m_headers.push_back(
        { element.AnyText("name"), element.AnyText("value") });
    });
  item.m_body = ReadBase64(aReader, "body");
  item.m_group = aReader.TextOr("group", "");
  item.m_expectedTokens = static_cast<uint32_t>(
    aReader.IntegerOr("expected_tokens", { 0, UINT32_MAX }, 0));
  if (const json::value* reward = aReader.OptionalValue("reward")) {
    kernel::SettingsReader element(
      *reward, aReader.PathOf("reward"), aReader.Errors());
    item.m_reward = ParseReward(element);
  }
  return item;
}

json::array
ToValue(std::span<const core::WeightVersion> aVersions)
{
  json::array versions;
  for (const core::WeightVersion version : aVersions) {
    versions.push_back(version.m_number);
  }
  return versions;
}

std::vector<core::WeightVersion>
ParseVersions(kernel::SettingsReader& aReader)
{
  std::vector<core::WeightVersion> versions;
  aReader.ForEach(
    "versions", [&](const json::value& aValue, std::string_view aPath) {
      boost::system::error_code error;
      const auto number = aValue.to_number<uint64_t>(error);
      if (aValue.is_double() || error) {
        aReader.Errors().m_errors.push_back(
          { std::string(aPath), "(value)", "a weight version number" });
        return;
      }
      versions.push_back({ number });
    });
  return versions;
}

json::value
ToValue(const PartialText& aText)
{
  json::object text{ { "item", aText.m_item.m_value },
                     { "text", aText.m_text },
                     { "last_event", aText.m_lastEvent },
                     { "versions", ToValue(aText.m_versions) } };
  if (aText.m_software) {
    text["software"] = { { "service", aText.m_software->m_service.m_value },
                         { "version", aText.m_software->m_version.m_value } };
  }
  return text;
}

PartialText
ParsePartialText(kernel::SettingsReader& aReader)
{
  PartialText text;
  text.m_item.m_value = aReader.AnyText("item");
  text.m_text = aReader.AnyText("text");
  text.m_lastEvent =
    static_cast<uint64_t>(aReader.Integer("last_event", kNonNegative));
  text.m_versions = ParseVersions(aReader);
  if (const json::value* software = aReader.OptionalValue("software")) {
    kernel::SettingsReader element(
      *software, aReader.PathOf("software"), aReader.Errors());
    text.m_software = { { element.AnyText("service") },
                        { element.AnyText("version") } };
  }
  return text;
}

json::value
ToValue(const ItemResult& aResult)
{
  json::object result{ { "item", aResult.m_item.m_value } };
  std::visit(
    core::Overloaded{ [&result](const Completed& aCompleted) {
                       result["text"] = aCompleted.m_text;
                       result["versions"] = ToValue(aCompleted.m_versions);
                       result["score"] = aCompleted.m_score;
                     },
                      [&result](const Lost&) { result["lost"] = true; } },
    aResult.m_outcome);
  return result;
}

ItemResult
ParseResult(kernel::SettingsReader& aReader)
{
  ItemResult result;
  result.m_item.m_value = aReader.AnyText("item");
  if (aReader.FlagOr("lost", false)) {
    result.m_outcome = Lost{};
    return result;
  }
  Completed completed;
  completed.m_text = aReader.AnyText("text");
  completed.m_score = aReader.TextOr("score", "");
  completed.m_versions = ParseVersions(aReader);
  result.m_outcome = std::move(completed);
  return result;
}

} // namespace

std::string
ToJson(const Submission& aSubmission)
{
  json::array items;
  for (const BatchItem& item : aSubmission.m_items) {
    items.push_back(ToValue(item));
  }
  json::object object{ { "id", aSubmission.m_id.m_value },
                       { "host", aSubmission.m_host },
                       { "path", aSubmission.m_path },
                       { "weights", aSubmission.m_weights },
                       { "oldest",
                         aSubmission.m_oldestAllowedVersion.m_number },
                       { "wanted_groups", aSubmission.m_wantedGroups },
                       { "accepted_at", aSubmission.m_acceptedAt },
                       { "items", std::move(items) } };
  AddCustomer(object, aSubmission.m_customer);
  return json::serialize(object);
}

absl::StatusOr<Submission>
ParseSubmission(std::string_view aText)
{
  return kernel::ParseMessage<Submission>(
    aText, "batch", [](kernel::SettingsReader& aReader) {
      Submission submission;
      submission.m_id.m_value = aReader.AnyText("id");
      submission.m_host = aReader.AnyText("host");
      submission.m_path = aReader.AnyText("path");
      submission.m_customer.m_value = aReader.TextOr("customer", "");
      submission.m_weights = aReader.TextOr("weights", "");
      submission.m_oldestAllowedVersion.m_number =
        static_cast<uint64_t>(aReader.IntegerOr("oldest", kNonNegative, 0));
      submission.m_wantedGroups = static_cast<uint32_t>(
        aReader.IntegerOr("wanted_groups", { 0, UINT32_MAX }, 0));
      submission.m_acceptedAt = aReader.Integer("accepted_at", kNonNegative);
      aReader.ForEach(
        "items", [&](const json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader element(aValue, aPath, aReader.Errors());
          submission.m_items.push_back(ParseItem(element));
        });
      return submission;
    });
}

std::string
ToJson(const ResultChunk& aChunk)
{
  json::array results;
  for (const ItemResult& result : aChunk.m_results) {
    results.push_back(ToValue(result));
  }
  const json::value value{ { "number", aChunk.m_number },
                           { "results", std::move(results) } };
  return json::serialize(value);
}

absl::StatusOr<ResultChunk>
ParseChunk(std::string_view aText)
{
  return kernel::ParseMessage<ResultChunk>(
    aText, "results", [](kernel::SettingsReader& aReader) {
      ResultChunk chunk;
      chunk.m_number =
        static_cast<uint64_t>(aReader.Integer("number", kNonNegative));
      aReader.ForEach(
        "results", [&](const json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader element(aValue, aPath, aReader.Errors());
          chunk.m_results.push_back(ParseResult(element));
        });
      return chunk;
    });
}

std::string
ToJson(const Checkpoint& aCheckpoint)
{
  json::array texts;
  for (const PartialText& text : aCheckpoint.m_texts) {
    texts.push_back(ToValue(text));
  }
  const json::value value{ { "texts", std::move(texts) } };
  return json::serialize(value);
}

absl::StatusOr<Checkpoint>
ParseCheckpoint(std::string_view aText)
{
  return kernel::ParseMessage<Checkpoint>(
    aText, "checkpoint", [](kernel::SettingsReader& aReader) {
      Checkpoint checkpoint;
      aReader.ForEach(
        "texts", [&](const json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader element(aValue, aPath, aReader.Errors());
          checkpoint.m_texts.push_back(ParsePartialText(element));
        });
      return checkpoint;
    });
}

std::string
ToJson(const Placement& aPlacement)
{
  json::object object{ { "owner", aPlacement.m_owner },
                       { "ended", aPlacement.m_ended },
                       { "accepted_at", aPlacement.m_acceptedAt } };
  AddCustomer(object, aPlacement.m_customer);
  return json::serialize(object);
}

absl::StatusOr<Placement>
ParsePlacement(std::string_view aText)
{
  return kernel::ParseMessage<Placement>(
    aText, "placement", [](kernel::SettingsReader& aReader) {
      Placement placement;
      placement.m_owner = aReader.TextOr("owner", "");
      placement.m_customer.m_value = aReader.TextOr("customer", "");
      placement.m_ended = aReader.FlagOr("ended", false);
      placement.m_acceptedAt = aReader.Integer("accepted_at", kNonNegative);
      return placement;
    });
}

} // namespace heatherdeal::batches
