#include <fstream>
#include <iostream>
#include <iterator>

#include "scenario/script.h"

namespace heatherdeal::scenario {

namespace {

constexpr int kScenarioFailed = 1;
constexpr int kUsageError = 2;
constexpr int kInvalidScript = 3;

int
RunScriptFile(const char* aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    std::cerr << aFile << ": the script file cannot be read\n";
    return kInvalidScript;
  }
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  const auto steps = ParseScript(text);
  if (!steps.ok()) {
    std::cerr << aFile << ": " << steps.status() << '\n';
    return kInvalidScript;
  }
  const auto unmetSteps = RunScript(*steps);
  if (!unmetSteps.ok()) {
    std::cerr << aFile << ": " << unmetSteps.status() << '\n';
    return kInvalidScript;
  }
  for (const UnmetExpectation& step : *unmetSteps) {
    std::cerr << aFile << ":" << step.m_line << ": not met: " << step.m_text
              << " (found " << step.m_found << ")\n";
  }
  std::cout << aFile << (unmetSteps->empty() ? ": passed" : ": FAILED") << '\n';
  return unmetSteps->empty() ? 0 : kScenarioFailed;
}

} // namespace

} // namespace heatherdeal::scenario

int
main(int aArgc, char** aArgv)
{
  if (aArgc < 2 || std::string_view(aArgv[1]) == "--help") {
    std::cout << "usage: heatherdeal-scenario FILE...\n";
    return aArgc < 2 ? heatherdeal::scenario::kUsageError : 0;
  }
  int exitCode = 0;
  for (int i = 1; i < aArgc; ++i) {
    exitCode =
      std::max(exitCode, heatherdeal::scenario::RunScriptFile(aArgv[i]));
  }
  return exitCode;
}
