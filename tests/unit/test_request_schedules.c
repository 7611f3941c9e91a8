/* Random schedules of loss, duplicates, stragglers, wrong agents, crashes, freezes and moves of
 * flows. Whatever happens, no POST runs twice, what was said not to have run did not run, and every
 * answer belongs to its request. With one rule switched off the same schedules break a promise, so
 * the checks can fail. */
#include <CUnit/Basic.h>
#include <talloc.h>

#include "model_world.h"
#include "unit.h"

#define SCHEDULES        2000
#define BROKEN_SCHEDULES 300
#define OPS              24
#define FLOWS            5
#define AGENTS           3
#define LENGTH_US        (20 * KQ_SECOND)
#define BURST_US         (2 * KQ_SECOND)
#define END_US           (70 * KQ_SECOND) /* after the last straggler */

/* Lifetimes are short, so that copies come after the end of each of them. */
static KqModelParams
hostile_params (uint64_t seed, unsigned disable)
{
  return (KqModelParams){ .seed = seed,
                          .agents = AGENTS,
                          .loss = 0.15,
                          .duplicate = 0.2,
                          .straggler = 0.15,
                          .straggler_us = seed % 2 == 0 ? 30 * KQ_SECOND : 3 * KQ_SECOND,
                          .misroute = 0.05,
                          .delay_us = 3 * KQ_MS,
                          .workers = 2,
                          .shed_above = 4,
                          .separate = 0.3,
                          .answer_loss = 0.05,
                          .answer_duplicate = 0.1,
                          .ignores_cancel = seed % 2 == 0,
                          .resend_us = 150 * KQ_MS,
                          .guard = { .slots = 2,
                                     .queue_max = 2,
                                     .deadline_us = KQ_SECOND,
                                     .kept_answers_max = 6,
                                     .kept_answer_us = 15 * KQ_SECOND,
                                     .echo_us = 6 * KQ_SECOND,
                                     .ramp_us = KQ_SECOND,
                                     .disable = disable } };
}

static void
fault (KqModelWorld *world, void *data)
{
  KqRandom *random = kq_model_random (world);
  unsigned agent = (unsigned)kq_random_below (random, AGENTS);
  KqTime duration = (KqTime)kq_random_below (random, 3 * KQ_SECOND);
  (void)data;
  switch (kq_random_below (random, 5))
    {
    case 0:
      kq_model_crash (world, agent, duration);
      break;
    case 1:
      kq_model_freeze_agent (world, agent, duration);
      break;
    case 2:
      kq_model_freeze_target (world, agent, duration);
      break;
    case 3:
      kq_model_drain (world, agent);
      break;
    default:
      kq_model_move_flow (world, (unsigned)kq_random_below (random, FLOWS), agent);
      break;
    }
}

static const uint8_t methods[] = { KQ_COAP_GET,  KQ_COAP_PUT,  KQ_COAP_POST,
                                   KQ_COAP_POST, KQ_COAP_POST, KQ_COAP_POST };

static void
schedule (KqModelWorld *world, KqTime length_us)
{
  KqRandom *random = kq_model_random (world);
  for (unsigned i = 0; i < OPS; i++)
    {
      KqModelOp op = { .method = methods[kq_random_below (random, sizeof methods)],
                       .service_us = (KqTime)kq_random_below (random, 400 * KQ_MS),
                       .deadline_us = KQ_SECOND + (KqTime)kq_random_below (random, 8 * KQ_SECOND),
                       .flow = (unsigned)kq_random_below (random, FLOWS) };
      kq_model_request (world, (KqTime)kq_random_below (random, (uint64_t)length_us), &op);
    }
  for (unsigned i = 0; i < 6; i++)
    kq_model_at (world, (KqTime)kq_random_below (random, LENGTH_US), fault, NULL);
}

static KqModelCheck
run_schedules (unsigned count, unsigned disable)
{
  KqModelCheck sum = { 0 };
  for (uint64_t seed = 1; seed <= count; seed++)
    {
      KqModelParams params = hostile_params (seed, disable);
      KqModelWorld *world = kq_model_new (NULL, &params);
      schedule (world, seed % 3 == 0 ? BURST_US : LENGTH_US);
      kq_model_run (world, END_US);
      KqModelCheck check = kq_model_check (world);
      if (disable == 0 &&
          check.doubled + check.false_not_run + check.wrong_answers + check.false_answers > 0)
        printf ("\nseed %llu: doubled %u, false not run %u, wrong answers %u, false answers %u\n",
                (unsigned long long)seed, check.doubled, check.false_not_run, check.wrong_answers,
                check.false_answers);
      sum.doubled += check.doubled;
      sum.false_not_run += check.false_not_run;
      sum.wrong_answers += check.wrong_answers;
      sum.false_answers += check.false_answers;
      sum.runs += check.runs;
      for (unsigned i = 0; i <= KQ_MODEL_TIMED_OUT; i++)
        sum.outcomes[i] += check.outcomes[i];
      talloc_free (world);
    }
  return sum;
}

static void
test_promises_hold (void)
{
  KqModelCheck sum = run_schedules (SCHEDULES, 0);
  CU_ASSERT (sum.doubled == 0);
  CU_ASSERT (sum.false_not_run == 0);
  CU_ASSERT (sum.wrong_answers == 0);
  CU_ASSERT (sum.false_answers == 0);
  printf ("answered %u, not run %u, unknown %u, timed out %u, runs %u ",
          sum.outcomes[KQ_MODEL_ANSWERED], sum.outcomes[KQ_MODEL_NOT_RUN],
          sum.outcomes[KQ_MODEL_UNKNOWN], sum.outcomes[KQ_MODEL_TIMED_OUT], sum.runs);
  /* The schedules reach every outcome, so the promises are not kept by doing nothing. */
  CU_ASSERT (sum.outcomes[KQ_MODEL_ANSWERED] > SCHEDULES);
  CU_ASSERT (sum.outcomes[KQ_MODEL_NOT_RUN] > SCHEDULES / 10);
  CU_ASSERT (sum.outcomes[KQ_MODEL_UNKNOWN] > SCHEDULES / 10);
}

static void
test_without_echo_requests_run_twice (void)
{
  CU_ASSERT (run_schedules (BROKEN_SCHEDULES, KQ_DISABLE_ECHO).doubled > 0);
}

static void
test_without_kept_answers_requests_run_twice (void)
{
  CU_ASSERT (run_schedules (BROKEN_SCHEDULES, KQ_DISABLE_KEPT_ANSWERS).doubled > 0);
}

static void
test_without_kept_refusals_not_run_is_false (void)
{
  CU_ASSERT (run_schedules (BROKEN_SCHEDULES, KQ_DISABLE_KEPT_REFUSALS).false_not_run > 0);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "promises hold", test_promises_hold },
    { "without Echo requests run twice", test_without_echo_requests_run_twice },
    { "without kept answers requests run twice", test_without_kept_answers_requests_run_twice },
    { "without kept refusals 'not run' is false", test_without_kept_refusals_not_run_is_false },
  };
  return kq_unit_run ("request schedules", tests, sizeof tests / sizeof tests[0]);
}
