#include "weights/newestversion.h"

#include "kernel/json.h"

namespace heatherdeal::weights {

absl::StatusOr<core::WeightVersion>
ParseNewestVersion(const objectstore::StoredObject& aObject)
{
  return kernel::ParseMessage<core::WeightVersion>(
    aObject.m_value, "weights", [](kernel::SettingsReader& aReader) {
      return core::WeightVersion{ static_cast<uint64_t>(
        aReader.Integer("version", { 0, INT64_MAX })) };
    });
}

} // namespace heatherdeal::weights
