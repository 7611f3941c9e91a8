#include "kumquat/internal/service_pressure.h"

#include <string.h>

/* Age at which a report of waits is ignored. */
#define REPORT_MAX_AGE_US KQ_SECOND

/* Age at which a report says no more of its agent than the median of all reports does: about two
 * service times. */
#define REPORT_FADE_US (100 * KQ_MS)

/* Up to this expected wait, the first offer requires a free slot. Many waits of this length end
 * sooner at another agent, and the answer brings a current report. */
#define SHORT_WAIT_US (100 * KQ_MS)

/* A report is not taken for longer than this: a caller abandons its attempt before. */
#define WAIT_MAX_US (2 * KQ_SECOND)

/* Service time of an agent that reports none. */
#define SERVICE_DEFAULT_US (50 * KQ_MS)

#define SERVICE_TIME_MARGIN 2 /* as in admission.c: nearly all requests take less than this */

/* One of this many streams that are expected to be late is offered all the same, and one after
 * this time, so that a wrong report is noticed within a second. */
#define EXPLORE_EVERY       8
#define EXPLORE_INTERVAL_US (250 * KQ_MS)

/* A refusal needs an agent that has declined a stream for its wait within this time. Reports alone
 * are not enough: all of them may be wrong. */
#define CONFIRMED_US (250 * KQ_MS)

/* How long the reports of an agent that contradict its answers are ignored. */
#define DOUBT_US KQ_SECOND

/* An expected wait above this is contradicted by an answer in less than a quarter of it. Shorter
 * ones are within the variation of service times. */
#define CONTRADICTION_MIN_US (200 * KQ_MS)
#define CONTRADICTION_FACTOR 4

#define AVERAGE_DIVISOR 16

typedef struct
{
  KqTime waits[KQ_TARGET_CANDIDATES_MAX]; /* -1: not known */
  unsigned known_count;
  KqTime median;
  KqStreamTarget *best;
  KqTime best_wait;
  KqStreamTarget *oldest;
} Waits;

static unsigned
wait_class (const KqStreamNeed *need)
{
  return need->priority < KQ_WAIT_CLASSES ? need->priority : KQ_WAIT_CLASSES - 1;
}

static KqTime
service_us (const KqStreamTarget *target)
{
  KqTime reported = target->load.service_us;
  if (reported == 0)
    return SERVICE_DEFAULT_US;
  return reported < WAIT_MAX_US ? reported : WAIT_MAX_US;
}

/* Return: the wait that the agent has reported, or -1 when there is no usable report. */
static KqTime
reported_wait (const KqStreamTarget *target, unsigned class, KqTime now)
{
  if (target->load_at == 0 || now - target->load_at > REPORT_MAX_AGE_US ||
      target->load.slots == 0 || now < target->doubted_until)
    return -1;
  KqTime wait = target->load.wait_us[class];
  return wait < WAIT_MAX_US ? wait : WAIT_MAX_US;
}

/* The weight of a report decreases with its age in favour of the median, so that balancers that
 * received the same report do not all choose the same agent. A free slot counts as long as the
 * report does. What this balancer has offered since the report is added. */
static KqTime
current_wait (const KqStreamTarget *target, KqTime reported, KqTime median, KqTime now)
{
  KqTime age = now - target->load_at;
  KqTime slots = target->load.slots;
  KqTime free_slots = slots - (KqTime)target->load.running;
  KqTime offered = target->offered;
  if (reported == 0 && free_slots > 0)
    offered = offered > free_slots ? offered - free_slots : 0;
  if (age > REPORT_FADE_US)
    age = REPORT_FADE_US;
  KqTime wait = (reported * (REPORT_FADE_US - age) + median * age) / REPORT_FADE_US;
  if (reported == 0 && age < REPORT_FADE_US)
    wait = 0;
  return wait + offered * service_us (target) / slots;
}

/* The mean would let few agents with false reports raise the waits of all. */
static KqTime
median_wait (const KqTime *waits, unsigned count)
{
  KqTime sorted[KQ_TARGET_CANDIDATES_MAX];
  unsigned used = 0;
  for (unsigned i = 0; i < count; i++)
    {
      if (waits[i] < 0)
        continue;
      unsigned at = used++;
      for (; at > 0 && sorted[at - 1] > waits[i]; at--)
        sorted[at] = sorted[at - 1];
      sorted[at] = waits[i];
    }
  return used == 0 ? 0 : sorted[(used - 1) / 2];
}

