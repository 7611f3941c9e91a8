#include <CUnit/Basic.h>

#include "kumquat/coap_message.h"
#include "kumquat/random.h"
#include "kumquat/retry_budget.h"
#include "unit.h"

static void
test_empty_window_allows_no_retry (void)
{
  KqRetryBudget budget;
  kq_retry_budget_init (&budget, 100);
  CU_ASSERT (!kq_retry_budget_try_acquire (&budget, 0));
  for (unsigned i = 0; i < 9; i++)
    kq_retry_budget_count_request (&budget, 0);
  CU_ASSERT (!kq_retry_budget_try_acquire (&budget, 0));
  kq_retry_budget_count_request (&budget, 0);
  CU_ASSERT (kq_retry_budget_try_acquire (&budget, 0));
  CU_ASSERT (!kq_retry_budget_try_acquire (&budget, 0));
}

static void
test_requests_outside_window_allow_no_retry (void)
{
  KqRetryBudget budget;
  kq_retry_budget_init (&budget, 100);
  for (unsigned i = 0; i < 1000; i++)
    kq_retry_budget_count_request (&budget, 5 * KQ_SECOND);
  CU_ASSERT (kq_retry_budget_try_acquire (&budget, 14 * KQ_SECOND));
  CU_ASSERT (!kq_retry_budget_try_acquire (&budget, 15 * KQ_SECOND));
  CU_ASSERT (!kq_retry_budget_try_acquire (&budget, 1000 * KQ_SECOND));
  CU_ASSERT (!kq_retry_budget_try_acquire (&budget, 20 * KQ_SECOND)); /* the clock went backwards */
}

/* Two layers retry independently while every request fails, with bursts: the arriving load is at
 * most 1.1 times the offered load. */
static void
test_layers_stay_below_target (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      KqRetryBudget caller;
      KqRetryBudget agent;
      KqRandom random;
      uint64_t offered = 0;
      uint64_t arrived = 0;
      kq_retry_budget_init (&caller, KQ_RETRY_CALLER_PERMILLE);
      kq_retry_budget_init (&agent, KQ_RETRY_AGENT_PERMILLE);
      kq_random_seed (&random, seed);
      KqTime now = 0;
      for (unsigned i = 0; i < 20000; i++)
        {
          now += (KqTime)kq_random_below (&random, i % 4000 < 2000 ? 300 : 30000);
          unsigned attempts = 1;
          kq_retry_budget_count_request (&caller, now);
          while (attempts < 4 && kq_retry_budget_try_acquire (&caller, now))
            attempts++;
          for (unsigned k = 0; k < attempts; k++)
            {
              kq_retry_budget_count_request (&agent, now);
              arrived += 1 + kq_retry_budget_try_acquire (&agent, now);
            }
          offered++;
          CU_ASSERT (10 * arrived <= 11 * offered);
        }
      CU_ASSERT (arrived > offered); /* some retries are allowed */
    }
}

static void
test_decisions (void)
{
  CU_ASSERT (kq_retry_decide (KQ_COAP_POST, KQ_COAP_SERVICE_UNAVAILABLE) == KQ_RETRY_AS_NEW);
  CU_ASSERT (kq_retry_decide (KQ_COAP_POST, KQ_COAP_GATEWAY_TIMEOUT) == KQ_RETRY_NEVER);
  CU_ASSERT (kq_retry_decide (KQ_COAP_POST, 0) == KQ_RETRY_NEVER);
  CU_ASSERT (kq_retry_decide (KQ_COAP_PATCH, 0) == KQ_RETRY_NEVER);
  CU_ASSERT (kq_retry_decide (KQ_COAP_GET, 0) == KQ_RETRY_RESEND);
  CU_ASSERT (kq_retry_decide (KQ_COAP_PUT, KQ_COAP_GATEWAY_TIMEOUT) == KQ_RETRY_RESEND);
  CU_ASSERT (kq_retry_decide (KQ_COAP_GET, KQ_COAP_NOT_FOUND) == KQ_RETRY_NEVER);
}

static void
test_delays_end_before_the_deadline (void)
{
  CU_ASSERT (kq_retry_delay_us (2, 1, 0.0, 3 * KQ_SECOND) == 2 * KQ_SECOND);
  CU_ASSERT (kq_retry_delay_us (2, 1, 0.5, 3 * KQ_SECOND) > 2 * KQ_SECOND);
  CU_ASSERT (kq_retry_delay_us (3, 1, 0.0, 3 * KQ_SECOND) == KQ_NEVER);
  CU_ASSERT (kq_retry_delay_us (0, 1000, 0.99, KQ_NEVER) < 4 * KQ_SECOND);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "an empty window allows no retry", test_empty_window_allows_no_retry },
    { "requests outside the window allow no retry", test_requests_outside_window_allow_no_retry },
    { "retries of two layers stay below 1.1 times the load", test_layers_stay_below_target },
    { "retry decisions", test_decisions },
    { "delays end before the deadline", test_delays_end_before_the_deadline },
  };
  return kq_unit_run ("retry budget", tests, sizeof tests / sizeof tests[0]);
}
