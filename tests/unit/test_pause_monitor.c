/* Tests of the detection of pauses of a process. */

#include <CUnit/Basic.h>

#include "kumquat/internal/pause_monitor.h"
#include "unit.h"

static void
test_pause (void)
{
  KqPauseMonitor monitor = { 0 };
  const KqTime start = 100 * KQ_SECOND;
  CU_ASSERT_EQUAL (kq_pause_monitor_event (&monitor, start), 0);
  CU_ASSERT_EQUAL (kq_pause_monitor_event (&monitor, start + 50 * KQ_MS), 0);
  CU_ASSERT_EQUAL (kq_pause_monitor_event (&monitor, start + 3050 * KQ_MS), 3000 * KQ_MS);
  CU_ASSERT_EQUAL (kq_pause_monitor_event (&monitor, start + 3051 * KQ_MS), 0);
}

/* An instance that has used up its quota is suspended for up to 100 ms. */
static void
test_throttling_is_no_pause (void)
{
  KqPauseMonitor monitor = { 0 };
  for (KqTime now = KQ_SECOND; now < 10 * KQ_SECOND; now += 150 * KQ_MS)
    CU_ASSERT_EQUAL (kq_pause_monitor_event (&monitor, now), 0);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "a long gap between events is a pause", test_pause },
    { "throttling is no pause", test_throttling_is_no_pause },
  };
  return kq_unit_run ("pause monitor", tests, sizeof tests / sizeof tests[0]);
}
