#include <iostream>
#include <string_view>

#include "bench/capacitybench.h"
#include "bench/rolloutbench.h"
#include "bench/servebench.h"

namespace {

constexpr int kUsage = 2;
constexpr uint32_t kBatches = 40;

int
PrintUsage()
{
  std::cout << "usage: heatherdeal-bench rollout | serve | capacity\n";
  return kUsage;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc != 2) {
    return PrintUsage();
  }
  const std::string_view what = aArgv[1];
  if (what == "rollout") {
    std::cout << heatherdeal::bench::RunRolloutBench(kBatches);
    return 0;
  }
  if (what == "capacity") {
    std::cout << heatherdeal::bench::RunCapacityBench();
    return 0;
  }
  if (what == "serve") {
    std::cout << heatherdeal::bench::RunServeBench();
    return 0;
  }
  return PrintUsage();
}
