/* Counts of requests over sliding windows, for the burn rate of a service level. */
#pragma once

#include "kumquat/types.h"

typedef struct KqBurn KqBurn;

/**
 * struct KqBurnCounts - counters since the start of the process, or over a window
 * @total: requests that had an outcome
 * @good: those answered in time
 * @worth: worth of the requests answered
 */
typedef struct
{
  uint64_t total;
  uint64_t good;
  uint64_t worth;
} KqBurnCounts;

/**
 * enum KqBurnWindow - windows of a report
 *
 * The first two show a fast burn, the next two a slow one, the last one is the budget's.
 */
typedef enum
{
  KQ_BURN_5_MINUTES,
  KQ_BURN_1_HOUR,
  KQ_BURN_30_MINUTES,
  KQ_BURN_6_HOURS,
  KQ_BURN_3_DAYS,
  KQ_BURN_WINDOWS
} KqBurnWindow;

/** kq_burn_window_name - Return: (borrowed) such as "5m" */
const char *kq_burn_window_name (KqBurnWindow window);

/** kq_burn_new - Return: (owned by @parent) an empty history, or NULL without memory */
KqBurn *kq_burn_new (const void *parent, KqTime now);

/** kq_burn_sample - takes the counters as they are now; call it at least once in ten seconds.
 * Counters that start again from 0, as with a new incarnation, go on from what was counted before
 */
void kq_burn_sample (KqBurn *burn, const KqBurnCounts *counts, KqTime now);

/**
 * kq_burn_counts - what was counted in a window up to the last sample
 * @covered_us: (out): how much of the window this process has seen; it forgets when it is replaced
 */
KqBurnCounts kq_burn_counts (const KqBurn *burn, KqBurnWindow window, KqTime *covered_us);
