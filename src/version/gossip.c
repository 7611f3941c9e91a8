/* Gossip queue with one list per number of sends. A new change is inserted at the head of the first
 * list; after each send it moves to the head of the next list. Traversing the lists in order gives
 * the least-sent changes first and, among these, the newest. Only the key is queued: the sender
 * encodes the current record, so a superseded change is never sent. */

#include <talloc.h>

#include "kumquat/internal/gossip.h"

#define GOSSIP_BUCKETS         512
#define GOSSIP_SENDS_MIN       2
#define GOSSIP_ITEMS_MAX       16384
#define GOSSIP_LAMBDA_QUARTERS 5 /* additional sends per four doublings of the group size */

TAILQ_HEAD (KqGossipList, KqGossipItem);

typedef struct KqGossipEntry
{
  struct KqGossipEntry *next;
  KqGossipItem item;
} KqGossipEntry;

struct KqGossip
{
  struct KqGossipList lists[KQ_GOSSIP_SENDS_MAX];
  KqGossipEntry *buckets[GOSSIP_BUCKETS];
  unsigned length;
};

KqGossip *
kq_gossip_new (const void *parent)
{
  KqGossip *gossip = talloc_zero (parent, KqGossip);
  if (gossip == NULL)
    return NULL;
  for (unsigned i = 0; i < KQ_GOSSIP_SENDS_MAX; i++)
    TAILQ_INIT (&gossip->lists[i]);
  return gossip;
}

unsigned
kq_gossip_send_limit (unsigned members)
{
  unsigned doublings = 1;
  while (doublings < 20 && members >> doublings > 0)
    doublings++;
  return (GOSSIP_LAMBDA_QUARTERS * doublings + 3) / 4 + GOSSIP_SENDS_MIN;
}

static KqGossipEntry **
bucket_of (KqGossip *gossip, KqGossipKind kind, uint64_t key)
{
  return &gossip->buckets[(key ^ key >> 32 ^ (uint64_t)kind << 5) % GOSSIP_BUCKETS];
}

void
kq_gossip_drop (KqGossip *gossip, KqGossipItem *item)
{
  KqGossipEntry **link = bucket_of (gossip, item->kind, item->key);
  while (&(*link)->item != item)
    link = &(*link)->next;
  KqGossipEntry *removed = *link;
  *link = removed->next;
  TAILQ_REMOVE (&gossip->lists[item->sends], item, link);
  talloc_free (removed);
  gossip->length--;
}

static void
drop_most_sent (KqGossip *gossip)
{
  for (unsigned i = KQ_GOSSIP_SENDS_MAX; i-- > 0;)
    {
      KqGossipItem *last = TAILQ_LAST (&gossip->lists[i], KqGossipList);
      if (last == NULL)
        continue;
      kq_gossip_drop (gossip, last);
      return;
    }
}

void
kq_gossip_add (KqGossip *gossip, KqGossipKind kind, uint64_t key)
{
  KqGossipEntry **bucket = bucket_of (gossip, kind, key);
  KqGossipEntry *entry = *bucket;
  while (entry != NULL && (entry->item.key != key || entry->item.kind != kind))
    entry = entry->next;
  if (entry != NULL)
    TAILQ_REMOVE (&gossip->lists[entry->item.sends], &entry->item, link);
  else
    {
      if (gossip->length >= GOSSIP_ITEMS_MAX)
        drop_most_sent (gossip);
      entry = talloc_zero (gossip, KqGossipEntry);
      if (entry == NULL)
        return;
      entry->item.kind = kind;
      entry->item.key = key;
      entry->next = *bucket;
      *bucket = entry;
      gossip->length++;
    }
  entry->item.sends = 0;
  TAILQ_INSERT_HEAD (&gossip->lists[0], &entry->item, link);
}

KqGossipItem *
kq_gossip_next (KqGossip *gossip, KqGossipItem *after)
{
  unsigned list = 0;
  if (after != NULL)
    {
      KqGossipItem *next = TAILQ_NEXT (after, link);
      if (next != NULL)
        return next;
      list = after->sends + 1;
    }
  for (; list < KQ_GOSSIP_SENDS_MAX; list++)
    {
      if (!TAILQ_EMPTY (&gossip->lists[list]))
        return TAILQ_FIRST (&gossip->lists[list]);
    }
  return NULL;
}

void
kq_gossip_count_send (KqGossip *gossip, KqGossipItem *item, unsigned limit)
{
  if (item->sends + 1 >= limit || item->sends + 1 >= KQ_GOSSIP_SENDS_MAX)
    {
      kq_gossip_drop (gossip, item);
      return;
    }
  TAILQ_REMOVE (&gossip->lists[item->sends], item, link);
  item->sends++;
  TAILQ_INSERT_HEAD (&gossip->lists[item->sends], item, link);
}

void
kq_gossip_clear (KqGossip *gossip)
{
  KqGossipItem *item;
  while ((item = kq_gossip_next (gossip, NULL)) != NULL)
    kq_gossip_drop (gossip, item);
}

unsigned
kq_gossip_length (const KqGossip *gossip)
{
  return gossip->length;
}
