/* How a new home obtains the flows of its buckets.
 *
 * The home requests the flows of all buckets that are newly its own from every target it knows.
 * Answers are pages ordered by the hash of the flows. The cursor makes page requests idempotent,
 * so a lost page is requested again and the answering agent keeps no state. The home drives all
 * retransmission: if owners pushed their flows, they would have to track acknowledgements. An
 * agent is fenced before it answers, so no flow that another home places there later can be
 * missing from a page. */

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/placement_state.h"
#include "kumquat/internal/test_switch.h"

#define REQUEST_TIMEOUT    (20 * KQ_MS)
#define BACKOFF_MAX        6             /* maximum doublings of REQUEST_TIMEOUT, to 1.28 s */
#define RESTART_DELAY      (200 * KQ_MS) /* minimum age of a round before further buckets restart it */
#define OVERFLOW_DELAY     KQ_SECOND
#define UNRESPONSIVE_AFTER (3 * KQ_SECOND) /* for agents not in the view; above a 2 s freeze */

static void
send_request (KqPlacement *placement, KqSyncPeer *peer, KqTime now)
{
  KqPlacementMessage request = { .type = KQ_MESSAGE_SYNC_REQUEST,
                                 .number = placement->round.number,
                                 .cursor = peer->cursor,
                                 .digest = placement->digest };
  unsigned doublings = peer->tries < BACKOFF_MAX ? peer->tries : BACKOFF_MAX;
  KqTime timeout = REQUEST_TIMEOUT << doublings;
  peer->tries++;
  peer->retry_at = now + timeout + (KqTime)kq_random_below (&placement->random, (uint64_t)timeout);
  memcpy (request.buckets, placement->round.buckets, sizeof request.buckets);
  kq_placement_send (placement, &peer->peer, &request);
}

static KqSyncPeer *
find_peer (const KqSyncRound *round, uint64_t id)
{
  for (unsigned i = 0; i < round->peer_count; i++)
    if (round->peers[i].peer.id == id)
      return &round->peers[i];
  return NULL;
}

static KqTime
asked_since (const KqSyncRound *round, const KqPeer *peer, KqTime now)
{
  for (unsigned i = 0; i < round->earlier_count; i++)
    {
      const KqSyncPeer *earlier = &round->earlier[i];
      if (earlier->peer.id == peer->id && earlier->peer.incarnation == peer->incarnation)
        return earlier->done ? now : earlier->asked_at;
    }
  return now;
}

/* Requests the flows of @peer in this round, unless that is done; a newer incarnation is asked
 * again. */
static int
add_peer (KqPlacement *placement, const KqPeer *peer, KqTime now)
{
  KqSyncRound *round = &placement->round;
  if (kq_test_is_disabled ("handover"))
    return 0;
  if (peer->id == placement->params.self.id || kq_placement_peer_has_ended (placement, peer) ||
      kq_placement_peer_is_unresponsive (placement, peer, now))
    return 0;
  KqSyncPeer *found = find_peer (round, peer->id);
  if (found != NULL && found->peer.incarnation >= peer->incarnation)
    return 0;
  if (found == NULL)
    {
      KqSyncPeer *peers =
          talloc_realloc (placement, round->peers, KqSyncPeer, round->peer_count + 1);
      if (peers == NULL)
        return -1;
      round->peers = peers;
      found = &peers[round->peer_count++];
    }
  *found = (KqSyncPeer){ .peer = *peer, .asked_at = asked_since (round, peer, now) };
  send_request (placement, found, now);
  return 0;
}

static int
add_known_peers (KqPlacement *placement, KqTime now)
{
  for (unsigned i = 0; i < placement->target_count; i++)
    if (add_peer (placement, &placement->targets[i].peer, now) < 0)
      return -1;
  for (unsigned i = 0; i < KQ_UNKNOWN_PEERS_MAX; i++)
    {
      const KqUnknownPeer *unknown_peer = &placement->unknown_peers[i];
      if (now < unknown_peer->until && add_peer (placement, &unknown_peer->peer, now) < 0)
        return -1;
    }
  return 0;
}

