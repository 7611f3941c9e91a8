#include <string.h>

#include "kumquat/internal/guard.h"

#define FULL_MAX_AGE_S 5 /* while the store of outcomes is full */

static uint16_t *
caller_mid (KqRequestGuard *guard, const KqFlowKey *key)
{
  return &guard->caller_mids[kq_flow_key_hash (key) % KQ_GUARD_MID_COUNTERS];
}

KqReturnPath
kq_guard_return_path (const KqCoapMessage *message)
{
  KqReturnPath back = { .type = message->type,
                        .message_id = message->message_id,
                        .token_size = message->token_size };
  memcpy (back.token, message->token, sizeof back.token);
  return back;
}

void
kq_guard_respond (KqRequestGuard *guard, const KqFlowKey *key, const KqReturnPath *back,
                  const uint8_t *bytes, size_t size, KqTime now)
{
  uint8_t out[KQ_DATAGRAM_BYTES];
  bool piggybacked = back->type == KQ_COAP_CON && !back->acked;
  KqCoapRewrite rewrite = { .type = piggybacked ? KQ_COAP_ACK : back->type,
                            .message_id = back->message_id,
                            .token_size = back->token_size };
  if (!piggybacked)
    rewrite.message_id = (*caller_mid (guard, key))++;
  memcpy (rewrite.token, back->token, sizeof rewrite.token);
  int written = kq_coap_rewrite (bytes, size, &rewrite, out, sizeof out);
  if (written < 0)
    return;
  if (rewrite.type == KQ_COAP_CON)
    kq_outbox_add (guard->outbox, key, out, (size_t)written, now);
  guard->ops.to_caller (key, out, (size_t)written, guard->data);
}

void
kq_guard_notify (KqRequestGuard *guard, KqExchange *exchange, KqCoapType type, const uint8_t *bytes,
                 size_t size, KqTime now)
{
  KqReturnPath back = exchange->back;
  KqOutgoing *older = NULL;
  if (exchange->notified)
    older = kq_outbox_find (guard->outbox, &exchange->key, exchange->notification_mid);
  if (older != NULL)
    kq_outbox_remove (guard->outbox, older);
  back.type = type;
  back.acked = true;
  exchange->notified = true;
  exchange->notification_mid = *caller_mid (guard, &exchange->key);
  kq_guard_respond (guard, &exchange->key, &back, bytes, size, now);
}

static void
send_empty (KqRequestGuard *guard, const KqFlowKey *key, KqCoapType type, uint16_t message_id)
{
  uint8_t bytes[KQ_COAP_TOKEN_BYTES];
  KqCoapMessage message = { .type = type, .message_id = message_id };
  int size = kq_coap_message_format (&message, bytes, sizeof bytes);
  guard->ops.to_caller (key, bytes, (size_t)size, guard->data);
}

void
kq_guard_acknowledge (KqRequestGuard *guard, const KqFlowKey *key, KqReturnPath *back)
{
  if (back->type != KQ_COAP_CON || back->acked)
    return;
  back->acked = true;
  send_empty (guard, key, KQ_COAP_ACK, back->message_id);
}

void
kq_guard_reset_caller (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id)
{
  send_empty (guard, key, KQ_COAP_RST, message_id);
}

static size_t
format_answer (const KqReturnPath *back, KqCoapMessage *message, uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  message->type = KQ_COAP_NON;
  message->token_size = back->token_size;
  memcpy (message->token, back->token, sizeof message->token);
  return (size_t)kq_coap_message_format (message, bytes, KQ_DATAGRAM_BYTES);
}

static uint32_t
max_age (KqRequestGuard *guard)
{
  if (kq_kept_answers_full (guard->kept))
    return FULL_MAX_AGE_S;
  return 1 + (uint32_t)kq_random_below (&guard->random, 2);
}

size_t
kq_guard_decline (KqRequestGuard *guard, uint8_t code, const KqReturnPath *back,
                  uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  KqCoapMessage message = { .code = KQ_COAP_SERVICE_UNAVAILABLE,
                            .max_age_present = true,
                            .max_age = max_age (guard) };
  if (kq_method (code) == KQ_METHOD_IDEMPOTENT)
    {
      message.code = KQ_COAP_GATEWAY_TIMEOUT;
      guard->stats.outcome_unknown++;
    }
  else
    guard->stats.refused_not_run++;
  return format_answer (back, &message, bytes);
}

size_t
kq_guard_end_of_feed (const KqReturnPath *back, uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  KqCoapMessage message = { .code = KQ_COAP_SERVICE_UNAVAILABLE, .max_age_present = true };
  return format_answer (back, &message, bytes);
}

size_t
kq_guard_unknown (const KqReturnPath *back, uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  KqCoapMessage message = { .code = KQ_COAP_GATEWAY_TIMEOUT };
  return format_answer (back, &message, bytes);
}

void
kq_guard_reply (KqRequestGuard *guard, const KqArrival *arrival, uint8_t code)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReturnPath back = kq_guard_return_path (arrival->message);
  KqCoapMessage message = { .code = code };
  size_t size = format_answer (&back, &message, bytes);
  kq_guard_respond (guard, arrival->key, &back, bytes, size, arrival->now);
}

void
kq_guard_reply_refused (KqRequestGuard *guard, const KqArrival *arrival)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReturnPath back = kq_guard_return_path (arrival->message);
  size_t size = kq_guard_decline (guard, arrival->message->code, &back, bytes);
  kq_guard_respond (guard, arrival->key, &back, bytes, size, arrival->now);
  guard->ops.finished (arrival->key, 0, false, guard->data);
}

void
kq_guard_reply_unknown (KqRequestGuard *guard, const KqArrival *arrival)
{
  guard->stats.outcome_unknown++;
  kq_guard_reply (guard, arrival, KQ_COAP_GATEWAY_TIMEOUT);
  guard->ops.finished (arrival->key, 0, false, guard->data);
}

void
kq_guard_reply_challenge (KqRequestGuard *guard, const KqArrival *arrival)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReturnPath back = kq_guard_return_path (arrival->message);
  KqCoapMessage message = { .code = KQ_COAP_UNAUTHORIZED, .echo_size = KQ_ECHO_VALUE_BYTES };
  kq_echo_make (&guard->echo, arrival->key, arrival->now, message.echo);
  guard->stats.challenged++;
  size_t size = format_answer (&back, &message, bytes);
  kq_guard_respond (guard, arrival->key, &back, bytes, size, arrival->now);
}

void
kq_guard_reply_kept (KqRequestGuard *guard, const KqArrival *arrival, const KqKeptAnswer *kept)
{
  KqReturnPath back = kq_guard_return_path (arrival->message);
  guard->stats.repeats_answered++;
  if (kept->answer == NULL)
    kq_guard_reply (guard, arrival, KQ_COAP_GATEWAY_TIMEOUT);
  else
    kq_guard_respond (guard, arrival->key, &back, kept->answer, kept->answer_size, arrival->now);
}
