/* Member table, gossip queue, token bucket and document table, each tested alone. */

#include <CUnit/Basic.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/document_table.h"
#include "kumquat/internal/gossip.h"
#include "kumquat/internal/members.h"
#include "kumquat/internal/token_bucket.h"
#include "unit.h"

static KqClaim
claim_of (const char *name, uint64_t incarnation, uint32_t version, KqMemberState state)
{
  KqClaim claim = { .version = version, .full = true };
  claim.member.peer.id = kq_hash_name (name);
  claim.member.peer.incarnation = incarnation;
  claim.member.state = state;
  strncpy (claim.member.name, name, KQ_NAME_BYTES - 1);
  return claim;
}

static bool
apply (KqMembers *members, uint64_t incarnation, uint32_t version, KqMemberState state)
{
  KqClaim claim = claim_of ("a", incarnation, version, state);
  return kq_members_apply (members, &claim, 0);
}

static void
test_claims_override_in_order (void)
{
  KqIdentityPool *pool = kq_identity_pool_new (NULL);
  KqMembers *members = kq_members_new (NULL, pool);
  CU_ASSERT (apply (members, 5, 0, KQ_MEMBER_ALIVE));
  CU_ASSERT (!apply (members, 5, 0, KQ_MEMBER_ALIVE));
  CU_ASSERT (apply (members, 5, 0, KQ_MEMBER_SUSPECT));
  CU_ASSERT (!apply (members, 5, 0, KQ_MEMBER_ALIVE));
  CU_ASSERT (apply (members, 5, 1, KQ_MEMBER_ALIVE));
  CU_ASSERT (!apply (members, 5, 0, KQ_MEMBER_DEAD));
  CU_ASSERT (apply (members, 5, 1, KQ_MEMBER_DEAD));
  CU_ASSERT (!apply (members, 5, 1, KQ_MEMBER_SUSPECT));
  CU_ASSERT (kq_members_live (members) == 0);
  CU_ASSERT (!apply (members, 4, 9, KQ_MEMBER_ALIVE));
  CU_ASSERT (apply (members, 5, 0, KQ_MEMBER_LEFT));
  CU_ASSERT (!apply (members, 5, 9, KQ_MEMBER_ALIVE));
  CU_ASSERT (apply (members, 6, 0, KQ_MEMBER_ALIVE));
  CU_ASSERT (kq_members_live (members) == 1);
  talloc_free (members);
  talloc_free (pool);
}

static void
test_table_is_ordered_and_digest_is_of_content (void)
{
  static const char *const names[] = { "d", "a", "c", "b", "e" };
  KqIdentityPool *pool = kq_identity_pool_new (NULL);
  KqMembers *one = kq_members_new (NULL, pool);
  KqMembers *two = kq_members_new (NULL, pool);
  size_t size = KQ_DIGEST_RANGES * sizeof (uint64_t);
  for (unsigned i = 0; i < 5; i++)
    {
      KqClaim forward = claim_of (names[i], 1, 0, KQ_MEMBER_ALIVE);
      KqClaim backward = claim_of (names[4 - i], 1, 0, KQ_MEMBER_ALIVE);
      kq_members_apply (one, &forward, 0);
      kq_members_apply (two, &backward, 0);
    }
  for (unsigned i = 1; i < 5; i++)
    CU_ASSERT (kq_members_at (one, i - 1)->id < kq_members_at (one, i)->id);
  CU_ASSERT (memcmp (kq_members_digest (one), kq_members_digest (two), size) == 0);
  KqClaim dead = claim_of ("c", 1, 0, KQ_MEMBER_DEAD);
  kq_members_apply (one, &dead, 0);
  CU_ASSERT (memcmp (kq_members_digest (one), kq_members_digest (two), size) != 0);
  kq_members_forget (one, KQ_SECOND);
  CU_ASSERT (kq_members_count (one) == 4);
  talloc_free (one);
  talloc_free (two);
  talloc_free (pool);
}

static void
test_unknown_member_needs_a_description (void)
{
  KqIdentityPool *pool = kq_identity_pool_new (NULL);
  KqMembers *members = kq_members_new (NULL, pool);
  KqClaim claim = claim_of ("a", 1, 0, KQ_MEMBER_SUSPECT);
  claim.full = false;
  CU_ASSERT (!kq_members_apply (members, &claim, 0));
  CU_ASSERT (kq_members_count (members) == 0);
  talloc_free (members);
  talloc_free (pool);
}

