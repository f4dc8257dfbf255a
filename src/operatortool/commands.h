#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace heatherdeal::operatortool {

/// Validates a document without sending it.
struct CheckCommand
{
  std::string m_file;
};

/// Shows what would change if the document were applied.
struct DiffCommand
{
  core::Endpoint m_store;
  std::string m_file;
};

/// Submits a document as the next generation.
struct ApplyCommand
{
  core::Endpoint m_store;
  std::string m_file;
  /// If set, the command fails unless the stored document has this generation.
  std::optional<uint64_t> m_expectedGeneration;
};

/// Prints the stored document.
struct ShowCommand
{
  core::Endpoint m_store;
};

/// Prints the internal state of a process.
struct DumpCommand
{
  core::Endpoint m_process;
  std::string m_operatorToken;
};

/// Prints the log events of a request, an item or a batch.
struct ExplainCommand
{
  std::string m_id;
  std::vector<std::string> m_files;
};

using Command = std::variant<CheckCommand,
                             DiffCommand,
                             ApplyCommand,
                             ShowCommand,
                             DumpCommand,
                             ExplainCommand>;

/// Exit codes of the tool.
enum class ToolExit : int
{
  Ok = 0,
  Differs = 1,
  Usage = 2,
  Invalid = 3,
  Conflict = 4,
  Unreachable = 5,
  NotFound = 6,
};

/// Runs the command and prints its result.
ToolExit
RunCommand(const Command& aCommand);

} // namespace heatherdeal::operatortool
