#include <fstream>
#include <iostream>
#include <iterator>

#include "scenario/script.h"

namespace heatherdeal::scenario {

namespace {

constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr int kInvalid = 3;

int
RunFile(const char* aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    std::cerr << aFile << ": the script file cannot be read\n";
    return kInvalid;
  }
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  const auto steps = ParseScript(text);
  if (!steps.ok()) {
    std::cerr << aFile << ": " << steps.status() << '\n';
    return kInvalid;
  }
  const auto unmet = RunScript(*steps);
  if (!unmet.ok()) {
    std::cerr << aFile << ": " << unmet.status() << '\n';
    return kInvalid;
  }
  for (const UnmetStep& step : *unmet) {
    std::cerr << aFile << ":" << step.m_line << ": not met: " << step.m_text
              << " (found " << step.m_found << ")\n";
  }
  std::cout << aFile << (unmet->empty() ? ": passed" : ": FAILED") << '\n';
  return unmet->empty() ? 0 : kFailed;
}

} // namespace

} // namespace heatherdeal::scenario

int
main(int aArgc, char** aArgv)
{
  if (aArgc < 2 || std::string_view(aArgv[1]) == "--help") {
    std::cout << "usage: heatherdeal-scenario FILE...\n";
    return aArgc < 2 ? heatherdeal::scenario::kUsage : 0;
  }
  int code = 0;
  for (int i = 1; i < aArgc; ++i) {
    code = std::max(code, heatherdeal::scenario::RunFile(aArgv[i]));
  }
  return code;
}
