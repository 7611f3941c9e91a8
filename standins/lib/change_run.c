#include <math.h>
#include <string.h>
#include <talloc.h>

#include "change_run.h"
#include "kumquat/random.h"

#define SERVING_MIN          4
#define SERVING_MAX          10
#define SHORT_FLOW_LIFETIME  (5 * KQ_SECOND)  /* mean flow duration */
#define LONG_FLOW_LIFETIME   (45 * KQ_SECOND) /* duration of one flow in five */
#define SEND_MIN             (200 * KQ_MS)
#define SEND_SPREAD          (800 * KQ_MS)
#define WARM_UP              (5 * KQ_SECOND)
#define COOL_DOWN            (15 * KQ_SECOND)
#define DRAIN_CHECK_INTERVAL KQ_SECOND
#define LINGER               (12 * KQ_SECOND)
#define RESTART_TIME         (8 * KQ_SECOND)
#define CALLER_PORTS         60000

typedef enum
{
  TARGET_NONE,
  TARGET_SERVING,
  TARGET_DRAINING,
  TARGET_LEFT,
  TARGET_CRASHED
} TargetState;

/* A flow of a caller. The generation counts the flows that replaced an ended one in this slot. */
typedef struct ChurnRun ChurnRun;
typedef struct
{
  ChurnRun *run;
  unsigned flow_index;
  uint64_t generation;
  KqFlowKey key;
  KqTime ends_at;
  int target;
  unsigned target_incarnation;
  bool broken;
} SimulatedFlow;

struct ChurnRun
{
  KqChurnParams params;
  KqFleet *fleet;
  KqRandom random;
  SimulatedFlow *flows;
  uint64_t next_flow_number;
  TargetState targets[KQ_FLEET_AGENTS_MAX];
  unsigned incarnations[KQ_FLEET_AGENTS_MAX];
  unsigned target_count;
  unsigned changes_made;
  unsigned crashed;
  KqChurnResult result;
};

static uint64_t
payload_of (const SimulatedFlow *flow)
{
  return flow->generation << 16 | flow->flow_index;
}

static SimulatedFlow *
flow_of (ChurnRun *run, const KqPacket *packet)
{
  uint64_t payload;
  memcpy (&payload, packet->payload, sizeof payload);
  SimulatedFlow *flow = &run->flows[payload & 0xffff];
  return payload_of (flow) == payload ? flow : NULL;
}

static bool
target_running (const ChurnRun *run, const SimulatedFlow *flow)
{
  unsigned target = (unsigned)flow->target;
  return kq_fleet_alive (run->fleet, target) &&
         run->incarnations[target] == flow->target_incarnation;
}

static void
on_deliver (unsigned agent, const KqPacket *packet, void *data)
{
  ChurnRun *run = data;
  SimulatedFlow *flow = flow_of (run, packet);
  run->result.delivered++;
  if (flow == NULL)
    return;
  bool same = flow->target == (int)agent && flow->target_incarnation == run->incarnations[agent];
  if (flow->target >= 0 && !same)
    {
      bool running = target_running (run, flow);
      run->result.broken += running && !flow->broken;
      run->result.lost += !running;
      flow->broken = flow->broken || running;
    }
  flow->target = (int)agent;
  flow->target_incarnation = run->incarnations[agent];
}

static void
on_refused (unsigned agent, const KqPacket *packet, KqErrorKind reason, void *data)
{
  (void)agent;
  (void)reason;
  ChurnRun *run = data;
  const SimulatedFlow *flow = flow_of (run, packet);
  run->result.refused++;
  if (flow != NULL && flow->target >= 0 && target_running (run, flow))
    run->result.refused_open++;
}

static unsigned
on_load (unsigned agent, void *data)
{
  (void)agent;
  ChurnRun *run = data;
  return (unsigned)kq_random_below (&run->random, 2000);
}

static void
open_flow (SimulatedFlow *flow)
{
  ChurnRun *run = flow->run;
  double lifetime = (double)SHORT_FLOW_LIFETIME * -log (1 - kq_random_double (&run->random));
  uint64_t number = run->next_flow_number++;
  memset (&flow->key, 0, sizeof flow->key);
  flow->key.service = 1;
  flow->key.caller.port = (uint16_t)(1 + number % CALLER_PORTS);
  flow->key.caller.ip[15] = (uint8_t)(1 + number / CALLER_PORTS);
  flow->key.caller.ip[14] = (uint8_t)(number % 200);
  flow->generation++;
  flow->target = -1;
  flow->broken = false;
  flow->ends_at = kq_fleet_now (run->fleet) +
                  (flow->flow_index % 5 == 0 ? LONG_FLOW_LIFETIME : (KqTime)lifetime + SEND_MIN);
  run->result.opened++;
}

