#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/peer_table.h"
#include "kumquat/internal/placement_state.h"

#define UNKNOWN_PEER_TIMEOUT (15 * KQ_SECOND) /* three times the maximum view lag */

const KqTarget *
kq_placement_find_target (const KqPlacement *placement, uint64_t id)
{
  for (unsigned i = 0; i < placement->target_count; i++)
    if (placement->targets[i].peer.id == id)
      return &placement->targets[i];
  return NULL;
}

/* Returns whether this agent saw the end of @peer's incarnation: a newer one replaced it, or it
 * left the view. */
bool
kq_placement_peer_has_ended (const KqPlacement *placement, const KqPeer *peer)
{
  const KqTarget *target = kq_placement_find_target (placement, peer->id);
  if (target != NULL)
    return peer->incarnation < target->peer.incarnation;
  for (unsigned i = 0; i < placement->departed_count && i < KQ_DEPARTED_MAX; i++)
    if (placement->departed[i].id == peer->id &&
        placement->departed[i].incarnation >= peer->incarnation)
      return true;
  return false;
}

/* Returns whether @peer's incarnation is not in the view and this agent has not seen it end. */
bool
kq_placement_peer_is_unknown (const KqPlacement *placement, const KqPeer *peer)
{
  const KqTarget *target = kq_placement_find_target (placement, peer->id);
  if (target != NULL)
    return peer->incarnation > target->peer.incarnation;
  return !kq_placement_peer_has_ended (placement, peer);
}

static bool
same_incarnation (const KqPeer *a, const KqPeer *b)
{
  return a->id == b->id && a->incarnation == b->incarnation;
}

bool
kq_placement_peer_is_unresponsive (const KqPlacement *placement, const KqPeer *peer, KqTime now)
{
  for (unsigned i = 0; i < KQ_UNKNOWN_PEERS_MAX; i++)
    if (same_incarnation (&placement->unresponsive_peers[i].peer, peer) &&
        now < placement->unresponsive_peers[i].until)
      return kq_placement_peer_is_unknown (placement, peer);
  return false;
}

void
kq_placement_mark_unresponsive (KqPlacement *placement, const KqPeer *peer, KqTime now)
{
  placement->unresponsive_peers[placement->unresponsive_next++ % KQ_UNKNOWN_PEERS_MAX] =
      (KqUnknownPeer){ .peer = *peer, .until = now + UNKNOWN_PEER_TIMEOUT };
}

/* Records that @peer sent a sync message and therefore runs. */
void
kq_placement_record_peer (KqPlacement *placement, const KqPeer *peer, KqTime now)
{
  for (unsigned i = 0; i < KQ_UNKNOWN_PEERS_MAX; i++)
    if (same_incarnation (&placement->unresponsive_peers[i].peer, peer))
      placement->unresponsive_peers[i].until = 0;
  if (!kq_placement_peer_is_unknown (placement, peer))
    return;
  KqUnknownPeer *oldest = &placement->unknown_peers[0];
  for (unsigned i = 0; i < KQ_UNKNOWN_PEERS_MAX; i++)
    {
      KqUnknownPeer *unknown_peer = &placement->unknown_peers[i];
      if (unknown_peer->peer.id == peer->id)
        {
          oldest = unknown_peer;
          break;
        }
      if (unknown_peer->until < oldest->until)
        oldest = unknown_peer;
    }
  *oldest = (KqUnknownPeer){ .peer = *peer, .until = now + UNKNOWN_PEER_TIMEOUT };
}

static void
record_departed (KqPlacement *placement, const KqTarget *targets, unsigned count)
{
  if (targets == NULL)
    return;
  for (unsigned i = 0; i < count; i++)
    {
      const KqPeer *peer = &targets[i].peer;
      if (kq_placement_find_target (placement, peer->id) == NULL)
        placement->departed[placement->departed_count++ % KQ_DEPARTED_MAX] = *peer;
    }
}

static const KqTarget *
find_target (const KqTarget *targets, unsigned count, const KqPeer *peer)
{
  for (unsigned i = 0; i < count; i++)
    if (kq_peer_equal (&targets[i].peer, peer))
      return &targets[i];
  return NULL;
}

static int
set_targets (KqPlacement *placement, const KqServiceView *view, KqTime now)
{
  KqTarget *old = placement->targets;
  unsigned old_count = placement->target_count;
  KqTarget *targets = talloc_array (placement, KqTarget, view->count + 1);
  if (targets == NULL)
    return -1;
  placement->digest = 0;
  for (unsigned i = 0; i < view->count; i++)
    {
      const KqMember *member = &view->targets[i];
      const KqTarget *known = find_target (old, old_count, &member->peer);
      targets[i].peer = member->peer;
      targets[i].since = known == NULL ? now : known->since;
      targets[i].in_service = kq_routing_in_service (view, member);
      placement->digest ^=
          XXH3_64bits_withSeed (&member->peer.id, sizeof member->peer.id, member->peer.incarnation);
    }
  placement->targets = targets;
  placement->target_count = view->count;
  record_departed (placement, old, old_count);
  talloc_free (old);
  return 0;
}

static void
set_homes (KqPlacement *placement)
{
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    {
      KqBucket *b = &placement->buckets[i];
      KqPeer candidates[KQ_CANDIDATES_MAX] = { { 0 } };
      kq_routing_candidates (placement->routing, i, candidates);
      b->claimed = false;
      bool moved = !kq_peer_equal (&b->home, &candidates[0]);
      if (moved || kq_placement_peer_has_ended (placement, &b->fence))
        b->fence_current = false;
      if (moved && candidates[0].id == placement->params.self.id)
        b->synced = false;
      b->home = candidates[0];
    }
}

void
kq_placement_set_view (KqPlacement *placement, const KqServiceView *view, KqTime now)
{
  KqRouting *routing = kq_routing_new (placement, view);
  if (routing == NULL || set_targets (placement, view, now) < 0)
    {
      talloc_free (routing);
      return;
    }
  talloc_free (placement->routing);
  placement->routing = routing;
  placement->service = view->service->number;
  placement->has_view = true;
  set_homes (placement);
  kq_directory_drop_ended (placement, now);
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    if (!kq_placement_is_home (placement, i) && !placement->buckets[i].synced)
      kq_pending_hand_over (placement, i, &placement->buckets[i].home, now);
  kq_sync_view_changed (placement, now);
}
