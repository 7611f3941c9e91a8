#include <string.h>

#include "kumquat/coap_message.h"
#include "kumquat/retry_budget.h"

#define BASE_DELAY_US        (50 * KQ_MS)
#define BACKOFF_EXPONENT_MAX 6 /* the delay bound grows up to 2^6 times BASE_DELAY_US */

void
kq_retry_budget_init (KqRetryBudget *budget, unsigned permille)
{
  memset (budget, 0, sizeof *budget);
  budget->permille = permille;
}

/* Advances the sliding window to @now and clears the counters of the seconds that have left it.
 *
 * Return: index of the current second. */
static unsigned
advance (KqRetryBudget *budget, KqTime now)
{
  int64_t second = now / KQ_SECOND;
  int64_t steps = second - budget->second;
  if (steps > KQ_RETRY_WINDOW_SECONDS)
    steps = KQ_RETRY_WINDOW_SECONDS;
  for (int64_t i = 0; i < steps; i++)
    {
      unsigned slot = (unsigned)((second - i) % KQ_RETRY_WINDOW_SECONDS);
      budget->requests[slot] = 0;
      budget->retries[slot] = 0;
    }
  if (steps > 0)
    budget->second = second;
  return (unsigned)(budget->second % KQ_RETRY_WINDOW_SECONDS);
}

void
kq_retry_budget_count_request (KqRetryBudget *budget, KqTime now)
{
  budget->requests[advance (budget, now)]++;
}

bool
kq_retry_budget_try_acquire (KqRetryBudget *budget, KqTime now)
{
  uint64_t requests = 0;
  uint64_t retries = 0;
  unsigned slot = advance (budget, now);
  for (unsigned i = 0; i < KQ_RETRY_WINDOW_SECONDS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  if ((retries + 1) * 1000 > requests * budget->permille)
    return false;
  budget->retries[slot]++;
  return true;
}

KqRetryDecision
kq_retry_decide (uint8_t method, uint8_t answer)
{
  bool idempotent = method != KQ_COAP_POST && method != KQ_COAP_PATCH;
  if (answer == KQ_COAP_SERVICE_UNAVAILABLE)
    return KQ_RETRY_AS_NEW;
  if (answer == 0 || answer == KQ_COAP_GATEWAY_TIMEOUT)
    return idempotent ? KQ_RETRY_RESEND : KQ_RETRY_NEVER;
  return KQ_RETRY_NEVER;
}

KqTime
kq_retry_delay_us (uint32_t max_age_s, unsigned attempt, double random_fraction, KqTime left_us)
{
  unsigned exponent = attempt > BACKOFF_EXPONENT_MAX ? BACKOFF_EXPONENT_MAX : attempt;
  KqTime backoff_us = BASE_DELAY_US << exponent;
  KqTime delay_us = max_age_s * KQ_SECOND + (KqTime)(random_fraction * (double)backoff_us);
  return delay_us < left_us ? delay_us : KQ_NEVER;
}
