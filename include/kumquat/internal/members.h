/* Member table of one region's group: who is a member, in which life, and whether it is alive. */
#pragma once

#include "kumquat/internal/identity.h"

#define KQ_DIGEST_RANGES 64
#define KQ_MEMBERS_MAX   65536

/**
 * struct KqRecord - what is believed of one member
 * @id: hash of the member's name
 * @who: its description
 * @incarnation: its life; grows with a restart
 * @version: grows inside a life with each refutation and each change of phase
 * @changed_s: when the state last changed, in seconds of the caller's clock
 * @state: liveness
 * @phase: what an agent says of its target
 * @described_s: when its description was new here, in seconds of the caller's clock
 * @domain_lost: it counts as dead only because its failure domain is lost
 */
typedef struct
{
  uint64_t id;
  KqIdentity *who;
  uint64_t incarnation;
  uint32_t version;
  uint32_t changed_s;
  uint32_t described_s;
  uint8_t state;
  uint8_t phase;
  bool domain_lost;
} KqRecord;

/**
 * struct KqClaim - one statement about a member, as it travels
 * @member: its id, incarnation, state and phase, and when @full its whole description
 * @version: version inside the incarnation
 * @full: whether the description is there
 */
typedef struct
{
  KqMember member;
  uint32_t version;
  bool full;
} KqClaim;

typedef struct KqMembers KqMembers;

/** kq_members_new - Return: (owned by @parent) an empty table that interns into @pool */
KqMembers *kq_members_new (const void *parent, KqIdentityPool *pool);

/** kq_members_copy - replaces the content of @members by that of @source, which interns into the
 * same pool; Return: 0, or -1 without memory */
int kq_members_copy (KqMembers *members, const KqMembers *source);

/** kq_members_find - Return: (borrowed until the next change) the record, or NULL */
KqRecord *kq_members_find (const KqMembers *members, uint64_t id);

/** kq_members_at - Return: (borrowed until the next change) a record by its place in id order */
KqRecord *kq_members_at (const KqMembers *members, unsigned index);
unsigned kq_members_count (const KqMembers *members);

/** kq_members_live - Return: how many are alive or suspect */
unsigned kq_members_live (const KqMembers *members);

/**
 * kq_members_apply - takes a claim in when it is newer than what is known
 *
 * A higher incarnation wins, then a higher version, then dead over suspect over alive. A member
 * that left stays so for its incarnation.
 *
 * Return: whether the table changed; a claim without description about a stranger changes nothing.
 */
bool kq_members_apply (KqMembers *members, const KqClaim *claim, KqTime now);

/** kq_members_set_domain_lost - a member of a lost failure domain counts as dead, without a new
 * claim, until the domain is back; Return: whether the table changed */
bool kq_members_set_domain_lost (KqMembers *members, KqRecord *record, bool lost, KqTime now);

/** kq_members_forget - drops members that died or left before @before */
void kq_members_forget (KqMembers *members, KqTime before);

/** kq_members_claim - Return: the claim that states @record as it is */
KqClaim kq_members_claim (const KqRecord *record);

/** kq_members_view - writes @record as the public type */
void kq_members_view (const KqRecord *record, KqMember *member);

static inline bool
kq_record_live (const KqRecord *record)
{
  return record->state == KQ_MEMBER_ALIVE || record->state == KQ_MEMBER_SUSPECT;
}

/** kq_digest_range - Return: which of the digest's ranges holds @id */
unsigned kq_digest_range (uint64_t id);

/** kq_members_digest - Return: (array) a hash of the live members of each range; equal tables have
 * equal digests */
const uint64_t *kq_members_digest (const KqMembers *members);
