/* The directory of members: its value, whom a newcomer asks, and when it is written. */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/directory.h"
#include "unit.h"

#define MEMBERS 5

static void
fill (KqMember members[MEMBERS])
{
  memset (members, 0, MEMBERS * sizeof members[0]);
  for (unsigned i = 0; i < MEMBERS; i++)
    {
      char text[KQ_ADDRESS_TEXT_BYTES];
      snprintf (text, sizeof text, "10.0.0.%u:7720", i + 1);
      kq_address_parse (text, &members[i].control, NULL);
      members[i].peer.id = 100 + i;
      members[i].role = i % 2 == 0 ? KQ_ROLE_AGENT : KQ_ROLE_BALANCER;
    }
}

static void
test_value_round_trip (void)
{
  KqMember members[MEMBERS];
  KqDirectoryEntry written[MEMBERS];
  KqDirectoryEntry read[MEMBERS];
  KqError error = { 0 };
  fill (members);
  unsigned count = kq_directory_from_members (members, MEMBERS, written, MEMBERS);
  CU_ASSERT_EQUAL (count, MEMBERS);
  char *text = kq_directory_encode (NULL, written, count);
  CU_ASSERT_EQUAL (kq_directory_decode (text, strlen (text), read, MEMBERS, &error), MEMBERS);
  CU_ASSERT_EQUAL (kq_directory_hash (written, count), kq_directory_hash (read, MEMBERS));
  CU_ASSERT_EQUAL (kq_directory_decode (text, strlen (text), read, 2, &error), 2);
  talloc_free (text);
}

static void
test_hash_tells_directories_apart (void)
{
  KqMember members[MEMBERS];
  KqDirectoryEntry entries[MEMBERS];
  fill (members);
  unsigned count = kq_directory_from_members (members, MEMBERS, entries, MEMBERS);
  uint64_t all = kq_directory_hash (entries, count);
  CU_ASSERT_NOT_EQUAL (all, kq_directory_hash (entries, count - 1));
  entries[0].role = KQ_ROLE_BALANCER;
  CU_ASSERT_NOT_EQUAL (all, kq_directory_hash (entries, count));
}

static void
test_foreign_values_are_refused (void)
{
  static const char *const values[] = { "", "[", "{\"agents\":[1]}", "{\"agents\":[\"nowhere\"]}",
                                        "{\"balancers\":[\"10.0.0.1\"]}" };
  KqDirectoryEntry entries[MEMBERS];
  for (unsigned i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      KqError error = { 0 };
      CU_ASSERT_EQUAL (
          kq_directory_decode (values[i], strlen (values[i]), entries, MEMBERS, &error), -1);
      CU_ASSERT (strstr (error.message, KQ_DIRECTORY_KEY) != NULL);
    }
  KqError error = { 0 };
  CU_ASSERT_EQUAL (kq_directory_decode ("{}", 2, entries, MEMBERS, &error), 0);
}

/* A balancer needs agents most, and asks some even when there is no room for all. */
static void
test_other_role_first (void)
{
  KqMember members[MEMBERS];
  KqDirectoryEntry entries[MEMBERS];
  KqAddress chosen[MEMBERS];
  fill (members);
  unsigned count = kq_directory_from_members (members, MEMBERS, entries, MEMBERS);
  for (uint64_t random = 0; random < 10; random++)
    {
      CU_ASSERT_EQUAL (
          kq_directory_choose (entries, count, KQ_ROLE_BALANCER, random, chosen, MEMBERS), MEMBERS);
      for (unsigned i = 0; i < MEMBERS; i++)
        CU_ASSERT_EQUAL (chosen[i].ip[15] % 2, i < 3 ? 1 : 0);
      CU_ASSERT_EQUAL (kq_directory_choose (entries, count, KQ_ROLE_AGENT, random, chosen, 1), 1);
      CU_ASSERT_EQUAL (chosen[0].ip[15] % 2, 0);
    }
  CU_ASSERT_EQUAL (kq_directory_choose (entries, 0, KQ_ROLE_AGENT, 3, chosen, 1), 0);
}

static void
test_one_balancer_writes (void)
{
  KqMember members[MEMBERS];
  fill (members);
  CU_ASSERT_TRUE (kq_directory_is_writer (members, MEMBERS, 101));
  CU_ASSERT_FALSE (kq_directory_is_writer (members, MEMBERS, 103));
  CU_ASSERT_FALSE (kq_directory_is_writer (members, MEMBERS, 100));
  members[1].state = KQ_MEMBER_SUSPECT;
  CU_ASSERT_TRUE (kq_directory_is_writer (members, MEMBERS, 103));
}

/* Many changes within seconds cost the store two writes, and none is lost. */
static void
test_writes_are_few (void)
{
  KqDirectoryPlan plan;
  unsigned writes = 0;
  uint64_t wanted = 0;
  kq_directory_plan_init (&plan);
  for (KqTime now = 0; now < 12 * KQ_SECOND; now += 100 * KQ_MS)
    {
      wanted = now < 6 * KQ_SECOND ? (uint64_t)now + 1 : wanted;
      kq_directory_plan_update (&plan, wanted, true, now);
      if (now < plan.due)
        continue;
      writes++;
      kq_directory_plan_written (&plan, wanted, now);
    }
  CU_ASSERT_EQUAL (plan.written, wanted);
  CU_ASSERT_EQUAL (writes, 2);
}

static void
test_no_write_without_need (void)
{
  KqDirectoryPlan plan;
  kq_directory_plan_init (&plan);
  kq_directory_plan_written (&plan, 7, 0);
  kq_directory_plan_update (&plan, 7, true, KQ_SECOND);
  CU_ASSERT_EQUAL (plan.due, KQ_NEVER);
  kq_directory_plan_update (&plan, 8, false, KQ_SECOND);
  CU_ASSERT_EQUAL (plan.due, KQ_NEVER);
  kq_directory_plan_update (&plan, 8, true, KQ_SECOND);
  CU_ASSERT_NOT_EQUAL (plan.due, KQ_NEVER);
  kq_directory_plan_failed (&plan, 6 * KQ_SECOND);
  CU_ASSERT (plan.due > 6 * KQ_SECOND && plan.due != KQ_NEVER);
  kq_directory_plan_update (&plan, 7, true, 7 * KQ_SECOND);
  CU_ASSERT_EQUAL (plan.due, KQ_NEVER);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "a value is read as it was written", test_value_round_trip },
    { "the hash tells directories apart", test_hash_tells_directories_apart },
    { "values of others are refused", test_foreign_values_are_refused },
    { "members of the other role come first", test_other_role_first },
    { "one balancer writes", test_one_balancer_writes },
    { "writes are few", test_writes_are_few },
    { "nothing is written without need", test_no_write_without_need },
  };
  return kq_unit_run ("directory", tests, sizeof tests / sizeof tests[0]);
}
