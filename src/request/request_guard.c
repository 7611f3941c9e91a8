/* At-most-once execution of non-idempotent requests. "Not run" is reported only when it is certain.
 *
 * A non-idempotent request (POST, PATCH) is identified by its flow and token. All times below are
 * on the clock of one incarnation of the agent.
 *
 * - A request is sent to the target only if it carries an Echo value E that this incarnation issued
 *   for this flow less than echo_us ago, and if no entry for the request is stored. The entry is
 *   created before the request is sent, at t0 >= issued (E), and is kept for at least
 *   dedup_lifetime_us after t0.
 * - A duplicate with the same E that arrives after the entry was removed arrives after
 *   t0 + dedup_lifetime_us, which is at least issued (E) + echo_us. E has expired by then and the
 *   duplicate is not executed: the request runs at most once.
 * - Refusals are stored too, until E has expired, so that a later duplicate of a refused request is
 *   not executed. If there is no room for the entry, echo_floor is raised instead: no Echo value
 *   issued so far then admits a request that has no entry. Either way "not run" remains true.
 * - If E has expired but is younger than dedup_lifetime_us, and there is no entry, the request
 *   never ran, as its entry would still be stored: the response is "not run". If E is older, this
 *   cannot be known: the response is "outcome unknown".
 * - An Echo value of another incarnation, target or flow gives no information about the request:
 *   the response is "outcome unknown". A request that carries an Echo value never gets a new one.
 *
 * The second and fourth items require that a caller uses an Echo value and a token for one request
 * only (docs/reference/caller-protocol.md). */
#include <string.h>

#include "kumquat/internal/guard.h"

#define EMPTY_ACK_US KQ_SECOND /* below the caller's ACK_TIMEOUT of 2 s (RFC 7252) */

static int
init_tables (KqRequestGuard *guard)
{
  const KqRequestGuardParams *params = &guard->params;
  guard->dedup = kq_dedup_store_new (guard, params->dedup_entries_max, params->dedup_bytes_max,
                                     params->dedup_lifetime_us, params->echo_us);
  guard->retransmit_queue = kq_retransmit_queue_new (guard);
  if (guard->dedup == NULL || guard->retransmit_queue == NULL)
    return -1;
  if (kq_hash_index_init (&guard->by_token, guard) < 0 ||
      kq_hash_index_init (&guard->by_target, guard) < 0)
    return -1;
  return 0;
}

KqRequestGuard *
kq_request_guard_new (const void *parent, const KqRequestGuardParams *params,
                      const KqRequestGuardOps *ops, void *data)
{
  KqRequestGuard *guard = talloc_zero (parent, KqRequestGuard);
  if (guard == NULL)
    return NULL;
  guard->params = *params;
  guard->ops = *ops;
  guard->data = data;
  if (guard->params.dedup_bytes_max == 0)
    guard->params.dedup_bytes_max = KQ_DEDUP_BYTES_DEFAULT;
  if (guard->params.observers_max == 0)
    guard->params.observers_max = KQ_OBSERVERS_DEFAULT;
  if (guard->params.echo_us > guard->params.dedup_lifetime_us)
    guard->params.echo_us = guard->params.dedup_lifetime_us;
  if (init_tables (guard) < 0)
    {
      talloc_free (guard);
      return NULL;
    }
  TAILQ_INIT (&guard->running);
  TAILQ_INIT (&guard->observing);
  TAILQ_INIT (&guard->late);
  kq_request_costs_init (&guard->costs, &guard->params);
  kq_request_queue_init (&guard->queue, params->queue_max,
                         (params->disable & KQ_DISABLE_DEADLINE_QUEUE) != 0);
  kq_echo_init (&guard->echo, params->target_id, params->incarnation, params->echo_key);
  kq_random_seed (&guard->random, params->seed);
  guard->next_target_token = kq_random_next (&guard->random);
  for (unsigned i = 0; i < KQ_GUARD_MID_COUNTERS; i++)
    {
      guard->caller_mids[i] = (uint16_t)kq_random_next (&guard->random);
      guard->target_mids[i] = (uint16_t)kq_random_next (&guard->random);
    }
  guard->echo_floor = -1;
  guard->cold_start = (KqRamp){ .floor = 1, .start = KQ_NEVER, .duration_us = params->ramp_us };
  guard->shed = (KqRamp){ .floor = params->slots, .start = 0, .duration_us = 0 };
  return guard;
}

void
kq_guard_record_time (KqRequestGuard *guard, KqTime now)
{
  guard->last_event = now;
  if (guard->cold_start.start == KQ_NEVER)
    guard->cold_start.start = now;
}

