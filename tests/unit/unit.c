#include <CUnit/Basic.h>

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
