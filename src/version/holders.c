#include <talloc.h>

#include "kumquat/internal/holders.h"
#include "kumquat/internal/members.h"

bool
kq_holders_has (const KqHolders *holders, KqRevision revision, uint64_t id)
{
  if (kq_revision_compare (holders->revision, revision) != 0)
    return false;
  for (unsigned i = 0; i < holders->count; i++)
    {
      if (holders->ids[i] == id)
        return true;
    }
  return false;
}

bool
kq_holders_add (const void *parent, KqHolders *holders, KqRevision revision, uint64_t id)
{
  int order = kq_revision_compare (revision, holders->revision);
  if (order < 0 || kq_holders_has (holders, revision, id))
    return false;
  if (order > 0)
    {
      holders->revision = revision;
      holders->count = 0;
    }
  if (holders->count == KQ_MEMBERS_MAX)
    return false;
  if (holders->count == holders->capacity)
    {
      unsigned capacity = holders->capacity * 2 + 2;
      uint64_t *ids = talloc_realloc (parent, holders->ids, uint64_t, capacity);
      if (ids == NULL)
        return false;
      holders->ids = ids;
      holders->capacity = capacity;
    }
  holders->ids[holders->count++] = id;
  return true;
}