static void
test_gossip_sends_least_sent_then_newest (void)
{
  KqGossip *gossip = kq_gossip_new (NULL);
  for (uint64_t key = 1; key <= 3; key++)
    kq_gossip_add (gossip, KQ_GOSSIP_MEMBER, key);
  KqGossipItem *item = kq_gossip_next (gossip, NULL);
  CU_ASSERT (item->key == 3);
  kq_gossip_count_send (gossip, item, 2);
  CU_ASSERT (kq_gossip_next (gossip, NULL)->key == 2);
  kq_gossip_add (gossip, KQ_GOSSIP_MEMBER, 1);
  CU_ASSERT (kq_gossip_next (gossip, NULL)->key == 1);
  CU_ASSERT (kq_gossip_length (gossip) == 3);
  kq_gossip_count_send (gossip, item, 2);
  CU_ASSERT (kq_gossip_length (gossip) == 2);
  CU_ASSERT (kq_gossip_send_limit (6500) > kq_gossip_send_limit (30));
  talloc_free (gossip);
}

static void
test_lower_priorities_leave_budget_for_liveness (void)
{
  KqTokenBucket bucket;
  kq_token_bucket_init (&bucket, 1000, 4, 0);
  unsigned taken[KQ_PRIORITIES] = { 0 };
  for (int priority = KQ_PRIORITY_BACKGROUND; priority >= 0; priority--)
    {
      while (kq_token_bucket_take (&bucket, (KqPriority)priority, 100, 0))
        taken[priority]++;
    }
  CU_ASSERT (taken[KQ_PRIORITY_BACKGROUND] == 20);
  CU_ASSERT (taken[KQ_PRIORITY_CONFIGURATION] == 10);
  CU_ASSERT (taken[KQ_PRIORITY_LIVENESS] == 50);
  CU_ASSERT (!kq_token_bucket_take (&bucket, KQ_PRIORITY_LIVENESS, 100, 0));
  CU_ASSERT (kq_token_bucket_take (&bucket, KQ_PRIORITY_LIVENESS, 100, KQ_SECOND));
}

static int
accept (KqDocumentTable *spread, KqRevision revision, const char *text, KqErrorKind *kind)
{
  KqDocument document = { .service = 1, .revision = revision, .bytes = (const uint8_t *)text };
  KqError error = { 0 };
  document.size = strlen (text);
  int taken = kq_document_table_store (spread, &document, &error);
  *kind = error.kind;
  return taken;
}

static void
test_older_document_is_rejected (void)
{
  KqErrorKind kind;
  KqDocumentTable *spread = kq_document_table_new (NULL);
  CU_ASSERT (accept (spread, (KqRevision){ 1, 10 }, "a", &kind) == 1);
  CU_ASSERT (accept (spread, (KqRevision){ 1, 10 }, "a", &kind) == 0);
  CU_ASSERT (accept (spread, (KqRevision){ 1, 10 }, "b", &kind) == -1);
  CU_ASSERT (kind == KQ_ERROR_CONFLICT);
  CU_ASSERT (accept (spread, (KqRevision){ 1, 9 }, "a", &kind) == -1);
  CU_ASSERT (kind == KQ_ERROR_STALE);
  CU_ASSERT (accept (spread, (KqRevision){ 2, 1 }, "c", &kind) == 1);
  CU_ASSERT (accept (spread, (KqRevision){ 1, 99 }, "d", &kind) == -1);
  CU_ASSERT (kq_document_table_record_revision (spread, 1, (KqRevision){ 2, 1 }, 7) == NULL);
  CU_ASSERT (kq_document_table_record_revision (spread, 1, (KqRevision){ 2, 5 }, 7) != NULL);
  CU_ASSERT (accept (spread, (KqRevision){ 2, 4 }, "e", &kind) == -1);
  talloc_free (spread);
}

static void
test_holders_count_each_instance_once (void)
{
  KqAcknowledgements holders = { 0 };
  void *parent = talloc_new (NULL);
  const KqRevision one = { 1, 1 };
  const KqRevision two = { 1, 2 };
  CU_ASSERT (kq_acknowledgements_add (parent, &holders, one, 7));
  CU_ASSERT (!kq_acknowledgements_add (parent, &holders, one, 7));
  CU_ASSERT (kq_acknowledgements_add (parent, &holders, one, 8));
  CU_ASSERT (holders.count == 2);
  CU_ASSERT (kq_acknowledgements_add (parent, &holders, two, 7));
  CU_ASSERT (holders.count == 1 && !kq_acknowledgements_has (&holders, one, 8));
  CU_ASSERT (!kq_acknowledgements_add (parent, &holders, one, 9));
  talloc_free (parent);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "claims override in order", test_claims_override_in_order },
    { "table is ordered, digest is of its content",
      test_table_is_ordered_and_digest_is_of_content },
    { "a claim about an unknown member needs a description",
      test_unknown_member_needs_a_description },
    { "gossip sends least-sent changes first, then newest",
      test_gossip_sends_least_sent_then_newest },
    { "lower priorities leave budget for failure detection",
      test_lower_priorities_leave_budget_for_liveness },
    { "an older document never replaces a newer one", test_older_document_is_rejected },
    { "holders count each instance once", test_holders_count_each_instance_once },
  };
  return kq_unit_run ("members", tests, sizeof tests / sizeof tests[0]);
}
