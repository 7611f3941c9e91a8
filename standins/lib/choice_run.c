#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "choice_run.h"
#include "fleet.h"
#include "kumquat/random.h"
#include "kumquat/routing.h"

#define NETWORK_DELAY (KQ_MS / 2)
#define WARM_UP       (5 * KQ_SECOND)
#define FLOW_WARM_UP  4 /* mean flow durations until as many flows end as start */
#define HISTORY_STEP  (5 * KQ_MS)
#define HISTORY_STEPS 20 /* steps in 2 service times */
#define QUEUE_LIMIT   10 /* requests per target, if requests have a worth */
#define DEADLINE      (5 * KQ_SERVICE_TIME)
#define COLD_PERIOD   (20 * KQ_SECOND)
#define COLD_TIME     (5 * KQ_SECOND)
#define COLD_SPEED    0.2
#define FLOW_RATE     2.0 /* mean requests per second of a flow of several requests */

typedef struct BalancingRun BalancingRun;

typedef struct
{
  BalancingRun *run;
  unsigned flow;
  KqTime sent_at;
  KqTime started_at;
  double service_time;
  double worth;
  unsigned target;
  bool accepted;
  bool done;
} Request;

typedef struct
{
  BalancingRun *run;
  unsigned number;
  KqFlowKey key;
  double rate;
  KqTime ends_at;
  int target;
} Flow;

typedef struct
{
  unsigned busy;
  Request **queue;
  unsigned queued;
  unsigned queue_capacity;
  unsigned history[HISTORY_STEPS];
  double total_rate;
} Target;

struct BalancingRun
{
  KqBalancingParams params;
  KqFleet *fleet;
  KqRouting *routing;
  KqRandom random; /* arrivals and service times, equal for every policy */
  KqRandom policy_random;
  Target targets[KQ_BALANCING_TARGETS];
  Request **requests;
  unsigned request_count;
  Flow **flows;
  unsigned flow_count;
  unsigned history_index;
  double arrivals;
  KqTime measure_from;
  KqTime measure_until;
};

static double
exponential (BalancingRun *run, double mean)
{
  return -mean * log (1 - kq_random_double (&run->random));
}

static double
speed (const BalancingRun *run, unsigned target)
{
  if (target != 0)
    return 1;
  if (run->params.cold)
    {
      double age = (double)(kq_fleet_now (run->fleet) % COLD_PERIOD) / (double)COLD_TIME;
      return age >= 1 ? 1 : COLD_SPEED + (1 - COLD_SPEED) * age;
    }
  return run->params.slow ? 0.5 : 1;
}

static unsigned
load_of (const Target *target)
{
  return target->busy + target->queued;
}

static void on_finished (void *data);

static void
start_service (BalancingRun *run, unsigned number, Request *request)
{
  KqTime now = kq_fleet_now (run->fleet);
  request->started_at = now;
  run->targets[number].busy++;
  kq_fleet_at (run->fleet, now + (KqTime)(request->service_time / speed (run, number)), on_finished,
               request);
}

static void
remove_at (Target *target, unsigned place)
{
  target->queued--;
  for (unsigned i = place; i < target->queued; i++)
    target->queue[i] = target->queue[i + 1];
}

/* Removes the next request from the queue: the oldest, or the oldest of the highest worth. */
static Request *
pop_next_request (BalancingRun *run, Target *target)
{
  while (target->queued > 0)
    {
      unsigned best = 0;
      for (unsigned i = 1; run->params.worth && i < target->queued; i++)
        if (target->queue[i]->worth > target->queue[best]->worth)
          best = i;
      Request *request = target->queue[best];
      remove_at (target, best);
      if (!run->params.worth || kq_fleet_now (run->fleet) - request->sent_at <= DEADLINE)
        return request;
    }
  return NULL;
}

