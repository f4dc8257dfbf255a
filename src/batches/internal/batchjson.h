#pragma once

#include "absl/status/statusor.h"

#include "batches/batchrun.h"

namespace heatherdeal::batches {

/// The texts that stand in the object store. Parse functions return
/// InvalidInput for anything else.
std::string
ToJson(const Submission& aSubmission);
absl::StatusOr<Submission>
ParseSubmission(std::string_view aText);

std::string
ToJson(const ResultChunk& aChunk);
absl::StatusOr<ResultChunk>
ParseChunk(std::string_view aText);

std::string
ToJson(const Checkpoint& aCheckpoint);
absl::StatusOr<Checkpoint>
ParseCheckpoint(std::string_view aText);

std::string
ToJson(const Placement& aPlacement);
absl::StatusOr<Placement>
ParsePlacement(std::string_view aText);

} // namespace heatherdeal::batches
