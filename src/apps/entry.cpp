#include "kernel/process.h"

int
main(int aArgc, char** aArgv)
{
  return heatherdeal::kernel::RunProcess(
    { "heatherdeal-entry", "Carries callers' requests to upstreams" },
    aArgc,
    aArgv);
}
