/* Which instances acknowledged one revision of a document. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqAcknowledgements - instances that acknowledged a revision, in the order of their reports
 * @revision: the revision that they acknowledged
 * @ids: (array): their ids
 * @count: length of @ids
 * @capacity: allocated length of @ids
 */
typedef struct
{
  KqRevision revision;
  uint64_t *ids;
  unsigned count;
  unsigned capacity;
} KqAcknowledgements;

/** kq_acknowledgements_add - adds @id as an instance that acknowledged @revision. A newer revision
 * clears the list, an older one is ignored. @parent owns the memory. Return: whether @id was added
 */
bool kq_acknowledgements_add (const void *parent, KqAcknowledgements *acks, KqRevision revision,
                              uint64_t id);

/** kq_acknowledgements_has - Return: whether @id acknowledged @revision */
bool kq_acknowledgements_has (const KqAcknowledgements *acks, KqRevision revision, uint64_t id);
