#include "kernel/process.h"

int
main(int aArgc, char** aArgv)
{
  return heatherdeal::kernel::RunProcess(
    { "heatherdeal-rollout",
      "Generates samples and delivers them to trainers" },
    aArgc,
    aArgv);
}
