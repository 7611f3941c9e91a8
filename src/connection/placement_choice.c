/* Selection of a target for a new flow whose home is busy: the home queries the loads of some
 * other targets and asks the least loaded one to accept the flow. That target declines if its
 * load has since risen above that of the second best, so that homes that choose at the same time
 * do not all pick the same target. */

#include <xxhash.h>

#include "kumquat/internal/placement_state.h"

#define ASK_DEFAULT   4 /* querying more gains little; figures in docs/design/placement.md */
#define ASK_TIMEOUT   (5 * KQ_MS) /* several round trips between failure domains */
#define ASK_TRIES_MAX 8
#define PLACE_TIMEOUT (8 * KQ_MS)
#define PLACE_BACKOFF 5 /* maximum doublings of PLACE_TIMEOUT */
#define REFUSALS_MAX  3 /* after these, the least loaded target gets no load limit */
#define RESERVED_FOR  (50 * KQ_MS)

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
        placement->reserved[i] = (KqReservation){ .hash = hash, .until = now + RESERVED_FOR };
        return;
      }
}

void
kq_choice_arrived (KqPlacement *placement, uint64_t hash)
{
  for (unsigned i = 0; i < KQ_RESERVED_MAX; i++)
    if (placement->reserved[i].hash == hash)
      placement->reserved[i].until = 0;
}

static void
add_offer (const KqPlacement *placement, KqPending *pending, unsigned max, const KqPeer *peer)
{
  if (pending->offer_count == max || peer->id == placement->params.self.id)
    return;
  for (unsigned i = 0; i < pending->offer_count; i++)
    if (pending->offers[i].peer.id == peer->id)
      return;
  pending->offers[pending->offer_count++] = (KqOffer){ .peer = *peer };
}

/* Selects the bucket's other candidates, then further targets in service from a random index on. */
static void
pick_offers (KqPlacement *placement, KqPending *pending)
{
  unsigned max = placement->params.ask_max == 0 ? ASK_DEFAULT : placement->params.ask_max;
  max = max > KQ_OFFERS_MAX ? KQ_OFFERS_MAX : max;
  KqPeer candidates[KQ_CANDIDATES_MAX];
  unsigned count = kq_routing_candidates (placement->routing, pending->bucket, candidates);
  for (unsigned i = 0; i < count; i++)
    add_offer (placement, pending, max, &candidates[i]);
  if (placement->target_count == 0)
    return;
  unsigned start = (unsigned)kq_random_below (&placement->random, placement->target_count);
  for (unsigned i = 0; i < placement->target_count; i++)
    {
      const KqTarget *target = &placement->targets[(start + i) % placement->target_count];
      if (target->in_service)
        add_offer (placement, pending, max, &target->peer);
    }
}

static void
ask (KqPlacement *placement, KqPending *pending, KqTime now)
{
  KqPlacementMessage query = { .type = KQ_MESSAGE_QUERY, .number = pending->number };
  pending->retry_at = now + ASK_TIMEOUT;
  pending->tries++;
  for (unsigned i = 0; i < pending->offer_count; i++)
    if (!pending->offers[i].answered)
      kq_placement_send (placement, &pending->offers[i].peer, &query);
}

static KqOffer *
best_offer (KqPending *pending, const KqOffer *except)
{
  KqOffer *best = NULL;
  for (unsigned i = 0; i < pending->offer_count; i++)
    {
      KqOffer *offer = &pending->offers[i];
      if (offer == except || !offer->answered || offer->declined)
        continue;
      if (best == NULL || offer->load < best->load)
        best = offer;
    }
  return best;
}