static void
send_next (void *data)
{
  SimulatedFlow *flow = data;
  ChurnRun *run = flow->run;
  if (kq_fleet_now (run->fleet) >= flow->ends_at)
    open_flow (flow);
  run->result.sent++;
  kq_fleet_send (run->fleet, &flow->key, payload_of (flow));
  KqTime wait = SEND_MIN + (KqTime)kq_random_below (&run->random, (uint64_t)SEND_SPREAD);
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + wait, send_next, flow);
}

static unsigned
count_targets (const ChurnRun *run, TargetState state)
{
  unsigned count = 0;
  for (unsigned i = 0; i < run->target_count; i++)
    count += run->targets[i] == state;
  return count;
}

static unsigned
random_target (ChurnRun *run, TargetState state)
{
  unsigned pick = (unsigned)kq_random_below (&run->random, count_targets (run, state));
  for (unsigned i = 0;; i++)
    if (run->targets[i] == state && pick-- == 0)
      return i;
}

static void
join_target (ChurnRun *run)
{
  unsigned target = kq_fleet_join (run->fleet, 100);
  run->targets[target] = TARGET_SERVING;
  run->incarnations[target] = 1;
  run->target_count = target + 1;
}

static void
restart_target (void *data)
{
  ChurnRun *run = data;
  run->targets[run->crashed] = TARGET_SERVING;
  run->incarnations[run->crashed]++;
  kq_fleet_restart (run->fleet, run->crashed);
}

static void
crash_target (ChurnRun *run)
{
  run->crashed = random_target (run, TARGET_SERVING);
  run->targets[run->crashed] = TARGET_CRASHED;
  kq_fleet_crash (run->fleet, run->crashed);
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + RESTART_TIME, restart_target, run);
}

static void
change_membership (void *data)
{
  ChurnRun *run = data;
  unsigned serving = count_targets (run, TARGET_SERVING);
  bool may_crash = run->params.crashes && count_targets (run, TARGET_CRASHED) == 0;
  bool grow = kq_random_below (&run->random, 2) == 0;
  if (may_crash && run->changes_made % 2 == 1)
    crash_target (run);
  else if (serving <= SERVING_MIN || (grow && serving < SERVING_MAX))
    {
      join_target (run);
      run->result.joined++;
    }
  else
    {
      unsigned target = random_target (run, TARGET_SERVING);
      run->targets[target] = TARGET_DRAINING;
      kq_fleet_drain (run->fleet, target);
    }
  if (++run->changes_made < run->params.changes)
    kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + run->params.change_every,
                 change_membership, run);
}

static bool
has_open_flow (const ChurnRun *run, unsigned target)
{
  for (unsigned i = 0; i < run->params.flows; i++)
    if (run->flows[i].target == (int)target)
      return true;
  return false;
}

/* Removes targets that have drained: neither a caller nor the target has an open flow there. */
static void
remove_drained (void *data)
{
  ChurnRun *run = data;
  for (unsigned i = 0; i < run->target_count; i++)
    if (run->targets[i] == TARGET_DRAINING && !has_open_flow (run, i) &&
        kq_fleet_stats (run->fleet, i).flows_open == 0)
      {
        run->targets[i] = TARGET_LEFT;
        kq_fleet_leave (run->fleet, i, LINGER);
        run->result.left++;
      }
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + DRAIN_CHECK_INTERVAL, remove_drained, run);
}

static void
start (ChurnRun *run)
{
  const KqChurnParams *p = &run->params;
  KqFleetParams fleet = { .seed = p->seed,
                          .mode = p->mode,
                          .balancers = 3,
                          .delay = KQ_MS / 2,
                          .loss = p->loss,
                          .duplicate = p->duplicate,
                          .view_delay_max = p->view_delay_max,
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
    join_target (run);
  run->flows = talloc_zero_array (run, SimulatedFlow, p->flows);
  for (unsigned i = 0; i < p->flows; i++)
    {
      run->flows[i].run = run;
      run->flows[i].flow_index = i;
      open_flow (&run->flows[i]);
      KqTime first = KQ_SECOND + (KqTime)kq_random_below (&run->random, (uint64_t)KQ_SECOND);
      kq_fleet_at (run->fleet, first, send_next, &run->flows[i]);
    }
}

KqChurnResult
kq_churn_run (const KqChurnParams *params)
{
  ChurnRun *run = talloc_zero (NULL, ChurnRun);
  run->params = *params;
  start (run);
  kq_fleet_at (run->fleet, WARM_UP, change_membership, run);
  kq_fleet_at (run->fleet, WARM_UP, remove_drained, run);
  kq_fleet_run (run->fleet, WARM_UP + params->changes * params->change_every + COOL_DOWN);
  KqChurnResult result = run->result;
  result.message_bytes = kq_fleet_message_bytes (run->fleet);
  result.seconds = (double)kq_fleet_now (run->fleet) / 1e6;
  talloc_free (run);
  return result;
}