static void
tick_callers (KqRequestGuard *guard, KqTime now)
{
  KqExchange *exchange;
  KqUnackedMessage *outgoing;
  bool limit_reached;
  TAILQ_FOREACH (exchange, &guard->running, entry)
  if (now - exchange->arrived > EMPTY_ACK_US)
    kq_guard_acknowledge (guard, &exchange->key, &exchange->reply_to);
  TAILQ_FOREACH (exchange, &guard->queue.list, entry)
  if (now - exchange->arrived > EMPTY_ACK_US)
    kq_guard_acknowledge (guard, &exchange->key, &exchange->reply_to);
  while ((outgoing = kq_retransmit_queue_due (guard->retransmit_queue, now, &limit_reached)) !=
         NULL)
    if (limit_reached)
      kq_guard_cancel_by_message_id (guard, &outgoing->key, outgoing->message_id, now);
    else
      guard->ops.to_caller (&outgoing->key, outgoing->bytes, outgoing->size, guard->data);
}

void
kq_request_guard_tick (KqRequestGuard *guard, KqTime now)
{
  kq_guard_record_time (guard, now);
  KqExchange *exchange = TAILQ_FIRST (&guard->running);
  while (exchange != NULL)
    {
      KqExchange *next = TAILQ_NEXT (exchange, entry);
      if (exchange->deadline < now)
        {
          guard->stats.deadline_expired++;
          kq_guard_abandon (guard, exchange, KQ_CANCEL_DEADLINE, now);
        }
      exchange = next;
    }
  tick_callers (guard, now);
  kq_guard_tick_target (guard, now);
  kq_guard_start_waiting (guard, now);
  kq_dedup_store_expire (guard->dedup, now);
}

void
kq_request_guard_flow_closed (KqRequestGuard *guard, const KqFlowKey *key, KqTime now)
{
  KqExchange *exchange = TAILQ_FIRST (&guard->queue.list);
  kq_retransmit_queue_remove_flow (guard->retransmit_queue, key);
  while (exchange != NULL)
    {
      KqExchange *next = TAILQ_NEXT (exchange, entry);
      if (kq_flow_key_equal (&exchange->key, key))
        kq_guard_refuse_waiting (guard, exchange, now);
      exchange = next;
    }
  exchange = TAILQ_FIRST (&guard->observing);
  while (exchange != NULL)
    {
      KqExchange *next = TAILQ_NEXT (exchange, entry);
      if (kq_flow_key_equal (&exchange->key, key))
        {
          uint8_t bytes[KQ_DATAGRAM_BYTES];
          size_t size = kq_guard_format_observation_end (&exchange->reply_to, bytes);
          kq_guard_notify (guard, exchange, KQ_COAP_NON, bytes, size, now);
          kq_guard_end_observation (guard, exchange, true);
        }
      exchange = next;
    }
}

void
kq_request_guard_drain (KqRequestGuard *guard, KqTime now)
{
  guard->cold_start = (KqRamp){ .floor = guard->params.slots };
  kq_guard_start_waiting (guard, now);
}

void
kq_request_guard_set_limits (KqRequestGuard *guard, const KqRequestGuardParams *limits, KqTime now)
{
  KqRequestGuardParams *params = &guard->params;
  params->slots = limits->slots;
  params->queue_max = limits->queue_max;
  params->deadline_us = limits->deadline_us;
  params->class_count = limits->class_count;
  params->default_worth = limits->default_worth;
  memcpy (params->classes, limits->classes, sizeof params->classes);
  guard->queue.max = limits->queue_max;
  kq_request_costs_set_classes (&guard->costs, params);
  kq_guard_start_waiting (guard, now);
}

void
kq_request_guard_rotate_echo_key (KqRequestGuard *guard, const uint8_t key[32])
{
  kq_echo_rotate (&guard->echo, key);
}

unsigned
kq_request_guard_load (const KqRequestGuard *guard, KqTime now)
{
  unsigned busy = guard->running_count + guard->stuck_count + guard->queue.count;
  return busy * 1000 / kq_guard_usable_slots (guard, now);
}

bool
kq_request_guard_idle (const KqRequestGuard *guard)
{
  return guard->running_count == 0 && guard->queue.count == 0 && guard->observer_count == 0 &&
         TAILQ_EMPTY (&guard->retransmit_queue->list);
}

KqRequestGuardStats
kq_request_guard_stats (const KqRequestGuard *guard)
{
  KqRequestGuardStats stats = guard->stats;
  stats.running = guard->running_count;
  stats.waiting = guard->queue.count;
  stats.observers = guard->observer_count;
  stats.slots_usable = kq_guard_usable_slots (guard, guard->last_event);
  stats.slots_stuck = guard->stuck_count;
  stats.dedup_entries = guard->dedup->index.count;
  stats.dedup_bytes = guard->dedup->bytes;
  return stats;
}