static void
send_place (KqPlacement *placement, KqPending *pending, KqTime now)
{
  KqPlacementMessage message = {
    .type = KQ_MESSAGE_PLACE, .number = pending->number, .load = pending->limit, .flow_count = 1
  };
  unsigned doublings = pending->tries < PLACE_BACKOFF ? pending->tries : PLACE_BACKOFF;
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
choose (KqPlacement *placement, KqPending *pending, KqTime now)
{
  unsigned own = kq_choice_load (placement, now);
  KqOffer *best = best_offer (pending, NULL);
  bool keep = best == NULL || own <= best->load;
  if (keep && kq_placement_admit (placement, &pending->key, pending->hash, now) == 0)
    {
      kq_pending_deliver (placement, pending);
      return;
    }
  if (best == NULL)
    {
      kq_pending_refuse (placement, pending, KQ_ERROR_FULL);
      return;
    }
  const KqOffer *second = best_offer (pending, best);
  unsigned limit = second == NULL || second->load > own ? own : second->load;
  if (pending->refusals >= REFUSALS_MAX || keep)
    limit = UINT32_MAX;
  start_place (placement, pending, &best->peer, limit, now);
}

static bool
all_answered (const KqPending *pending)
{
  for (unsigned i = 0; i < pending->offer_count; i++)
    if (!pending->offers[i].answered)
      return false;
  return true;
}

void
kq_choice_start (KqPlacement *placement, KqPending *pending, KqTime now)
{
  placement->stats.queries++;
  pending->state = KQ_WAIT_LOADS;
  pending->tries = 0;
  pick_offers (placement, pending);
  if (pending->offer_count == 0)
    choose (placement, pending, now);
  else
    ask (placement, pending, now);
}

void
kq_choice_place_again (KqPlacement *placement, KqPending *pending, const KqPeer *owner, KqTime now)
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
  bool none = best_offer (pending, NULL) == NULL;
  bool cannot =
      placement->draining || kq_flow_shard_count (placement->flows) >= placement->params.flows_max;
  if (none && cannot && !all_answered (pending) && pending->tries < ASK_TRIES_MAX)
    ask (placement, pending, now);
  else
    choose (placement, pending, now);
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
place_once (KqPlacement *placement, const KqPeer *from, const KqFlowKey *key,
            const KqPlacementMessage *message, KqTime now)
{
  uint64_t tag = request_tag (from, message->number);
  for (unsigned i = 0; i < KQ_HANDLED_MAX; i++)
    {
      const KqHandled *handled = &placement->handled[i];
      if (handled->tag != tag)
        continue;
      bool held = kq_flow_shard_lookup (placement->flows, key, kq_flow_key_hash (key), NULL);
      return held || handled->reason != KQ_ERROR_NONE ? handled->reason : KQ_ERROR_NOT_FOUND;
    }
  KqErrorKind reason = try_place (placement, from, key, message->load, now);
  placement->handled[placement->handled_next++ % KQ_HANDLED_MAX] =
      (KqHandled){ .tag = tag, .reason = reason };
  return reason;
}

static void
answer_place (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *message,
              KqTime now)
{
  KqFlowKey key = { .service = placement->service, .caller = message->flows[0].caller };
  KqPlacementMessage answer = { .number = message->number };
  answer.reason = place_once (placement, from, &key, message, now);
  answer.type = answer.reason == KQ_ERROR_NONE ? KQ_MESSAGE_PLACED : KQ_MESSAGE_REFUSED;
  answer.load = kq_choice_load (placement, now);
  kq_placement_send (placement, from, &answer);
}

static void
take_load (KqPlacement *placement, KqPending *pending, const KqPeer *from,
           const KqPlacementMessage *message, KqTime now)
{
  for (unsigned i = 0; i < pending->offer_count; i++)
    {
      KqOffer *offer = &pending->offers[i];
      if (offer->peer.id != from->id)
        continue;
      offer->answered = true;
      offer->load = message->load;
      offer->declined = message->reason != KQ_ERROR_NONE;
    }
  if (all_answered (pending))
    choose (placement, pending, now);
}

static void
take_refusal (KqPlacement *placement, KqPending *pending, const KqPlacementMessage *message,
              KqTime now)
{
  kq_flow_shard_remove (placement->directory, &pending->key, pending->hash, &pending->chosen);
  pending->refusals++;
  if (pending->offer_count == 0)
    {
      kq_choice_start (placement, pending, now);
      return;
    }
  for (unsigned i = 0; i < pending->offer_count; i++)
    {
      KqOffer *offer = &pending->offers[i];
      if (offer->peer.id != pending->chosen.id)
        continue;
      offer->load = message->load;
      offer->declined = message->reason != KQ_ERROR_RANGE;
    }
  choose (placement, pending, now);
}

static void
take_placed (KqPlacement *placement, KqPending *pending, KqTime now)
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
    take_load (placement, pending, from, message, now);
  else if (message->type == KQ_MESSAGE_PLACED && chosen)
    take_placed (placement, pending, now);
  else if (message->type == KQ_MESSAGE_REFUSED && chosen)
    take_refusal (placement, pending, message, now);
}