static bool
needs_sync (const KqPlacement *placement, unsigned bucket, KqTime now)
{
  const KqBucket *b = &placement->buckets[bucket];
  if (b->synced || !kq_placement_is_home (placement, bucket) || now < b->blocked_until)
    return false;
  return b->claimed || !b->fence_current || now >= b->reclaim_at;
}

static bool
needs_round (const KqPlacement *placement, KqTime now)
{
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    if (needs_sync (placement, i, now) && !placement->buckets[i].in_round)
      return true;
  return false;
}

/* Resumes the flows that waited for the sync of their bucket. */
static void
resume_waiting (KqPlacement *placement, KqTime now)
{
  KqPending *pending = TAILQ_FIRST (&placement->pending);
  while (pending != NULL)
    {
      KqPending *next = TAILQ_NEXT (pending, link);
      const KqBucket *b = &placement->buckets[pending->bucket];
      KqPeer owner;
      if (pending->state == KQ_WAIT_SYNC && b->blocked_until > now)
        kq_pending_refuse (placement, pending, KQ_ERROR_FULL);
      else if (pending->state == KQ_WAIT_SYNC && b->synced)
        {
          if (kq_flow_shard_touch (placement->directory, &pending->key, pending->hash, now, &owner))
            kq_pending_forward (placement, pending, &owner, &placement->params.self);
          else if (kq_choice_load (placement, now) < placement->params.admit_load &&
                   kq_placement_admit (placement, &pending->key, pending->hash, now) == 0)
            kq_pending_deliver (placement, pending);
          else
            kq_choice_start (placement, pending, now);
        }
      pending = next;
    }
}

static void
finish_if_done (KqPlacement *placement, KqTime now)
{
  KqSyncRound *round = &placement->round;
  for (unsigned i = 0; i < round->peer_count; i++)
    if (!round->peers[i].done)
      return;
  if (!round->active || !round->complete)
    return;
  round->active = false;
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    {
      KqBucket *b = &placement->buckets[i];
      if (!b->in_round)
        continue;
      b->in_round = false;
      b->synced = !b->overflow;
      if (b->overflow)
        b->blocked_until = now + OVERFLOW_DELAY;
    }
  resume_waiting (placement, now);
  kq_sync_start (placement, now);
}

/* Starts a round with every bucket that needs one; buckets of an unfinished round are included
 * again. */
static void
start_round (KqPlacement *placement, KqTime now)
{
  KqSyncRound *round = &placement->round;
  uint8_t added[KQ_BUCKET_SET_BYTES] = { 0 };
  memset (round->buckets, 0, sizeof round->buckets);
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    {
      KqBucket *b = &placement->buckets[i];
      if (!b->in_round && !needs_sync (placement, i, now))
        continue;
      kq_bucket_set_add (round->buckets, i);
      if (!b->in_round)
        kq_bucket_set_add (added, i);
      b->in_round = true;
      b->overflow = false;
    }
  kq_directory_drop_buckets (placement, added, now);
  placement->stats.sync_rounds++;
  round->active = true;
  round->number = ++placement->last_number;
  round->started_at = now;
  talloc_free (round->earlier);
  round->earlier = round->peers;
  round->earlier_count = round->peer_count;
  round->peers = NULL;
  round->peer_count = 0;
  round->complete = add_known_peers (placement, now) == 0;
}

void
kq_sync_start (KqPlacement *placement, KqTime now)
{
  const KqSyncRound *round = &placement->round;
  if (!needs_round (placement, now) || (round->active && now - round->started_at < RESTART_DELAY))
    return;
  start_round (placement, now);
  finish_if_done (placement, now);
}

/* Removes agents whose incarnation has ended, and unresponsive ones that never were in the view,
 * from the round. */
