/* Each balancer hears of a target only in answers to its own offers, so most reports are several
 * service times old. Then the requests that were reported have ended, and the best estimate is the
 * mean of the candidates. A choice by reports as such sends every stream to the target that was
 * idle long ago. */

#include "kumquat/internal/target_choice.h"

#include <math.h>

/* Service time while no agent has reported one. */
#define SERVICE_DEFAULT_US 50000

/* Bounds of reported values, which are not trusted. */
#define SERVICE_MIN_US       1000
#define SERVICE_MAX_US       3000000
#define SLOTS_MAX            4096
#define RUNNING_PER_SLOT_MAX 8

/* Age at which a report of running requests is ignored, and one of long streams. */
#define LOAD_MAX_AGE_US (2 * KQ_SECOND)
#define LONG_MAX_AGE_US (20 * KQ_SECOND)

/* The excess of a target over the mean decreases by e in this many service times. Queues of busy
 * targets change slower than single requests end. */
#define EXCESS_DECAY_SERVICES 5.0

/* The same for the load of long streams, which lasts as long as the streams. */
#define LONG_DECAY_US (10.0 * KQ_SECOND)

/* Load of long streams per slot above which a slot that is free now counts more than how long
 * streams will stay: the service is overloaded. One slot less, and it does not count more. */
#define LONG_FULL 2.0

/* Time between an agent's report and its arrival in which offers can cross it: one round trip to
 * another failure domain, and the time for the target to accept. */
#define OFFER_CROSSING_US (3 * KQ_MS)

/* Expected running and waiting requests per slot above which a stream may queue at its first offer.
 * Trials with 2.5 and 3 had more declined offers at 1.05 use. */
#define QUEUED_PER_SLOT 2.0

/* Share of long streams in the load above which that does not apply: their requests end soon, but
 * the streams would stay with the target. */
#define QUEUED_LONG_SHARE_MAX 0.25

/* Cost of an agent in another failure domain: two round trips. */
#define REMOTE_COST_US 4000.0

/* Cost of the load in service times, at a target whose expected load fills its slots. The wait
 * grows with the third power of the load, as far as the queue may grow before an agent declines.
 * The linear part spreads streams while no target has a queue. */
#define WAIT_AT_FULL 0.3
#define SPREAD_COST  0.1

static double
bounded (double value, double low, double high)
{
  return value < low ? low : value > high ? high : value;
}

static double
service_time (const KqTargetLoad *load)
{
  return bounded (load->service_us, SERVICE_MIN_US, SERVICE_MAX_US);
}

static double
slot_count (const KqTargetLoad *load)
{
  return bounded (load->slots, 1, SLOTS_MAX);
}

static double
reported_running (const KqTargetLoad *load)
{
  return bounded ((double)load->running + load->waiting, 0,
                  slot_count (load) * RUNNING_PER_SLOT_MAX);
}

static double
reported_long (const KqTargetLoad *load)
{
  return bounded (load->expected_permille / 1000.0, 0, slot_count (load) * RUNNING_PER_SLOT_MAX);
}

double
kq_choice_use (const KqTargetLoad *load)
{
  if (load->slots == 0)
    return 0;
  double running = reported_running (load);
  double long_running = reported_long (load);
  return (running > long_running ? running : long_running) / slot_count (load);
}

static bool
is_known (const KqChoiceCandidate *candidate, KqTime max_age_us, KqTime now)
{
  return candidate->load_at != 0 && candidate->load->slots > 0 &&
         now - candidate->load_at < max_age_us;
}

void
kq_offer_count_sent (KqOfferCount *offers, uint32_t service_us, KqTime now)
{
  double service =
      service_us == 0 ? SERVICE_DEFAULT_US : bounded (service_us, SERVICE_MIN_US, SERVICE_MAX_US);
  offers->running = offers->running * exp (-(double)(now - offers->at) / service) + 1;
  offers->at = now;
  offers->sent[offers->next++ % KQ_RECENT_OFFERS] = now;
}

void
kq_offer_count_reported (KqOfferCount *offers, KqTime now)
{
  unsigned kept = offers->next < KQ_RECENT_OFFERS ? offers->next : KQ_RECENT_OFFERS;
  offers->running = 0;
  offers->at = now;
  for (unsigned i = 0; i < kept; i++)
    offers->running += now - offers->sent[i] < OFFER_CROSSING_US;
}

