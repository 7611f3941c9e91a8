/* Member table of one region's group: the members with their incarnations and liveness states. */
#pragma once

#include "kumquat/internal/identity.h"

#define KQ_DIGEST_RANGES 64
#define KQ_MEMBERS_MAX   65536

/**
 * struct KqMemberRecord - state of one member as known to this instance
 * @id: hash of the member's name
 * @interned: its description
 * @incarnation: grows with each restart of the member
 * @version: grows within an incarnation with each refutation and each change of announced data
 * @changed_s: when the state last changed, in seconds of the caller's clock
 * @state: liveness, a KqMemberState
 * @phase: phase of the target that an agent announced
 * @described_s: when this instance first received this description, in seconds of the caller's
 *   clock
 * @domain_lost: whether it counts as dead only because its failure domain is lost
 */
typedef struct
{
  uint64_t id;
  KqIdentity *interned;
  uint64_t incarnation;
  uint32_t version;
  uint32_t changed_s;
  uint32_t described_s;
  uint8_t state;
  uint8_t phase;
  bool domain_lost;
} KqMemberRecord;

/**
 * struct KqClaim - a statement about a member, as exchanged between instances
 * @member: its id, incarnation, state and phase; if @full, also its description
 * @version: version within the incarnation
 * @full: whether @member contains the description
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
 * same pool; Return: 0, or -1 if out of memory */
int kq_members_copy (KqMembers *members, const KqMembers *source);

/** kq_members_find - Return: (borrowed until the next change) the record, or NULL */
KqMemberRecord *kq_members_find (const KqMembers *members, uint64_t id);

/** kq_members_at - Return: (borrowed until the next change) the record at @index in id order */
KqMemberRecord *kq_members_at (const KqMembers *members, unsigned index);
unsigned kq_members_count (const KqMembers *members);

/** kq_members_live - Return: number of alive and suspected members */
unsigned kq_members_live (const KqMembers *members);

/**
 * kq_members_apply - applies a claim if it supersedes the record of the member
 *
 * A higher incarnation wins, then a higher version, then dead over suspect over alive. A member
 * that left stays so for its incarnation.
 *
 * Return: whether the table changed; a claim about an unknown member is ignored if it contains no
 * description.
 */
bool kq_members_apply (KqMembers *members, const KqClaim *claim, KqTime now);

/** kq_members_set_domain_lost - marks or unmarks @record as a member of a lost failure domain,
 * which counts as dead without a new claim until the domain is back; Return: whether the table
 * changed */
bool kq_members_set_domain_lost (KqMembers *members, KqMemberRecord *record, bool lost, KqTime now);

/** kq_members_forget - removes members that died or left before @before */
void kq_members_forget (KqMembers *members, KqTime before);

/** kq_record_to_claim - Return: a claim with the content of @record */
KqClaim kq_record_to_claim (const KqMemberRecord *record);

/** kq_record_to_member - converts @record to the public type */
void kq_record_to_member (const KqMemberRecord *record, KqMember *member);

static inline bool
kq_record_is_live (const KqMemberRecord *record)
{
  return record->state == KQ_MEMBER_ALIVE || record->state == KQ_MEMBER_SUSPECT;
}

/** kq_digest_range - Return: the range of the digest that contains @id */
unsigned kq_digest_range (uint64_t id);

/** kq_members_digest - Return: (array) a hash of the live members of each range; equal tables have
 * equal digests */
const uint64_t *kq_members_digest (const KqMembers *members);
