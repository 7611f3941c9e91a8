/* Every request is sent to the target with a token and a message id of its own, so an answer
 * matches exactly one request regardless of the tokens that callers use. An answer with an unknown
 * token or from another flow is dropped and counted, never sent to a caller. */
#include <string.h>

#include "kumquat/internal/guard.h"

#define RETRANSMIT_US       (500 * KQ_MS) /* retransmission of unacknowledged idempotent requests */
#define RETRANSMISSIONS_MAX 2
#define PROBE_US            KQ_SECOND /* interval between probes of a target with stuck slots */
#define STUCK_SLOT_MAX_US   (10 * KQ_SECOND) /* a stuck slot is released after this time */
#define LATE_MAX_US         (60 * KQ_SECOND) /* how long a late answer is recognised */
#define SHED_DEFAULT_S      1                /* for a refusal by the target without Max-Age */
#define SHED_MAX_S          60               /* upper limit of the target's Max-Age */
#define TARGET_TOKEN_BYTES  8

uint16_t
kq_guard_next_target_mid (KqRequestGuard *guard, const KqFlowKey *key)
{
  return guard->target_mids[kq_flow_key_hash (key) % KQ_GUARD_MID_COUNTERS]++;
}

static void
put_token (uint64_t value, uint8_t token[TARGET_TOKEN_BYTES])
{
  for (unsigned i = 0; i < TARGET_TOKEN_BYTES; i++)
    token[i] = (uint8_t)(value >> (8 * i));
}

static uint64_t
get_token (const uint8_t token[TARGET_TOKEN_BYTES])
{
  uint64_t value = 0;
  for (unsigned i = 0; i < TARGET_TOKEN_BYTES; i++)
    value |= (uint64_t)token[i] << (8 * i);
  return value;
}

static int
send_datagram (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqTime left_ms = (exchange->deadline - now) / KQ_MS;
  KqCoapRewrite rewrite = { .type = KQ_COAP_CON,
                            .message_id = exchange->target_mid,
                            .token_size = TARGET_TOKEN_BYTES,
                            .strip_echo = true,
                            .set_deadline = true,
                            .deadline_ms = left_ms > 0 ? (uint32_t)left_ms : 1 };
  put_token (exchange->target_token, rewrite.token);
  int size = kq_coap_rewrite (exchange->datagram, exchange->size, &rewrite, bytes, sizeof bytes);
  if (size < 0)
    return -1;
  guard->ops.to_target (&exchange->key, bytes, (size_t)size, guard->data);
  return 0;
}

int
kq_guard_send_request (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  exchange->target_mid = kq_guard_next_target_mid (guard, &exchange->key);
  exchange->target_acked = false;
  exchange->retransmit_at = now + RETRANSMIT_US;
  return send_datagram (guard, exchange, now);
}

void
kq_guard_send_empty (KqRequestGuard *guard, const KqFlowKey *key, KqCoapType type,
                     uint16_t message_id)
{
  uint8_t bytes[KQ_COAP_TOKEN_BYTES];
  KqCoapMessage message = { .type = type, .message_id = message_id };
  int size = kq_coap_message_format (&message, bytes, sizeof bytes);
  guard->ops.to_target (key, bytes, (size_t)size, guard->data);
}

static KqExchange *
find_by_target (const KqRequestGuard *guard, const KqFlowKey *key, const KqCoapMessage *message)
{
  if (message->token_size != TARGET_TOKEN_BYTES)
    return NULL;
  uint64_t token = get_token (message->token);
  KqHashLink *link = kq_hash_index_find (&guard->by_target, token);
  KqExchange *found = NULL;
  while (link != NULL)
    {
      KqExchange *exchange = KQ_CONTAINER_OF (link, KqExchange, by_target);
      /* The answer to a renewal cannot be told apart from a notification of the observation that it
       * renews, as both have the same token; the renewal takes precedence. */
      if (exchange->state != KQ_EXCHANGE_WAITING && kq_flow_key_equal (&exchange->key, key) &&
          (found == NULL || exchange->state < found->state))
        found = exchange;
      link = kq_hash_link_match (link->next, token);
    }
  return found;
}

/* Any datagram from the target shows that it has processed the cancellations sent before. */
static void
release_stuck_slots (KqRequestGuard *guard)
{
  KqExchange *exchange;
  if (guard->stuck_count == 0)
    return;
  TAILQ_FOREACH (exchange, &guard->late, entry)
  exchange->occupies_slot = false;
  guard->stuck_count = 0;
}

/* The target refused a request: limits concurrency to the requests running now until Max-Age has
 * expired, then raises the limit gradually. */
