#include <CUnit/Basic.h>
#include <string.h>
#include <unistd.h>

#include "unit.h"

int
kq_unit_run (const char *suite, const KqUnitTest *tests, size_t count)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  CU_pSuite added = CU_add_suite (suite, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    CU_add_test (added, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}

/* The 24 host bits of 127.0.0.0/8 hold a set high bit, 21 bits of process id and two of @host. */
KqAddress
kq_unit_address (uint8_t host, uint16_t port)
{
  unsigned pid = (unsigned)getpid () & 0x1fffff;
  KqAddress address = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 127 }, .port = port };
  address.ip[13] = (uint8_t)(0x80 | (pid >> 14));
  address.ip[14] = (uint8_t)(pid >> 6);
  address.ip[15] = (uint8_t)((pid << 2) | (host & 3));
  return address;
}
