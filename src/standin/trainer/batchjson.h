#pragma once

#include <optional>

#include "absl/status/statusor.h"
#include "boost/json/object.hpp"

#include "core/sample.h"
#include "delivery/trainercursor.h"

namespace heatherdeal::standin {

/// A batch and the ordinals of groups that the service abandoned.
struct ReceivedBatch
{
  core::Batch m_batch;
  std::vector<core::GroupOrdinal> m_abandoned;
};

/// Parses the body of a response to a pull.
absl::StatusOr<ReceivedBatch>
ParseBatch(std::string_view aBody);

/// Returns the batch without its payload, as the trainer's cursor checks it.
delivery::BatchHead
MakeBatchHead(const ReceivedBatch& aBatch);

/// Returns the endpoint in the "owner" field of a refusal, or std::nullopt if
/// the field is missing or malformed.
std::optional<core::Endpoint>
ParseOwnerEndpoint(const boost::json::object& aRefusal);

} // namespace heatherdeal::standin
