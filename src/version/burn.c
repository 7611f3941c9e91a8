/* Two ring buffers hold counter values: one every ten seconds for an hour, and one every five
 * minutes for three days. The count of a window is the last value minus the newest value that is at
 * least as old as the window, or minus the oldest value when the process is younger than the
 * window. */

#include <talloc.h>

#include "kumquat/burn.h"

#define FINE_US      (10 * KQ_SECOND)
#define FINE_COUNT   361
#define COARSE_US    (300 * KQ_SECOND)
#define COARSE_COUNT 865

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
 * @used: number of samples stored since the start, including overwritten ones
 * @distance_us: minimum time between two samples
 */
typedef struct
{
  Sample *samples;
  unsigned size;
  uint64_t used;
  KqTime distance_us;
} Ring;

/**
 * struct KqBurn - history of the counters of one process
 * @fine: samples of the last hour
 * @coarse: samples of the last three days
 * @last: the newest sample
 * @base: total counts before the last reset of the counters
 * @raw: the newest counters as passed to kq_burn_sample()
 */
struct KqBurn
{
  Ring fine;
  Ring coarse;
  Sample last;
  KqBurnCounts base;
  KqBurnCounts raw;
};

static const char *const names[] = {
  [KQ_BURN_5_MINUTES] = "5m", [KQ_BURN_1_HOUR] = "1h", [KQ_BURN_30_MINUTES] = "30m",
  [KQ_BURN_6_HOURS] = "6h",   [KQ_BURN_3_DAYS] = "3d",
};

static const KqTime lengths_us[] = {
  [KQ_BURN_5_MINUTES] = 300 * KQ_SECOND,   [KQ_BURN_1_HOUR] = 3600 * KQ_SECOND,
  [KQ_BURN_30_MINUTES] = 1800 * KQ_SECOND, [KQ_BURN_6_HOURS] = 21600 * KQ_SECOND,
  [KQ_BURN_3_DAYS] = 259200 * KQ_SECOND,
};

const char *
kq_burn_window_name (KqBurnWindow window)
{
  return names[window];
}

static void
push (Ring *ring, const Sample *sample)
{
  if (ring->used > 0)
    {
      const Sample *newest = &ring->samples[(ring->used - 1) % ring->size];
      if (sample->at - newest->at < ring->distance_us)
        return;
    }
  ring->samples[ring->used++ % ring->size] = *sample;
}

KqBurn *
kq_burn_new (const void *parent, KqTime now)
{
  KqBurn *burn = talloc_zero (parent, KqBurn);
  if (burn == NULL)
    return NULL;
  burn->fine = (Ring){ .size = FINE_COUNT, .distance_us = FINE_US };
  burn->coarse = (Ring){ .size = COARSE_COUNT, .distance_us = COARSE_US };
  burn->fine.samples = talloc_zero_array (burn, Sample, FINE_COUNT);
  burn->coarse.samples = talloc_zero_array (burn, Sample, COARSE_COUNT);
  if (burn->fine.samples == NULL || burn->coarse.samples == NULL)
    {
      talloc_free (burn);
      return NULL;
    }
  burn->last.at = now;
  push (&burn->fine, &burn->last);
  push (&burn->coarse, &burn->last);
  return burn;
}

void
kq_burn_sample (KqBurn *burn, const KqBurnCounts *counts, KqTime now)
{
  if (counts->total < burn->raw.total)
    burn->base = burn->last.counts;
  burn->raw = *counts;
  burn->last.at = now;
  burn->last.counts.total = burn->base.total + counts->total;
  burn->last.counts.good = burn->base.good + counts->good;
  burn->last.counts.worth = burn->base.worth + counts->worth;
  push (&burn->fine, &burn->last);
  push (&burn->coarse, &burn->last);
}

static const Sample *
find_start (const Ring *ring, KqTime since)
{
  uint64_t kept = ring->used < ring->size ? ring->used : ring->size;
  const Sample *found = &ring->samples[(ring->used - kept) % ring->size];
  for (uint64_t i = ring->used - kept; i < ring->used; i++)
    {
      const Sample *sample = &ring->samples[i % ring->size];
      if (sample->at > since)
        break;
      found = sample;
    }
  return found;
}

KqBurnCounts
kq_burn_counts (const KqBurn *burn, KqBurnWindow window, KqTime *covered_us)
{
  bool fine = lengths_us[window] <= FINE_US * (FINE_COUNT - 1);
  const Ring *ring = fine ? &burn->fine : &burn->coarse;
  const Sample *start = find_start (ring, burn->last.at - lengths_us[window]);
  const KqBurnCounts *last = &burn->last.counts;
  *covered_us = burn->last.at - start->at;
  if (*covered_us > lengths_us[window])
    *covered_us = lengths_us[window];
  return (KqBurnCounts){ .total = last->total - start->counts.total,
                         .good = last->good - start->counts.good,
                         .worth = last->worth - start->counts.worth };
}
