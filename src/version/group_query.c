/* Queries and commands of the process to its group. */

#include <string.h>
#include <syslog.h>
#include <talloc.h>

#include "kumquat/internal/group_impl.h"

#define PRELOAD_SYNC_US (10 * KQ_SECOND)

unsigned
kq_group_members (const KqGroup *group, KqMember *out, unsigned capacity)
{
  unsigned written = 0;
  for (unsigned i = 0; i < kq_members_count (group->members) && written < capacity; i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      if (kq_record_is_live (record))
        kq_record_to_member (record, &out[written++]);
    }
  return written;
}

unsigned
kq_group_live (const KqGroup *group)
{
  return kq_members_live (group->members);
}

bool
kq_group_bootstrapped (const KqGroup *group)
{
  return group->bootstrapped;
}

uint64_t *
kq_group_ended_agents (const void *parent, const KqGroup *group, unsigned *count)
{
  unsigned all = kq_members_count (group->members);
  uint64_t *ids = talloc_array (parent, uint64_t, all + 1);
  *count = 0;
  for (unsigned i = 0; ids != NULL && i < all; i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      if (record->state == KQ_MEMBER_LEFT && record->phase == KQ_PHASE_EMPTY)
        ids[(*count)++] = record->id;
    }
  return ids;
}

KqMember
kq_group_self (const KqGroup *group)
{
  KqMember self;
  kq_record_to_member (kq_group_own_record (group), &self);
  return self;
}

KqMemberState
kq_group_member_state (const KqGroup *group, uint64_t id)
{
  const KqMemberRecord *record = kq_members_find (group->members, id);
  return record == NULL ? KQ_MEMBER_LEFT : (KqMemberState)record->state;
}

void
kq_group_preload (KqGroup *group, const KqMember *member, KqTime now)
{
  KqClaim claim = { .member = *member, .full = true };
  claim.member.state = KQ_MEMBER_ALIVE;
  claim.member.peer.id = kq_hash_name (member->name);
  if (claim.member.peer.id == group->self)
    return;
  kq_members_apply (group->members, &claim, now);
  group->balancers_stale = true;
  group->joined = true;
}

int
kq_group_preload_copy (KqGroup *group, const KqGroup *source)
{
  group->balancers_stale = true;
  group->joined = true;
  group->next_sync = group->now + (KqTime)kq_random_below (&group->random, PRELOAD_SYNC_US);
  return kq_members_copy (group->members, source->members);
}

/* Announces the current content of @group->params.self under the next version. */
static void
announce_change (KqGroup *group, KqTime now)
{
  KqClaim claim = kq_record_to_claim (kq_group_own_record (group));
  group->now = now;
  claim.version++;
  claim.member = group->params.self;
  claim.member.peer.id = group->self;
  claim.member.state = group->leaving ? KQ_MEMBER_LEFT : KQ_MEMBER_ALIVE;
  kq_members_apply (group->members, &claim, now);
  group->changed = true;
  kq_group_announce_self (group);
}

void
kq_group_set_phase (KqGroup *group, KqTargetPhase phase, KqTime now)
{
  if (group->params.self.phase == phase || group->leaving)
    return;
  group->params.self.phase = phase;
  announce_change (group, now);
}

void
kq_group_set_service (KqGroup *group, uint32_t service, KqTime now)
{
  if (group->params.self.service == service || group->leaving)
    return;
  group->params.self.service = service;
  announce_change (group, now);
}

void
kq_group_leave (KqGroup *group, KqTime now)
{
  if (group->leaving)
    return;
  group->leaving = true;
  announce_change (group, now);
  kq_group_log (group, LOG_NOTICE, "leaving", "live=%u", kq_members_live (group->members));
}

KqRevision
kq_group_held_revision (const KqGroup *group, uint32_t service)
{
  const KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  return entry == NULL ? (KqRevision){ 0 } : entry->held;
}

KqGroupStats
kq_group_stats (const KqGroup *group)
{
  KqGroupStats stats = group->stats;
  stats.gossip_queued = kq_gossip_length (group->gossip);
  return stats;
}

const KqTokenBucket *
kq_group_budget (const KqGroup *group)
{
  return &group->budget;
}

bool
kq_group_document_outdated (const KqGroup *group, uint32_t service)
{
  const KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  return entry != NULL && kq_revision_compare (entry->held, entry->known) < 0 &&
         !kq_page_transfer_active (group, service, entry->known);
}
