#include "kernel/process.h"

int
main(int aArgc, char** aArgv)
{
  return heatherdeal::kernel::RunProcess(
    { "heatherdeal-standin", "Takes the place of outside systems in tests" },
    aArgc,
    aArgv);
}
