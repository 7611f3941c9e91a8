#include "kumquat/agent.h"

int
main (int argc, char **argv)
{
  return kq_agent_main (argc, (const char **)argv);
}
