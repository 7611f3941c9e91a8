#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <talloc.h>

#include "kumquat/routing.h"
#include "unit.h"

#define TARGETS_MAX 40

static KqService service = { .number = 1 };

static KqMember
target (unsigned number)
{
  KqMember member = { .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING, .weight = 100 };
  snprintf (member.name, sizeof member.name, "target-%u", number);
  snprintf (member.failure_domain, sizeof member.failure_domain, "domain-%u", number % 4);
  member.peer.id = kq_hash_name (member.name);
  member.peer.data.port = (uint16_t)number;
  return member;
}

static KqRouting *
route (const KqMember *targets, unsigned count)
{
  KqServiceView view = { .service = &service, .targets = targets, .count = count };
  return kq_routing_new (NULL, &view);
}

static uint64_t
home (const KqRouting *routing, unsigned bucket)
{
  KqPeer candidates[KQ_CANDIDATES_MAX] = { { 0 } };
  kq_routing_candidates (routing, bucket, candidates);
  return candidates[0].id;
}

static void
test_order_of_targets_is_irrelevant (void)
{
  KqMember forward[7];
  KqMember backward[7];
  for (unsigned i = 0; i < 7; i++)
    forward[i] = backward[6 - i] = target (i);
  KqRouting *a = route (forward, 7);
  KqRouting *b = route (backward, 7);
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    {
      KqPeer x[KQ_CANDIDATES_MAX];
      KqPeer y[KQ_CANDIDATES_MAX];
      CU_ASSERT_FATAL (kq_routing_candidates (a, bucket, x) == KQ_CANDIDATES_MAX);
      CU_ASSERT_FATAL (kq_routing_candidates (b, bucket, y) == KQ_CANDIDATES_MAX);
      for (unsigned i = 0; i < KQ_CANDIDATES_MAX; i++)
        CU_ASSERT (x[i].id == y[i].id);
      CU_ASSERT (x[0].id != x[1].id && x[1].id != x[2].id && x[0].id != x[2].id);
    }
  talloc_free (a);
  talloc_free (b);
}

/* When a target is added, the only buckets that get another home are those whose home it becomes.
 */
static void
test_added_target_moves_only_its_buckets (void)
{
  KqMember targets[TARGETS_MAX];
  for (unsigned i = 0; i < TARGETS_MAX; i++)
    targets[i] = target (i);
  for (unsigned n = 3; n < TARGETS_MAX; n++)
    {
      KqRouting *before = route (targets, n);
      KqRouting *after = route (targets, n + 1);
      unsigned moved = 0;
      unsigned gained = 0;
      for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
        {
          moved += home (before, bucket) != home (after, bucket);
          gained += home (after, bucket) == targets[n].peer.id;
        }
      CU_ASSERT (moved == gained);
      talloc_free (before);
      talloc_free (after);
    }
}

static void
test_buckets_are_shared_by_weight (void)
{
  double light = 0;
  double heavy = 0;
  for (unsigned fleet = 0; fleet < 40; fleet++)
    {
      KqMember targets[5];
      for (unsigned i = 0; i < 5; i++)
        targets[i] = target (100 * fleet + i);
      targets[0].weight = 300;
      KqRouting *routing = route (targets, 5);
      for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
        {
          heavy += home (routing, bucket) == targets[0].peer.id;
          light += home (routing, bucket) == targets[1].peer.id;
        }
      talloc_free (routing);
    }
  CU_ASSERT (fabs (heavy / light - 3) < 0.3);
}

static void
test_targets_in_service_and_last_resort (void)
{
  KqMember targets[4] = { target (0), target (1), target (2), target (3) };
  targets[0].phase = KQ_PHASE_STARTING;
  targets[1].phase = KQ_PHASE_DRAINING;
  targets[2].state = KQ_MEMBER_SUSPECT;
  KqService denying = { .number = 1, .denied_count = 1 };
  snprintf (denying.denied[0], KQ_NAME_BYTES, "domain-3");
  KqServiceView view = { .service = &denying, .targets = targets, .count = 4 };
  KqRouting *routing = kq_routing_new (NULL, &view);
  KqPeer out[KQ_CANDIDATES_MAX];
  CU_ASSERT (kq_routing_candidates (routing, 9, out) == 1 && out[0].id == targets[2].peer.id);
  talloc_free (routing);
  targets[2].state = KQ_MEMBER_DEAD;
  routing = kq_routing_new (NULL, &view);
  CU_ASSERT (kq_routing_candidates (routing, 9, out) == 2);
  CU_ASSERT (out[0].id != targets[0].peer.id && out[1].id != targets[0].peer.id);
  talloc_free (routing);
  view.count = 1;
  routing = kq_routing_new (NULL, &view);
  CU_ASSERT (kq_routing_candidates (routing, 9, out) == 0);
  talloc_free (routing);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "the order of targets is irrelevant", test_order_of_targets_is_irrelevant },
    { "an added target moves only its own buckets", test_added_target_moves_only_its_buckets },
    { "buckets are shared by weight", test_buckets_are_shared_by_weight },
    { "targets in service and last resort", test_targets_in_service_and_last_resort },
  };
  return kq_unit_run ("routing", tests, sizeof tests / sizeof tests[0]);
}
