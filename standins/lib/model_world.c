#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "model_internal.h"

#define TICK_US     (20 * KQ_MS)
#define LOOPBACK_US 20 /* one-way delay between an agent and its target */
#define SERVICE     1

bool
kq_model_chance (KqModel *model, double share)
{
  return share > 0 && kq_random_double (&model->random) < share;
}

static bool
earlier (const KqModelEvent *a, const KqModelEvent *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
swap (KqModel *model, unsigned a, unsigned b)
{
  KqModelEvent *event = model->heap[a];
  model->heap[a] = model->heap[b];
  model->heap[b] = event;
}

KqModelEvent *
kq_model_schedule (KqModel *model, KqTime at, KqModelHandler handler, unsigned agent,
                   const uint8_t *bytes, size_t size)
{
  KqModelEvent *event = calloc (1, sizeof *event + size);
  if (event == NULL)
    abort ();
  event->at = at;
  event->sequence = model->sequence++;
  event->handler = handler;
  event->agent = agent;
  event->size = size;
  if (size > 0)
    memcpy (event->bytes, bytes, size);
  if (model->heap_count == model->heap_capacity)
    {
      model->heap_capacity *= 2;
      model->heap = talloc_realloc (model, model->heap, KqModelEvent *, model->heap_capacity);
    }
  unsigned i = model->heap_count++;
  model->heap[i] = event;
  for (; i > 0 && earlier (model->heap[i], model->heap[(i - 1) / 2]); i = (i - 1) / 2)
    swap (model, i, (i - 1) / 2);
  return event;
}

static KqModelEvent *
pop_event (KqModel *model)
{
  KqModelEvent *first = model->heap[0];
  model->heap[0] = model->heap[--model->heap_count];
  unsigned i = 0;
  for (;;)
    {
      unsigned least = i;
      for (unsigned child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < model->heap_count && earlier (model->heap[child], model->heap[least]))
          least = child;
      if (least == i)
        return first;
      swap (model, i, least);
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
agent_receive (KqModel *model, KqModelEvent *event)
{
  KqModelAgent *agent = &model->agents[event->agent];
  if (agent->guard == NULL)
    return;
  unsigned owner = model->owners[event->key.caller.port];
  if (owner != event->agent && kq_model_chance (model, 0.5))
    kq_request_guard_refuse (agent->guard, &event->key, event->bytes, event->size, KQ_ERROR_FULL,
                             model->now);
  else
    kq_request_guard_from_caller (agent->guard, &event->key, event->bytes, event->size, model->now);
}

/* Sends over the network, which may lose, duplicate or delay the datagram. */
static void
send_over_network (KqModel *model, KqModelHandler handler, unsigned agent, const KqFlowKey *key,
                   const uint8_t *bytes, size_t size)
{
  const KqModelParams *params = &model->params;
  unsigned copies = 1 + kq_model_chance (model, params->duplicate);
  for (unsigned i = 0; i < copies; i++)
    {
      if (kq_model_chance (model, params->loss))
        continue;
      KqTime delay = (KqTime)((double)params->delay_us * (0.5 + kq_random_double (&model->random)));
      if (kq_model_chance (model, params->straggler))
        delay += (KqTime)kq_random_below (&model->random, (uint64_t)params->straggler_us + 1);
      KqModelEvent *event =
          kq_model_schedule (model, model->now + delay + 1, handler, agent, bytes, size);
      event->key = *key;
    }
}

void
kq_model_send_to_agent (KqModel *model, unsigned flow, const uint8_t *bytes, size_t size)
{
  KqFlowKey key = flow_key (flow);
  unsigned agent = model->owners[flow];
  if (kq_model_chance (model, model->params.misroute))
    agent = (unsigned)kq_random_below (&model->random, model->params.agents);
  send_over_network (model, agent_receive, agent, &key, bytes, size);
}

static void
to_caller (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqModelAgent *agent = data;
  send_over_network (agent->model, kq_model_caller_receive, agent->number, key, bytes, size);
}

static void
to_target (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  KqModelAgent *agent = data;
  KqModel *model = agent->model;
  KqModelEvent *event = kq_model_schedule (model, model->now + LOOPBACK_US, kq_model_target_receive,
                                           agent->number, bytes, size);
  event->key = *key;
}

static void
on_finished (const KqFlowKey *key, KqTime latency, bool answered, void *data)
{
  (void)key;
  (void)latency;
  (void)answered;
  (void)data;
}

static void
tick (KqModel *model, KqModelEvent *event)
{
  KqModelAgent *agent = &model->agents[event->agent];
  if (agent->guard != NULL)
    kq_request_guard_tick (agent->guard, model->now);
  kq_model_schedule (model, model->now + TICK_US, tick, event->agent, NULL, 0);
}

static void
start_agent (KqModel *model, KqModelEvent *event)
{
  static const KqRequestGuardOps ops = { to_target, to_caller, on_finished };
  KqModelAgent *agent = &model->agents[event->agent];
  KqRequestGuardParams params = model->params.guard;
  agent->current_incarnation++;
  params.target_id = event->agent + 1;
  params.incarnation = agent->current_incarnation;
  params.seed = kq_random_next (&model->random);
  params.echo_key[0] = (uint8_t)event->agent;
  agent->guard = kq_request_guard_new (model, &params, &ops, agent);
}

static int
free_events (KqModel *model)
{
  while (model->heap_count > 0)
    free (model->heap[--model->heap_count]);
  return 0;
}

KqModel *
kq_model_new (const void *parent, const KqModelParams *params)
{
  KqModel *model = talloc_zero (parent, KqModel);
  talloc_set_destructor (model, free_events);
  model->params = *params;
  kq_random_seed (&model->random, params->seed);
  model->heap_capacity = 64;
  model->heap = talloc_array (model, KqModelEvent *, model->heap_capacity);
  model->op_capacity = 64;
  model->ops = talloc_array (model, KqModelOp *, model->op_capacity);
  model->token_base = kq_random_next (&model->random);
  for (unsigned i = 0; i < KQ_MODEL_FLOWS_MAX; i++)
    model->owners[i] = (uint8_t)(i % params->agents);
  for (unsigned i = 0; i < params->agents; i++)
    {
      KqModelAgent *agent = &model->agents[i];
      KqModelEvent event = { .agent = i };
      agent->model = model;
      agent->number = i;
      agent->workers = params->workers;
      TAILQ_INIT (&agent->jobs);
      start_agent (model, &event);
      kq_model_schedule (model, TICK_US, tick, i, NULL, 0);
    }
  return model;
}

KqModelOp *
kq_model_request (KqModel *model, KqTime at, const KqModelOp *op)
{
  if (model->op_count == model->op_capacity)
    {
      model->op_capacity *= 2;
      model->ops = talloc_realloc (model, model->ops, KqModelOp *, model->op_capacity);
    }
  KqModelOp *copy = talloc_memdup (model, op, sizeof *op);
  copy->id = model->op_count;
  model->ops[model->op_count++] = copy;
  kq_model_schedule (model, at, kq_model_caller_start, 0, NULL, 0)->data = copy;
  return copy;
}

static void
run_action (KqModel *model, KqModelEvent *event)
{
  event->action (model, event->data);
}

void
kq_model_at (KqModel *model, KqTime at, KqModelAction action, void *data)
{
  KqModelEvent *event = kq_model_schedule (model, at, run_action, 0, NULL, 0);
  event->action = action;
  event->data = data;
}

void
kq_model_on_end (KqModel *model, void (*ended) (KqModel *model, KqModelOp *op, void *data),
                 void *data)
{
  model->ended = ended;
  model->ended_data = data;
}

/* Returns until when the process that handles @event is suspended. Its events are deferred in
 * order. */
static KqTime
frozen_until (const KqModel *model, const KqModelEvent *event)
{
  const KqModelAgent *agent = &model->agents[event->agent];
  if (event->handler == agent_receive || event->handler == tick)
    return agent->frozen_until;
  return event->handler == kq_model_target_receive ? agent->target_frozen_until : 0;
}

void
kq_model_run (KqModel *model, KqTime until)
{
  while (model->heap_count > 0 && model->heap[0]->at <= until)
    {
      KqModelEvent *event = pop_event (model);
      KqTime thaw = frozen_until (model, event);
      model->now = event->at;
      if (thaw > model->now)
        {
          KqModelEvent *later = kq_model_schedule (model, thaw, event->handler, event->agent,
                                                   event->bytes, event->size);
          later->key = event->key;
          later->data = event->data;
        }
      else
        event->handler (model, event);
      free (event);
    }
  model->now = until;
}

void
kq_model_crash (KqModel *model, unsigned agent, KqTime down_us)
{
  if (model->agents[agent].guard == NULL)
    return;
  talloc_free (model->agents[agent].guard);
  model->agents[agent].guard = NULL;
  kq_model_schedule (model, model->now + down_us, start_agent, agent, NULL, 0);
}

void
kq_model_freeze_agent (KqModel *model, unsigned agent, KqTime duration_us)
{
  model->agents[agent].frozen_until = model->now + duration_us;
}

void
kq_model_freeze_target (KqModel *model, unsigned agent, KqTime duration_us)
{
  model->agents[agent].target_frozen_until = model->now + duration_us;
}

void
kq_model_set_workers (KqModel *model, unsigned agent, unsigned workers)
{
  model->agents[agent].workers = workers;
}

void
kq_model_move_flow (KqModel *model, unsigned flow, unsigned agent)
{
  model->owners[flow] = (uint8_t)agent;
}

void
kq_model_drain (KqModel *model, unsigned agent)
{
  if (model->agents[agent].guard != NULL)
    kq_request_guard_drain (model->agents[agent].guard, model->now);
}

KqModelCheck
kq_model_check (const KqModel *model)
{
  KqModelCheck check = { 0 };
  for (unsigned i = 0; i < model->op_count; i++)
    {
      const KqModelOp *op = model->ops[i];
      check.duplicate_runs += op->method == KQ_COAP_POST && op->runs > 1;
      check.false_not_run += op->reported_not_run && op->runs > 0 && op->method != KQ_COAP_GET;
      check.wrong_answers += op->wrong_answer;
      check.false_answers += op->outcome == KQ_MODEL_ANSWERED && op->runs == 0;
      check.outcomes[op->outcome]++;
      check.runs += op->runs;
    }
  return check;
}

KqTime
kq_model_now (const KqModel *model)
{
  return model->now;
}

KqRandom *
kq_model_random (KqModel *model)
{
  return &model->random;
}

unsigned
kq_model_op_count (const KqModel *model)
{
  return model->op_count;
}

KqModelOp *
kq_model_op (const KqModel *model, unsigned id)
{
  return model->ops[id];
}

KqRequestGuardStats
kq_model_stats (const KqModel *model, unsigned agent)
{
  KqRequestGuardStats none = { 0 };
  KqRequestGuard *guard = model->agents[agent].guard;
  return guard == NULL ? none : kq_request_guard_stats (guard);
}

uint64_t
kq_model_target_requests (const KqModel *model, unsigned agent)
{
  return model->agents[agent].requests;
}
