/* Randomized fault schedules: loss, duplicates, delayed datagrams, wrong agents, crashes, freezes
 * and moved flows. Checks that no POST runs twice, that no request reported as "not run" did run,
 * and that every answer belongs to its request. With one rule of the guard disabled, the same
 * schedules must violate a guarantee, which shows that the checks can fail. */
#include <CUnit/Basic.h>

#include "model_faults.h"
#include "unit.h"

#define SCHEDULES               2000
#define DISABLED_RULE_SCHEDULES 300

static KqModelCheck
run_schedules (unsigned count, unsigned disable)
{
  KqModelCheck sum = { 0 };
  for (uint64_t seed = 1; seed <= count; seed++)
    {
      KqModelCheck check = kq_model_faults_run (seed, disable);
      unsigned violations =
          check.duplicate_runs + check.false_not_run + check.wrong_answers + check.false_answers;
      if (disable == 0 && violations > 0)
        printf ("\nseed %llu: doubled %u, false not run %u, wrong answers %u, false answers %u\n",
                (unsigned long long)seed, check.duplicate_runs, check.false_not_run,
                check.wrong_answers, check.false_answers);
      kq_model_check_add (&sum, &check);
    }
  return sum;
}

static void
test_guarantees_hold (void)
{
  KqModelCheck sum = run_schedules (SCHEDULES, 0);
  CU_ASSERT (sum.duplicate_runs == 0);
  CU_ASSERT (sum.false_not_run == 0);
  CU_ASSERT (sum.wrong_answers == 0);
  CU_ASSERT (sum.false_answers == 0);
  printf ("answered %u, not run %u, unknown %u, timed out %u, runs %u ",
          sum.outcomes[KQ_MODEL_ANSWERED], sum.outcomes[KQ_MODEL_NOT_RUN],
          sum.outcomes[KQ_MODEL_UNKNOWN], sum.outcomes[KQ_MODEL_TIMED_OUT], sum.runs);
  /* Every outcome occurs, so the guarantees are not met merely by refusing all requests. */
  CU_ASSERT (sum.outcomes[KQ_MODEL_ANSWERED] > SCHEDULES);
  CU_ASSERT (sum.outcomes[KQ_MODEL_NOT_RUN] > SCHEDULES / 10);
  CU_ASSERT (sum.outcomes[KQ_MODEL_UNKNOWN] > SCHEDULES / 10);
}

static void
test_without_echo_requests_run_twice (void)
{
  CU_ASSERT (run_schedules (DISABLED_RULE_SCHEDULES, KQ_DISABLE_ECHO).duplicate_runs > 0);
}

static void
test_without_answer_dedup_requests_run_twice (void)
{
  CU_ASSERT (run_schedules (DISABLED_RULE_SCHEDULES, KQ_DISABLE_ANSWER_DEDUP).duplicate_runs > 0);
}

static void
test_without_refusal_dedup_not_run_is_false (void)
{
  CU_ASSERT (run_schedules (DISABLED_RULE_SCHEDULES, KQ_DISABLE_REFUSAL_DEDUP).false_not_run > 0);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "guarantees hold", test_guarantees_hold },
    { "without Echo requests run twice", test_without_echo_requests_run_twice },
    { "without stored answers requests run twice", test_without_answer_dedup_requests_run_twice },
    { "without stored refusals 'not run' is false", test_without_refusal_dedup_not_run_is_false },
  };
  return kq_unit_run ("request schedules", tests, sizeof tests / sizeof tests[0]);
}
