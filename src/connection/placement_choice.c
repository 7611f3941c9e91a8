/* Selection of a target for a new flow whose home is busy: the home queries the loads of some
 * other targets and asks the least loaded one to accept the flow. That target declines if its
 * load has since risen above that of the second best, so that homes that choose at the same time
 * do not all pick the same target. */

#include <xxhash.h>

#include "kumquat/internal/placement_state.h"

#define QUERIES_DEFAULT   4 /* querying more gains little; figures in docs/design/placement.md */
#define QUERY_TIMEOUT     (5 * KQ_MS) /* several round trips between failure domains */
#define QUERY_TRIES_MAX   8
#define PLACE_TIMEOUT     (8 * KQ_MS)
#define PLACE_BACKOFF_MAX 5 /* maximum doublings of PLACE_TIMEOUT */
#define REFUSALS_MAX      3 /* after these, the least loaded target gets no load limit */
#define RESERVATION_TIME  (50 * KQ_MS)

unsigned
kq_choice_load (KqPlacement *placement, KqTime now)
{
  unsigned load = placement->ops.load (placement->data);
  for (unsigned i = 0; i < KQ_RESERVED_MAX; i++)
    if (placement->reserved[i].until > now)
      load += placement->params.load_step;
  return load;
}

static void
reserve (KqPlacement *placement, uint64_t hash, KqTime now)
{
  for (unsigned i = 0; i < KQ_RESERVED_MAX; i++)
    if (placement->reserved[i].until <= now)
      {
        placement->reserved[i] = (KqReservation){ .hash = hash, .until = now + RESERVATION_TIME };
        return;
      }
}

void
kq_choice_release_reservation (KqPlacement *placement, uint64_t hash)
{
  for (unsigned i = 0; i < KQ_RESERVED_MAX; i++)
    if (placement->reserved[i].hash == hash)
      placement->reserved[i].until = 0;
}

static void
add_queried (const KqPlacement *placement, KqPending *pending, unsigned max, const KqPeer *peer)
{
  if (pending->queried_count == max || peer->id == placement->params.self.id)
    return;
  for (unsigned i = 0; i < pending->queried_count; i++)
    if (pending->queried_targets[i].peer.id == peer->id)
      return;
  pending->queried_targets[pending->queried_count++] = (KqQueriedTarget){ .peer = *peer };
}

/* Selects the bucket's other candidates, then further targets in service from a random index on. */
static void
select_queried (KqPlacement *placement, KqPending *pending)
{
  unsigned max = placement->params.query_max == 0 ? QUERIES_DEFAULT : placement->params.query_max;
  max = max > KQ_QUERIED_TARGETS_MAX ? KQ_QUERIED_TARGETS_MAX : max;
  KqPeer candidates[KQ_CANDIDATES_MAX];
  unsigned count = kq_routing_candidates (placement->routing, pending->bucket, candidates);
  for (unsigned i = 0; i < count; i++)
    add_queried (placement, pending, max, &candidates[i]);
  if (placement->target_count == 0)
    return;
  unsigned start = (unsigned)kq_random_below (&placement->random, placement->target_count);
  for (unsigned i = 0; i < placement->target_count; i++)
    {
      const KqTarget *target = &placement->targets[(start + i) % placement->target_count];
      if (target->in_service)
        add_queried (placement, pending, max, &target->peer);
    }
}

static void
send_queries (KqPlacement *placement, KqPending *pending, KqTime now)
{
  KqPlacementMessage query = { .type = KQ_MESSAGE_QUERY, .number = pending->number };
  pending->retry_at = now + QUERY_TIMEOUT;
  pending->tries++;
  for (unsigned i = 0; i < pending->queried_count; i++)
    if (!pending->queried_targets[i].answered)
      kq_placement_send (placement, &pending->queried_targets[i].peer, &query);
}

static KqQueriedTarget *
least_loaded (KqPending *pending, const KqQueriedTarget *except)
{
  KqQueriedTarget *best = NULL;
  for (unsigned i = 0; i < pending->queried_count; i++)
    {
      KqQueriedTarget *queried_target = &pending->queried_targets[i];
      if (queried_target == except || !queried_target->answered || queried_target->declined)
        continue;
      if (best == NULL || queried_target->load < best->load)
        best = queried_target;
    }
  return best;
}

static void
send_place (KqPlacement *placement, KqPending *pending, KqTime now)
{
  KqPlacementMessage message = {
    .type = KQ_MESSAGE_PLACE, .number = pending->number, .load = pending->limit, .flow_count = 1
  };
  unsigned doublings = pending->tries < PLACE_BACKOFF_MAX ? pending->tries : PLACE_BACKOFF_MAX;
  message.flows[0].caller = pending->key.caller;
  pending->tries++;
  pending->retry_at = now + (PLACE_TIMEOUT << doublings);
  kq_placement_send (placement, &pending->chosen, &message);
}

