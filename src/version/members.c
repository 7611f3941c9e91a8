#include <string.h>
#include <talloc.h>

#include "kumquat/internal/members.h"

struct KqMembers
{
  KqIdentityPool *pool;
  KqMemberRecord *records; /* ordered by id */
  unsigned count;
  unsigned capacity;
  unsigned live;
  uint64_t digest[KQ_DIGEST_RANGES];
};

static int
release_identities (KqMembers *members)
{
  for (unsigned i = 0; i < members->count; i++)
    kq_identity_release (members->pool, members->records[i].interned);
  return 0;
}

KqMembers *
kq_members_new (const void *parent, KqIdentityPool *pool)
{
  KqMembers *members = talloc_zero (parent, KqMembers);
  if (members == NULL)
    return NULL;
  members->pool = pool;
  talloc_set_destructor (members, release_identities);
  return members;
}

int
kq_members_copy (KqMembers *members, const KqMembers *source)
{
  KqMemberRecord *records =
      talloc_memdup (members, source->records, source->count * sizeof *source->records);
  if (records == NULL)
    return -1;
  release_identities (members);
  talloc_free (members->records);
  members->records = records;
  members->count = source->count;
  members->capacity = source->count;
  members->live = source->live;
  memcpy (members->digest, source->digest, sizeof members->digest);
  for (unsigned i = 0; i < members->count; i++)
    records[i].interned->references++;
  return 0;
}

