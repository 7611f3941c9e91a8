#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "model_internal.h"

#define LOOPBACK_US 20 /* one-way delay between a target and its agent */

/* Passes a datagram of the target to the incarnation of the agent that runs on its arrival. */
static void
agent_receive_from_target (KqModel *model, KqModelEvent *event)
{
  KqModelAgent *agent = &model->agents[event->agent];
  if (agent->frozen_until > model->now)
    {
      KqModelEvent *later =
          kq_model_schedule (model, agent->frozen_until, agent_receive_from_target, event->agent,
                             event->bytes, event->size);
      later->key = event->key;
    }
  else if (agent->guard != NULL)
    kq_request_guard_from_target (agent->guard, &event->key, event->bytes, event->size, model->now);
}

static void
send_message (KqModel *model, unsigned agent, const KqFlowKey *key, const KqCoapMessage *message,
              KqTime delay_us)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  int size = kq_coap_message_format (message, bytes, sizeof bytes);
  KqModelEvent *event = kq_model_schedule (model, model->now + LOOPBACK_US + delay_us,
                                           agent_receive_from_target, agent, bytes, (size_t)size);
  event->key = *key;
}

static void
send_empty (KqModel *model, unsigned agent, const KqFlowKey *key, KqCoapType type,
            uint16_t message_id)
{
  KqCoapMessage message = { .type = type, .message_id = message_id };
  send_message (model, agent, key, &message, 0);
}

static void
send_answer (KqModel *model, KqModelAgent *agent, const KqModelJob *job, uint8_t code)
{
  const KqModelParams *params = &model->params;
  char payload[KQ_MODEL_PAYLOAD_MAX];
  KqCoapMessage answer = { .type = KQ_COAP_ACK,
                           .code = code,
                           .message_id = job->message.message_id,
                           .token_size = job->message.token_size,
                           .payload = (const uint8_t *)payload };
  memcpy (answer.token, job->message.token, sizeof answer.token);
  answer.payload_size = (size_t)snprintf (payload, sizeof payload, "op=%u", job->op->id);
  if (kq_model_chance (model, params->separate))
    {
      send_empty (model, agent->number, &job->key, KQ_COAP_ACK, job->message.message_id);
      answer.type = KQ_COAP_CON;
      answer.message_id = agent->next_message_id++;
    }
  unsigned copies = 1 + kq_model_chance (model, params->answer_duplicate);
  for (unsigned i = 0; i < copies; i++)
    if (!kq_model_chance (model, params->answer_loss))
      send_message (model, agent->number, &job->key, &answer, i * KQ_MS);
}

static void start_jobs (KqModel *model, KqModelAgent *agent);

static void
remove_job (KqModelAgent *agent, KqModelJob *job)
{
  agent->busy -= job->running;
  agent->job_count--;
  TAILQ_REMOVE (&agent->jobs, job, entry);
}

static void
job_done (KqModel *model, KqModelEvent *event)
{
  KqModelAgent *agent = &model->agents[event->agent];
  KqModelJob *job = event->data;
  if (agent->target_frozen_until > model->now)
    {
      kq_model_schedule (model, agent->target_frozen_until, job_done, event->agent, NULL, 0)->data =
          job;
      return;
    }
  if (!job->cancelled)
    {
      remove_job (agent, job);
      send_answer (model, agent, job,
                   job->op->method == KQ_COAP_GET ? KQ_COAP_CONTENT : KQ_COAP_CHANGED);
    }
  talloc_free (job);
  start_jobs (model, agent);
}

static void
start_jobs (KqModel *model, KqModelAgent *agent)
{
  KqModelJob *job;
  TAILQ_FOREACH (job, &agent->jobs, entry)
  {
    if (agent->busy >= agent->workers)
      return;
    if (job->running)
      continue;
    job->running = true;
    job->op->runs++;
    agent->busy++;
    kq_model_schedule (model, model->now + job->op->service_us, job_done, agent->number, NULL, 0)
        ->data = job;
  }
}

static void
cancel (KqModel *model, KqModelAgent *agent, const KqFlowKey *key, uint16_t message_id)
{
  KqModelJob *job;
  if (model->params.ignores_cancel)
    return;
  TAILQ_FOREACH (job, &agent->jobs, entry)
  if (job->message.message_id == message_id && kq_flow_key_equal (&job->key, key))
    break;
  if (job == NULL)
    return;
  bool running = job->running;
  remove_job (agent, job);
  job->cancelled = true; /* freed by job_done() at the end of its service time */
  if (!running)
    talloc_free (job);
  start_jobs (model, agent);
}

static void
handle_request (KqModel *model, KqModelAgent *agent, const KqFlowKey *key,
                const KqCoapMessage *message)
{
  char payload[KQ_MODEL_PAYLOAD_MAX] = "";
  unsigned id = 0;
  if (message->payload_size < sizeof payload)
    memcpy (payload, message->payload, message->payload_size);
  if (sscanf (payload, "op=%u", &id) != 1 || id >= model->op_count) /* NOLINT(cert-err34-c) */
    return;
  agent->requests++;
  KqModelJob *job = talloc_zero (model, KqModelJob);
  job->op = model->ops[id];
  job->key = *key;
  job->message = *message;
  if (model->params.shed_above > 0 && agent->job_count >= model->params.shed_above)
    {
      send_answer (model, agent, job, KQ_COAP_SERVICE_UNAVAILABLE);
      talloc_free (job);
      return;
    }
  TAILQ_INSERT_TAIL (&agent->jobs, job, entry);
  agent->job_count++;
  start_jobs (model, agent);
}

void
kq_model_target_receive (KqModel *model, KqModelEvent *event)
{
  KqModelAgent *agent = &model->agents[event->agent];
  KqCoapMessage message;
  if (kq_coap_message_parse (event->bytes, event->size, &message, NULL) < 0)
    return;
  if (message.code == KQ_COAP_EMPTY && message.type == KQ_COAP_RST)
    cancel (model, agent, &event->key, message.message_id);
  else if (message.code == KQ_COAP_EMPTY && message.type == KQ_COAP_CON)
    send_empty (model, agent->number, &event->key, KQ_COAP_RST, message.message_id);
  else if (message.code != KQ_COAP_EMPTY)
    handle_request (model, agent, &event->key, &message);
}
