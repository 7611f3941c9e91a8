/* The home's directory of flow owners. Balancers send most datagrams directly to the owner, so
 * an entry that seems idle here is checked with its owner before it is dropped. */

#include "kumquat/internal/peer_table.h"
#include "kumquat/internal/placement_state.h"

#define CHECKED_PER_TICK 512 /* entries examined per tick */

static void
drop_matching (KqPlacement *placement, bool (*matches) (KqPlacement *, const KqFlowEntry *, void *),
               void *data, KqTime now, uint64_t *count)
{
  KqFlowEntry entry;
  unsigned cursor = 0;
  while (kq_flow_shard_next (placement->directory, &cursor, now, &entry))
    {
      if (!matches (placement, &entry, data))
        continue;
      kq_flow_shard_remove (placement->directory, &entry.key, kq_flow_key_hash (&entry.key), NULL);
      *count += 1;
      cursor--; /* another entry may have moved into the slot */
    }
}

static bool
owner_has_ended (KqPlacement *placement, const KqFlowEntry *entry, void *data)
{
  (void)data;
  return kq_placement_peer_has_ended (placement, &entry->owner);
}

void
kq_directory_drop_ended (KqPlacement *placement, KqTime now)
{
  drop_matching (placement, owner_has_ended, NULL, now, &placement->stats.flows_lost);
}

static bool
in_buckets (KqPlacement *placement, const KqFlowEntry *entry, void *data)
{
  (void)placement;
  return kq_bucket_set_has (data, kq_routing_bucket (kq_flow_key_hash (&entry->key)));
}

void
kq_directory_drop_buckets (KqPlacement *placement, const uint8_t buckets[KQ_BUCKET_SET_BYTES],
                           KqTime now)
{
  uint64_t count = 0;
  drop_matching (placement, in_buckets, (void *)buckets, now, &count);
}

/* Sends one check message with idle entries of a single owner. The entries are marked as used;
 * an answer applies only to those that have not been used again since. */
void
kq_directory_tick (KqPlacement *placement, KqTime now)
{
  KqPlacementMessage check = { .type = KQ_MESSAGE_CHECK, .number = (uint64_t)(now / KQ_MS) };
  KqPeer owner = { 0 };
  KqFlowEntry entry;
  for (unsigned i = 0; i < CHECKED_PER_TICK && check.flow_count < KQ_MESSAGE_FLOWS_MAX; i++)
    {
      if (!kq_flow_shard_next (placement->directory, &placement->check_cursor, now, &entry))
        {
          placement->check_cursor = 0;
          break;
        }
      bool other = owner.id != 0 && !kq_peer_equal (&owner, &entry.owner);
      if (entry.idle < placement->params.idle_us || other)
        continue;
      owner = entry.owner;
      check.flows[check.flow_count++].caller = entry.key.caller;
      kq_flow_shard_touch (placement->directory, &entry.key, kq_flow_key_hash (&entry.key), now,
                           NULL);
    }
  if (check.flow_count > 0)
    kq_placement_send (placement, &owner, &check);
}

static void
answer_check (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *check)
{
  KqPlacementMessage answer = { .type = KQ_MESSAGE_NOT_OWNED, .number = check->number };
  for (unsigned i = 0; i < check->flow_count; i++)
    {
      KqFlowKey key = { .service = placement->service, .caller = check->flows[i].caller };
      if (!kq_flow_shard_lookup (placement->flows, &key, kq_flow_key_hash (&key), NULL))
        answer.flows[answer.flow_count++].caller = key.caller;
    }
  if (answer.flow_count > 0)
    kq_placement_send (placement, from, &answer);
}

static void
handle_not_owned (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *answer,
                  KqTime now)
{
  for (unsigned i = 0; i < answer->flow_count; i++)
    {
      KqFlowKey key = { .service = placement->service, .caller = answer->flows[i].caller };
      uint64_t hash = kq_flow_key_hash (&key);
      KqTime idle = kq_flow_shard_idle (placement->directory, &key, hash, now);
      if (idle >= 0 && (uint64_t)((now / KQ_MS) - (idle / KQ_MS)) == answer->number)
        kq_flow_shard_remove (placement->directory, &key, hash, from);
    }
}

void
kq_directory_message (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *message,
                      KqTime now)
{
  if (message->type == KQ_MESSAGE_CHECK)
    answer_check (placement, from, message);
  else
    handle_not_owned (placement, from, message, now);
}
