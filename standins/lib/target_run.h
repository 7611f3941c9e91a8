/* Simulates balancers that open streams at agents, with the decision code of both ends
 * (KqStreamTargets, KqAdmission, KqStreamDemand) in simulated time. */
#pragma once

#include "kumquat/types.h"

#define KQ_RUN_TARGETS 43
#define KQ_RUN_SLOTS   4

/**
 * enum KqTargetVariant - how a balancer chooses among the candidates of a stream
 * @KQ_VARIANT_TODAY: KqStreamTargets without load_estimation
 * @KQ_VARIANT_ESTIMATED: KqStreamTargets with load_estimation, see target_choice.h
 * @KQ_VARIANT_WEIGHTED: at random, weighted by the free slots that are expected
 * @KQ_VARIANT_TWO: the better of two of the candidates, by expected load
 * @KQ_VARIANT_SUBSET: by expected load, preferring a fixed subset of 15 targets for each balancer
 * @KQ_VARIANT_UNAGED: the reports as they were, plus offers since then with their expected ends
 * @KQ_VARIANT_FULL: by the current load of all candidates, with offers on their way
 */
typedef enum
{
  KQ_VARIANT_TODAY,
  KQ_VARIANT_ESTIMATED,
  KQ_VARIANT_WEIGHTED,
  KQ_VARIANT_TWO,
  KQ_VARIANT_SUBSET,
  KQ_VARIANT_UNAGED,
  KQ_VARIANT_FULL
} KqTargetVariant;

/**
 * struct KqTargetRunParams - one run
 * @seed: of the random numbers
 * @variant: how balancers choose
 * @use: requests as a share of what the targets can serve
 * @requests: mean number of requests of a stream; 1 for single requests, otherwise they vary from 1
 *   to twice as many, with different times between them
 * @slow: every seventh target takes twice as long for a request
 * @cold: twice a second a target takes 1.6 times as long for 2 s
 * @skewed: one failure domain has three times the callers of another
 * @warm_up: start of the measurement
 * @end: end of the run
 */
typedef struct
{
  uint64_t seed;
  KqTargetVariant variant;
  double use;
  unsigned requests;
  bool slow;
  bool cold;
  bool skewed;
  KqTime warm_up;
  KqTime end;
} KqTargetRunParams;

/**
 * struct KqTargetRunResult - what was measured
 * @p99_ms: 99th percentile of the waits of requests for their start
 * @late: share of the requests that started more than 200 ms late
 * @declined: declined offers an opening
 * @offers: offers an opening
 * @refused: share of the openings that were refused
 * @busiest: work done by the busiest target, relative to the mean
 */
typedef struct
{
  double p99_ms;
  double late;
  double declined;
  double offers;
  double refused;
  double busiest;
} KqTargetRunResult;

/** kq_target_run - Return: the measurements of one run; the same parameters give the same result */
KqTargetRunResult kq_target_run (const KqTargetRunParams *params);