static void
start_place (KqPlacement *placement, KqPending *pending, const KqPeer *owner, unsigned limit,
             KqTime now)
{
  if (kq_flow_shard_store (placement->directory, &pending->key, pending->hash, owner, now) < 0)
    {
      kq_pending_refuse (placement, pending, KQ_ERROR_FULL);
      return;
    }
  pending->state = KQ_WAIT_PLACED;
  pending->chosen = *owner;
  pending->limit = limit;
  pending->tries = 0;
  pending->number = ++placement->last_number;
  send_place (placement, pending, now);
}

static void
select_target (KqPlacement *placement, KqPending *pending, KqTime now)
{
  unsigned own = kq_choice_load (placement, now);
  KqQueriedTarget *best = least_loaded (pending, NULL);
  bool admit_here = best == NULL || own <= best->load;
  if (admit_here && kq_placement_admit (placement, &pending->key, pending->hash, now) == 0)
    {
      kq_pending_deliver (placement, pending);
      return;
    }
  if (best == NULL)
    {
      kq_pending_refuse (placement, pending, KQ_ERROR_FULL);
      return;
    }
  const KqQueriedTarget *second = least_loaded (pending, best);
  unsigned limit = second == NULL || second->load > own ? own : second->load;
  if (pending->refusals >= REFUSALS_MAX || admit_here)
    limit = UINT32_MAX;
  start_place (placement, pending, &best->peer, limit, now);
}

static bool
all_answered (const KqPending *pending)
{
  for (unsigned i = 0; i < pending->queried_count; i++)
    if (!pending->queried_targets[i].answered)
      return false;
  return true;
}

void
kq_choice_start (KqPlacement *placement, KqPending *pending, KqTime now)
{
  placement->stats.queries++;
  pending->state = KQ_WAIT_LOADS;
  pending->tries = 0;
  select_queried (placement, pending);
  if (pending->queried_count == 0)
    select_target (placement, pending, now);
  else
    send_queries (placement, pending, now);
}

void
kq_choice_place_at_owner (KqPlacement *placement, KqPending *pending, const KqPeer *owner,
                          KqTime now)
{
  start_place (placement, pending, owner, UINT32_MAX, now);
}

/* If no target reported a usable load, a home that can accept the flow does so, and one that
 * cannot repeats the query. */
void
kq_choice_retry (KqPlacement *placement, KqPending *pending, KqTime now)
{
  if (pending->state == KQ_WAIT_PLACED)
    {
      send_place (placement, pending, now);
      return;
    }
  if (pending->state != KQ_WAIT_LOADS)
    return;
  bool none = least_loaded (pending, NULL) == NULL;
  bool cannot =
      placement->draining || kq_flow_shard_count (placement->flows) >= placement->params.flows_max;
  if (none && cannot && !all_answered (pending) && pending->tries < QUERY_TRIES_MAX)
    send_queries (placement, pending, now);
  else
    select_target (placement, pending, now);
}

static void
answer_query (KqPlacement *placement, const KqPeer *from, uint64_t number, KqTime now)
{
  KqPlacementMessage answer = { .type = KQ_MESSAGE_LOAD, .number = number };
  answer.load = kq_choice_load (placement, now);
  if (placement->draining)
    answer.reason = KQ_ERROR_UNAVAILABLE;
  else if (kq_flow_shard_count (placement->flows) >= placement->params.flows_max)
    answer.reason = KQ_ERROR_FULL;
  kq_placement_send (placement, from, &answer);
}

/* Returns whether a flow of @bucket may be accepted from @from: not if another home has
 * requested the bucket. */
static bool
may_place (const KqPlacement *placement, unsigned bucket, const KqPeer *from)
{
  const KqBucket *b = &placement->buckets[bucket];
  if (b->synced || b->in_round)
    return false;
  return b->fence.id == 0 || (b->fence.id == from->id && b->fence.incarnation == from->incarnation);
}

static KqErrorKind
try_place (KqPlacement *placement, const KqPeer *from, const KqFlowKey *key, unsigned limit,
           KqTime now)
{
  uint64_t hash = kq_flow_key_hash (key);
  if (kq_flow_shard_touch (placement->flows, key, hash, now, NULL))
    return KQ_ERROR_NONE;
  if (!may_place (placement, kq_routing_bucket (hash), from))
    return KQ_ERROR_CONFLICT;
  if (placement->draining)
    return KQ_ERROR_UNAVAILABLE;
  if (kq_choice_load (placement, now) > limit)
    return KQ_ERROR_RANGE;
  if (kq_placement_admit (placement, key, hash, now) < 0)
    return KQ_ERROR_FULL;
  reserve (placement, hash, now);
  return KQ_ERROR_NONE;
}

