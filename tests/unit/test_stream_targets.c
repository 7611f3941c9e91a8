/* Tests of the choice of an agent for a new stream. */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/agent_history.h"
#include "kumquat/internal/stream_targets.h"
#include "unit.h"

#define SERVICE 7
#define TARGETS 6
#define STREAMS 600

typedef struct
{
  KqAgentHistory *agent_history;
  KqStreamTargets *targets;
  KqMember members[TARGETS];
} Fixture;

static void
set_members (Fixture *fixture)
{
  kq_agent_history_update (fixture->agent_history, fixture->members, TARGETS, 0);
  kq_stream_targets_set (fixture->targets, fixture->members, TARGETS);
}

static Fixture *
set_up (void)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);
  fixture->agent_history = kq_agent_history_new (fixture, 0);
  fixture->targets = kq_stream_targets_new (fixture, "near");
  for (unsigned i = 0; i < TARGETS; i++)
    {
      KqMember *member = &fixture->members[i];
      *member = (KqMember){ .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING, .service = SERVICE };
      member->peer.id = 100 + i;
      snprintf (member->failure_domain, KQ_NAME_BYTES, "%s", "near");
    }
  set_members (fixture);
  return fixture;
}

static void
report_load (Fixture *fixture, uint64_t id, unsigned running, uint32_t service_us,
             uint32_t answer_bytes)
{
  KqTargetLoad load = {
    .running = running, .slots = 5, .service_us = service_us, .answer_bytes = answer_bytes
  };
  kq_stream_target_answered (kq_stream_targets_find (fixture->targets, id), &load, 1);
}

static const KqStreamTarget *
choose_agent (const Fixture *fixture, uint64_t hash, const uint64_t *tried, unsigned tried_count,
              KqTime now)
{
  uint64_t candidate_ids[KQ_AGENT_CANDIDATES_MAX];
  unsigned count = kq_agent_history_rank (fixture->agent_history, SERVICE, hash, candidate_ids);
  return kq_stream_targets_choose (fixture->targets, SERVICE, candidate_ids, count, tried,
                                   tried_count, now);
}

/* Return: number of STREAMS streams that are offered to agent @id first. */
static unsigned
count_chosen (const Fixture *fixture, uint64_t id, KqTime now)
{
  unsigned count = 0;
  for (uint64_t hash = 1; hash <= STREAMS; hash++)
    {
      const KqStreamTarget *target =
          choose_agent (fixture, hash * UINT64_C (0x9e3779b97f4a7c15), NULL, 0, now);
      count += target != NULL && target->peer.id == id;
    }
  return count;
}

static void
test_only_serving_targets_of_the_service (void)
{
  Fixture *fixture = set_up ();
  fixture->members[0].phase = KQ_PHASE_DRAINING;
  fixture->members[1].service = SERVICE + 1;
  set_members (fixture);
  CU_ASSERT_EQUAL (count_chosen (fixture, 100, 2), 0);
  CU_ASSERT_EQUAL (count_chosen (fixture, 101, 2), 0);
  for (unsigned i = 2; i < TARGETS; i++)
    CU_ASSERT_TRUE (count_chosen (fixture, 100 + i, 2) > STREAMS / 10);
  talloc_free (fixture);
}

static void
test_less_loaded_first (void)
{
  Fixture *fixture = set_up ();
  for (unsigned i = 0; i < TARGETS; i++)
    report_load (fixture, 100 + i, i == 3 ? 0 : 9, 40000, 4000);
  CU_ASSERT_EQUAL (count_chosen (fixture, 103, 2), STREAMS);
  talloc_free (fixture);
}

static void
test_slow_target_is_avoided (void)
{
  Fixture *fixture = set_up ();
  for (unsigned i = 0; i < TARGETS; i++)
    report_load (fixture, 100 + i, 1, i == 3 ? 200000 : 40000, 4000);
  CU_ASSERT_EQUAL (count_chosen (fixture, 103, 2), 0);
  /* The target is retried when its report is outdated. */
  CU_ASSERT_TRUE (count_chosen (fixture, 103, 3 * KQ_SECOND) > 0);
  talloc_free (fixture);
}

/* Short answers that come at once are errors; a target that sends them must not attract all
 * streams. */
