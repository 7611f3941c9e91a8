#include <stdio.h>
#include <string.h>

#include "model_internal.h"

/* The token encodes the request and its phase, as an offset from a base derived from the seed. */
static uint64_t
token_of (const KqModel *model, const KqModelOp *op)
{
  return model->token_base + 2 * (uint64_t)op->id + op->phase;
}

static void
send_request (KqModel *model, KqModelOp *op)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  char payload[KQ_MODEL_PAYLOAD_MAX];
  uint64_t token = token_of (model, op);
  KqCoapMessage message = { .type = KQ_COAP_CON,
                            .code = op->method,
                            .message_id = op->message_id,
                            .token_size = KQ_COAP_TOKEN_BYTES,
                            .path = "marks",
                            .payload = (const uint8_t *)payload };
  memcpy (message.token, &token, sizeof token);
  message.payload_size = (size_t)snprintf (payload, sizeof payload, "op=%u", op->id);
  snprintf (message.query, sizeof message.query, "deadline=%lld%s%s",
            (long long)(op->deadline_us / KQ_MS),
            op->class_name == NULL ? "" : "&class=", op->class_name == NULL ? "" : op->class_name);
  message.echo_size = op->echo_size;
  memcpy (message.echo, op->echo, op->echo_size);
  int size = kq_coap_message_format (&message, bytes, sizeof bytes);
  kq_model_send_to_agent (model, op->flow, bytes, (size_t)size);
  op->sends++;
}

/* Resends the datagram until the outcome is known, every third time with a new message ID. */
static void
resend (KqModel *model, KqModelEvent *event)
{
  KqModelOp *op = event->data;
  if (op->outcome != KQ_MODEL_PENDING || event->agent != op->phase)
    return;
  if (op->sends % 3 == 0)
    op->message_id = model->next_message_id++;
  send_request (model, op);
  kq_model_schedule (model, model->now + model->params.resend_us * op->sends, resend, op->phase,
                     NULL, 0)
      ->data = op;
}

static void
send_first (KqModel *model, KqModelOp *op)
{
  op->message_id = model->next_message_id++;
  op->sends = 0;
  send_request (model, op);
  if (model->params.resend_us > 0)
    kq_model_schedule (model, model->now + model->params.resend_us, resend, op->phase, NULL, 0)
        ->data = op;
}

static void
end_request (KqModel *model, KqModelOp *op, KqModelOutcome outcome)
{
  op->outcome = outcome;
  op->ended = model->now;
  if (model->ended != NULL)
    model->ended (model, op, model->ended_data);
}

static void
time_out (KqModel *model, KqModelEvent *event)
{
  KqModelOp *op = event->data;
  if (op->outcome == KQ_MODEL_PENDING)
    end_request (model, op, KQ_MODEL_TIMED_OUT);
}

void
kq_model_caller_start (KqModel *model, KqModelEvent *event)
{
  KqModelOp *op = event->data;
  op->started = model->now;
  send_first (model, op);
  kq_model_schedule (model, model->now + op->deadline_us, time_out, 0, NULL, 0)->data = op;
}

static void
acknowledge (KqModel *model, const KqFlowKey *key, const KqCoapMessage *message)
{
  uint8_t bytes[KQ_COAP_TOKEN_BYTES];
  KqCoapMessage ack = { .type = KQ_COAP_ACK, .message_id = message->message_id };
  int size = kq_coap_message_format (&ack, bytes, sizeof bytes);
  kq_model_send_to_agent (model, key->caller.port, bytes, (size_t)size);
}

static bool
is_own_answer (const KqModelOp *op, const KqCoapMessage *message)
{
  char own[KQ_MODEL_PAYLOAD_MAX];
  int size = snprintf (own, sizeof own, "op=%u", op->id);
  return message->payload_size == (size_t)size && memcmp (message->payload, own, (size_t)size) == 0;
}

static void
handle_answer (KqModel *model, KqModelOp *op, const KqCoapMessage *message)
{
  if (KQ_COAP_CLASS (message->code) == 2 && !is_own_answer (op, message))
    op->wrong_answer = true;
  if (message->code == KQ_COAP_SERVICE_UNAVAILABLE)
    op->reported_not_run = true;
  if (op->outcome != KQ_MODEL_PENDING)
    return;
  if (message->code == KQ_COAP_UNAUTHORIZED && message->echo_size > 0 && op->phase == 0)
    {
      op->phase = 1;
      op->echo_size = message->echo_size;
      memcpy (op->echo, message->echo, sizeof op->echo);
      send_first (model, op);
    }
  else if (message->code == KQ_COAP_SERVICE_UNAVAILABLE)
    end_request (model, op, KQ_MODEL_NOT_RUN);
  else if (KQ_COAP_CLASS (message->code) == 2)
    end_request (model, op, KQ_MODEL_ANSWERED);
  else
    end_request (model, op, KQ_MODEL_UNKNOWN);
}

void
kq_model_caller_receive (KqModel *model, KqModelEvent *event)
{
  KqCoapMessage message;
  uint64_t token;
  if (kq_coap_message_parse (event->bytes, event->size, &message, NULL) < 0 ||
      message.token_size != sizeof token)
    return;
  if (message.type == KQ_COAP_CON)
    acknowledge (model, &event->key, &message);
  memcpy (&token, message.token, sizeof token);
  uint64_t number = token - model->token_base;
  if (number / 2 >= model->op_count)
    return;
  KqModelOp *op = model->ops[number / 2];
  if (op->flow == event->key.caller.port && number % 2 == op->phase)
    handle_answer (model, op, &message);
  else if (op->flow != event->key.caller.port)
    op->wrong_answer = true;
}
