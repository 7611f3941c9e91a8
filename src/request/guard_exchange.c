#include <string.h>

#include "kumquat/internal/guard.h"

#define DEADLINE_MAX_US (60 * KQ_SECOND) /* upper limit of a caller's deadline */

unsigned
kq_guard_usable_slots (const KqRequestGuard *guard, KqTime now)
{
  unsigned cold_start = kq_ramp_limit (&guard->cold_start, guard->params.slots, now);
  unsigned shed = kq_ramp_limit (&guard->shed, guard->params.slots, now);
  unsigned usable = cold_start < shed ? cold_start : shed;
  return usable > 0 ? usable : 1;
}

static bool
slot_is_free (const KqRequestGuard *guard, KqTime now)
{
  return guard->running_count + guard->stuck_count < kq_guard_usable_slots (guard, now);
}

KqExchange *
kq_guard_find_exchange (const KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *token,
                        size_t token_size)
{
  uint64_t hash = kq_request_hash (key, token, token_size);
  KqHashLink *link = kq_hash_index_find (&guard->by_token, hash);
  while (link != NULL)
    {
      KqExchange *exchange = KQ_CONTAINER_OF (link, KqExchange, by_token);
      if (exchange->reply_to.token_size == token_size &&
          memcmp (exchange->reply_to.token, token, token_size) == 0 &&
          kq_flow_key_equal (&exchange->key, key))
        return exchange;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

static void
set_deadline_and_class (const KqRequestGuard *guard, const KqIncomingDatagram *incoming,
                        KqExchange *exchange)
{
  char class_name[KQ_NAME_BYTES] = "";
  uint32_t deadline_ms;
  KqTime deadline_us = guard->params.deadline_us;
  if (kq_coap_query_number (incoming->message, KQ_COAP_QUERY_DEADLINE, &deadline_ms))
    deadline_us = deadline_ms * KQ_MS;
  if (deadline_us > DEADLINE_MAX_US)
    deadline_us = DEADLINE_MAX_US;
  kq_coap_query_text (incoming->message, KQ_COAP_QUERY_CLASS, class_name, sizeof class_name);
  exchange->arrived = incoming->now;
  exchange->deadline = incoming->now + deadline_us;
  exchange->class_index = kq_request_costs_class (&guard->costs, class_name);
}

KqExchange *
kq_guard_new_exchange (KqRequestGuard *guard, const KqIncomingDatagram *incoming,
                       uint64_t target_token)
{
  const KqCoapMessage *message = incoming->message;
  KqExchange *exchange = talloc_zero (guard, KqExchange);
  if (exchange == NULL)
    return NULL;
  exchange->datagram = talloc_memdup (exchange, incoming->bytes, incoming->size);
  if (exchange->datagram == NULL)
    {
      talloc_free (exchange);
      return NULL;
    }
  exchange->size = incoming->size;
  exchange->key = *incoming->key;
  exchange->reply_to.type = message->type;
  exchange->reply_to.message_id = message->message_id;
  exchange->reply_to.token_size = message->token_size;
  memcpy (exchange->reply_to.token, message->token, sizeof exchange->reply_to.token);
  exchange->state = KQ_EXCHANGE_WAITING;
  exchange->code = message->code;
  exchange->digest = incoming->digest;
  exchange->register_observer =
      message->code == KQ_COAP_GET && message->observe_present && message->observe == 0;
  exchange->target_token = target_token != 0 ? target_token : guard->next_target_token++;
  set_deadline_and_class (guard, incoming, exchange);
  kq_hash_index_insert (&guard->by_token, &exchange->by_token,
                        kq_request_hash (&exchange->key, message->token, message->token_size));
  kq_hash_index_insert (&guard->by_target, &exchange->by_target, exchange->target_token);
  return exchange;
}

/* A target that refuses to renew an observation still sends its notifications, and the caller still
 * expects them and tries to renew again. So the observation is kept until the target has agreed. */
void
kq_guard_begin_renewal (KqRequestGuard *guard, KqExchange *exchange, KqExchange *renewed)
{
  kq_hash_index_remove (&guard->by_token, &renewed->by_token);
  exchange->renewed = renewed;
  renewed->renewal = exchange;
}

void
kq_guard_cancel_renewal (KqRequestGuard *guard, KqExchange *renewal)
{
  KqExchange *observation = renewal->renewed;
  if (observation == NULL)
    return;
  renewal->renewed = NULL;
  observation->renewal = NULL;
  const KqReplyContext *reply_to = &observation->reply_to;
  kq_hash_index_remove (&guard->by_token, &renewal->by_token);
  kq_hash_index_insert (&guard->by_token, &observation->by_token,
                        kq_request_hash (&observation->key, reply_to->token, reply_to->token_size));
}

void
kq_guard_free_exchange (KqRequestGuard *guard, KqExchange *exchange)
{
  if (exchange->renewed != NULL)
    exchange->renewed->renewal = NULL;
  if (exchange->renewal != NULL)
    exchange->renewal->renewed = NULL;
  kq_hash_index_remove (&guard->by_token, &exchange->by_token);
  kq_hash_index_remove (&guard->by_target, &exchange->by_target);
  talloc_free (exchange);
}

void
kq_guard_record_outcome (KqRequestGuard *guard, KqExchange *exchange, KqDedupState state,
                         const uint8_t *bytes, size_t size, KqTime now)
{
  if (exchange->dedup != NULL)
    kq_dedup_store_complete (guard->dedup, exchange->dedup, state, bytes, size, now);
}

/* Answers an exchange that was never sent to the target. */
static void
refuse_unsent (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  size_t size = kq_guard_format_refusal (guard, exchange->code, &exchange->reply_to, bytes);
  kq_guard_record_outcome (guard, exchange, KQ_DEDUP_REFUSED, bytes, size, now);
  kq_guard_respond (guard, &exchange->key, &exchange->reply_to, bytes, size, now);
  guard->ops.finished (&exchange->key, now - exchange->arrived, false, guard->data);
  kq_guard_cancel_renewal (guard, exchange);
  kq_guard_free_exchange (guard, exchange);
}

void
kq_guard_refuse_waiting (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  kq_request_queue_remove (&guard->queue, exchange);
  refuse_unsent (guard, exchange, now);
}

static void
start_exchange (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  exchange->started = now;
  if (kq_guard_send_request (guard, exchange, now) < 0)
    {
      refuse_unsent (guard, exchange, now);
      return;
    }
  exchange->state = KQ_EXCHANGE_RUNNING;
  TAILQ_INSERT_TAIL (&guard->running, exchange, entry);
  guard->running_count++;
  if (kq_method_semantics (exchange->code) == KQ_METHOD_NON_IDEMPOTENT)
    {
      talloc_free (exchange->datagram);
      exchange->datagram = NULL;
    }
}

void
kq_guard_schedule (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  KqExchange *victim;
  if (exchange->deadline <= now)
    refuse_unsent (guard, exchange, now);
  else if (slot_is_free (guard, now) && guard->queue.count == 0)
    start_exchange (guard, exchange, now);
  else if (!kq_request_queue_admits (&guard->queue, &guard->costs, exchange,
                                     kq_guard_usable_slots (guard, now), now, &victim))
    refuse_unsent (guard, exchange, now);
  else
    {
      if (victim != NULL)
        kq_guard_refuse_waiting (guard, victim, now);
      kq_request_queue_add (&guard->queue, exchange);
      kq_guard_start_waiting (guard, now);
    }
}

bool
kq_guard_would_admit (const KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  KqExchange probe = { .key = *incoming->key };
  KqExchange *victim;
  set_deadline_and_class (guard, incoming, &probe);
  if (probe.deadline <= incoming->now)
    return false;
  return slot_is_free (guard, incoming->now) ||
         kq_request_queue_admits (&guard->queue, &guard->costs, &probe,
                                  kq_guard_usable_slots (guard, incoming->now), incoming->now,
                                  &victim);
}

void
kq_guard_start_waiting (KqRequestGuard *guard, KqTime now)
{
  KqExchange *exchange;
  while ((exchange = kq_request_queue_find_infeasible (&guard->queue, &guard->costs, now)) != NULL)
    kq_guard_refuse_waiting (guard, exchange, now);
  while (slot_is_free (guard, now) &&
         (exchange = kq_request_queue_select_next (&guard->queue, &guard->costs)) != NULL)
    {
      kq_request_queue_remove (&guard->queue, exchange);
      start_exchange (guard, exchange, now);
    }
}

static void
drop_oldest_late (KqRequestGuard *guard)
{
  KqExchange *oldest = TAILQ_FIRST (&guard->late);
  TAILQ_REMOVE (&guard->late, oldest, entry);
  guard->late_count--;
  guard->stuck_count -= oldest->occupies_slot;
  kq_guard_free_exchange (guard, oldest);
}

/* Keeps an abandoned request to recognise its late answer. Its slot stays occupied until the target
 * sends anything: a target that has stopped responding would otherwise be sent one request after
 * another, and each would end with an unknown outcome instead of a refusal. */
static void
wait_for_late_answer (KqRequestGuard *guard, KqExchange *exchange, bool occupies_slot, KqTime now)
{
  exchange->abandoned_at = now;
  kq_hash_index_remove (&guard->by_token, &exchange->by_token);
  exchange->state = KQ_EXCHANGE_LATE;
  exchange->occupies_slot = occupies_slot && (guard->params.disable & KQ_DISABLE_STUCK_SLOTS) == 0;
  TAILQ_INSERT_TAIL (&guard->late, exchange, entry);
  guard->late_count++;
  guard->stuck_count += exchange->occupies_slot;
  if (guard->late_count > KQ_GUARD_LATE_MAX)
    drop_oldest_late (guard);
}

void
kq_guard_abandon (KqRequestGuard *guard, KqExchange *exchange, KqCancelReason reason, KqTime now)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  size_t size = kq_guard_format_outcome_unknown (&exchange->reply_to, bytes);
  kq_guard_record_outcome (guard, exchange, KQ_DEDUP_ANSWERED, bytes, size, now);
  if (reason != KQ_CANCEL_CALLER)
    {
      guard->stats.outcome_unknown++;
      kq_guard_respond (guard, &exchange->key, &exchange->reply_to, bytes, size, now);
      guard->ops.finished (&exchange->key, now - exchange->arrived, false, guard->data);
    }
  if (reason != KQ_CANCEL_TARGET)
    kq_guard_send_empty (guard, &exchange->key, KQ_COAP_RST, exchange->target_mid);
  if (reason == KQ_CANCEL_DEADLINE)
    kq_request_costs_sample (&guard->costs, exchange->class_index, now - exchange->started);
  kq_guard_cancel_renewal (guard, exchange);
  TAILQ_REMOVE (&guard->running, exchange, entry);
  guard->running_count--;
  wait_for_late_answer (guard, exchange, reason != KQ_CANCEL_TARGET, now);
}

void
kq_guard_end_observation (KqRequestGuard *guard, KqExchange *exchange, bool reset_target)
{
  KqUnackedMessage *unacked = NULL;
  if (reset_target)
    {
      kq_guard_send_empty (guard, &exchange->key, KQ_COAP_RST, exchange->target_mid);
      if (exchange->notified)
        unacked = kq_retransmit_queue_find (guard->retransmit_queue, &exchange->key,
                                            exchange->notification_mid);
    }
  if (unacked != NULL)
    kq_retransmit_queue_remove (guard->retransmit_queue, unacked);
  TAILQ_REMOVE (&guard->observing, exchange, entry);
  guard->observer_count--;
  kq_guard_free_exchange (guard, exchange);
}