static void
on_finished (void *data)
{
  Request *request = data;
  BalancingRun *run = request->run;
  Target *target = &run->targets[request->target];
  request->done = true;
  target->busy--;
  Request *next = pop_next_request (run, target);
  if (next != NULL)
    start_service (run, request->target, next);
}

static void
reserve_queue_entry (BalancingRun *run, Target *target)
{
  if (target->queued < target->queue_capacity)
    return;
  target->queue_capacity = target->queue_capacity == 0 ? 64 : 2 * target->queue_capacity;
  target->queue = talloc_realloc (run, target->queue, Request *, target->queue_capacity);
}

static void
accept_request (BalancingRun *run, unsigned number, Request *request)
{
  Target *target = &run->targets[number];
  if (request->accepted)
    return;
  request->accepted = true;
  request->target = number;
  if (target->busy < KQ_BALANCING_SLOTS)
    {
      start_service (run, number, request);
      return;
    }
  reserve_queue_entry (run, target);
  target->queue[target->queued++] = request;
  if (!run->params.worth || target->queued <= QUEUE_LIMIT)
    return;
  unsigned worst = target->queued - 1;
  for (unsigned i = target->queued; i-- > 0;)
    if (target->queue[i]->worth < target->queue[worst]->worth)
      worst = i;
  remove_at (target, worst);
}

/* Baseline policies */

static unsigned
reported_load (const BalancingRun *run, unsigned target)
{
  if (run->params.reports_no_load && target == 0)
    return 0;
  return run->targets[target].history[run->history_index];
}

static unsigned
two_choices (BalancingRun *run)
{
  unsigned a = (unsigned)kq_random_below (&run->policy_random, KQ_BALANCING_TARGETS);
  unsigned b = (a + 1 + (unsigned)kq_random_below (&run->policy_random, KQ_BALANCING_TARGETS - 1)) %
               KQ_BALANCING_TARGETS;
  return reported_load (run, b) < reported_load (run, a) ? b : a;
}

static unsigned
least_loaded (BalancingRun *run, bool by_rate)
{
  unsigned start = (unsigned)kq_random_below (&run->policy_random, KQ_BALANCING_TARGETS);
  unsigned best = start;
  for (unsigned i = 1; i < KQ_BALANCING_TARGETS; i++)
    {
      unsigned other = (start + i) % KQ_BALANCING_TARGETS;
      const Target *a = &run->targets[other];
      const Target *b = &run->targets[best];
      if (by_rate ? a->total_rate < b->total_rate : load_of (a) < load_of (b))
        best = other;
    }
  return best;
}

static unsigned
choose_target (BalancingRun *run, const Flow *flow)
{
  KqPeer candidates[KQ_CANDIDATES_MAX];
  switch (run->params.policy)
    {
    case KQ_POLICY_HASH:
      kq_routing_candidates (run->routing, kq_routing_bucket (kq_flow_key_hash (&flow->key)),
                             candidates);
      return candidates[0].data.port;
    case KQ_POLICY_RANDOM:
      return (unsigned)kq_random_below (&run->policy_random, KQ_BALANCING_TARGETS);
    case KQ_POLICY_TWO_CHOICES:
      return two_choices (run);
    default:
      return least_loaded (run, run->params.policy == KQ_POLICY_LEAST_RATE);
    }
}

static void
on_arrival (void *data)
{
  Request *request = data;
  BalancingRun *run = request->run;
  Flow *flow = run->flows[request->flow];
  if (flow->target < 0)
    {
      flow->target = (int)choose_target (run, flow);
      run->targets[flow->target].total_rate += flow->rate;
    }
  accept_request (run, (unsigned)flow->target, request);
}

/* Placement policy */

static void
on_deliver (unsigned agent, const KqPacket *packet, void *data)
{
  BalancingRun *run = data;
  uint64_t number;
  memcpy (&number, packet->payload, sizeof number);
  accept_request (run, agent, run->requests[number]);
}

