#include <string.h>

#include "kumquat/internal/guard.h"

#define FULL_MAX_AGE_S 5 /* while the store of outcomes is full */

static uint16_t *
caller_mid (KqRequestGuard *guard, const KqFlowKey *key)
{
  return &guard->caller_mids[kq_flow_key_hash (key) % KQ_GUARD_MID_COUNTERS];
}

KqReplyContext
kq_guard_reply_context (const KqCoapMessage *message)
{
  KqReplyContext reply_to = { .type = message->type,
                              .message_id = message->message_id,
                              .token_size = message->token_size };
  memcpy (reply_to.token, message->token, sizeof reply_to.token);
  return reply_to;
}

void
kq_guard_respond (KqRequestGuard *guard, const KqFlowKey *key, const KqReplyContext *reply_to,
                  const uint8_t *bytes, size_t size, KqTime now)
{
  uint8_t out[KQ_DATAGRAM_BYTES];
  bool piggybacked = reply_to->type == KQ_COAP_CON && !reply_to->acked;
  KqCoapRewrite rewrite = { .type = piggybacked ? KQ_COAP_ACK : reply_to->type,
                            .message_id = reply_to->message_id,
                            .token_size = reply_to->token_size };
  if (!piggybacked)
    rewrite.message_id = (*caller_mid (guard, key))++;
  memcpy (rewrite.token, reply_to->token, sizeof rewrite.token);
  int written = kq_coap_rewrite (bytes, size, &rewrite, out, sizeof out);
  if (written < 0)
    return;
  if (rewrite.type == KQ_COAP_CON)
    kq_retransmit_queue_add (guard->retransmit_queue, key, out, (size_t)written, now);
  guard->ops.to_caller (key, out, (size_t)written, guard->data);
}

void
kq_guard_notify (KqRequestGuard *guard, KqExchange *exchange, KqCoapType type, const uint8_t *bytes,
                 size_t size, KqTime now)
{
  KqReplyContext reply_to = exchange->reply_to;
  KqUnackedMessage *older = NULL;
  if (exchange->notified)
    older = kq_retransmit_queue_find (guard->retransmit_queue, &exchange->key,
                                      exchange->notification_mid);
  if (older != NULL)
    kq_retransmit_queue_remove (guard->retransmit_queue, older);
  reply_to.type = type;
  reply_to.acked = true;
  exchange->notified = true;
  exchange->notification_mid = *caller_mid (guard, &exchange->key);
  kq_guard_respond (guard, &exchange->key, &reply_to, bytes, size, now);
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
kq_guard_acknowledge (KqRequestGuard *guard, const KqFlowKey *key, KqReplyContext *reply_to)
{
  if (reply_to->type != KQ_COAP_CON || reply_to->acked)
    return;
  reply_to->acked = true;
  send_empty (guard, key, KQ_COAP_ACK, reply_to->message_id);
}

void
kq_guard_reset_caller (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id)
{
  send_empty (guard, key, KQ_COAP_RST, message_id);
}

static size_t
format_answer (const KqReplyContext *reply_to, KqCoapMessage *message,
               uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  message->type = KQ_COAP_NON;
  message->token_size = reply_to->token_size;
  memcpy (message->token, reply_to->token, sizeof message->token);
  return (size_t)kq_coap_message_format (message, bytes, KQ_DATAGRAM_BYTES);
}

static uint32_t
max_age (KqRequestGuard *guard)
{
  if (kq_dedup_store_is_full (guard->dedup))
    return FULL_MAX_AGE_S;
  return 1 + (uint32_t)kq_random_below (&guard->random, 2);
}

size_t
kq_guard_format_refusal (KqRequestGuard *guard, uint8_t code, const KqReplyContext *reply_to,
                         uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  KqCoapMessage message = { .code = KQ_COAP_SERVICE_UNAVAILABLE,
                            .max_age_present = true,
                            .max_age = max_age (guard) };
  if (kq_method_semantics (code) == KQ_METHOD_IDEMPOTENT)
    {
      message.code = KQ_COAP_GATEWAY_TIMEOUT;
      guard->stats.outcome_unknown++;
    }
  else
    guard->stats.refused_not_run++;
  return format_answer (reply_to, &message, bytes);
}

size_t
kq_guard_format_observation_end (const KqReplyContext *reply_to, uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  KqCoapMessage message = { .code = KQ_COAP_SERVICE_UNAVAILABLE, .max_age_present = true };
  return format_answer (reply_to, &message, bytes);
}

size_t
kq_guard_format_outcome_unknown (const KqReplyContext *reply_to, uint8_t bytes[KQ_DATAGRAM_BYTES])
{
  KqCoapMessage message = { .code = KQ_COAP_GATEWAY_TIMEOUT };
  return format_answer (reply_to, &message, bytes);
}

void
kq_guard_reply (KqRequestGuard *guard, const KqIncomingDatagram *incoming, uint8_t code)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReplyContext reply_to = kq_guard_reply_context (incoming->message);
  KqCoapMessage message = { .code = code };
  size_t size = format_answer (&reply_to, &message, bytes);
  kq_guard_respond (guard, incoming->key, &reply_to, bytes, size, incoming->now);
}

void
kq_guard_reply_refused (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReplyContext reply_to = kq_guard_reply_context (incoming->message);
  size_t size = kq_guard_format_refusal (guard, incoming->message->code, &reply_to, bytes);
  kq_guard_respond (guard, incoming->key, &reply_to, bytes, size, incoming->now);
  guard->ops.finished (incoming->key, 0, false, guard->data);
}

void
kq_guard_reply_outcome_unknown (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  guard->stats.outcome_unknown++;
  kq_guard_reply (guard, incoming, KQ_COAP_GATEWAY_TIMEOUT);
  guard->ops.finished (incoming->key, 0, false, guard->data);
}

void
kq_guard_reply_challenge (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReplyContext reply_to = kq_guard_reply_context (incoming->message);
  KqCoapMessage message = { .code = KQ_COAP_UNAUTHORIZED, .echo_size = KQ_ECHO_VALUE_BYTES };
  kq_echo_issue (&guard->echo, incoming->key, incoming->now, message.echo);
  guard->stats.challenged++;
  size_t size = format_answer (&reply_to, &message, bytes);
  kq_guard_respond (guard, incoming->key, &reply_to, bytes, size, incoming->now);
}

void
kq_guard_reply_duplicate (KqRequestGuard *guard, const KqIncomingDatagram *incoming,
                          const KqDedupEntry *dedup)
{
  KqReplyContext reply_to = kq_guard_reply_context (incoming->message);
  guard->stats.duplicates_answered++;
  if (dedup->answer == NULL)
    kq_guard_reply (guard, incoming, KQ_COAP_GATEWAY_TIMEOUT);
  else
    kq_guard_respond (guard, incoming->key, &reply_to, dedup->answer, dedup->answer_size,
                      incoming->now);
}