static unsigned
position_of (const KqMembers *members, uint64_t id)
{
  unsigned low = 0;
  unsigned high = members->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (members->records[middle].id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

KqMemberRecord *
kq_members_find (const KqMembers *members, uint64_t id)
{
  unsigned position = position_of (members, id);
  if (position == members->count || members->records[position].id != id)
    return NULL;
  return &members->records[position];
}

KqMemberRecord *
kq_members_at (const KqMembers *members, unsigned index)
{
  return &members->records[index];
}

unsigned
kq_members_count (const KqMembers *members)
{
  return members->count;
}

unsigned
kq_members_live (const KqMembers *members)
{
  return members->live;
}

unsigned
kq_digest_range (uint64_t id)
{
  return (unsigned)(id >> 58);
}

static uint64_t
mix_bits (uint64_t value)
{
  value ^= value >> 33;
  value *= UINT64_C (0xff51afd7ed558ccd);
  value ^= value >> 33;
  value *= UINT64_C (0xc4ceb9fe1a85ec53);
  return value ^ value >> 33;
}

/* Adds a live record to the hash of its range, or removes it: the operation is its own inverse.
 * Whether the member is suspected is not hashed, because a suspicion ends within seconds. */
static void
toggle_in_digest (KqMembers *members, const KqMemberRecord *record)
{
  if (!kq_record_is_live (record))
    return;
  uint64_t hash =
      mix_bits (mix_bits (mix_bits (record->id) ^ record->incarnation) ^ record->version);
  members->digest[kq_digest_range (record->id)] ^= hash;
}

const uint64_t *
kq_members_digest (const KqMembers *members)
{
  return members->digest;
}

static bool
supersedes (const KqClaim *claim, const KqMemberRecord *record)
{
  if (claim->member.peer.incarnation != record->incarnation)
    return claim->member.peer.incarnation > record->incarnation;
  if (record->state == KQ_MEMBER_LEFT)
    return false;
  if (claim->member.state == KQ_MEMBER_LEFT)
    return true;
  if (claim->version != record->version)
    return claim->version > record->version;
  if (record->domain_lost)
    return claim->member.state == KQ_MEMBER_DEAD;
  return claim->member.state > (KqMemberState)record->state;
}

static void
set_state (KqMembers *members, KqMemberRecord *record, const KqClaim *claim, KqTime now)
{
  record->incarnation = claim->member.peer.incarnation;
  record->version = claim->version;
  record->state = (uint8_t)claim->member.state;
  record->changed_s = (uint32_t)(now / KQ_SECOND);
  record->domain_lost = false;
  record->phase = (uint8_t)claim->member.phase;
  if (kq_record_is_live (record))
    members->live++;
  toggle_in_digest (members, record);
}

static bool
update_record (KqMembers *members, KqMemberRecord *record, const KqClaim *claim, KqTime now)
{
  KqIdentity *interned = NULL;
  if (claim->full)
    {
      interned = kq_identity_acquire (members->pool, &claim->member);
      if (interned == NULL)
        return false;
    }
  toggle_in_digest (members, record);
  if (kq_record_is_live (record))
    members->live--;
  if (interned != NULL)
    {
      if (record->interned != interned)
        record->described_s = (uint32_t)(now / KQ_SECOND);
      kq_identity_release (members->pool, record->interned);
      record->interned = interned;
    }
  set_state (members, record, claim, now);
  return true;
}

static bool
ensure_capacity (KqMembers *members)
{
  if (members->records != NULL && members->count < members->capacity)
    return true;
  unsigned capacity = members->capacity + members->capacity / 4 + 16;
  if (members->count >= KQ_MEMBERS_MAX)
    return false;
  KqMemberRecord *records = talloc_realloc (members, members->records, KqMemberRecord, capacity);
  if (records == NULL)
    return false;
  members->records = records;
  members->capacity = capacity;
  return true;
}

static bool
insert_record (KqMembers *members, unsigned position, const KqClaim *claim, KqTime now)
{
  if (!ensure_capacity (members))
    return false;
  KqIdentity *interned = kq_identity_acquire (members->pool, &claim->member);
  if (interned == NULL)
    return false;
  KqMemberRecord *record = &members->records[position];
  memmove (record + 1, record, (members->count - position) * sizeof *record);
  memset (record, 0, sizeof *record);
  members->count++;
  record->id = claim->member.peer.id;
  record->described_s = (uint32_t)(now / KQ_SECOND);
  record->interned = interned;
  set_state (members, record, claim, now);
  return true;
}

bool
kq_members_apply (KqMembers *members, const KqClaim *claim, KqTime now)
{
  unsigned position = position_of (members, claim->member.peer.id);
  KqMemberRecord *existing = position < members->count ? &members->records[position] : NULL;
  if (existing == NULL || existing->id != claim->member.peer.id)
    return claim->full && insert_record (members, position, claim, now);
  return supersedes (claim, existing) && update_record (members, existing, claim, now);
}

bool
kq_members_set_domain_lost (KqMembers *members, KqMemberRecord *record, bool lost, KqTime now)
{
  if (lost ? !kq_record_is_live (record) : !record->domain_lost)
    return false;
  if (lost)
    {
      toggle_in_digest (members, record);
      members->live--;
    }
  record->domain_lost = lost;
  record->state = lost ? KQ_MEMBER_DEAD : KQ_MEMBER_ALIVE;
  record->changed_s = (uint32_t)(now / KQ_SECOND);
  if (!lost)
    {
      toggle_in_digest (members, record);
      members->live++;
    }
  return true;
}

void
kq_members_forget (KqMembers *members, KqTime before)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < members->count; i++)
    {
      KqMemberRecord *record = &members->records[i];
      if (!kq_record_is_live (record) && (KqTime)record->changed_s * KQ_SECOND < before)
        kq_identity_release (members->pool, record->interned);
      else
        members->records[kept++] = *record;
    }
  members->count = kept;
}

void
kq_record_to_member (const KqMemberRecord *record, KqMember *member)
{
  *member = record->interned->member;
  member->peer.incarnation = record->incarnation;
  member->state = (KqMemberState)record->state;
  member->phase = (KqTargetPhase)record->phase;
}

KqClaim
kq_record_to_claim (const KqMemberRecord *record)
{
  KqClaim claim = { .version = record->version, .full = true };
  kq_record_to_member (record, &claim.member);
  return claim;
}
