/* Selects balancers by rendezvous hashing over the live ones: those that watch the store, and the
 * root and collectors that aggregate acknowledgements. */

#include <talloc.h>

#include "kumquat/internal/group_impl.h"

#define WATCHERS_PER_DOMAIN 2
#define WATCHER_KEY         UINT64_C (0x77617463686572)

uint64_t
kq_rendezvous_weight (uint64_t key, uint64_t id)
{
  uint64_t value = key * UINT64_C (0x9e3779b97f4a7c15) ^ id;
  value ^= value >> 32;
  value *= UINT64_C (0xd6e8feb86659fd93);
  value ^= value >> 32;
  value *= UINT64_C (0xd6e8feb86659fd93);
  return value ^ value >> 32;
}

static unsigned
count_balancers (const KqGroup *group)
{
  unsigned balancers = 0;
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      balancers += kq_record_is_live (record) && record->interned->member.role == KQ_ROLE_BALANCER;
    }
  return balancers;
}

void
kq_group_refresh_balancers (KqGroup *group)
{
  if (!group->balancers_stale)
    return;
  unsigned count = count_balancers (group);
  KqBalancer *balancers = talloc_realloc (group, group->balancers, KqBalancer, count + 1);
  if (balancers == NULL)
    return;
  group->balancers = balancers;
  group->balancer_count = 0;
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      if (!kq_record_is_live (record) || record->interned->member.role != KQ_ROLE_BALANCER)
        continue;
      KqBalancer *balancer = &balancers[group->balancer_count++];
      balancer->id = record->id;
      balancer->domain = record->interned->domain;
    }
  group->balancers_stale = false;
  group->balancers_generation++;
}

/* Return: the balancer with the greatest weight for @key, in @domain or, if that is 0, in all
 * failure domains; 0 if there is none. */
static uint64_t
highest_weight (const KqGroup *group, uint64_t key, uint64_t domain)
{
  uint64_t best = 0;
  uint64_t best_weight = 0;
  for (unsigned i = 0; i < group->balancer_count; i++)
    {
      const KqBalancer *balancer = &group->balancers[i];
      uint64_t weight = kq_rendezvous_weight (key, balancer->id);
      if ((domain != 0 && balancer->domain != domain) || (best != 0 && weight <= best_weight))
        continue;
      best = balancer->id;
      best_weight = weight;
    }
  return best;
}

uint64_t
kq_group_root (const KqGroup *group, uint32_t service)
{
  return highest_weight (group, service, 0);
}

uint64_t
kq_group_collector (const KqGroup *group, uint32_t service, uint64_t domain)
{
  return highest_weight (group, service ^ domain, domain);
}

bool
kq_group_is_watcher (const KqGroup *group)
{
  const KqMemberRecord *own = kq_group_own_record (group);
  if (own->interned->member.role != KQ_ROLE_BALANCER || group->leaving || !group->bootstrapped)
    return false;
  uint64_t key = WATCHER_KEY ^ own->interned->domain;
  uint64_t weight = kq_rendezvous_weight (key, group->self);
  unsigned higher = 0;
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      if (kq_record_is_live (record) && record->interned->member.role == KQ_ROLE_BALANCER &&
          record->interned->domain == own->interned->domain)
        higher += kq_rendezvous_weight (key, record->id) > weight;
    }
  return higher < WATCHERS_PER_DOMAIN;
}
