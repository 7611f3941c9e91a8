/* Which instances acknowledged one revision of a document. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqHolders - ids in the order in which they were learnt
 * @revision: the revision they hold
 * @ids: (array): who holds it
 * @count: length of @ids
 * @capacity: room at @ids
 */
typedef struct
{
  KqRevision revision;
  uint64_t *ids;
  unsigned count;
  unsigned capacity;
} KqHolders;

/** kq_holders_add - adds a holder of @revision; a newer revision starts afresh, an older one is
 * ignored; @parent owns the memory; Return: whether it is new */
bool kq_holders_add (const void *parent, KqHolders *holders, KqRevision revision, uint64_t id);

/** kq_holders_has - Return: whether @id acknowledged @revision */
bool kq_holders_has (const KqHolders *holders, KqRevision revision, uint64_t id);
