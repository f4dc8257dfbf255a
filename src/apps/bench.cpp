#include <fstream>
#include <iostream>
#include <iterator>
#include <string_view>

#include "bench/capacitybench.h"
#include "bench/capacitytable.h"
#include "bench/keybench.h"
#include "bench/relaybench.h"
#include "bench/rolloutbench.h"
#include "bench/servebench.h"

namespace {

constexpr int kUsageError = 2;
constexpr uint32_t kRolloutBatches = 40;

int
PrintUsage()
{
  std::cout
    << "usage: heatherdeal-bench rollout | serve | relay | capacity | keys\n"
       "       heatherdeal-bench tables POINTS\n"
       "       heatherdeal-bench check-page POINTS PAGE\n";
  return kUsageError;
}

std::string
ReadFile(const char* aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

/// Returns exit code 0 if the page contains the tables computed from the
/// points, otherwise 1.
int
CheckCapacityPage(const char* aPoints, const char* aPage)
{
  const std::string tables =
    heatherdeal::bench::MakeCapacityTables(ReadFile(aPoints));
  if (ReadFile(aPage).find(tables) != std::string::npos) {
    std::cout << "the page contains the tables of its points\n";
    return 0;
  }
  std::cout << "the page should contain:\n" << tables;
  return 1;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc < 2) {
    return PrintUsage();
  }
  const std::string_view benchName = aArgv[1];
  if (benchName == "tables" && aArgc == 3) {
    std::cout << heatherdeal::bench::MakeCapacityTables(ReadFile(aArgv[2]));
    return 0;
  }
  if (benchName == "check-page" && aArgc == 4) {
    return CheckCapacityPage(aArgv[2], aArgv[3]);
  }
  if (aArgc != 2) {
    return PrintUsage();
  }
  if (benchName == "rollout") {
    std::cout << heatherdeal::bench::RunRolloutBench(kRolloutBatches);
    return 0;
  }
  if (benchName == "capacity") {
    std::cout << heatherdeal::bench::RunCapacityBench();
    return 0;
  }
  if (benchName == "keys") {
    std::cout << heatherdeal::bench::RunKeyBench();
    return 0;
  }
  if (benchName == "relay") {
    std::cout << heatherdeal::bench::RunRelayBench();
    return 0;
  }
  if (benchName == "serve") {
    std::cout << heatherdeal::bench::RunServeBench();
    return 0;
  }
  return PrintUsage();
}
