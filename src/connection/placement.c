/* Placement of flows by one agent of a service; docs/design/placement.md gives the reasons.
 *
 * A datagram of a flow that this agent owns is delivered to the target. A datagram of a flow in
 * the directory is forwarded to the owner. Any other flow is placed by the home of its bucket:
 * if the bucket is synced, the home places the flow; if it is syncing, the home queues the
 * datagram; any other agent forwards it to the home.
 *
 * The first candidate in a forwarded datagram is the home in the forwarder's view, so an agent
 * that finds itself named there claims the bucket. A draining agent claims it too: it accepts no
 * flow itself but knows the owners, whereas two draining agents that each took the other for the
 * home would forward the flow back and forth. An agent that has left the view claims nothing. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/placement_state.h"

#define SLOTS_PER_TICK 1024 /* flow slots checked for idle expiry per tick */
#define CALLER_SHARE   8 /* one caller IP address may own 1/8 of the flows of a half-full target */

KqPlacement *
kq_placement_new (const void *parent, const KqPlacementParams *params, const KqPlacementOps *ops,
                  void *data)
{
  KqPlacement *placement = talloc_zero (parent, KqPlacement);
  if (placement == NULL)
    return NULL;
  placement->params = *params;
  placement->ops = *ops;
  placement->data = data;
  kq_random_seed (&placement->random, params->seed);
  TAILQ_INIT (&placement->pending);
  unsigned caller_max = 1 + params->flows_max / CALLER_SHARE;
  placement->flows = kq_flow_shard_new (placement, params->flows_max, caller_max);
  placement->directory = kq_flow_shard_new (placement, params->directory_max, 0);
  if (placement->flows == NULL || placement->directory == NULL)
    TALLOC_FREE (placement);
  return placement;
}

void
kq_placement_send (KqPlacement *placement, const KqPeer *to, KqPlacementMessage *message)
{
  uint8_t bytes[KQ_MESSAGE_BYTES];
  message->service = placement->service;
  int size = kq_placement_message_encode (message, bytes, sizeof bytes);
  if (size < 0)
    return;
  placement->stats.messages_sent++;
  placement->ops.send (to, bytes, (size_t)size, placement->data);
}

void
kq_placement_refuse (KqPlacement *placement, const KqPacket *packet, KqErrorKind reason)
{
  placement->stats.flows_refused++;
  placement->ops.refuse (packet, reason, placement->data);
}

void
kq_placement_forward (KqPlacement *placement, const KqPeer *to, const KqPeer *home,
                      const KqPacket *packet)
{
  if (packet->hops >= KQ_HOPS_MAX)
    {
      kq_placement_refuse (placement, packet, KQ_ERROR_UNAVAILABLE);
      return;
    }
  KqPacket copy = *packet;
  copy.from = placement->params.self;
  copy.to = to->incarnation;
  copy.candidates[0] = *home;
  if (copy.candidate_count == 0)
    copy.candidate_count = 1;
  placement->stats.forwarded++;
  placement->ops.forward (to, &copy, placement->data);
}

int
kq_placement_admit (KqPlacement *placement, const KqFlowKey *key, uint64_t hash, KqTime now)
{
  if (placement->draining)
    return -1;
  if (kq_flow_shard_store (placement->flows, key, hash, &placement->params.self, now) < 0)
    return -1;
  kq_flow_shard_remove (placement->directory, key, hash, NULL);
  placement->stats.flows_admitted++;
  return 0;
}

bool
kq_placement_is_home (const KqPlacement *placement, unsigned bucket)
{
  const KqBucket *b = &placement->buckets[bucket];
  return b->home.id == placement->params.self.id || b->claimed;
}

static void
place_flow (KqPlacement *placement, const KqPacket *packet, uint64_t hash, KqTime now)
{
  bool below_admit_load = kq_choice_load (placement, now) < placement->params.admit_load;
  if (below_admit_load && kq_placement_admit (placement, &packet->key, hash, now) == 0)
    {
      placement->ops.deliver (packet, placement->data);
      return;
    }
  KqPending *pending = kq_pending_new (placement, packet, hash, now);
  if (pending != NULL)
    kq_choice_start (placement, pending, now);
}

