/* Limits retries to a share of recent requests, so that they do not add to an overload. */
#pragma once

#include "kumquat/types.h"

#define KQ_RETRY_WINDOW_SECONDS 10 /* what counts as recent */

/* Shares of two layers that may both retry the same request. Together they let a service that fails
 * see at most (1 + 0.070) * (1 + 0.025) = 1.097 times its offered load. */
#define KQ_RETRY_CALLER_PERMILLE 70
#define KQ_RETRY_AGENT_PERMILLE  25

/**
 * struct KqRetryBudget - requests and retries of the last seconds
 * @permille: retries allowed for each thousand requests
 * @second: the second that the newest slot stands for
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

/** kq_retry_budget_init - starts without any allowance */
void kq_retry_budget_init (KqRetryBudget *budget, unsigned permille);

/** kq_retry_budget_request - counts a request that is tried for the first time */
void kq_retry_budget_request (KqRetryBudget *budget, KqTime now);

/**
 * kq_retry_budget_take - asks for one retry
 *
 * In the ten seconds up to an allowed retry, it and the retries before it are at most the share of
 * the first attempts in the same seconds.
 *
 * Return: whether the retry may be sent; it is then counted.
 */
bool kq_retry_budget_take (KqRetryBudget *budget, KqTime now);

/**
 * enum KqRetryVerdict - what a layer does about a failed request
 * @KQ_RETRY_NEVER: it may have run and must not run twice; ask with a GET
 * @KQ_RETRY_NEW: it did not run: send it as a new request
 * @KQ_RETRY_SAME: it may have run and running it again does no harm
 */
typedef enum
{
  KQ_RETRY_NEVER,
  KQ_RETRY_NEW,
  KQ_RETRY_SAME
} KqRetryVerdict;

/**
 * kq_retry_verdict - decides whether a request may be tried again at all
 * @method: code of the request
 * @answer: code of the answer, or 0 when none came until the deadline
 */
KqRetryVerdict kq_retry_verdict (uint8_t method, uint8_t answer);

/**
 * kq_retry_delay_us - how long to wait before a retry
 * @max_age_s: of the refusal; 0 when there was none
 * @attempt: 1 for the first retry
 * @lot: random number from 0 inclusive to 1 exclusive
 * @left_us: time until the caller's deadline
 *
 * Return: the delay, or KQ_NEVER when it would end after the deadline.
 */
KqTime kq_retry_delay_us (uint32_t max_age_s, unsigned attempt, double lot, KqTime left_us);
