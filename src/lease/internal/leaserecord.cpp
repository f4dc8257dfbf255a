#include "lease/internal/leaserecord.h"

#include "boost/json/serialize.hpp"

#include "kernel/json.h"

namespace heatherdeal::lease {

std::string
ToJson(const LeaseRecord& aRecord)
{
  const boost::json::value value{ { "holder", aRecord.m_holder },
                                  { "epoch", aRecord.m_epoch },
                                  { "released", aRecord.m_released },
                                  { "established", aRecord.m_established } };
  return boost::json::serialize(value);
}

absl::StatusOr<LeaseRecord>
ParseLeaseRecord(const objectstore::StoredObject& aObject)
{
  if (aObject.m_version == 0) {
    return LeaseRecord{};
  }
  return kernel::ParseMessage<LeaseRecord>(
    aObject.m_value, "lease", [&](kernel::SettingsReader& aReader) {
      LeaseRecord record;
      record.m_version = aObject.m_version;
      record.m_holder = aReader.Text("holder");
      record.m_epoch =
        static_cast<uint64_t>(aReader.Integer("epoch", { 0, INT64_MAX }));
      record.m_released = aReader.FlagOr("released", false);
      record.m_established = aReader.FlagOr("established", false);
      return record;
    });
}

} // namespace heatherdeal::lease
