/* The answering side of a sync: the agent is fenced and reports, page by page, which flows it
 * owns. */

#include "kumquat/internal/placement_state.h"

#define RECLAIM_DELAY (5 * KQ_SECOND) /* maximum view lag; then a fenced home asks again */

/* Hands the bucket over to @from. A duplicate of the request that last fenced it changes
 * nothing, so that it cannot undo a later round of this agent. */
static void
fence (KqPlacement *placement, unsigned bucket, const KqPeer *from, uint64_t round, KqTime now)
{
  KqBucket *b = &placement->buckets[bucket];
  bool same = b->fence.id == from->id && b->fence.incarnation == from->incarnation;
  if (same && round <= b->fence_round)
    return;
  b->fence = *from;
  b->fence_round = round;
  b->fence_current = true;
  b->reclaim_at = now + RECLAIM_DELAY;
  b->synced = false;
  b->in_round = false;
  b->claimed = false;
  kq_pending_hand_over (placement, bucket, from, now);
}

/* The flows with the lowest hashes above a cursor, in ascending order. */
typedef struct
{
  uint64_t hashes[KQ_MESSAGE_FLOWS_MAX];
  KqMessageFlow flows[KQ_MESSAGE_FLOWS_MAX];
  KqPeer owners[KQ_MESSAGE_FLOWS_MAX];
  unsigned count;
  bool more;
} Page;

static void
page_add (Page *page, uint64_t hash, const KqAddress *caller, const KqPeer *owner)
{
  unsigned rank = page->count;
  while (rank > 0 && hash < page->hashes[rank - 1])
    rank--;
  if (page->count == KQ_MESSAGE_FLOWS_MAX)
    {
      page->more = true;
      if (rank == KQ_MESSAGE_FLOWS_MAX)
        return;
      page->count--;
    }
  for (unsigned i = page->count; i > rank; i--)
    {
      page->hashes[i] = page->hashes[i - 1];
      page->flows[i] = page->flows[i - 1];
      page->owners[i] = page->owners[i - 1];
    }
  page->hashes[rank] = hash;
  page->flows[rank] = (KqMessageFlow){ .caller = *caller };
  page->owners[rank] = *owner;
  page->count++;
}

static void
page_fill (const KqPlacement *placement, const KqPlacementMessage *request, Page *page)
{
  KqFlowEntry entry;
  unsigned cursor = 0;
  while (kq_flow_shard_next (placement->flows, &cursor, 0, &entry))
    {
      uint64_t hash = kq_flow_key_hash (&entry.key);
      if (hash > request->cursor && kq_bucket_set_has (request->buckets, kq_routing_bucket (hash)))
        page_add (page, hash, &entry.key.caller, &placement->params.self);
    }
  const KqPending *pending;
  TAILQ_FOREACH (pending, &placement->pending, link)
  {
    bool chosen = pending->state == KQ_WAIT_PLACED || pending->state == KQ_HANDED_OVER;
    if (chosen && pending->hash > request->cursor &&
        kq_bucket_set_has (request->buckets, pending->bucket))
      page_add (page, pending->hash, &pending->key.caller, &pending->chosen);
  }
}

static unsigned
message_peer (KqPlacementMessage *message, const KqPeer *peer)
{
  for (unsigned i = 0; i < message->peer_count; i++)
    if (message->peers[i].id == peer->id)
      return i + 1;
  if (message->peer_count == KQ_MESSAGE_PEERS_MAX)
    return 0;
  message->peers[message->peer_count++] = *peer;
  return message->peer_count;
}

/* Copies flows into the answer until it has no room for the owner of one; that flow starts the
 * next page. */
static void
put_page (const KqPlacement *placement, const Page *page, KqPlacementMessage *answer)
{
  for (unsigned i = 0; i < page->count; i++)
    {
      KqMessageFlow flow = page->flows[i];
      bool own = page->owners[i].id == placement->params.self.id;
      flow.owner = own ? 0 : message_peer (answer, &page->owners[i]);
      if (!own && flow.owner == 0)
        {
          answer->next = page->hashes[i - 1];
          return;
        }
      answer->flows[answer->flow_count++] = flow;
    }
  if (page->more)
    answer->next = page->hashes[page->count - 1];
}

/* Adds the agents that requested flows themselves and are not in the view yet. */
static void
put_unknown_peers (const KqPlacement *placement, KqPlacementMessage *answer, const KqPeer *from,
                   KqTime now)
{
  for (unsigned i = 0; i < KQ_UNKNOWN_PEERS_MAX; i++)
    {
      const KqUnknownPeer *unknown_peer = &placement->unknown_peers[i];
      if (now < unknown_peer->until && unknown_peer->peer.id != from->id &&
          kq_placement_peer_is_unknown (placement, &unknown_peer->peer))
        message_peer (answer, &unknown_peer->peer);
    }
}

/* Adds the newest targets for a requester whose view differs; it requests the flows of those
 * that it does not know. */
static void
put_new_targets (const KqPlacement *placement, KqPlacementMessage *answer)
{
  while (answer->peer_count < KQ_MESSAGE_PEERS_MAX)
    {
      const KqTarget *newest = NULL;
      for (unsigned i = 0; i < placement->target_count; i++)
        {
          const KqTarget *target = &placement->targets[i];
          bool put = target->peer.id == placement->params.self.id;
          for (unsigned j = 0; j < answer->peer_count; j++)
            put = put || answer->peers[j].id == target->peer.id;
          if (!put && (newest == NULL || target->since > newest->since))
            newest = target;
        }
      if (newest == NULL)
        return;
      answer->peers[answer->peer_count++] = newest->peer;
    }
}

void
kq_sync_answer (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *request,
                KqTime now)
{
  for (unsigned i = 0; i < KQ_BUCKETS; i++)
    if (kq_bucket_set_has (request->buckets, i))
      fence (placement, i, from, request->number, now);
  Page page = { .count = 0 };
  page_fill (placement, request, &page);
  KqPlacementMessage answer = { .type = KQ_MESSAGE_SYNC_ANSWER,
                                .number = request->number,
                                .cursor = request->cursor,
                                .digest = placement->digest };
  if (request->cursor == 0)
    put_unknown_peers (placement, &answer, from, now);
  put_page (placement, &page, &answer);
  if (request->cursor == 0 && request->digest != placement->digest)
    put_new_targets (placement, &answer);
  kq_placement_send (placement, from, &answer);
}
