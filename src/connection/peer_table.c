#include <talloc.h>

#include "kumquat/internal/peer_table.h"

#define CHAINS           256 /* hash chains; a table has a few thousand agents at most */
#define NONE             UINT32_MAX
#define INITIAL_CAPACITY 8 /* agents in the first allocation */

typedef struct
{
  KqPeer peer;
  uint32_t references;
  uint32_t next;
} PeerNode;

struct KqPeerTable
{
  uint32_t heads[CHAINS];
  PeerNode *nodes;
  uint32_t capacity;
  uint32_t free;
};

bool
kq_peer_equal (const KqPeer *a, const KqPeer *b)
{
  return a->id == b->id && a->incarnation == b->incarnation &&
         kq_address_equal (&a->data, &b->data);
}

KqPeerTable *
kq_peer_table_new (const void *parent)
{
  KqPeerTable *table = talloc_zero (parent, KqPeerTable);
  if (table == NULL)
    return NULL;
  for (unsigned i = 0; i < CHAINS; i++)
    table->heads[i] = NONE;
  table->free = NONE;
  return table;
}

static uint32_t *
head_of (KqPeerTable *table, const KqPeer *peer)
{
  return &table->heads[(peer->id ^ peer->incarnation) % CHAINS];
}

static int
grow (KqPeerTable *table)
{
  uint32_t capacity = table->capacity == 0 ? INITIAL_CAPACITY : 2 * table->capacity;
  PeerNode *nodes = talloc_realloc (table, table->nodes, PeerNode, capacity);
  if (nodes == NULL)
    return -1;
  table->nodes = nodes;
  for (uint32_t i = table->capacity; i < capacity; i++)
    {
      nodes[i].next = table->free;
      table->free = i;
    }
  table->capacity = capacity;
  return 0;
}

int
kq_peer_table_acquire (KqPeerTable *table, const KqPeer *peer)
{
  uint32_t *head = head_of (table, peer);
  for (uint32_t i = *head; i != NONE; i = table->nodes[i].next)
    if (kq_peer_equal (&table->nodes[i].peer, peer))
      {
        table->nodes[i].references++;
        return (int)i;
      }
  if (table->free == NONE && grow (table) < 0)
    return -1;
  uint32_t number = table->free;
  PeerNode *node = &table->nodes[number];
  table->free = node->next;
  node->peer = *peer;
  node->references = 1;
  node->next = *head;
  *head = number;
  return (int)number;
}

void
kq_peer_table_release (KqPeerTable *table, unsigned number)
{
  PeerNode *node = &table->nodes[number];
  if (--node->references > 0)
    return;
  uint32_t *link = head_of (table, &node->peer);
  while (*link != number)
    link = &table->nodes[*link].next;
  *link = node->next;
  node->next = table->free;
  table->free = number;
}

const KqPeer *
kq_peer_table_get (const KqPeerTable *table, unsigned number)
{
  return &table->nodes[number].peer;
}

size_t
kq_peer_table_bytes (const KqPeerTable *table)
{
  return sizeof *table + table->capacity * sizeof (PeerNode);
}
