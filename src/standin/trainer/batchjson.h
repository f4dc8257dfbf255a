#pragma once

#include <optional>

#include "absl/status/statusor.h"
#include "boost/json/object.hpp"

#include "core/sample.h"
#include "delivery/trainercursor.h"

namespace heatherdeal::standin {

struct ReceivedBatch
{
  core::Batch m_batch;
  std::vector<core::GroupOrdinal> m_abandoned;
};

absl::StatusOr<ReceivedBatch>
ParseBatch(std::string_view aBody);

delivery::BatchHead
HeadOf(const ReceivedBatch& aBatch);

/// The endpoint in the "owner" field of a refusal; nothing if there is none.
std::optional<core::Endpoint>
ParseOwner(const boost::json::object& aRefusal);

} // namespace heatherdeal::standin
