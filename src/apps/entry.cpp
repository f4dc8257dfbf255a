#include "kernel/process.h"

int
main(int aArgc, char** aArgv)
{
  return heatherdeal::kernel::RunProcess(
    { "heatherdeal-entry", "Forwards callers' requests to upstreams" },
    aArgc,
    aArgv);
}
