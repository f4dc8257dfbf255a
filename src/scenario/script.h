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

/// "set NAME VALUE": a setting of the simulation. It applies from the start,
/// wherever it stands in the script.
struct SettingStep
{
  std::string m_name;
  std::string m_value;
};

/// "at TIME FAULT ...": injects a fault at a time.
struct FaultStep
{
  virtualworld::TimedFault m_fault;
};

/// "expect batches N by TIME": the trainer has accepted at least N batches.
struct ExpectBatches
{
  uint64_t m_batches = 0;
  core::Duration m_deadline{};
};

/// "expect group N held by TIME": the trainer holds every group up to N.
struct ExpectGroupHeld
{
  uint64_t m_group = 0;
  core::Duration m_deadline{};
};

/// "expect delivery within TIME after TIME": the trainer accepts a batch in
/// that time.
struct ExpectDelivery
{
  core::Duration m_within{};
  core::Duration m_after{};
};

/// "expect stuck below N at TIME": the trainer lacks a group below N. Used by
/// scripts that switch a mechanism off, to show that it is needed.
struct ExpectStuck
{
  uint64_t m_group = 0;
  core::Duration m_at{};
};

/// "expect abandoned N by TIME": the service has abandoned at least N groups.
struct ExpectAbandoned
{
  uint64_t m_groups = 0;
  core::Duration m_deadline{};
};

/// "expect promises at TIME": the trainer has found no violated guarantee.
struct ExpectNoViolations
{
  core::Duration m_at{};
};

using StepAction = std::variant<SettingStep,
                                FaultStep,
                                ExpectBatches,
                                ExpectGroupHeld,
                                ExpectDelivery,
                                ExpectStuck,
                                ExpectAbandoned,
                                ExpectNoViolations>;

/// One line of a script.
struct Step
{
  size_t m_line = 0;
  std::string m_text;
  StepAction m_action;
};

/// Parses a script. Skips empty lines and comments, which begin with #. Returns
/// InvalidInput with the number of the first invalid line.
absl::StatusOr<std::vector<Step>>
ParseScript(std::string_view aText);

/// An expectation that was not met, with the value found instead.
struct UnmetExpectation
{
  size_t m_line = 0;
  std::string m_text;
  std::string m_found;
};

/// Runs the script in a new simulation and returns the expectations that were
/// not met. Returns InvalidInput for an unknown or invalid setting.
absl::StatusOr<std::vector<UnmetExpectation>>
RunScript(std::span<const Step> aSteps);

} // namespace heatherdeal::scenario
