#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "model_internal.h"

#define TICK_US     (20 * KQ_MS)
#define LOOPBACK_US 20 /* one-way delay between an agent and its target */
#define SERVICE     1

bool
kq_model_chance (KqModelWorld *world, double share)
{
  return share > 0 && kq_random_double (&world->random) < share;
}

static bool
earlier (const KqModelEvent *a, const KqModelEvent *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
swap (KqModelWorld *world, unsigned a, unsigned b)
{
  KqModelEvent *event = world->heap[a];
  world->heap[a] = world->heap[b];
  world->heap[b] = event;
}

KqModelEvent *
kq_model_post (KqModelWorld *world, KqTime at, KqModelHandler handler, unsigned agent,
               const uint8_t *bytes, size_t size)
{
  KqModelEvent *event = calloc (1, sizeof *event + size);
  if (event == NULL)
    abort ();
  event->at = at;
  event->sequence = world->sequence++;
  event->handler = handler;
  event->agent = agent;
  event->size = size;
  if (size > 0)
    memcpy (event->bytes, bytes, size);
  if (world->heap_count == world->heap_size)
    {
      world->heap_size *= 2;
      world->heap = talloc_realloc (world, world->heap, KqModelEvent *, world->heap_size);
    }
  unsigned i = world->heap_count++;
  world->heap[i] = event;
  for (; i > 0 && earlier (world->heap[i], world->heap[(i - 1) / 2]); i = (i - 1) / 2)
    swap (world, i, (i - 1) / 2);
  return event;
}

static KqModelEvent *
take_first (KqModelWorld *world)
{
  KqModelEvent *first = world->heap[0];
  world->heap[0] = world->heap[--world->heap_count];
  unsigned i = 0;
  for (;;)
    {
      unsigned least = i;
      for (unsigned child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < world->heap_count && earlier (world->heap[child], world->heap[least]))
          least = child;
      if (least == i)
        return first;
      swap (world, i, least);
      i = least;
    }
}

static KqFlowKey
flow_key (unsigned flow)
{
  KqFlowKey key = { .service = SERVICE };
  key.caller.ip[15] = 1;
  key.caller.ip[14] = (uint8_t)(flow >> 16);
  key.caller.port = (uint16_t)flow;
  return key;
}

static void
agent_receive (KqModelWorld *world, KqModelEvent *event)
{
  KqModelAgent *agent = &world->agents[event->agent];
  if (agent->guard == NULL)
    return;
  unsigned holder = world->owners[event->key.caller.port];
  if (holder != event->agent && kq_model_chance (world, 0.5))
    kq_request_guard_refuse (agent->guard, &event->key, event->bytes, event->size, KQ_ERROR_FULL,
                             world->now);
  else
    kq_request_guard_from_caller (agent->guard, &event->key, event->bytes, event->size, world->now);
}

/* Sends over the network, which may lose, duplicate or delay the datagram. */
static void
send_far (KqModelWorld *world, KqModelHandler handler, unsigned agent, const KqFlowKey *key,
          const uint8_t *bytes, size_t size)
{
  const KqModelParams *params = &world->params;
  unsigned copies = 1 + kq_model_chance (world, params->duplicate);
  for (unsigned i = 0; i < copies; i++)
    {
      if (kq_model_chance (world, params->loss))
        continue;
      KqTime delay = (KqTime)((double)params->delay_us * (0.5 + kq_random_double (&world->random)));
      if (kq_model_chance (world, params->straggler))
        delay += (KqTime)kq_random_below (&world->random, (uint64_t)params->straggler_us + 1);
      KqModelEvent *event =
          kq_model_post (world, world->now + delay + 1, handler, agent, bytes, size);
      event->key = *key;
    }
}

void
kq_model_send_to_agent (KqModelWorld *world, unsigned flow, const uint8_t *bytes, size_t size)
{
  KqFlowKey key = flow_key (flow);
  unsigned agent = world->owners[flow];
  if (kq_model_chance (world, world->params.misroute))
    agent = (unsigned)kq_random_below (&world->random, world->params.agents);
  send_far (world, agent_receive, agent, &key, bytes, size);
}

static void
to_caller (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqModelAgent *agent = data;
  send_far (agent->world, kq_model_caller_receive, agent->number, key, bytes, size);
}

static void
to_target (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqModelAgent *agent = data;
  KqModelWorld *world = agent->world;
  KqModelEvent *event = kq_model_post (world, world->now + LOOPBACK_US, kq_model_target_receive,
                                       agent->number, bytes, size);
  event->key = *key;
}

static void
finished (const KqFlowKey *key, KqTime latency, bool answered, void *data)
{
  (void)key;
  (void)latency;
  (void)answered;
  (void)data;
}

static void
tick (KqModelWorld *world, KqModelEvent *event)
{
  KqModelAgent *agent = &world->agents[event->agent];
  if (agent->guard != NULL)
    kq_request_guard_tick (agent->guard, world->now);
  kq_model_post (world, world->now + TICK_US, tick, event->agent, NULL, 0);
}

static void
begin_life (KqModelWorld *world, KqModelEvent *event)
{
  static const KqRequestGuardOps ops = { to_target, to_caller, finished };
  KqModelAgent *agent = &world->agents[event->agent];
  KqRequestGuardParams params = world->params.guard;
  agent->life++;
  params.target_id = event->agent + 1;
  params.incarnation = agent->life;
  params.seed = kq_random_next (&world->random);
  params.echo_key[0] = (uint8_t)event->agent;
  agent->guard = kq_request_guard_new (world, &params, &ops, agent);
}

static int
free_events (KqModelWorld *world)
{
  while (world->heap_count > 0)
    free (world->heap[--world->heap_count]);
  return 0;
}

KqModelWorld *
kq_model_new (const void *parent, const KqModelParams *params)
{
  KqModelWorld *world = talloc_zero (parent, KqModelWorld);
  talloc_set_destructor (world, free_events);
  world->params = *params;
  kq_random_seed (&world->random, params->seed);
  world->heap_size = 64;
  world->heap = talloc_array (world, KqModelEvent *, world->heap_size);
  world->op_size = 64;
  world->ops = talloc_array (world, KqModelOp *, world->op_size);
  world->token_base = kq_random_next (&world->random);
  for (unsigned i = 0; i < KQ_MODEL_FLOWS_MAX; i++)
    world->owners[i] = (uint8_t)(i % params->agents);
  for (unsigned i = 0; i < params->agents; i++)
    {
      KqModelAgent *agent = &world->agents[i];
      KqModelEvent event = { .agent = i };
      agent->world = world;
      agent->number = i;
      agent->workers = params->workers;
      TAILQ_INIT (&agent->jobs);
      begin_life (world, &event);
      kq_model_post (world, TICK_US, tick, i, NULL, 0);
    }
  return world;
}

KqModelOp *
kq_model_request (KqModelWorld *world, KqTime at, const KqModelOp *op)
{
  if (world->op_count == world->op_size)
    {
      world->op_size *= 2;
      world->ops = talloc_realloc (world, world->ops, KqModelOp *, world->op_size);
    }
  KqModelOp *copy = talloc_memdup (world, op, sizeof *op);
  copy->id = world->op_count;
  world->ops[world->op_count++] = copy;
  kq_model_post (world, at, kq_model_caller_start, 0, NULL, 0)->data = copy;
  return copy;
}

static void
run_action (KqModelWorld *world, KqModelEvent *event)
{
  event->action (world, event->data);
}

void
kq_model_at (KqModelWorld *world, KqTime at, KqModelAction action, void *data)
{
  KqModelEvent *event = kq_model_post (world, at, run_action, 0, NULL, 0);
  event->action = action;
  event->data = data;
}

void
kq_model_on_end (KqModelWorld *world,
                 void (*ended) (KqModelWorld *world, KqModelOp *op, void *data), void *data)
{
  world->ended = ended;
  world->ended_data = data;
}

/* Returns until when the process that handles @event is suspended. Its events are deferred in
 * order. */
static KqTime
frozen_until (const KqModelWorld *world, const KqModelEvent *event)
{
  const KqModelAgent *agent = &world->agents[event->agent];
  if (event->handler == agent_receive || event->handler == tick)
    return agent->frozen_until;
  return event->handler == kq_model_target_receive ? agent->target_frozen_until : 0;
}

void
kq_model_run (KqModelWorld *world, KqTime until)
{
  while (world->heap_count > 0 && world->heap[0]->at <= until)
    {
      KqModelEvent *event = take_first (world);
      KqTime thaw = frozen_until (world, event);
      world->now = event->at;
      if (thaw > world->now)
        {
          KqModelEvent *later =
              kq_model_post (world, thaw, event->handler, event->agent, event->bytes, event->size);
          later->key = event->key;
          later->data = event->data;
        }
      else
        event->handler (world, event);
      free (event);
    }
  world->now = until;
}

void
kq_model_crash (KqModelWorld *world, unsigned agent, KqTime down_us)
{
  if (world->agents[agent].guard == NULL)
    return;
  talloc_free (world->agents[agent].guard);
  world->agents[agent].guard = NULL;
  kq_model_post (world, world->now + down_us, begin_life, agent, NULL, 0);
}

void
kq_model_freeze_agent (KqModelWorld *world, unsigned agent, KqTime duration_us)
{
  world->agents[agent].frozen_until = world->now + duration_us;
}

void
kq_model_freeze_target (KqModelWorld *world, unsigned agent, KqTime duration_us)
{
  world->agents[agent].target_frozen_until = world->now + duration_us;
}

void
kq_model_set_workers (KqModelWorld *world, unsigned agent, unsigned workers)
{
  world->agents[agent].workers = workers;
}

void
kq_model_move_flow (KqModelWorld *world, unsigned flow, unsigned agent)
{
  world->owners[flow] = (uint8_t)agent;
}

void
kq_model_drain (KqModelWorld *world, unsigned agent)
{
  if (world->agents[agent].guard != NULL)
    kq_request_guard_drain (world->agents[agent].guard, world->now);
}

KqModelCheck
kq_model_check (const KqModelWorld *world)
{
  KqModelCheck check = { 0 };
  for (unsigned i = 0; i < world->op_count; i++)
    {
      const KqModelOp *op = world->ops[i];
      check.doubled += op->method == KQ_COAP_POST && op->runs > 1;
      check.false_not_run += op->said_not_run && op->runs > 0 && op->method != KQ_COAP_GET;
      check.wrong_answers += op->wrong_answer;
      check.false_answers += op->outcome == KQ_MODEL_ANSWERED && op->runs == 0;
      check.outcomes[op->outcome]++;
      check.runs += op->runs;
    }
  return check;
}

KqTime
kq_model_now (const KqModelWorld *world)
{
  return world->now;
}

KqRandom *
kq_model_random (KqModelWorld *world)
{
  return &world->random;
}

unsigned
kq_model_op_count (const KqModelWorld *world)
{
  return world->op_count;
}

KqModelOp *
kq_model_op (const KqModelWorld *world, unsigned id)
{
  return world->ops[id];
}

KqRequestGuardStats
kq_model_stats (const KqModelWorld *world, unsigned agent)
{
  KqRequestGuardStats none = { 0 };
  KqRequestGuard *guard = world->agents[agent].guard;
  return guard == NULL ? none : kq_request_guard_stats (guard);
}

uint64_t
kq_model_target_requests (const KqModelWorld *world, unsigned agent)
{
  return world->agents[agent].requests;
}