static void
apply_load_shedding (KqRequestGuard *guard, const KqCoapMessage *message, KqTime now)
{
  uint32_t max_age_s = message->max_age_present ? message->max_age : SHED_DEFAULT_S;
  if (max_age_s > SHED_MAX_S)
    max_age_s = SHED_MAX_S;
  guard->stats.refused_by_target++;
  if ((guard->params.disable & KQ_DISABLE_LOAD_SHEDDING) != 0)
    return;
  guard->shed.floor = guard->running_count > 0 ? guard->running_count : 1;
  guard->shed.start = now + max_age_s * KQ_SECOND;
  guard->shed.duration_us = guard->params.ramp_us;
}

static void
count_answer (KqRequestGuard *guard, const KqExchange *exchange, KqTime now)
{
  guard->stats.answered++;
  if (now <= exchange->deadline)
    {
      guard->stats.answered_in_time++;
      guard->stats.worth_answered += (uint64_t)guard->costs.worth[exchange->class_index];
    }
  guard->ops.finished (&exchange->key, now - exchange->arrived, true, guard->data);
}

static void
refused_by_target (KqRequestGuard *guard, KqExchange *exchange, const uint8_t *bytes, size_t size,
                   KqTime now)
{
  uint8_t unknown[KQ_DATAGRAM_BYTES];
  bool trusted = guard->params.target_refusal_trusted ||
                 kq_method_semantics (exchange->code) == KQ_METHOD_SAFE;
  KqDedupState state = KQ_DEDUP_REFUSED;
  if (trusted)
    guard->stats.refused_not_run++;
  else
    {
      size = kq_guard_format_outcome_unknown (&exchange->reply_to, unknown);
      bytes = unknown;
      state = KQ_DEDUP_ANSWERED;
      guard->stats.outcome_unknown++;
    }
  kq_guard_record_outcome (guard, exchange, state, bytes, size, now);
  kq_guard_respond (guard, &exchange->key, &exchange->reply_to, bytes, size, now);
  guard->ops.finished (&exchange->key, now - exchange->arrived, false, guard->data);
}

static void
complete_exchange (KqRequestGuard *guard, KqExchange *exchange, const KqCoapMessage *message,
                   const uint8_t *bytes, size_t size, KqTime now)
{
  TAILQ_REMOVE (&guard->running, exchange, entry);
  guard->running_count--;
  exchange->target_mid = message->message_id;
  if (message->code == KQ_COAP_SERVICE_UNAVAILABLE)
    {
      apply_load_shedding (guard, message, now);
      refused_by_target (guard, exchange, bytes, size, now);
      kq_guard_cancel_renewal (guard, exchange);
      kq_guard_free_exchange (guard, exchange);
      return;
    }
  if (exchange->renewed != NULL)
    kq_guard_end_observation (guard, exchange->renewed, false);
  kq_request_costs_sample (&guard->costs, exchange->class_index, now - exchange->started);
  count_answer (guard, exchange, now);
  kq_guard_record_outcome (guard, exchange, KQ_DEDUP_ANSWERED, bytes, size, now);
  kq_guard_respond (guard, &exchange->key, &exchange->reply_to, bytes, size, now);
  if (exchange->register_observer && message->observe_present && KQ_COAP_CLASS (message->code) == 2)
    {
      exchange->state = KQ_EXCHANGE_OBSERVING;
      TAILQ_INSERT_TAIL (&guard->observing, exchange, entry);
      guard->observer_count++;
      talloc_free (exchange->datagram);
      exchange->datagram = NULL;
    }
  else
    kq_guard_free_exchange (guard, exchange);
}

static void
handle_notification (KqRequestGuard *guard, KqExchange *exchange, const KqCoapMessage *message,
                     const uint8_t *bytes, size_t size, KqTime now)
{
  bool last = !message->observe_present || KQ_COAP_CLASS (message->code) != 2;
  exchange->target_mid = message->message_id;
  kq_guard_notify (guard, exchange, message->type == KQ_COAP_CON ? KQ_COAP_CON : KQ_COAP_NON, bytes,
                   size, now);
  if (last)
    kq_guard_end_observation (guard, exchange, false);
}

/* The caller already got "outcome unknown"; duplicates of the request now get the actual answer. */
static void
handle_late_answer (KqRequestGuard *guard, KqExchange *exchange, const uint8_t *bytes, size_t size,
                    KqTime now)
{
  guard->stats.late_answers_dropped++;
  kq_guard_record_outcome (guard, exchange, KQ_DEDUP_ANSWERED, bytes, size, now);
  TAILQ_REMOVE (&guard->late, exchange, entry);
  guard->late_count--;
  guard->stuck_count -= exchange->occupies_slot;
  kq_guard_free_exchange (guard, exchange);
}