static void
drop_ended_peers (KqPlacement *placement, KqTime now)
{
  KqSyncRound *round = &placement->round;
  for (unsigned i = 0; i < round->peer_count;)
    {
      const KqSyncPeer *peer = &round->peers[i];
      bool timed_out = !peer->done && now - peer->asked_at > UNRESPONSIVE_AFTER &&
                       kq_placement_peer_is_unknown (placement, &peer->peer);
      if (timed_out)
        kq_placement_mark_unresponsive (placement, &peer->peer, now);
      if (timed_out || kq_placement_peer_has_ended (placement, &peer->peer))
        round->peers[i] = round->peers[--round->peer_count];
      else
        i++;
    }
}

void
kq_sync_view_changed (KqPlacement *placement, KqTime now)
{
  if (placement->round.active)
    {
      drop_ended_peers (placement, now);
      placement->round.complete = add_known_peers (placement, now) == 0;
      finish_if_done (placement, now);
    }
  kq_sync_start (placement, now);
}

void
kq_sync_tick (KqPlacement *placement, KqTime now)
{
  KqSyncRound *round = &placement->round;
  bool retransmitted = false;
  for (unsigned i = 0; round->active && i < round->peer_count; i++)
    if (!round->peers[i].done && now >= round->peers[i].retry_at)
      {
        send_request (placement, &round->peers[i], now);
        retransmitted = true;
      }
  if (retransmitted)
    kq_sync_view_changed (placement, now);
  else
    kq_sync_start (placement, now);
}

/* Records the owner of a flow. What an owner reports about its own flows overrides what other
 * agents reported. A flow can have two owners only if two homes could not reach each other; both
 * keep it, and the directory names the one that answered last. */
static void
record_flow (KqPlacement *placement, const KqFlowKey *key, const KqPeer *owner,
             bool reported_by_owner, KqTime now)
{
  uint64_t hash = kq_flow_key_hash (key);
  KqBucket *b = &placement->buckets[kq_routing_bucket (hash)];
  KqPeer known;
  if (!b->in_round || owner->id == placement->params.self.id ||
      kq_placement_peer_has_ended (placement, owner))
    return;
  if (kq_flow_shard_lookup (placement->flows, key, hash, NULL))
    {
      placement->stats.owner_conflicts++;
      return;
    }
  if (kq_flow_shard_lookup (placement->directory, key, hash, &known))
    {
      placement->stats.owner_conflicts += known.id != owner->id;
      if (!reported_by_owner)
        return;
    }
  if (kq_flow_shard_store (placement->directory, key, hash, owner, now) < 0)
    {
      b->overflow = true;
      return;
    }
  KqPending *pending = kq_pending_find (placement, key);
  if (reported_by_owner && pending != NULL && pending->state == KQ_WAIT_SYNC)
    kq_pending_forward (placement, pending, owner, &placement->params.self);
}

static void
handle_answer (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *answer,
               KqTime now)
{
  KqSyncPeer *peer = find_peer (&placement->round, from->id);
  if (!placement->round.active || answer->number != placement->round.number || peer == NULL ||
      peer->peer.incarnation != from->incarnation || peer->done || answer->cursor != peer->cursor)
    return;
  for (unsigned i = 0; i < answer->flow_count; i++)
    {
      const KqMessageFlow *flow = &answer->flows[i];
      KqFlowKey key = { .service = placement->service, .caller = flow->caller };
      const KqPeer *owner = flow->owner == 0 ? from : &answer->peers[flow->owner - 1];
      record_flow (placement, &key, owner, flow->owner == 0, now);
    }
  peer->tries = 0;
  peer->cursor = answer->next;
  peer->done = answer->next == 0;
  if (!peer->done)
    send_request (placement, peer, now);
  for (unsigned i = 0; i < answer->peer_count; i++)
    if (add_peer (placement, &answer->peers[i], now) < 0)
      placement->round.complete = false;
  finish_if_done (placement, now);
}

void
kq_sync_message (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *message,
                 KqTime now)
{
  kq_placement_record_peer (placement, from, now);
  if (message->type == KQ_MESSAGE_SYNC_REQUEST)
    kq_sync_answer (placement, from, message, now);
  else
    handle_answer (placement, from, message, now);
}