static uint64_t
request_tag (const KqPeer *from, uint64_t number)
{
  uint64_t words[] = { from->id, from->incarnation, number };
  return XXH3_64bits (words, sizeof words);
}

/* Processes each request once. A duplicate of a refused request must not be granted, because the
 * home may have chosen another target by then; a duplicate that arrives after the flow has ended
 * must not open it again. */
static KqErrorKind
handle_place_once (KqPlacement *placement, const KqPeer *from, const KqFlowKey *key,
                   const KqPlacementMessage *message, KqTime now)
{
  uint64_t tag = request_tag (from, message->number);
  for (unsigned i = 0; i < KQ_HANDLED_REQUESTS_MAX; i++)
    {
      const KqHandledRequest *handled = &placement->handled[i];
      if (handled->tag != tag)
        continue;
      bool held = kq_flow_shard_lookup (placement->flows, key, kq_flow_key_hash (key), NULL);
      return held || handled->reason != KQ_ERROR_NONE ? handled->reason : KQ_ERROR_NOT_FOUND;
    }
  KqErrorKind reason = try_place (placement, from, key, message->load, now);
  placement->handled[placement->handled_next++ % KQ_HANDLED_REQUESTS_MAX] =
      (KqHandledRequest){ .tag = tag, .reason = reason };
  return reason;
}

static void
answer_place (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *message,
              KqTime now)
{
  KqFlowKey key = { .service = placement->service, .caller = message->flows[0].caller };
  KqPlacementMessage answer = { .number = message->number };
  answer.reason = handle_place_once (placement, from, &key, message, now);
  answer.type = answer.reason == KQ_ERROR_NONE ? KQ_MESSAGE_PLACED : KQ_MESSAGE_REFUSED;
  answer.load = kq_choice_load (placement, now);
  kq_placement_send (placement, from, &answer);
}

static void
handle_load (KqPlacement *placement, KqPending *pending, const KqPeer *from,
             const KqPlacementMessage *message, KqTime now)
{
  for (unsigned i = 0; i < pending->queried_count; i++)
    {
      KqQueriedTarget *queried_target = &pending->queried_targets[i];
      if (queried_target->peer.id != from->id)
        continue;
      queried_target->answered = true;
      queried_target->load = message->load;
      queried_target->declined = message->reason != KQ_ERROR_NONE;
    }
  if (all_answered (pending))
    select_target (placement, pending, now);
}

static void
handle_refused (KqPlacement *placement, KqPending *pending, const KqPlacementMessage *message,
                KqTime now)
{
  kq_flow_shard_remove (placement->directory, &pending->key, pending->hash, &pending->chosen);
  pending->refusals++;
  if (pending->queried_count == 0)
    {
      kq_choice_start (placement, pending, now);
      return;
    }
  for (unsigned i = 0; i < pending->queried_count; i++)
    {
      KqQueriedTarget *queried_target = &pending->queried_targets[i];
      if (queried_target->peer.id != pending->chosen.id)
        continue;
      queried_target->load = message->load;
      queried_target->declined = message->reason != KQ_ERROR_RANGE;
    }
  select_target (placement, pending, now);
}

static void
handle_placed (KqPlacement *placement, KqPending *pending, KqTime now)
{
  KqPeer owner = pending->chosen;
  kq_flow_shard_touch (placement->directory, &pending->key, pending->hash, now, NULL);
  placement->stats.flows_placed_elsewhere++;
  kq_pending_forward (placement, pending, &owner, &placement->params.self);
}

void
kq_choice_message (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *message,
                   KqTime now)
{
  if (message->type == KQ_MESSAGE_QUERY)
    {
      answer_query (placement, from, message->number, now);
      return;
    }
  if (message->type == KQ_MESSAGE_PLACE)
    {
      if (message->flow_count == 1)
        answer_place (placement, from, message, now);
      return;
    }
  KqPending *pending = kq_pending_by_number (placement, message->number);
  if (pending == NULL)
    return;
  bool chosen = pending->state == KQ_WAIT_PLACED && pending->chosen.id == from->id &&
                pending->chosen.incarnation == from->incarnation;
  if (message->type == KQ_MESSAGE_LOAD && pending->state == KQ_WAIT_LOADS)
    handle_load (placement, pending, from, message, now);
  else if (message->type == KQ_MESSAGE_PLACED && chosen)
    handle_placed (placement, pending, now);
  else if (message->type == KQ_MESSAGE_REFUSED && chosen)
    handle_refused (placement, pending, message, now);
}
