/* Retry budget: limits retries to a fraction of recent requests, so that retries do not amplify an
 * overload. */
#pragma once

#include "kumquat/types.h"

#define KQ_RETRY_WINDOW_SECONDS 10 /* length of the sliding window */

/* Budgets of the two layers that may both retry a request. Combined they limit the load on a
 * failing service to (1 + 0.070) * (1 + 0.025) = 1.097 times the offered load. */
#define KQ_RETRY_CALLER_PERMILLE 70
#define KQ_RETRY_AGENT_PERMILLE  25

/**
 * struct KqRetryBudget - sliding window of request and retry counts
 * @permille: retries allowed per thousand requests
 * @second: the second of the newest counter
 * @requests: first attempts in each second of the window
 * @retries: retries in each second of the window
 */
typedef struct
{
  unsigned permille;
  int64_t second;
  uint32_t requests[KQ_RETRY_WINDOW_SECONDS];
  uint32_t retries[KQ_RETRY_WINDOW_SECONDS];
} KqRetryBudget;

/** kq_retry_budget_init - starts with an empty window, which allows no retry */
void kq_retry_budget_init (KqRetryBudget *budget, unsigned permille);

/** kq_retry_budget_count_request - counts the first attempt of a request */
void kq_retry_budget_count_request (KqRetryBudget *budget, KqTime now);

/**
 * kq_retry_budget_try_acquire - requests permission for one retry
 *
 * A retry is allowed if the retries within the last ten seconds, including this one, do not exceed
 * the configured fraction of the first attempts within the same period.
 *
 * Return: whether the retry may be sent; it is then counted.
 */
bool kq_retry_budget_try_acquire (KqRetryBudget *budget, KqTime now);

/**
 * enum KqRetryDecision - whether and how to retry a failed request
 * @KQ_RETRY_NEVER: do not retry: it may have run and is not idempotent; query the state with a GET
 * @KQ_RETRY_AS_NEW: it did not run; send it as a new request
 * @KQ_RETRY_RESEND: it may have run and is idempotent; send it again
 */
typedef enum
{
  KQ_RETRY_NEVER,
  KQ_RETRY_AS_NEW,
  KQ_RETRY_RESEND
} KqRetryDecision;

/**
 * kq_retry_decide - decides whether a failed request may be retried
 * @method: code of the request
 * @answer: code of the response, or 0 when there was none before the deadline
 */
KqRetryDecision kq_retry_decide (uint8_t method, uint8_t answer);

/**
 * kq_retry_delay_us - computes the delay before a retry: Max-Age plus randomized exponential
 * backoff
 * @max_age_s: Max-Age of the refusal; 0 when there was none
 * @attempt: 1 for the first retry
 * @random_fraction: random number in [0, 1)
 * @left_us: time until the caller's deadline
 *
 * Return: the delay, or KQ_NEVER when the retry would not precede the deadline.
 */
KqTime kq_retry_delay_us (uint32_t max_age_s, unsigned attempt, double random_fraction,
                          KqTime left_us);
