#include <CUnit/Basic.h>

#include "kumquat/internal/return_path.h"
#include "unit.h"

static KqMember
balancer (unsigned number)
{
  KqMember member = { .role = KQ_ROLE_BALANCER,
                      .state = KQ_MEMBER_ALIVE,
                      .phase = KQ_PHASE_SERVING };
  member.peer.data.ip[15] = (uint8_t)number;
  member.peer.data.ip[14] = (uint8_t)(number >> 8);
  member.peer.data.port = 6000;
  return member;
}

static void
test_unknown_balancer_is_new_not_dead (void)
{
  static KqReturnPaths paths;
  KqRandom random;
  KqMember known = balancer (1);
  KqMember unknown = balancer (2);
  kq_random_seed (&random, 1);
  kq_return_paths_update (&paths, &known, 1);
  const KqAddress *chosen = kq_return_paths_choose (&paths, &unknown.peer.data, &random);
  CU_ASSERT (kq_address_equal (chosen, &unknown.peer.data));
}

static void
test_dead_balancer_is_replaced_by_a_live_one (void)
{
  static KqReturnPaths paths;
  KqRandom random;
  KqMember members[3] = { balancer (1), balancer (2), balancer (3) };
  kq_random_seed (&random, 2);
  kq_return_paths_update (&paths, members, 3);
  kq_return_paths_update (&paths, members + 1, 2);
  bool second = false;
  bool third = false;
  for (unsigned i = 0; i < 100; i++)
    {
      const KqAddress *chosen = kq_return_paths_choose (&paths, &members[0].peer.data, &random);
      CU_ASSERT_FALSE (kq_address_equal (chosen, &members[0].peer.data));
      second |= kq_address_equal (chosen, &members[1].peer.data);
      third |= kq_address_equal (chosen, &members[2].peer.data);
    }
  CU_ASSERT (second && third);
}

static void
test_suspect_balancer_is_avoided_and_taken_back (void)
{
  static KqReturnPaths paths;
  KqRandom random;
  KqMember members[2] = { balancer (1), balancer (2) };
  kq_random_seed (&random, 3);
  members[0].state = KQ_MEMBER_SUSPECT;
  kq_return_paths_update (&paths, members, 2);
  const KqAddress *chosen = kq_return_paths_choose (&paths, &members[0].peer.data, &random);
  CU_ASSERT (kq_address_equal (chosen, &members[1].peer.data));
  members[0].state = KQ_MEMBER_ALIVE;
  kq_return_paths_update (&paths, members, 2);
  chosen = kq_return_paths_choose (&paths, &members[0].peer.data, &random);
  CU_ASSERT (kq_address_equal (chosen, &members[0].peer.data));
}

static void
test_starting_balancer_is_avoided (void)
{
  static KqReturnPaths paths;
  KqRandom random;
  KqMember members[2] = { balancer (1), balancer (2) };
  kq_random_seed (&random, 5);
  members[0].phase = KQ_PHASE_STARTING;
  kq_return_paths_update (&paths, members, 2);
  const KqAddress *chosen = kq_return_paths_choose (&paths, &members[0].peer.data, &random);
  CU_ASSERT (kq_address_equal (chosen, &members[1].peer.data));
}

static void
test_without_live_balancer_the_request_s_own_is_used (void)
{
  static KqReturnPaths paths;
  KqRandom random;
  KqMember member = balancer (1);
  kq_random_seed (&random, 4);
  kq_return_paths_update (&paths, &member, 1);
  kq_return_paths_update (&paths, &member, 0);
  const KqAddress *chosen = kq_return_paths_choose (&paths, &member.peer.data, &random);
  CU_ASSERT (kq_address_equal (chosen, &member.peer.data));
}

static void
test_table_stays_bounded_under_replacement (void)
{
  static KqReturnPaths paths;
  for (unsigned i = 0; i < 4 * KQ_RETURN_PATHS_MAX; i++)
    {
      KqMember member = balancer (i);
      kq_return_paths_update (&paths, &member, 1);
    }
  CU_ASSERT (paths.count == KQ_RETURN_PATHS_MAX);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "an unknown balancer is taken to be new, not dead", test_unknown_balancer_is_new_not_dead },
    { "a dead balancer is replaced by a live one", test_dead_balancer_is_replaced_by_a_live_one },
    { "a suspect balancer is avoided until it is alive again",
      test_suspect_balancer_is_avoided_and_taken_back },
    { "a starting balancer is avoided", test_starting_balancer_is_avoided },
    { "the balancer of the request is used if none is alive",
      test_without_live_balancer_the_request_s_own_is_used },
    { "the table stays bounded", test_table_stays_bounded_under_replacement },
  };
  return kq_unit_run ("return path", tests, sizeof tests / sizeof tests[0]);
}
