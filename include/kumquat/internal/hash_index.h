/* Hash index over links embedded in the indexed items; grows by doubling. */
#pragma once

#include <stdint.h>
#include <talloc.h>

#define KQ_HASH_INDEX_INITIAL 64 /* buckets, a power of two */

/**
 * struct KqHashLink - member of an indexed item
 * @next: next item of the same bucket
 * @hash: hash of the item's key; the user of the index compares the keys of items with equal hashes
 */
typedef struct KqHashLink
{
  struct KqHashLink *next;
  uint64_t hash;
} KqHashLink;

/**
 * struct KqHashIndex - buckets of links
 * @buckets: (owned): heads of the chains
 * @size: number of buckets, a power of two
 * @count: indexed items
 */
typedef struct
{
  KqHashLink **buckets;
  unsigned size;
  unsigned count;
} KqHashIndex;

/** kq_hash_index_init - Return: 0, or -1 without memory; the buckets belong to @parent */
static inline int
kq_hash_index_init (KqHashIndex *index, const void *parent)
{
  index->size = KQ_HASH_INDEX_INITIAL;
  index->count = 0;
  index->buckets = talloc_zero_array (parent, KqHashLink *, index->size);
  return index->buckets == NULL ? -1 : 0;
}

/* If the allocation fails, the index keeps its size and its chains get longer. */
static inline void
kq_hash_index_grow (KqHashIndex *index)
{
  unsigned size = 2 * index->size;
  KqHashLink **buckets = talloc_zero_array (talloc_parent (index->buckets), KqHashLink *, size);
  if (buckets == NULL)
    return;
  for (unsigned i = 0; i < index->size; i++)
    for (KqHashLink *link = index->buckets[i], *next; link != NULL; link = next)
      {
        next = link->next;
        link->next = buckets[link->hash & (size - 1)];
        buckets[link->hash & (size - 1)] = link;
      }
  talloc_free (index->buckets);
  index->buckets = buckets;
  index->size = size;
}

static inline void
kq_hash_index_insert (KqHashIndex *index, KqHashLink *link, uint64_t hash)
{
  if (index->count >= index->size)
    kq_hash_index_grow (index);
  link->hash = hash;
  link->next = index->buckets[hash & (index->size - 1)];
  index->buckets[hash & (index->size - 1)] = link;
  index->count++;
}

/** kq_hash_index_remove - unlinks a link; does nothing if it is not in the index */
static inline void
kq_hash_index_remove (KqHashIndex *index, KqHashLink *link)
{
  KqHashLink **at = &index->buckets[link->hash & (index->size - 1)];
  while (*at != NULL && *at != link)
    at = &(*at)->next;
  if (*at == NULL)
    return;
  *at = link->next;
  link->next = NULL;
  index->count--;
}

/** kq_hash_link_match - Return: the first link with this hash, starting at @link, or NULL */
static inline KqHashLink *
kq_hash_link_match (KqHashLink *link, uint64_t hash)
{
  while (link != NULL && link->hash != hash)
    link = link->next;
  return link;
}

/**
 * kq_hash_index_find - Return: the first link with this hash; kq_hash_link_match() finds the next
 */
static inline KqHashLink *
kq_hash_index_find (const KqHashIndex *index, uint64_t hash)
{
  return kq_hash_link_match (index->buckets[hash & (index->size - 1)], hash);
}

#define KQ_CONTAINER_OF(link, type, member)                                                        \
  ((type *)(void *)((char *)(link)-offsetof (type, member)))
