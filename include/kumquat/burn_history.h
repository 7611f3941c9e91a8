/* Request counts over sliding windows, for the burn rate of a service level objective. */
#pragma once

#include "kumquat/types.h"

typedef struct KqBurnHistory KqBurnHistory;

/**
 * struct KqBurnCounts - counts since the start of the process, or in a window
 * @total: requests with an outcome
 * @good: requests answered in time
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
 * The first two detect a fast burn, the next two a slow one; the last one is the period of the
 * error budget.
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

/** kq_burn_window_name - Return: (borrowed) the name of a window, such as "5m" */
const char *kq_burn_window_name (KqBurnWindow window);

/** kq_burn_new - Return: (owned by @parent) an empty history, or NULL when out of memory */
KqBurnHistory *kq_burn_new (const void *parent, KqTime now);

/** kq_burn_sample - records the current counters; must be called at least once in ten seconds.
 * After a reset of the counters to 0, as in a new incarnation, counting continues from the last
 * sample */
void kq_burn_sample (KqBurnHistory *burn, const KqBurnCounts *counts, KqTime now);

/**
 * kq_burn_counts - Return: the counts in a window that ends at the last sample
 * @covered_us: (out): part of the window that the history covers; a replaced process starts with an
 *   empty history
 */
KqBurnCounts kq_burn_counts (const KqBurnHistory *burn, KqBurnWindow window, KqTime *covered_us);
