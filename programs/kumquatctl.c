#include "adapter.h"
#include "kumquat/ctl.h"

int
main (int argc, const char **argv)
{
  return kq_ctl_main (argc, argv, kq_platform_adapter ());
}