static void
wait_for_sync (KqPlacement *placement, const KqPacket *packet, uint64_t hash, KqTime now)
{
  if (now < placement->buckets[kq_routing_bucket (hash)].blocked_until)
    {
      kq_placement_refuse (placement, packet, KQ_ERROR_FULL);
      return;
    }
  KqPending *pending = kq_pending_new (placement, packet, hash, now);
  if (pending != NULL)
    kq_sync_start (placement, now);
}

/* Handles a datagram of a flow that is neither owned by this agent nor in the directory. */
static void
handle_unknown_flow (KqPlacement *placement, const KqPacket *packet, uint64_t hash, KqTime now)
{
  const KqPeer *self = &placement->params.self;
  unsigned bucket = kq_routing_bucket (hash);
  KqBucket *b = &placement->buckets[bucket];
  bool member = kq_placement_find_target (placement, self->id) != NULL;
  bool named_home = member && packet->from.id != 0 && packet->from.id != self->id &&
                    packet->candidate_count > 0 && packet->candidates[0].id == self->id;
  if (b->home.id == 0 && !b->claimed)
    {
      kq_placement_refuse (placement, packet, KQ_ERROR_UNAVAILABLE);
      return;
    }
  if (named_home)
    b->claimed = true;
  bool defer = b->fence_current && !named_home && !b->synced && now < b->reclaim_at;
  if (!kq_placement_is_home (placement, bucket) || defer)
    {
      const KqPeer *home = b->fence_current ? &b->fence : &b->home;
      kq_placement_forward (placement, home, home, packet);
      return;
    }
  if (b->synced)
    place_flow (placement, packet, hash, now);
  else
    wait_for_sync (placement, packet, hash, now);
}

/* Forwards to the owner that the directory names. If that owner sent the datagram back, it did
 * not own the flow at that time; it is asked again to accept the flow, because only its answer
 * shows whether it owns the flow by now. */
static void
handle_known_flow (KqPlacement *placement, const KqPacket *packet, uint64_t hash,
                   const KqPeer *owner, KqTime now)
{
  unsigned bucket = kq_routing_bucket (hash);
  bool sent_back = packet->from.id == owner->id;
  bool new_incarnation = sent_back && packet->from.incarnation != owner->incarnation;
  if (!sent_back)
    {
      const KqBucket *b = &placement->buckets[bucket];
      bool home = kq_placement_is_home (placement, bucket);
      const KqPeer *named_home = home               ? &placement->params.self
                                 : b->fence_current ? &b->fence
                                                    : &b->home;
      kq_placement_forward (placement, owner, named_home, packet);
      return;
    }
  if (new_incarnation || !placement->buckets[bucket].synced)
    {
      kq_flow_shard_remove (placement->directory, &packet->key, hash, owner);
      handle_unknown_flow (placement, packet, hash, now);
      return;
    }
  KqPending *pending = kq_pending_new (placement, packet, hash, now);
  if (pending != NULL)
    kq_choice_place_at_owner (placement, pending, owner, now);
}

static KqErrorKind
check_packet (const KqPlacement *placement, const KqPacket *packet)
{
  if (!placement->has_view)
    return KQ_ERROR_UNAVAILABLE;
  if (packet->key.service != placement->service)
    return KQ_ERROR_WRONG_SERVICE;
  if (packet->to != 0 && packet->to != placement->params.self.incarnation)
    return KQ_ERROR_STALE;
  return KQ_ERROR_NONE;
}

void
kq_placement_packet (KqPlacement *placement, const KqPacket *packet, KqTime now)
{
  KqErrorKind reason = check_packet (placement, packet);
  if (reason != KQ_ERROR_NONE)
    {
      kq_placement_refuse (placement, packet, reason);
      return;
    }
  uint64_t hash = kq_flow_key_hash (&packet->key);
  if (kq_flow_shard_touch (placement->flows, &packet->key, hash, now, NULL))
    {
      kq_choice_release_reservation (placement, hash);
      placement->ops.deliver (packet, placement->data);
      return;
    }
  KqPending *pending = kq_pending_find (placement, &packet->key);
  KqPeer owner;
  if (pending != NULL)
    kq_pending_enqueue (placement, pending, packet);
  else if (kq_flow_shard_touch (placement->directory, &packet->key, hash, now, &owner))
    handle_known_flow (placement, packet, hash, &owner, now);
  else
    handle_unknown_flow (placement, packet, hash, now);
}

