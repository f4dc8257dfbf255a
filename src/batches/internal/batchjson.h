#pragma once

#include "absl/status/statusor.h"

#include "batches/batchrun.h"

namespace heatherdeal::batches {

// The JSON encoding of batches in the object store. Each ToJson function
// returns the stored text; the Parse function next to it decodes that text and
// returns InvalidInput if the text is malformed.
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
