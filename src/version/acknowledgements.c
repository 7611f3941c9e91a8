#include <talloc.h>

#include "kumquat/internal/acknowledgements.h"
#include "kumquat/internal/members.h"

bool
kq_acknowledgements_has (const KqAcknowledgements *acks, KqRevision revision, uint64_t id)
{
  if (kq_revision_compare (acks->revision, revision) != 0)
    return false;
  for (unsigned i = 0; i < acks->count; i++)
    {
      if (acks->ids[i] == id)
        return true;
    }
  return false;
}

bool
kq_acknowledgements_add (const void *parent, KqAcknowledgements *acks, KqRevision revision,
                         uint64_t id)
{
  int order = kq_revision_compare (revision, acks->revision);
  if (order < 0 || kq_acknowledgements_has (acks, revision, id))
    return false;
  if (order > 0)
    {
      acks->revision = revision;
      acks->count = 0;
    }
  if (acks->count == KQ_MEMBERS_MAX)
    return false;
  if (acks->count == acks->capacity)
    {
      unsigned capacity = acks->capacity * 2 + 2;
      uint64_t *ids = talloc_realloc (parent, acks->ids, uint64_t, capacity);
      if (ids == NULL)
        return false;
      acks->ids = ids;
      acks->capacity = capacity;
    }
  acks->ids[acks->count++] = id;
  return true;
}
