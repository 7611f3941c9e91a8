/* Queue of changes that are piggybacked on datagrams: least-sent first, then newest. Each change is
 * sent a limited number of times. */
#pragma once

#include <sys/queue.h>

#include "kumquat/types.h"

#define KQ_GOSSIP_SENDS_MAX 64

typedef enum
{
  KQ_GOSSIP_MEMBER,
  KQ_GOSSIP_DOCUMENT,
  KQ_GOSSIP_DOMAIN,
  KQ_GOSSIP_KINDS
} KqGossipKind;

/**
 * struct KqGossipItem - a change that is still being disseminated
 * @link: entry of the list of items with the same number of sends
 * @kind: what changed
 * @key: the member's id, the service's number or the failure domain's hash
 * @sends: number of times it was sent
 */
typedef struct KqGossipItem
{
  TAILQ_ENTRY (KqGossipItem) link;
  KqGossipKind kind;
  uint64_t key;
  unsigned sends;
} KqGossipItem;

typedef struct KqGossip KqGossip;

/** kq_gossip_new - Return: (owned by @parent) an empty queue */
KqGossip *kq_gossip_new (const void *parent);

/** kq_gossip_send_limit - Return: number of times that each change is sent in a group of @members
 */
unsigned kq_gossip_send_limit (unsigned members);

/** kq_gossip_add - queues a change, or resets its number of sends if it is queued already; a full
 * queue drops the change that was sent most, which anti-entropy will deliver */
void kq_gossip_add (KqGossip *gossip, KqGossipKind kind, uint64_t key);

/** kq_gossip_next - Return: the item to send after @after (NULL for the first), or NULL */
KqGossipItem *kq_gossip_next (KqGossip *gossip, KqGossipItem *after);

/** kq_gossip_count_send - counts one send of @item; drops it after @limit sends */
void kq_gossip_count_send (KqGossip *gossip, KqGossipItem *item, unsigned limit);

/** kq_gossip_drop - removes @item without sending it again */
void kq_gossip_drop (KqGossip *gossip, KqGossipItem *item);

/** kq_gossip_clear - removes all changes */
void kq_gossip_clear (KqGossip *gossip);
unsigned kq_gossip_length (const KqGossip *gossip);
