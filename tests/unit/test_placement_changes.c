#include <CUnit/Basic.h>

#include "change_run.h"
#include "unit.h"

static KqChurnResult
run (uint64_t seed, KqFleetMode mode, bool crashes)
{
  KqChurnParams params = { .seed = seed,
                           .mode = mode,
                           .targets = 7,
                           .flows = 300,
                           .changes = 20,
                           .change_every = 3 * KQ_SECOND,
                           .view_delay_max = 5 * KQ_SECOND,
                           .loss = 0.02,
                           .duplicate = 0.02,
                           .crashes = crashes };
  return kq_churn_run (&params);
}

static void
test_planned_changes_break_no_flow (void)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      KqChurnResult result = run (seed, KQ_FLEET_PLACEMENT, false);
      CU_ASSERT (result.broken == 0);
      CU_ASSERT (result.lost == 0);
      CU_ASSERT (result.refused_open == 0);
      CU_ASSERT (result.joined > 0 && result.left > 0 && result.opened > 1000);
    }
}

static void
test_crashes_break_only_flows_of_the_crashed (void)
{
  for (uint64_t seed = 11; seed <= 14; seed++)
    {
      KqChurnResult result = run (seed, KQ_FLEET_PLACEMENT, true);
      CU_ASSERT (result.broken == 0);
      CU_ASSERT (result.lost > 0);
    }
}

static void
test_baselines_break_flows (void)
{
  CU_ASSERT (run (1, KQ_FLEET_FLOW_TABLES, false).broken > 0);
  CU_ASSERT (run (1, KQ_FLEET_PREVIOUS_HOME, false).broken > 0);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "planned changes break no flow", test_planned_changes_break_no_flow },
    { "crashes break only flows of the crashed", test_crashes_break_only_flows_of_the_crashed },
    { "baselines break flows", test_baselines_break_flows },
  };
  return kq_unit_run ("placement changes", tests, sizeof tests / sizeof tests[0]);
}