static void
handle_response (KqRequestGuard *guard, const KqFlowKey *key, const KqCoapMessage *message,
                 const uint8_t *bytes, size_t size, KqTime now)
{
  KqExchange *exchange = find_by_target (guard, key, message);
  if (exchange == NULL)
    {
      guard->stats.late_answers_dropped++;
      if (message->type != KQ_COAP_ACK)
        kq_guard_send_empty (guard, key, KQ_COAP_RST, message->message_id);
      return;
    }
  if (message->type == KQ_COAP_CON)
    kq_guard_send_empty (guard, key, KQ_COAP_ACK, message->message_id);
  if (exchange->state == KQ_EXCHANGE_RUNNING)
    complete_exchange (guard, exchange, message, bytes, size, now);
  else if (exchange->state == KQ_EXCHANGE_OBSERVING)
    handle_notification (guard, exchange, message, bytes, size, now);
  else
    handle_late_answer (guard, exchange, bytes, size, now);
}

static void
handle_empty_message (KqRequestGuard *guard, const KqFlowKey *key, const KqCoapMessage *message,
                      KqTime now)
{
  KqExchange *exchange;
  if (message->type == KQ_COAP_CON)
    kq_guard_send_empty (guard, key, KQ_COAP_RST, message->message_id);
  TAILQ_FOREACH (exchange, &guard->running, entry)
  if (exchange->target_mid == message->message_id && kq_flow_key_equal (&exchange->key, key))
    break;
  if (exchange == NULL || message->type == KQ_COAP_CON || message->type == KQ_COAP_NON)
    return;
  exchange->target_acked = true;
  if (message->type == KQ_COAP_RST)
    kq_guard_abandon (guard, exchange, KQ_CANCEL_TARGET, now);
}

void
kq_request_guard_from_target (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                              size_t size, KqTime now)
{
  KqCoapMessage message;
  kq_guard_record_time (guard, now);
  if (kq_coap_message_parse (bytes, size, &message, NULL) < 0)
    {
      guard->stats.malformed++;
      return;
    }
  release_stuck_slots (guard);
  if (message.code == KQ_COAP_EMPTY)
    handle_empty_message (guard, key, &message, now);
  else if (KQ_COAP_CLASS (message.code) == 0)
    guard->stats.malformed++;
  else
    handle_response (guard, key, &message, bytes, size, now);
  kq_guard_start_waiting (guard, now);
}

static void
retransmit_requests (KqRequestGuard *guard, KqTime now)
{
  KqExchange *exchange;
  TAILQ_FOREACH (exchange, &guard->running, entry)
  {
    bool due = !exchange->target_acked && exchange->datagram != NULL &&
               exchange->retransmit_at <= now && exchange->retransmit_count < RETRANSMISSIONS_MAX;
    if (!due)
      continue;
    exchange->retransmit_count++;
    exchange->retransmit_at = now + RETRANSMIT_US;
    send_datagram (guard, exchange, now);
  }
}

/* A late exchange points to its stored outcome and is therefore freed no later than that entry. */
static void
expire_late (KqRequestGuard *guard, KqTime now)
{
  KqTime lifetime_us = guard->params.dedup_lifetime_us;
  KqTime late_us = lifetime_us < LATE_MAX_US ? lifetime_us : LATE_MAX_US;
  KqExchange *exchange = TAILQ_FIRST (&guard->late);
  while (exchange != NULL)
    {
      KqExchange *next = TAILQ_NEXT (exchange, entry);
      if (exchange->occupies_slot && now - exchange->abandoned_at >= STUCK_SLOT_MAX_US)
        {
          exchange->occupies_slot = false;
          guard->stuck_count--;
        }
      if (now - exchange->abandoned_at >= late_us)
        {
          TAILQ_REMOVE (&guard->late, exchange, entry);
          guard->late_count--;
          guard->stuck_count -= exchange->occupies_slot;
          kq_guard_free_exchange (guard, exchange);
        }
      exchange = next;
    }
}

void
kq_guard_tick_target (KqRequestGuard *guard, KqTime now)
{
  retransmit_requests (guard, now);
  expire_late (guard, now);
  if (guard->stuck_count > 0 && guard->probe_at <= now)
    {
      const KqFlowKey *key = &TAILQ_LAST (&guard->late, KqExchangeList)->key;
      guard->probe_at = now + PROBE_US;
      kq_guard_send_empty (guard, key, KQ_COAP_CON, kq_guard_next_target_mid (guard, key));
    }
}