static Waits
estimate_waits (KqStreamTarget *const *candidates, unsigned count, unsigned class, KqTime now)
{
  Waits waits = { .oldest = candidates[0] };
  for (unsigned i = 0; i < count; i++)
    {
      waits.waits[i] = reported_wait (candidates[i], class, now);
      if (candidates[i]->load_at < waits.oldest->load_at)
        waits.oldest = candidates[i];
      waits.known_count += waits.waits[i] >= 0;
    }
  waits.median = median_wait (waits.waits, count);
  for (unsigned i = 0; i < count; i++)
    {
      if (waits.waits[i] < 0)
        continue;
      KqTime wait = current_wait (candidates[i], waits.waits[i], waits.median, now);
      if (waits.best != NULL && wait >= waits.best_wait)
        continue;
      waits.best = candidates[i];
      waits.best_wait = wait;
    }
  return waits;
}

static bool
can_be_in_time (const KqStreamNeed *need, KqTime wait, KqTime service)
{
  return need->age_ms * KQ_MS + wait + SERVICE_TIME_MARGIN * service <= need->objective_ms * KQ_MS;
}

KqPressureDecision
kq_service_pressure_decide (KqServicePressure *pressure, uint32_t service, const KqStreamNeed *need,
                            KqStreamTarget *const *candidates, unsigned count, KqTime now)
{
  unsigned class = wait_class (need);
  unsigned entry = service % KQ_PRESSURE_SERVICES;
  Waits waits = estimate_waits (candidates, count, class, now);
  KqPressureDecision decision = { .action = KQ_PRESSURE_OFFER };
  if (waits.best == NULL)
    return decision;
  pressure->expected_us[class] +=
      (waits.best_wait - pressure->expected_us[class]) / AVERAGE_DIVISOR;
  decision.expected_wait_us = waits.best_wait;
  if (!need->may_wait && waits.best_wait <= SHORT_WAIT_US)
    return decision;
  decision.action = KQ_PRESSURE_QUEUE;
  decision.target = waits.best;
  if (waits.best_wait == 0 || can_be_in_time (need, waits.best_wait, service_us (waits.best)))
    return decision;
  KqTime confirmed_at = pressure->services[entry].confirmed_at[class];
  decision.explores = true;
  if (2 * waits.known_count < count || confirmed_at == 0 || now - confirmed_at > CONFIRMED_US)
    return decision;
  if (++pressure->services[entry].skipped < EXPLORE_EVERY &&
      now - pressure->services[entry].explored_at < EXPLORE_INTERVAL_US)
    {
      decision.action = KQ_PRESSURE_REFUSE;
      decision.target = NULL;
      decision.explores = false;
      return decision;
    }
  pressure->services[entry].skipped = 0;
  pressure->services[entry].explored_at = now;
  decision.target = waits.oldest;
  return decision;
}

void
kq_service_pressure_answered (KqServicePressure *pressure, KqStreamTarget *target,
                              const KqPressureOutcome *outcome, KqTime now)
{
  unsigned entry = outcome->service % KQ_PRESSURE_SERVICES;
  unsigned class = wait_class (&outcome->need);
  KqTime reported = target->load.wait_us[class];
  /* A stream that is late already may be queued although streams in time find room. */
  if (outcome->lacks_room && reported == 0 &&
      can_be_in_time (&outcome->need, 0, service_us (target)))
    target->doubted_until = now + DOUBT_US;
  if (outcome->overloaded)
    for (unsigned i = class; i < KQ_WAIT_CLASSES; i++)
      pressure->services[entry].confirmed_at[i] = now;
  if (!outcome->opened)
    return;
  if (outcome->explores && can_be_in_time (&outcome->need, outcome->took_us, service_us (target)))
    memset (pressure->services[entry].confirmed_at, 0, (class + 1) * sizeof (KqTime));
  if (outcome->expected_wait_us >= CONTRADICTION_MIN_US &&
      outcome->took_us < outcome->expected_wait_us / CONTRADICTION_FACTOR)
    target->doubted_until = now + DOUBT_US;
}
