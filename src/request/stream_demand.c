/* The rate of a stream is the reciprocal of the smoothed interval of its requests. It is known from
 * the second request on, and decreases while the stream is idle for longer than that interval. The
 * rates are kept in whole requests per 1000 s, so that their sum has no rounding errors. */

#include "kumquat/internal/stream_demand.h"

/* A new interval has a weight of 1/4. */
#define INTERVAL_DIVISOR 4

/* The rate of one more stream has a weight of 1/16 in the mean of recent streams. */
#define NEW_RATE_DIVISOR 16

#define RATE_INTERVAL_US (1000 * KQ_SECOND)

/* Shortest interval: requests of one stream follow one another, and take at least this long. */
#define INTERVAL_MIN_US KQ_MS

/* Expected load above which a target takes no new long streams, per slot. The measured service time
 * includes waits in the target's queue, so a target that is used to its capacity can expect more
 * requests than it has slots. */
#define EXPECTED_PER_SLOT_MAX 2.0

/* Below this rate, recent streams count as streams of one request. */
#define NEW_RATE_MIN 1.0

static void
set_rate (KqDemandTotals *totals, KqStreamDemand *demand, uint32_t rate)
{
  totals->rate -= demand->rate;
  totals->rate += rate;
  demand->rate = rate;
}

static uint32_t
rate_of_interval (KqTime interval_us)
{
  return (uint32_t)(RATE_INTERVAL_US /
                    (interval_us < INTERVAL_MIN_US ? INTERVAL_MIN_US : interval_us));
}

/* Every stream is sampled once: at its second request, or at its end without one. */
static void
sample_stream (KqDemandTotals *totals, double rate)
{
  totals->new_rate += (rate - totals->new_rate) / NEW_RATE_DIVISOR;
}

void
kq_stream_demand_open (KqDemandTotals *totals, KqStreamDemand *demand, KqTime now)
{
  demand->last_at = now;
  if (totals->new_rate >= NEW_RATE_MIN)
    set_rate (totals, demand, (uint32_t)totals->new_rate);
}

void
kq_stream_demand_request (KqDemandTotals *totals, KqStreamDemand *demand, KqTime now)
{
  KqTime interval = now - demand->last_at;
  demand->last_at = now;
  demand->requests++;
  if (demand->requests < 2)
    return;
  if (demand->requests == 2)
    demand->interval_us = interval;
  else
    demand->interval_us += (interval - demand->interval_us) / INTERVAL_DIVISOR;
  set_rate (totals, demand, rate_of_interval (demand->interval_us));
  if (demand->requests == 2)
    sample_stream (totals, demand->rate);
}

void
kq_stream_demand_update (KqDemandTotals *totals, KqStreamDemand *demand, KqTime now)
{
  uint32_t idle_rate = rate_of_interval (now - demand->last_at);
  if (idle_rate < demand->rate)
    set_rate (totals, demand, idle_rate);
}

void
kq_stream_demand_close (KqDemandTotals *totals, KqStreamDemand *demand)
{
  if (demand->requests == 1)
    sample_stream (totals, 0);
  demand->requests = 0;
  set_rate (totals, demand, 0);
}

uint32_t
kq_demand_expected_permille (const KqDemandTotals *totals, KqTime service_us)
{
  double expected = (double)totals->rate * (double)service_us / (double)KQ_SECOND;
  return expected >= UINT32_MAX ? UINT32_MAX : (uint32_t)expected;
}

bool
kq_demand_exceeds (const KqDemandTotals *totals, KqTime service_us, unsigned slots)
{
  if (totals->new_rate < NEW_RATE_MIN)
    return false;
  double expected = ((double)totals->rate + totals->new_rate) * (double)service_us;
  return expected > EXPECTED_PER_SLOT_MAX * (double)slots * (double)RATE_INTERVAL_US;
}