static unsigned
on_load (unsigned agent, void *data)
{
  const BalancingRun *run = data;
  return load_of (&run->targets[agent]) * 1000 / KQ_BALANCING_SLOTS;
}

/* Arrivals */

static Flow *
new_flow (BalancingRun *run)
{
  Flow *flow = talloc_zero (run, Flow);
  unsigned number = run->flow_count++;
  run->flows = talloc_realloc (run, run->flows, Flow *, run->flow_count);
  run->flows[number] = flow;
  flow->run = run;
  flow->number = number;
  flow->target = -1;
  flow->key.service = 1;
  flow->key.caller.port = (uint16_t)(1 + number % 60000);
  flow->key.caller.ip[15] = (uint8_t)(number / 60000);
  flow->key.caller.ip[14] = (uint8_t)number;
  flow->key.caller.ip[13] = (uint8_t)(number >> 8);
  return flow;
}

static double
random_service_time (BalancingRun *run)
{
  double mean = (double)KQ_SERVICE_TIME;
  if (run->params.unequal)
    mean *= kq_random_below (&run->random, 10) == 0 ? 5.5 : 0.5;
  return exponential (run, mean);
}

static void
send_request (BalancingRun *run, Flow *flow)
{
  Request *request = talloc_zero (run, Request);
  unsigned number = run->request_count++;
  run->requests = talloc_realloc (run, run->requests, Request *, run->request_count);
  run->requests[number] = request;
  request->run = run;
  request->flow = flow->number;
  request->sent_at = kq_fleet_now (run->fleet);
  request->service_time = random_service_time (run);
  request->worth = run->params.worth && kq_random_below (&run->random, 5) == 0 ? 10 : 1;
  if (run->params.policy == KQ_POLICY_PLACEMENT)
    kq_fleet_send (run->fleet, &flow->key, number);
  else
    kq_fleet_at (run->fleet, request->sent_at + NETWORK_DELAY, on_arrival, request);
}

static void
send_next_request (void *data)
{
  Flow *flow = data;
  BalancingRun *run = flow->run;
  KqTime now = kq_fleet_now (run->fleet);
  if (now >= flow->ends_at)
    {
      if (flow->target >= 0)
        run->targets[flow->target].total_rate -= flow->rate;
      return;
    }
  send_request (run, flow);
  kq_fleet_at (run->fleet, now + (KqTime)exponential (run, 1e6 / flow->rate), send_next_request,
               flow);
}

/* Starts a flow. Rates of flows with several requests differ by a factor of up to 3. */
static void
start_next_flow (void *data)
{
  BalancingRun *run = data;
  KqTime now = kq_fleet_now (run->fleet);
  Flow *flow = new_flow (run);
  double requests = run->params.flow_requests;
  if (run->params.flow_requests == 1)
    send_request (run, flow);
  else
    {
      flow->rate = FLOW_RATE * (0.5 + kq_random_double (&run->random));
      flow->ends_at = now + (KqTime)exponential (run, requests / FLOW_RATE * 1e6);
      send_next_request (flow);
    }
  if (now < run->measure_until)
    kq_fleet_at (run->fleet, now + (KqTime)exponential (run, 1e6 * requests / run->arrivals),
                 start_next_flow, run);
}

static void
record_history (void *data)
{
  BalancingRun *run = data;
  for (unsigned i = 0; i < KQ_BALANCING_TARGETS; i++)
    run->targets[i].history[run->history_index] = load_of (&run->targets[i]);
  run->history_index = (run->history_index + 1) % HISTORY_STEPS;
  kq_fleet_at (run->fleet, kq_fleet_now (run->fleet) + HISTORY_STEP, record_history, run);
}

static double
capacity (const BalancingRun *run)
{
  double targets = KQ_BALANCING_TARGETS;
  if (run->params.slow)
    targets -= 0.5;
  if (run->params.cold)
    targets -= (1 - COLD_SPEED) / 2 * (double)COLD_TIME / (double)COLD_PERIOD;
  return targets * KQ_BALANCING_SLOTS / ((double)KQ_SERVICE_TIME / 1e6);
}