static void
test_failing_target_is_avoided (void)
{
  Fixture *fixture = set_up ();
  for (unsigned i = 0; i < TARGETS; i++)
    report_load (fixture, 100 + i, 2, i == 3 ? 2000 : 40000, i == 3 ? 150 : 4000);
  CU_ASSERT_EQUAL (count_chosen (fixture, 103, 2), 0);
  CU_ASSERT_EQUAL (count_chosen (fixture, 103, 3 * KQ_SECOND), 0);
  CU_ASSERT_TRUE (count_chosen (fixture, 103, 7 * KQ_SECOND) > 0);
  talloc_free (fixture);
}

/* A target with fast answers of the usual size does not count as failing. */
static void
test_fast_target_is_used (void)
{
  Fixture *fixture = set_up ();
  for (unsigned i = 0; i < TARGETS; i++)
    report_load (fixture, 100 + i, 1, i == 3 ? 10000 : 40000, 4000);
  CU_ASSERT_TRUE (count_chosen (fixture, 103, 2) > 0);
  talloc_free (fixture);
}

/* When most targets appear to be failing, none is avoided. */
static void
test_most_look_failing (void)
{
  Fixture *fixture = set_up ();
  for (unsigned i = 0; i < TARGETS; i++)
    report_load (fixture, 100 + i, 1, i == 3 ? 40000 : 2000, i == 3 ? 4000 : 150);
  unsigned others = 0;
  for (unsigned i = 0; i < TARGETS; i++)
    others += i == 3 ? 0 : count_chosen (fixture, 100 + i, 3 * KQ_SECOND);
  CU_ASSERT_TRUE (others > 0);
  talloc_free (fixture);
}

static void
test_local_domain_first (void)
{
  Fixture *fixture = set_up ();
  for (unsigned i = 0; i < TARGETS; i++)
    snprintf (fixture->members[i].failure_domain, KQ_NAME_BYTES, "%s", i < 2 ? "near" : "far");
  set_members (fixture);
  for (unsigned i = 0; i < TARGETS; i++)
    report_load (fixture, 100 + i, 1, 40000, 4000);
  CU_ASSERT_EQUAL (count_chosen (fixture, 100, 2) + count_chosen (fixture, 101, 2), STREAMS);
  report_load (fixture, 100, 9, 40000, 4000);
  report_load (fixture, 101, 9, 40000, 4000);
  CU_ASSERT_EQUAL (count_chosen (fixture, 100, 2) + count_chosen (fixture, 101, 2), 0);
  talloc_free (fixture);
}

static void
test_backoff_last (void)
{
  Fixture *fixture = set_up ();
  uint64_t tried[TARGETS - 1] = { 100, 101, 102, 104, 105 };
  kq_stream_target_failed (kq_stream_targets_find (fixture->targets, 103), 0);
  CU_ASSERT_EQUAL (count_chosen (fixture, 103, KQ_MS), 0);
  const KqStreamTarget *target = choose_agent (fixture, 1, tried, TARGETS - 1, KQ_MS);
  CU_ASSERT_TRUE (target != NULL && target->peer.id == 103);
  CU_ASSERT_TRUE (count_chosen (fixture, 103, 2 * KQ_SECOND) > 0);
  talloc_free (fixture);
}

static void
test_new_incarnation_has_no_load (void)
{
  Fixture *fixture = set_up ();
  report_load (fixture, 103, 9, 400000, 4000);
  fixture->members[3].peer.incarnation++;
  set_members (fixture);
  CU_ASSERT_EQUAL (kq_stream_targets_find (fixture->targets, 103)->load_at, 0);
  talloc_free (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "only serving targets of the service", test_only_serving_targets_of_the_service },
    { "the least loaded agent is chosen", test_less_loaded_first },
    { "a slow target is avoided, and retried later", test_slow_target_is_avoided },
    { "a failing target is avoided", test_failing_target_is_avoided },
    { "a fast target is used", test_fast_target_is_used },
    { "no target is avoided when most appear to be failing", test_most_look_failing },
    { "the local domain is preferred unless its slots are occupied", test_local_domain_first },
    { "an agent in backoff is chosen last", test_backoff_last },
    { "the load of an earlier incarnation is discarded", test_new_incarnation_has_no_load },
  };
  return kq_unit_run ("stream targets", tests, sizeof tests / sizeof tests[0]);
}
