#include <math.h>
#include <string.h>
#include <talloc.h>

#include "change_run.h"
#include "kumquat/random.h"

#define SERVING_MIN  4
#define SERVING_MAX  10
#define SHORT_LIFE   (5 * KQ_SECOND)  /* mean flow duration */
#define LONG_LIFE    (45 * KQ_SECOND) /* duration of one flow in five */
#define SEND_MIN     (200 * KQ_MS)
#define SEND_SPREAD  (800 * KQ_MS)
#define WARM_UP      (5 * KQ_SECOND)
#define TAIL         (15 * KQ_SECOND)
#define REAP_EVERY   KQ_SECOND
#define LINGER       (12 * KQ_SECOND)
#define RESTART_TIME (8 * KQ_SECOND)
#define CALLER_PORTS 60000

typedef enum
{
  TARGET_NONE,
  TARGET_SERVING,
  TARGET_DRAINING,
  TARGET_LEFT,
  TARGET_CRASHED
} TargetState;

/* A flow of a caller. The generation counts the flows that replaced an ended one in this slot. */
typedef struct ChangeRun ChangeRun;
typedef struct
{
  ChangeRun *run;
  unsigned place;
  uint64_t generation;
  KqFlowKey key;
  KqTime ends_at;
  int target;
  unsigned target_life;
  bool broken;
} CallerFlow;

struct ChangeRun
{
  KqChangeParams params;
  KqFleet *fleet;
  KqRandom random;
  CallerFlow *flows;
  uint64_t last_flow;
  TargetState targets[KQ_FLEET_AGENTS_MAX];
  unsigned lives[KQ_FLEET_AGENTS_MAX];
  unsigned target_count;
  unsigned changes_made;
  unsigned crashed;
  KqChangeResult result;
};

static uint64_t
payload_of (const CallerFlow *flow)
{
  return flow->generation << 16 | flow->place;
}

static CallerFlow *
flow_of (ChangeRun *run, const KqPacket *packet)
{
  uint64_t payload;
  memcpy (&payload, packet->payload, sizeof payload);
  CallerFlow *flow = &run->flows[payload & 0xffff];
  return payload_of (flow) == payload ? flow : NULL;
}

static bool
target_lives (const ChangeRun *run, const CallerFlow *flow)
{
  unsigned target = (unsigned)flow->target;
  return kq_fleet_alive (run->fleet, target) && run->lives[target] == flow->target_life;
}

static void
on_deliver (unsigned agent, const KqPacket *packet, void *data)
{
  ChangeRun *run = data;
  CallerFlow *flow = flow_of (run, packet);
  run->result.delivered++;
  if (flow == NULL)
    return;
  bool same = flow->target == (int)agent && flow->target_life == run->lives[agent];
  if (flow->target >= 0 && !same)
    {
      bool running = target_lives (run, flow);
      run->result.broken += running && !flow->broken;
      run->result.lost += !running;
      flow->broken = flow->broken || running;
    }
  flow->target = (int)agent;
  flow->target_life = run->lives[agent];
}

static void
on_refused (unsigned agent, const KqPacket *packet, KqErrorKind reason, void *data)
{
  (void)agent;
  (void)reason;
  ChangeRun *run = data;
  const CallerFlow *flow = flow_of (run, packet);
  run->result.refused++;
  if (flow != NULL && flow->target >= 0 && target_lives (run, flow))
    run->result.refused_open++;
}

static unsigned
on_load (unsigned agent, void *data)
{
  (void)agent;
  ChangeRun *run = data;
  return (unsigned)kq_random_below (&run->random, 2000);
}

static void
open_flow (CallerFlow *flow)
{
  ChangeRun *run = flow->run;
  double life = (double)SHORT_LIFE * -log (1 - kq_random_double (&run->random));
  uint64_t number = run->last_flow++;
  memset (&flow->key, 0, sizeof flow->key);
  flow->key.service = 1;
  flow->key.caller.port = (uint16_t)(1 + number % CALLER_PORTS);
  flow->key.caller.ip[15] = (uint8_t)(1 + number / CALLER_PORTS);
  flow->key.caller.ip[14] = (uint8_t)(number % 200);
  flow->generation++;
  flow->target = -1;
  flow->broken = false;
  flow->ends_at =
      kq_fleet_now (run->fleet) + (flow->place % 5 == 0 ? LONG_LIFE : (KqTime)life + SEND_MIN);
  run->result.opened++;
}

static void
send_next (void *data)
{
  CallerFlow *flow = data;
  ChangeRun *run = flow->run;
  if (kq_fleet_now (run->fleet) >= flow->ends_at)
    open_flow (flow);
  run->result.sent++;
  kq_fleet_send (run->fleet, &flow->key, payload_of (flow));
  KqTime wait = SEND_MIN + (KqTime)kq_random_below (&run->random, (uint64_t)SEND_SPREAD);
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + wait, send_next, flow);
}

