/* Tests of the order of reports of one target process and of successive ones. */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/target_life.h"
#include "unit.h"

static KqTargetReport
report (const char *id, uint64_t born_ms, uint64_t sequence, KqTargetState state)
{
  KqTargetReport said = {
    .born_ms = born_ms, .sequence = sequence, .state = state, .slots = 5, .service = 1
  };
  snprintf (said.id, sizeof said.id, "%s", id);
  return said;
}

static KqTargetChange
say (KqTargetLife *life, const char *id, uint64_t born_ms, uint64_t sequence, KqTargetState state)
{
  KqTargetReport said = report (id, born_ms, sequence, state);
  return kq_target_life_report (life, &said, 0);
}

static void
test_one_life (void)
{
  KqTargetLife life = { 0 };
  CU_ASSERT_EQUAL (say (&life, "a", 10, 1, KQ_TARGET_READY), KQ_TARGET_CHANGED);
  CU_ASSERT_EQUAL (say (&life, "a", 10, 2, KQ_TARGET_READY), KQ_TARGET_SAME);
  CU_ASSERT_EQUAL (say (&life, "a", 10, 3, KQ_TARGET_DRAINING), KQ_TARGET_CHANGED);
  CU_ASSERT_EQUAL (life.report.state, KQ_TARGET_DRAINING);
  CU_ASSERT_EQUAL (say (&life, "a", 0, 0, KQ_TARGET_GONE), KQ_TARGET_CHANGED);
  CU_ASSERT_EQUAL (life.report.state, KQ_TARGET_GONE);
  CU_ASSERT_EQUAL (life.report.slots, 5);
}

/* An outdated report of the ready state arrives after the draining report. If it were applied, the
 * target would get new streams although draining was acknowledged. */
static void
test_late_calls (void)
{
  KqTargetLife life = { 0 };
  say (&life, "a", 10, 5, KQ_TARGET_DRAINING);
  CU_ASSERT_EQUAL (say (&life, "a", 10, 4, KQ_TARGET_READY), KQ_TARGET_LATE);
  CU_ASSERT_EQUAL (say (&life, "a", 10, 5, KQ_TARGET_READY), KQ_TARGET_LATE);
  CU_ASSERT_EQUAL (say (&life, "a", 10, 6, KQ_TARGET_READY), KQ_TARGET_LATE);
  CU_ASSERT_EQUAL (life.report.state, KQ_TARGET_DRAINING);
}

static void
test_born_again (void)
{
  KqTargetLife life = { 0 };
  say (&life, "a", 10, 900, KQ_TARGET_READY);
  CU_ASSERT_EQUAL (say (&life, "a", 20, 1, KQ_TARGET_READY), KQ_TARGET_REBORN);
  CU_ASSERT_EQUAL (say (&life, "a", 10, 901, KQ_TARGET_DRAINING), KQ_TARGET_LATE);
  CU_ASSERT_EQUAL (life.report.state, KQ_TARGET_READY);
  CU_ASSERT_EQUAL (say (&life, "b", 30, 1, KQ_TARGET_DRAINING), KQ_TARGET_REBORN);
  CU_ASSERT_EQUAL (say (&life, "a", 0, 0, KQ_TARGET_GONE), KQ_TARGET_LATE);
  CU_ASSERT_EQUAL (life.report.state, KQ_TARGET_DRAINING);
  CU_ASSERT_EQUAL (say (&life, "b", 25, 0, KQ_TARGET_GONE), KQ_TARGET_LATE);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "ready, draining, gone", test_one_life },
    { "late reports are ignored", test_late_calls },
    { "reports of an earlier process are ignored", test_born_again },
  };
  return kq_unit_run ("target process", tests, sizeof tests / sizeof tests[0]);
}
