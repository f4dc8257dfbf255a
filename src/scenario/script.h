#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "core/instant.h"
#include "virtualworld/faults.h"

namespace heatherdeal::scenario {

/// "set NAME VALUE": a setting of the world; only before the first "at".
struct SetStep
{
  std::string m_name;
  std::string m_value;
};

/// "at TIME FAULT ...": something happens.
struct FaultStep
{
  virtualworld::TimedFault m_fault;
};

/// "expect batches N by TIME": the trainer has taken so many.
struct ExpectBatches
{
  uint64_t m_batches = 0;
  core::Duration m_by{};
};

/// "expect group N held by TIME": every group up to N is held.
struct ExpectHeld
{
  uint64_t m_group = 0;
  core::Duration m_by{};
};

/// "expect delivery within TIME after TIME": a batch is taken in that time.
struct ExpectDelivery
{
  core::Duration m_within{};
  core::Duration m_after{};
};

/// "expect stuck below N at TIME": a group below N is not held. Shows what
/// happens with a mechanism switched off.
struct ExpectStuck
{
  uint64_t m_group = 0;
  core::Duration m_at{};
};

/// "expect abandoned N by TIME"
struct ExpectAbandoned
{
  uint64_t m_groups = 0;
  core::Duration m_by{};
};

/// "expect promises at TIME": the trainer has seen none broken.
struct ExpectPromises
{
  core::Duration m_at{};
};

using StepAction = std::variant<SetStep,
                                FaultStep,
                                ExpectBatches,
                                ExpectHeld,
                                ExpectDelivery,
                                ExpectStuck,
                                ExpectAbandoned,
                                ExpectPromises>;

/// One line of a script.
struct Step
{
  size_t m_line = 0;
  std::string m_text;
  StepAction m_action;
};

/// Parses a script; empty lines and those that begin with # are passed over.
/// InvalidInput names the first line that is none.
absl::StatusOr<std::vector<Step>>
ParseScript(std::string_view aText);

/// An expectation that was not met.
struct UnmetStep
{
  size_t m_line = 0;
  std::string m_text;
  std::string m_found;
};

/// Runs the script on a new world. InvalidInput for a setting that is none.
absl::StatusOr<std::vector<UnmetStep>>
RunScript(std::span<const Step> aSteps);

} // namespace heatherdeal::scenario
