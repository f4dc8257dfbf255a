#include "kernel/process.h"

int
main(int aArgc, char** aArgv)
{
  return heatherdeal::kernel::RunProcess(
    { "heatherdeal-controller", "Orders engines to load new weights" },
    aArgc,
    aArgv);
}
