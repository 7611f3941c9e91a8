/* Gossip queue with one list per number of sends. A new change is inserted at the head of the first
 * list; after each send it moves to the head of the next list. Traversing the lists in order gives
 * the least-sent changes first and, among these, the newest. Only the key is queued: the sender
 * encodes the current record, so a superseded change is never sent. */

#include <talloc.h>

#include "kumquat/internal/gossip.h"

#define GOSSIP_CHAINS          512
#define GOSSIP_SENDS_LEAST     2
#define GOSSIP_ITEMS_MAX       16384
#define GOSSIP_LAMBDA_QUARTERS 5 /* additional sends per four doublings of the group size */

TAILQ_HEAD (KqGossipList, KqGossipItem);

typedef struct KqGossipChain
{
  struct KqGossipChain *next;
  KqGossipItem item;
} KqGossipChain;

struct KqGossip
{
  struct KqGossipList lists[KQ_GOSSIP_SENDS_MAX];
  KqGossipChain *chains[GOSSIP_CHAINS];
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
kq_gossip_sends (unsigned members)
{
  unsigned doublings = 1;
  while (doublings < 20 && members >> doublings > 0)
    doublings++;
  return (GOSSIP_LAMBDA_QUARTERS * doublings + 3) / 4 + GOSSIP_SENDS_LEAST;
}

static KqGossipChain **
chain_of (KqGossip *gossip, KqGossipKind kind, uint64_t key)
{
  return &gossip->chains[(key ^ key >> 32 ^ (uint64_t)kind << 5) % GOSSIP_CHAINS];
}

void
kq_gossip_drop (KqGossip *gossip, KqGossipItem *item)
{
  KqGossipChain **link = chain_of (gossip, item->kind, item->key);
  while (&(*link)->item != item)
    link = &(*link)->next;
  KqGossipChain *gone = *link;
  *link = gone->next;
  TAILQ_REMOVE (&gossip->lists[item->sends], item, link);
  talloc_free (gone);
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
  KqGossipChain **chain = chain_of (gossip, kind, key);
  KqGossipChain *found = *chain;
  while (found != NULL && (found->item.key != key || found->item.kind != kind))
    found = found->next;
  if (found != NULL)
    TAILQ_REMOVE (&gossip->lists[found->item.sends], &found->item, link);
  else
    {
      if (gossip->length >= GOSSIP_ITEMS_MAX)
        drop_most_sent (gossip);
      found = talloc_zero (gossip, KqGossipChain);
      if (found == NULL)
        return;
      found->item.kind = kind;
      found->item.key = key;
      found->next = *chain;
      *chain = found;
      gossip->length++;
    }
  found->item.sends = 0;
  TAILQ_INSERT_HEAD (&gossip->lists[0], &found->item, link);
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
kq_gossip_sent (KqGossip *gossip, KqGossipItem *item, unsigned limit)
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
