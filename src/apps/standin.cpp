#include "kernel/process.h"

int
main(int aArgc, char** aArgv)
{
  return heatherdeal::kernel::RunProcess(
    { "heatherdeal-standin", "Simulates external systems in tests" },
    aArgc,
    aArgv);
}