KqChoiceMeans
kq_choice_means (const KqChoiceCandidate *candidates, unsigned count, KqTime now)
{
  KqChoiceMeans sum = { 0 };
  unsigned recent = 0;
  unsigned known = 0;
  for (unsigned i = 0; i < count; i++)
    {
      if (!is_known (&candidates[i], LONG_MAX_AGE_US, now))
        continue;
      known++;
      sum.long_running += reported_long (candidates[i].load);
      sum.service_us += service_time (candidates[i].load);
      sum.slots += slot_count (candidates[i].load);
      if (!is_known (&candidates[i], LOAD_MAX_AGE_US, now))
        continue;
      recent++;
      sum.running += reported_running (candidates[i].load);
    }
  if (known == 0)
    return (KqChoiceMeans){ .service_us = SERVICE_DEFAULT_US, .slots = 1 };
  sum.long_running /= known;
  sum.service_us /= known;
  sum.slots /= known;
  sum.most_recent = 4 * recent >= 3 * count;
  sum.running = recent == 0 ? sum.long_running : sum.running / recent;
  return sum;
}

/* Return: requests that long streams are expected to keep running. */
static double
expected_long (const KqChoiceCandidate *candidate, const KqChoiceMeans *means, KqTime now)
{
  if (!is_known (candidate, LONG_MAX_AGE_US, now))
    return means->long_running;
  double excess = reported_long (candidate->load) - means->long_running;
  return means->long_running + excess * exp (-(double)(now - candidate->load_at) / LONG_DECAY_US);
}

/* Running requests of a report decay towards the load that is expected in the long run: that of the
 * target's long streams, and the mean of short ones. Where long streams bring most of the load, a
 * new stream stays much longer than the reported queue, which therefore counts less. */
double
kq_choice_expected_running (const KqChoiceCandidate *candidate, const KqChoiceMeans *means,
                            KqTime now)
{
  double long_running = expected_long (candidate, means, now);
  double short_running = means->running - means->long_running;
  double expected = long_running + (short_running > 0 ? short_running : 0);
  double service = is_known (candidate, LONG_MAX_AGE_US, now) ? service_time (candidate->load)
                                                              : means->service_us;
  if (is_known (candidate, LOAD_MAX_AGE_US, now))
    {
      double excess = reported_running (candidate->load) - expected;
      double age = (double)(now - candidate->load_at);
      double long_share =
          means->running > 0 ? bounded (means->long_running / means->running, 0, 1) : 0;
      long_share *= bounded (LONG_FULL - means->long_running / slot_count (candidate->load), 0, 1);
      expected += excess * (1 - long_share) * exp (-age / (EXCESS_DECAY_SERVICES * service));
    }
  double since = (double)(now - candidate->offers->at);
  return expected + candidate->offers->running * exp (-since / service);
}

/* Targets with an unknown report count as the mean. A failing target answers faster than others and
 * must not be preferred for it: service times below the mean count as the mean. */
double
kq_choice_cost_us (const KqChoiceCandidate *candidate, const KqChoiceMeans *means, KqTime now)
{
  bool known = is_known (candidate, LONG_MAX_AGE_US, now);
  double service = means->service_us;
  double slots = known ? slot_count (candidate->load) : means->slots;
  if (known && service_time (candidate->load) > service)
    {
      double excess = service_time (candidate->load) - service;
      service += excess * exp (-(double)(now - candidate->load_at) / LOAD_MAX_AGE_US);
    }
  double load = (kq_choice_expected_running (candidate, means, now) + 1) / slots;
  return service * (1 + SPREAD_COST * load + WAIT_AT_FULL * load * load * load) +
         (candidate->remote ? REMOTE_COST_US : 0) + candidate->penalty_us;
}

bool
kq_choice_expects_queue (const KqChoiceCandidate *candidate, const KqChoiceMeans *means, KqTime now)
{
  return means->most_recent && is_known (candidate, LOAD_MAX_AGE_US, now) &&
         means->long_running <= QUEUED_LONG_SHARE_MAX * means->running &&
         kq_choice_expected_running (candidate, means, now) >=
             QUEUED_PER_SLOT * slot_count (candidate->load);
}

int
kq_choice_least_cost (const KqChoiceCandidate *candidates, unsigned count,
                      const KqChoiceMeans *means, KqTime now)
{
  int chosen = -1;
  double lowest = 0;
  for (unsigned i = 0; i < count; i++)
    {
      double cost = kq_choice_cost_us (&candidates[i], means, now);
      if (chosen >= 0 && cost >= lowest)
        continue;
      chosen = (int)i;
      lowest = cost;
    }
  return chosen;
}