static unsigned
count_in (const ChangeRun *run, TargetState state)
{
  unsigned count = 0;
  for (unsigned i = 0; i < run->target_count; i++)
    count += run->targets[i] == state;
  return count;
}

static unsigned
random_in (ChangeRun *run, TargetState state)
{
  unsigned pick = (unsigned)kq_random_below (&run->random, count_in (run, state));
  for (unsigned i = 0;; i++)
    if (run->targets[i] == state && pick-- == 0)
      return i;
}

static void
join (ChangeRun *run)
{
  unsigned target = kq_fleet_join (run->fleet, 100);
  run->targets[target] = TARGET_SERVING;
  run->lives[target] = 1;
  run->target_count = target + 1;
}

static void
restart (void *data)
{
  ChangeRun *run = data;
  run->targets[run->crashed] = TARGET_SERVING;
  run->lives[run->crashed]++;
  kq_fleet_restart (run->fleet, run->crashed);
}

static void
crash (ChangeRun *run)
{
  run->crashed = random_in (run, TARGET_SERVING);
  run->targets[run->crashed] = TARGET_CRASHED;
  kq_fleet_crash (run->fleet, run->crashed);
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + RESTART_TIME, restart, run);
}

static void
change (void *data)
{
  ChangeRun *run = data;
  unsigned serving = count_in (run, TARGET_SERVING);
  bool may_crash = run->params.crashes && count_in (run, TARGET_CRASHED) == 0;
  bool grow = kq_random_below (&run->random, 2) == 0;
  if (may_crash && run->changes_made % 2 == 1)
    crash (run);
  else if (serving <= SERVING_MIN || (grow && serving < SERVING_MAX))
    {
      join (run);
      run->result.joined++;
    }
  else
    {
      unsigned target = random_in (run, TARGET_SERVING);
      run->targets[target] = TARGET_DRAINING;
      kq_fleet_drain (run->fleet, target);
    }
  if (++run->changes_made < run->params.changes)
    kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + run->params.change_every, change, run);
}

static bool
has_open_flow (const ChangeRun *run, unsigned target)
{
  for (unsigned i = 0; i < run->params.flows; i++)
    if (run->flows[i].target == (int)target)
      return true;
  return false;
}

/* Removes targets that have drained: neither a caller nor the target has an open flow there. */
static void
reap (void *data)
{
  ChangeRun *run = data;
  for (unsigned i = 0; i < run->target_count; i++)
    if (run->targets[i] == TARGET_DRAINING && !has_open_flow (run, i) &&
        kq_fleet_stats (run->fleet, i).flows_open == 0)
      {
        run->targets[i] = TARGET_LEFT;
        kq_fleet_leave (run->fleet, i, LINGER);
        run->result.left++;
      }
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + REAP_EVERY, reap, run);
}

static void
start (ChangeRun *run)
{
  const KqChangeParams *p = &run->params;
  KqFleetParams fleet = { .seed = p->seed,
                          .mode = p->mode,
                          .balancers = 3,
                          .delay = KQ_MS / 2,
                          .loss = p->loss,
                          .duplicate = p->duplicate,
                          .lag_max = p->lag_max,
                          .deliver = on_deliver,
                          .load = on_load,
                          .refused = on_refused,
                          .data = run };
  fleet.placement = (KqPlacementParams){ .flows_max = 2000,
                                         .directory_max = 20000,
                                         .idle_us = 10 * KQ_SECOND,
                                         .admit_load = 800,
                                         .load_step = 200 };
  run->fleet = kq_fleet_new (run, &fleet);
  kq_random_seed (&run->random, p->seed + 1);
  for (unsigned i = 0; i < p->targets; i++)
    join (run);
  run->flows = talloc_zero_array (run, CallerFlow, p->flows);
  for (unsigned i = 0; i < p->flows; i++)
    {
      run->flows[i].run = run;
      run->flows[i].place = i;
      open_flow (&run->flows[i]);
      KqTime first = KQ_SECOND + (KqTime)kq_random_below (&run->random, (uint64_t)KQ_SECOND);
      kq_fleet_at (run->fleet, first, send_next, &run->flows[i]);
    }
}

KqChangeResult
kq_change_run (const KqChangeParams *params)
{
  ChangeRun *run = talloc_zero (NULL, ChangeRun);
  run->params = *params;
  start (run);
  kq_fleet_at (run->fleet, WARM_UP, change, run);
  kq_fleet_at (run->fleet, WARM_UP, reap, run);
  kq_fleet_run (run->fleet, WARM_UP + params->changes * params->change_every + TAIL);
  KqChangeResult result = run->result;
  result.message_bytes = kq_fleet_message_bytes (run->fleet);
  result.seconds = (double)kq_fleet_now (run->fleet) / 1e6;
  talloc_free (run);
  return result;
}
