#include "kumquat/internal/return_path.h"

static int
find (const KqReturnPaths *paths, const KqAddress *address)
{
  for (unsigned i = 0; i < paths->count; i++)
    if (kq_address_equal (&paths->addresses[i], address))
      return (int)i;
  return -1;
}

/* Return: a free entry, that of a balancer that is gone when the table is full, or -1. */
static int
slot_for_new (KqReturnPaths *paths)
{
  if (paths->count < KQ_RETURN_PATHS_MAX)
    return (int)paths->count++;
  for (unsigned i = 0; i < paths->count; i++)
    if (!paths->alive[i])
      return (int)i;
  return -1;
}

void
kq_return_paths_update (KqReturnPaths *paths, const KqMember *members, unsigned count)
{
  for (unsigned i = 0; i < paths->count; i++)
    paths->alive[i] = false;
  for (unsigned i = 0; i < count; i++)
    {
      if (members[i].role != KQ_ROLE_BALANCER)
        continue;
      int slot = find (paths, &members[i].peer.data);
      if (slot < 0)
        slot = slot_for_new (paths);
      if (slot < 0)
        return;
      paths->addresses[slot] = members[i].peer.data;
      paths->alive[slot] =
          members[i].state == KQ_MEMBER_ALIVE && members[i].phase == KQ_PHASE_SERVING;
    }
}

static const KqAddress *
random_live (const KqReturnPaths *paths, KqRandom *random)
{
  unsigned start = paths->count == 0 ? 0 : (unsigned)kq_random_below (random, paths->count);
  for (unsigned i = 0; i < paths->count; i++)
    {
      unsigned slot = (start + i) % paths->count;
      if (paths->alive[slot])
        return &paths->addresses[slot];
    }
  return NULL;
}

const KqAddress *
kq_return_paths_choose (const KqReturnPaths *paths, const KqAddress *via, KqRandom *random)
{
  int slot = find (paths, via);
  if (slot < 0 || paths->alive[slot])
    return via;
  const KqAddress *other = random_live (paths, random);
  return other == NULL ? via : other;
}