static void
start (BalancingRun *run)
{
  const KqBalancingParams *p = &run->params;
  KqFleetParams fleet = { .seed = p->seed,
                          .balancers = 3,
                          .delay = NETWORK_DELAY,
                          .deliver = on_deliver,
                          .load = on_load,
                          .data = run };
  fleet.placement =
      (KqPlacementParams){ .flows_max = 4000,
                           .directory_max = 40000,
                           .idle_us = p->flow_requests == 1 ? 2 * KQ_SECOND : 10 * KQ_SECOND,
                           .admit_load = p->admit_load,
                           .load_step = 1000 / KQ_BALANCING_SLOTS,
                           .query_max = p->query_max };
  run->fleet = kq_fleet_new (run, &fleet);
  kq_random_seed (&run->random, p->seed + 100);
  kq_random_seed (&run->policy_random, p->seed + 200);
  KqService service = { .number = 1 };
  KqMember members[KQ_BALANCING_TARGETS] = { { .phase = KQ_PHASE_SERVING } };
  for (unsigned i = 0; i < KQ_BALANCING_TARGETS; i++)
    {
      if (p->policy == KQ_POLICY_PLACEMENT)
        kq_fleet_join (run->fleet, 100);
      members[i].phase = KQ_PHASE_SERVING;
      members[i].peer = (KqPeer){ .id = i + 1, .data.port = (uint16_t)i };
    }
  KqServiceView view = { .service = &service, .targets = members, .count = KQ_BALANCING_TARGETS };
  run->routing = kq_routing_new (run, &view);
  run->arrivals = p->load * capacity (run);
  double flow_lifetime = p->flow_requests / FLOW_RATE;
  run->measure_from =
      WARM_UP + (p->flow_requests == 1 ? 0 : (KqTime)(FLOW_WARM_UP * flow_lifetime * 1e6));
  run->measure_until = run->measure_from + (KqTime)(p->seconds * 1e6);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static KqBalancingResult
collect (BalancingRun *run)
{
  KqBalancingResult result = { 0 };
  double *waits = talloc_array (run, double, run->request_count + 1);
  unsigned count = 0;
  double sum = 0;
  for (unsigned i = 0; i < run->request_count; i++)
    {
      const Request *request = run->requests[i];
      if (request->sent_at < run->measure_from || request->sent_at >= run->measure_until)
        continue;
      result.requests++;
      result.lost += !request->accepted;
      if (!request->done)
        continue;
      waits[count] = (double)(request->started_at - request->sent_at) / (double)KQ_SERVICE_TIME;
      sum += waits[count++];
      result.worth += request->worth;
    }
  qsort (waits, count, sizeof *waits, compare);
  result.mean = sum / count;
  result.p99 = waits[count * 99ULL / 100];
  return result;
}

KqBalancingResult
kq_balancing_run (const KqBalancingParams *params)
{
  BalancingRun *run = talloc_zero (NULL, BalancingRun);
  run->params = *params;
  start (run);
  kq_fleet_run (run->fleet, KQ_SECOND);
  kq_fleet_at (run->fleet, KQ_SECOND, record_history, run);
  kq_fleet_at (run->fleet, KQ_SECOND, start_next_flow, run);
  kq_fleet_run (run->fleet, run->measure_until + 10 * KQ_SECOND);
  KqBalancingResult result = collect (run);
  uint64_t messages = 0;
  for (unsigned i = 0; i < KQ_BALANCING_TARGETS; i++)
    messages += kq_fleet_stats (run->fleet, i).messages_sent;
  result.messages = (double)messages / run->request_count;
  result.bytes = (double)kq_fleet_message_bytes (run->fleet) / run->request_count;
  talloc_free (run);
  return result;
}