int
kq_placement_message (KqPlacement *placement, const KqPeer *from, const uint8_t *bytes, size_t size,
                      KqTime now, KqError *error)
{
  KqPlacementMessage message;
  if (kq_placement_message_decode (bytes, size, &message, error) < 0)
    goto error;
  if (!placement->has_view || message.service != placement->service)
    {
      kq_error_set (error, KQ_ERROR_WRONG_SERVICE,
                    "placement message for service %u; wait until the sender's view is current",
                    message.service);
      goto error;
    }
  if (from->id == placement->params.self.id || kq_placement_peer_has_ended (placement, from))
    {
      kq_error_set (error, KQ_ERROR_STALE,
                    "placement message from an ended incarnation; the sender must restart");
      goto error;
    }
  if (message.type == KQ_MESSAGE_SYNC_REQUEST || message.type == KQ_MESSAGE_SYNC_ANSWER)
    kq_sync_message (placement, from, &message, now);
  else if (message.type == KQ_MESSAGE_CHECK || message.type == KQ_MESSAGE_NOT_OWNED)
    kq_directory_message (placement, from, &message, now);
  else
    kq_choice_message (placement, from, &message, now);
  return 0;

error:
  placement->stats.messages_bad++;
  return -1;
}

static void
flow_expired (const KqFlowKey *key, void *data)
{
  KqPlacement *placement = data;
  placement->stats.flows_expired++;
  placement->ops.closed (key, placement->data);
}

void
kq_placement_tick (KqPlacement *placement, KqTime now)
{
  kq_pending_tick (placement, now);
  kq_sync_tick (placement, now);
  kq_directory_tick (placement, now);
  kq_flow_shard_expire (placement->flows, now, placement->params.idle_us, SLOTS_PER_TICK,
                        flow_expired, placement);
}

KqTime
kq_placement_next_tick (const KqPlacement *placement)
{
  KqTime next = KQ_NEVER;
  const KqPending *pending;
  TAILQ_FOREACH (pending, &placement->pending, link)
  next = pending->retry_at < next ? pending->retry_at : next;
  for (unsigned i = 0; placement->round.active && i < placement->round.peer_count; i++)
    {
      const KqSyncPeer *peer = &placement->round.peers[i];
      if (!peer->done && peer->retry_at < next)
        next = peer->retry_at;
    }
  return next;
}

void
kq_placement_touch (KqPlacement *placement, const KqFlowKey *key, KqTime now)
{
  kq_flow_shard_touch (placement->flows, key, kq_flow_key_hash (key), now, NULL);
}

void
kq_placement_close (KqPlacement *placement, const KqFlowKey *key, KqTime now)
{
  (void)now;
  if (kq_flow_shard_remove (placement->flows, key, kq_flow_key_hash (key), NULL))
    placement->ops.closed (key, placement->data);
}

static void
flow_closed (const KqFlowKey *key, void *data)
{
  KqPlacement *placement = data;
  placement->ops.closed (key, placement->data);
}

unsigned
kq_placement_close_all (KqPlacement *placement, KqTime now)
{
  unsigned closed = 0;
  while (kq_flow_shard_count (placement->flows) > 0)
    closed += kq_flow_shard_expire (placement->flows, now, INT64_MIN, SLOTS_PER_TICK, flow_closed,
                                    placement);
  return closed;
}

void
kq_placement_set_draining (KqPlacement *placement, bool draining, KqTime now)
{
  (void)now;
  placement->draining = draining;
}

KqPlacementStats
kq_placement_stats (const KqPlacement *placement)
{
  KqPlacementStats stats = placement->stats;
  stats.flows_open = kq_flow_shard_count (placement->flows);
  stats.directory_entries = kq_flow_shard_count (placement->directory);
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    if (placement->buckets[i].home.id == placement->params.self.id)
      {
        stats.buckets_home++;
        stats.buckets_syncing += !placement->buckets[i].synced;
      }
  const KqPending *pending;
  TAILQ_FOREACH (pending, &placement->pending, link)
  stats.datagrams_waiting += pending->waiting_count;
  return stats;
}
