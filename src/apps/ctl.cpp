#include <iostream>
#include <variant>

#include "cxxopts.hpp"

#include "core/failure.h"
#include "operatortool/commands.h"
#include "tools/blockingclient.h"

namespace heatherdeal::operatortool {

namespace {

constexpr const char* kPositionalHelp =
  "check FILE | diff FILE | apply FILE | show | dump ADDRESS:PORT | "
  "explain ID LOG...";

/// A command, or the exit code if there is none to run.
using ParsedCommand = std::variant<Command, ToolExit>;

ToolExit
PrintUsageError(const cxxopts::Options& aOptions)
{
  std::cerr << aOptions.help() << '\n';
  return ToolExit::Usage;
}

ParsedCommand
MakeCommand(const cxxopts::Options& aOptions,
            const cxxopts::ParseResult& aParsed)
{
  const auto positionals = aParsed["words"].as<std::vector<std::string>>();
  const std::string& verb = positionals.front();
  const std::string operand = positionals.size() > 1 ? positionals[1] : "";
  if (verb == "check" && !operand.empty()) {
    return CheckCommand{ operand };
  }
  if (verb == "explain" && positionals.size() > 2) {
    return ExplainCommand{ operand,
                           { positionals.begin() + 2, positionals.end() } };
  }
  if (verb == "dump") {
    const auto process = tools::ParseEndpoint(operand);
    if (!process.ok()) {
      return PrintUsageError(aOptions);
    }
    return DumpCommand{ *process, aParsed["token"].as<std::string>() };
  }
  const auto store = tools::ParseEndpoint(aParsed["store"].as<std::string>());
  if (!store.ok()) {
    return PrintUsageError(aOptions);
  }
  if (verb == "show") {
    return ShowCommand{ *store };
  }
  if (verb == "diff" && !operand.empty()) {
    return DiffCommand{ *store, operand };
  }
  if (verb == "apply" && !operand.empty()) {
    ApplyCommand apply{ *store, operand, std::nullopt };
    if (aParsed.count("if-generation") > 0) {
      apply.m_expectedGeneration = aParsed["if-generation"].as<uint64_t>();
    }
    return apply;
  }
  return PrintUsageError(aOptions);
}

ParsedCommand
ParseCommand(int aArgc, const char* const* aArgv)
{
  cxxopts::Options options("heatherdealctl",
                           "Checks, applies and shows configurations; dumps "
                           "process state; explains failures");
  options.positional_help(kPositionalHelp);
  options.add_options()("h,help", "print this help")("version",
                                                     "print the version")(
    "store",
    "address of the object API",
    cxxopts::value<std::string>()->default_value(""),
    "ADDRESS:PORT")("token",
                    "operator token",
                    cxxopts::value<std::string>()->default_value(""),
                    "TOKEN")("if-generation",
                             "fail unless the stored generation is N",
                             cxxopts::value<uint64_t>(),
                             "N")(
    "words", "command", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  try {
    const cxxopts::ParseResult parsed = options.parse(aArgc, aArgv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n';
      return ToolExit::Ok;
    }
    if (parsed.count("version") > 0) {
      std::cout << "heatherdealctl " << HEATHERDEAL_VERSION << '\n';
      return ToolExit::Ok;
    }
    if (parsed.count("words") == 0) {
      return PrintUsageError(options);
    }
    return MakeCommand(options, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "heatherdealctl: " << error.what() << '\n';
    return ToolExit::Usage;
  }
}

} // namespace

} // namespace heatherdeal::operatortool

int
main(int aArgc, char** aArgv)
{
  using namespace heatherdeal::operatortool;
  const ParsedCommand command = ParseCommand(aArgc, aArgv);
  if (const ToolExit* exit = std::get_if<ToolExit>(&command)) {
    return static_cast<int>(*exit);
  }
  return static_cast<int>(RunCommand(std::get<Command>(command)));
}
