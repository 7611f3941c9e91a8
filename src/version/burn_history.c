/* Two ring buffers hold counter values: one every ten seconds for an hour, and one every five
 * minutes for three days. The count of a window is the last value minus the newest value that is at
 * least as old as the window, or minus the oldest value when the process is younger than the
 * window. */

#include <talloc.h>

#include "kumquat/burn_history.h"

#define FINE_INTERVAL_US   (10 * KQ_SECOND)
#define FINE_COUNT         361
#define COARSE_INTERVAL_US (300 * KQ_SECOND)
#define COARSE_COUNT       865

/**
 * struct Sample - counters at a point in time
 */
typedef struct
{
  KqTime at;
  KqBurnCounts counts;
} Sample;

/**
 * struct Ring - ring buffer of samples at a regular interval
 * @samples: (array): the samples
 * @size: length of @samples
 * @sample_count: number of samples stored since the start, including overwritten ones
 * @interval_us: minimum time between two samples
 */
typedef struct
{
  Sample *samples;
  unsigned size;
  uint64_t sample_count;
  KqTime interval_us;
} Ring;

/**
 * struct KqBurnHistory - history of the counters of one process
 * @fine: samples of the last hour
 * @coarse: samples of the last three days
 * @last: the newest sample
 * @counted_before_reset: total counts before the last reset of the counters
 * @last_counters: the newest counters as passed to kq_burn_sample()
 */
struct KqBurnHistory
{
  Ring fine;
  Ring coarse;
  Sample last;
  KqBurnCounts counted_before_reset;
  KqBurnCounts last_counters;
};

static const char *const window_names[] = {
  [KQ_BURN_5_MINUTES] = "5m", [KQ_BURN_1_HOUR] = "1h", [KQ_BURN_30_MINUTES] = "30m",
  [KQ_BURN_6_HOURS] = "6h",   [KQ_BURN_3_DAYS] = "3d",
};

static const KqTime window_lengths_us[] = {
  [KQ_BURN_5_MINUTES] = 300 * KQ_SECOND,   [KQ_BURN_1_HOUR] = 3600 * KQ_SECOND,
  [KQ_BURN_30_MINUTES] = 1800 * KQ_SECOND, [KQ_BURN_6_HOURS] = 21600 * KQ_SECOND,
  [KQ_BURN_3_DAYS] = 259200 * KQ_SECOND,
};

const char *
kq_burn_window_name (KqBurnWindow window)
{
  return window_names[window];
}

static void
store_sample (Ring *ring, const Sample *sample)
{
  if (ring->sample_count > 0)
    {
      const Sample *newest = &ring->samples[(ring->sample_count - 1) % ring->size];
      if (sample->at - newest->at < ring->interval_us)
        return;
    }
  ring->samples[ring->sample_count++ % ring->size] = *sample;
}

KqBurnHistory *
kq_burn_new (const void *parent, KqTime now)
{
  KqBurnHistory *burn = talloc_zero (parent, KqBurnHistory);
  if (burn == NULL)
    return NULL;
  burn->fine = (Ring){ .size = FINE_COUNT, .interval_us = FINE_INTERVAL_US };
  burn->coarse = (Ring){ .size = COARSE_COUNT, .interval_us = COARSE_INTERVAL_US };
  burn->fine.samples = talloc_zero_array (burn, Sample, FINE_COUNT);
  burn->coarse.samples = talloc_zero_array (burn, Sample, COARSE_COUNT);
  if (burn->fine.samples == NULL || burn->coarse.samples == NULL)
    {
      talloc_free (burn);
      return NULL;
    }
  burn->last.at = now;
  store_sample (&burn->fine, &burn->last);
  store_sample (&burn->coarse, &burn->last);
  return burn;
}

void
kq_burn_sample (KqBurnHistory *burn, const KqBurnCounts *counts, KqTime now)
{
  if (counts->total < burn->last_counters.total)
    burn->counted_before_reset = burn->last.counts;
  burn->last_counters = *counts;
  burn->last.at = now;
  burn->last.counts.total = burn->counted_before_reset.total + counts->total;
  burn->last.counts.good = burn->counted_before_reset.good + counts->good;
  burn->last.counts.worth = burn->counted_before_reset.worth + counts->worth;
  store_sample (&burn->fine, &burn->last);
  store_sample (&burn->coarse, &burn->last);
}

static const Sample *
find_start (const Ring *ring, KqTime since)
{
  uint64_t kept = ring->sample_count < ring->size ? ring->sample_count : ring->size;
  const Sample *found = &ring->samples[(ring->sample_count - kept) % ring->size];
  for (uint64_t i = ring->sample_count - kept; i < ring->sample_count; i++)
    {
      const Sample *sample = &ring->samples[i % ring->size];
      if (sample->at > since)
        break;
      found = sample;
    }
  return found;
}

KqBurnCounts
kq_burn_counts (const KqBurnHistory *burn, KqBurnWindow window, KqTime *covered_us)
{
  bool fine = window_lengths_us[window] <= FINE_INTERVAL_US * (FINE_COUNT - 1);
  const Ring *ring = fine ? &burn->fine : &burn->coarse;
  const Sample *start = find_start (ring, burn->last.at - window_lengths_us[window]);
  const KqBurnCounts *last = &burn->last.counts;
  *covered_us = burn->last.at - start->at;
  if (*covered_us > window_lengths_us[window])
    *covered_us = window_lengths_us[window];
  return (KqBurnCounts){ .total = last->total - start->counts.total,
                         .good = last->good - start->counts.good,
                         .worth = last->worth - start->counts.worth };
}
