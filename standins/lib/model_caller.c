#include <stdio.h>
#include <string.h>

#include "model_internal.h"

/* The token encodes the request and its phase, as an offset from a base derived from the seed. */
static uint64_t
token_of (const KqModelWorld *world, const KqModelOp *op)
{
  return world->token_base + 2 * (uint64_t)op->id + op->phase;
}

static void
send_request (KqModelWorld *world, KqModelOp *op)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  char payload[KQ_MODEL_PAYLOAD_MAX];
  uint64_t token = token_of (world, op);
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
  kq_model_send_to_agent (world, op->flow, bytes, (size_t)size);
  op->sends++;
}

/* Resends the datagram until the outcome is known, every third time with a new message ID. */
static void
resend (KqModelWorld *world, KqModelEvent *event)
{
  KqModelOp *op = event->data;
  if (op->outcome != KQ_MODEL_PENDING || event->agent != op->phase)
    return;
  if (op->sends % 3 == 0)
    op->message_id = world->next_mid++;
  send_request (world, op);
  kq_model_post (world, world->now + world->params.resend_us * op->sends, resend, op->phase, NULL,
                 0)
      ->data = op;
}

static void
send_first (KqModelWorld *world, KqModelOp *op)
{
  op->message_id = world->next_mid++;
  op->sends = 0;
  send_request (world, op);
  if (world->params.resend_us > 0)
    kq_model_post (world, world->now + world->params.resend_us, resend, op->phase, NULL, 0)->data =
        op;
}

static void
end (KqModelWorld *world, KqModelOp *op, KqModelOutcome outcome)
{
  op->outcome = outcome;
  op->ended = world->now;
  if (world->ended != NULL)
    world->ended (world, op, world->ended_data);
}

static void
time_out (KqModelWorld *world, KqModelEvent *event)
{
  KqModelOp *op = event->data;
  if (op->outcome == KQ_MODEL_PENDING)
    end (world, op, KQ_MODEL_TIMED_OUT);
}

void
kq_model_caller_start (KqModelWorld *world, KqModelEvent *event)
{
  KqModelOp *op = event->data;
  op->started = world->now;
  send_first (world, op);
  kq_model_post (world, world->now + op->deadline_us, time_out, 0, NULL, 0)->data = op;
}

static void
acknowledge (KqModelWorld *world, const KqFlowKey *key, const KqCoapMessage *message)
{
  uint8_t bytes[KQ_COAP_TOKEN_BYTES];
  KqCoapMessage ack = { .type = KQ_COAP_ACK, .message_id = message->message_id };
  int size = kq_coap_message_format (&ack, bytes, sizeof bytes);
  kq_model_send_to_agent (world, key->caller.port, bytes, (size_t)size);
}

static bool
is_own_answer (const KqModelOp *op, const KqCoapMessage *message)
{
  char own[KQ_MODEL_PAYLOAD_MAX];
  int size = snprintf (own, sizeof own, "op=%u", op->id);
  return message->payload_size == (size_t)size && memcmp (message->payload, own, (size_t)size) == 0;
}

static void
take_answer (KqModelWorld *world, KqModelOp *op, const KqCoapMessage *message)
{
  if (KQ_COAP_CLASS (message->code) == 2 && !is_own_answer (op, message))
    op->wrong_answer = true;
  if (message->code == KQ_COAP_SERVICE_UNAVAILABLE)
    op->said_not_run = true;
  if (op->outcome != KQ_MODEL_PENDING)
    return;
  if (message->code == KQ_COAP_UNAUTHORIZED && message->echo_size > 0 && op->phase == 0)
    {
      op->phase = 1;
      op->echo_size = message->echo_size;
      memcpy (op->echo, message->echo, sizeof op->echo);
      send_first (world, op);
    }
  else if (message->code == KQ_COAP_SERVICE_UNAVAILABLE)
    end (world, op, KQ_MODEL_NOT_RUN);
  else if (KQ_COAP_CLASS (message->code) == 2)
    end (world, op, KQ_MODEL_ANSWERED);
  else
    end (world, op, KQ_MODEL_UNKNOWN);
}

void
kq_model_caller_receive (KqModelWorld *world, KqModelEvent *event)
{
  KqCoapMessage message;
  uint64_t token;
  if (kq_coap_message_parse (event->bytes, event->size, &message, NULL) < 0 ||
      message.token_size != sizeof token)
    return;
  if (message.type == KQ_COAP_CON)
    acknowledge (world, &event->key, &message);
  memcpy (&token, message.token, sizeof token);
  uint64_t number = token - world->token_base;
  if (number / 2 >= world->op_count)
    return;
  KqModelOp *op = world->ops[number / 2];
  if (op->flow == event->key.caller.port && number % 2 == op->phase)
    take_answer (world, op, &message);
  else if (op->flow != event->key.caller.port)
    op->wrong_answer = true;
}
