#include "kumquat/balancer.h"

int
main (int argc, char **argv)
{
  return kq_balancer_main (argc, (const char **)argv);
}
