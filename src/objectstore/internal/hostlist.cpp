#include "objectstore/hostlist.h"

#include "kernel/json.h"

namespace heatherdeal::objectstore {

namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxSlots = 1'000'000;

HostEntry
ParseEntry(kernel::SettingsReader& aReader)
{
  static constexpr std::string_view kStates[] = { "live", "leaving" };
  HostEntry entry;
  entry.m_service = aReader.Text("service");
  entry.m_endpoint.m_address = aReader.Text("address");
  entry.m_endpoint.m_port =
    static_cast<uint16_t>(aReader.Integer("port", { 1, kMaxPort }));
  entry.m_gossipPort =
    static_cast<uint16_t>(aReader.IntegerOr("gossip_port", { 0, kMaxPort }, 0));
  entry.m_failureDomain.m_value = aReader.Text("failure_domain");
  entry.m_slots =
    static_cast<uint32_t>(aReader.IntegerOr("slots", { 1, kMaxSlots }, 1));
  entry.m_leaving = aReader.ChoiceOr("state", kStates, 0) == 1;
  if (!aReader.FlagOr("checks_fence", true)) {
    entry.m_fencingCheck = IgnoresFencingToken{};
  }
  entry.m_softwareVersion.m_value = aReader.TextOr("software_version", "");
  entry.m_incarnation = static_cast<uint64_t>(
    aReader.IntegerOr("incarnation", { 0, INT64_MAX }, 0));
  aReader.ForEach(
    "weights", [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader element(aValue, aPath, aReader.Errors());
      ServedWeights weights;
      weights.m_name = element.Text("name");
      weights.m_version.m_number =
        static_cast<uint64_t>(element.Integer("version", { 0, INT64_MAX }));
      entry.m_weights.push_back(std::move(weights));
    });
  return entry;
}

} // namespace

absl::StatusOr<HostEntry>
ParseHostEntry(const StoredObject& aObject)
{
  absl::StatusOr<HostEntry> entry =
    kernel::ParseMessage<HostEntry>(aObject.m_value, "host", ParseEntry);
  if (entry.ok()) {
    entry->m_name = aObject.m_key.m_name;
  }
  return entry;
}

std::vector<HostEntry>
ParseHostList(std::span<const StoredObject> aObjects, uint64_t& aInvalidCount)
{
  std::vector<HostEntry> entries;
  for (const StoredObject& object : aObjects) {
    absl::StatusOr<HostEntry> entry = ParseHostEntry(object);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
    } else {
      aInvalidCount += 1;
    }
  }
  return entries;
}

} // namespace heatherdeal::objectstore
