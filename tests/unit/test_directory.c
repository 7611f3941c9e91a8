/* The directory of members: its encoding, the choice of members to contact, and when it is written.
 */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/agent_history.h"
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
      members[i].service = 7;
      members[i].role = i % 2 == 0 ? KQ_ROLE_AGENT : KQ_ROLE_BALANCER;
    }
}

/* Return: (owned by @parent) the directory of the members, with agents from an agent history and
 * balancers from the members. */
static KqDirectoryEntry *
directory_of (const void *parent, const KqMember members[MEMBERS], unsigned *count)
{
  KqAgentHistory *agent_history = kq_agent_history_new (parent, 0);
  kq_agent_history_update (agent_history, members, MEMBERS, 0);
  KqDirectoryEntry *entries = kq_agent_history_directory_entries (parent, agent_history, count);
  return kq_directory_add_balancers (parent, entries, count, members, MEMBERS);
}

/* Return: (owned by @parent) the decoded entries, or NULL if @text is rejected with @error. */
static KqDirectoryEntry *
read_text (const void *parent, const char *text, unsigned *count,
           KqDirectoryInconsistencies *inconsistencies, KqError *error)
{
  return kq_directory_decode (parent, text, strlen (text), count, inconsistencies, error);
}

static void
test_value_round_trip (void)
{
  void *scope = talloc_new (NULL);
  KqMember members[MEMBERS];
  KqDirectoryInconsistencies inconsistencies;
  KqError error = { 0 };
  unsigned count;
  unsigned read_count;
  fill (members);
  KqDirectoryEntry *written = directory_of (scope, members, &count);
  CU_ASSERT_EQUAL (count, MEMBERS);
  written[1].present = false;
  written[1].certain_slots = 0xf0;
  written[0].ended = true;
  written[2].certain_slots = UINT64_MAX;
  written[2].possible_slots = UINT64_MAX;
  char *text = kq_directory_encode (scope, written, count);
  KqDirectoryEntry *read = read_text (scope, text, &read_count, &inconsistencies, &error);
  CU_ASSERT_EQUAL (read_count, MEMBERS);
  CU_ASSERT_EQUAL (
      inconsistencies.unidentified + inconsistencies.unknown_role + inconsistencies.repeated, 0);
  for (unsigned i = 0; i < count; i++)
    {
      unsigned same = 0;
      for (unsigned j = 0; j < read_count; j++)
        same += kq_address_equal (&written[i].control, &read[j].control) &&
                written[i].role == read[j].role && written[i].id == read[j].id &&
                written[i].service == read[j].service && written[i].present == read[j].present &&
                written[i].ended == read[j].ended &&
                written[i].certain_slots == read[j].certain_slots &&
                written[i].possible_slots == read[j].possible_slots;
      CU_ASSERT_EQUAL (same, 1);
    }
  talloc_free (scope);
}

static void
test_different_directories_have_different_hashes (void)
{
  void *scope = talloc_new (NULL);
  KqMember members[MEMBERS];
  unsigned count;
  fill (members);
  KqDirectoryEntry *entries = directory_of (scope, members, &count);
  uint64_t all = kq_directory_hash (entries, count);
  CU_ASSERT_NOT_EQUAL (all, kq_directory_hash (entries, count - 1));
  entries[0].present = false;
  uint64_t gone = kq_directory_hash (entries, count);
  CU_ASSERT_NOT_EQUAL (all, gone);
  entries[0].certain_slots = 0xff;
  CU_ASSERT_EQUAL (gone, kq_directory_hash (entries, count));
  entries[0].certain_slots = entries[0].possible_slots = UINT64_MAX;
  CU_ASSERT_NOT_EQUAL (gone, kq_directory_hash (entries, count));
  entries[0].role = KQ_ROLE_BALANCER;
  CU_ASSERT_NOT_EQUAL (all, kq_directory_hash (entries, count));
  talloc_free (scope);
}

static void
test_malformed_values_are_rejected (void)
{
  static const char *const values[] = { "",
                                        "[",
                                        "[]",
                                        "{\"agents\":[1]}",
                                        "{\"agents\":[\"nowhere\"]}",
                                        "{\"balancers\":[\"10.0.0.1\"]}",
                                        "{\"agents\":[[\"10.0.0.1:1\",\"xyz\",7]]}",
                                        "{\"agents\":[[\"10.0.0.1:1\",\"0\",7]]}",
                                        "{\"agents\":[[\"10.0.0.1:1\",\"a1\"]]}",
                                        "{\"gone\":[[\"10.0.0.1:1\",\"a1\",7,\"f\"]]}",
                                        "{\"agents\":[[\"10.0.0.1:1\",\"a1\",-7]]}" };
  for (unsigned i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      KqError error = { 0 };
      KqDirectoryInconsistencies inconsistencies;
      unsigned count;
      CU_ASSERT_PTR_NULL (read_text (NULL, values[i], &count, &inconsistencies, &error));
      CU_ASSERT (strstr (error.message, KQ_DIRECTORY_KEY) != NULL);
    }
  KqError error = { 0 };
  KqDirectoryInconsistencies inconsistencies;
  unsigned count;
  KqDirectoryEntry *none = read_text (NULL, "{}", &count, &inconsistencies, &error);
  CU_ASSERT_PTR_NOT_NULL (none);
  CU_ASSERT_EQUAL (count, 0);
  talloc_free (none);
}

/* Entries of an older version, entries of an unknown role and repeated addresses are counted, and
 * their agents count as missing until they are seen as members. */
static void
test_inconsistent_entries_are_counted (void)
{
  void *scope = talloc_new (NULL);
  KqError error = { 0 };
  KqDirectoryInconsistencies inconsistencies;
  unsigned count;
  KqDirectoryEntry *entries =
      read_text (scope,
                 "{\"agents\":[\"10.0.0.1:7720\",\"10.0.0.2:7720\"],\"balancers\":[],"
                 "\"relays\":[\"10.0.0.9:7720\"],\"gone\":[\"10.0.0.2:7720\"]}",
                 &count, &inconsistencies, &error);
  CU_ASSERT_EQUAL (count, 4);
  CU_ASSERT_EQUAL (inconsistencies.unidentified, 3);
  CU_ASSERT_EQUAL (inconsistencies.unknown_role, 1);
  CU_ASSERT_EQUAL (inconsistencies.repeated, 1);
  KqMember members[MEMBERS];
  uint32_t service = 7;
  fill (members);
  KqAgentHistory *agent_history = kq_agent_history_new (scope, 0);
  kq_agent_history_mark_joined (agent_history);
  kq_agent_history_merge_directory (agent_history, entries, count, 0);
  KqAgentCandidates candidates =
      kq_agent_history_candidates (scope, agent_history, &service, 1, 99, KQ_SECOND);
  CU_ASSERT_EQUAL (candidates.missing, 4);
  /* The agent at 10.0.0.1 becomes a member. */
  kq_agent_history_update (agent_history, members, 1, KQ_SECOND);
  candidates = kq_agent_history_candidates (scope, agent_history, &service, 1, 99, KQ_SECOND);
  CU_ASSERT_EQUAL (candidates.missing, 3);
  kq_agent_history_advance (agent_history, 70 * KQ_SECOND);
  candidates = kq_agent_history_candidates (scope, agent_history, &service, 1, 99, 70 * KQ_SECOND);
  CU_ASSERT_EQUAL (candidates.missing, 0);
  CU_ASSERT_TRUE (candidates.known);
  talloc_free (scope);
}

/* A balancer mainly needs to contact agents, so these come first when there is no room for all
 * members. */
static void
test_other_role_first (void)
{
  void *scope = talloc_new (NULL);
  KqMember members[MEMBERS];
  KqAddress chosen[MEMBERS];
  unsigned count;
  fill (members);
  KqDirectoryEntry *entries = directory_of (scope, members, &count);
  for (uint64_t random = 0; random < 10; random++)
    {
      CU_ASSERT_EQUAL (
          kq_directory_select_contacts (entries, count, KQ_ROLE_BALANCER, random, chosen, MEMBERS),
          MEMBERS);
      for (unsigned i = 0; i < MEMBERS; i++)
        CU_ASSERT_EQUAL (chosen[i].ip[15] % 2, i < 3 ? 1 : 0);
      CU_ASSERT_EQUAL (
          kq_directory_select_contacts (entries, count, KQ_ROLE_AGENT, random, chosen, 1), 1);
      CU_ASSERT_EQUAL (chosen[0].ip[15] % 2, 0);
    }
  CU_ASSERT_EQUAL (kq_directory_select_contacts (entries, 0, KQ_ROLE_AGENT, 3, chosen, 1), 0);
  talloc_free (scope);
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

/* Frequent changes cost the store one write in two seconds, and each change is written within about
 * that time. Regression test for issue inc-ef92: with five seconds between writes a joining member
 * read agents that had already gone, became the writer and kept them in the directory. */
static void
test_write_rate_is_limited (void)
{
  KqDirectorySchedule write_schedule;
  KqTime last_write = 0;
  unsigned writes = 0;
  uint64_t wanted = 0;
  kq_directory_schedule_init (&write_schedule);
  for (KqTime now = 0; now < 12 * KQ_SECOND; now += 100 * KQ_MS)
    {
      wanted = now < 6 * KQ_SECOND ? (uint64_t)now + 1 : wanted;
      kq_directory_schedule_update (&write_schedule, wanted, true, now);
      if (now < write_schedule.due)
        continue;
      CU_ASSERT (writes == 0 || now - last_write >= 2 * KQ_SECOND);
      CU_ASSERT (now - last_write <= 2 * KQ_SECOND + 100 * KQ_MS);
      last_write = now;
      writes++;
      kq_directory_schedule_written (&write_schedule, wanted, now);
    }
  CU_ASSERT_EQUAL (write_schedule.written, wanted);
  CU_ASSERT_EQUAL (writes, 4);
}

static void
test_unchanged_directory_is_not_written (void)
{
  KqDirectorySchedule write_schedule;
  kq_directory_schedule_init (&write_schedule);
  kq_directory_schedule_written (&write_schedule, 7, 0);
  kq_directory_schedule_update (&write_schedule, 7, true, KQ_SECOND);
  CU_ASSERT_EQUAL (write_schedule.due, KQ_NEVER);
  kq_directory_schedule_update (&write_schedule, 8, false, KQ_SECOND);
  CU_ASSERT_EQUAL (write_schedule.due, KQ_NEVER);
  kq_directory_schedule_update (&write_schedule, 8, true, KQ_SECOND);
  CU_ASSERT_NOT_EQUAL (write_schedule.due, KQ_NEVER);
  kq_directory_schedule_failed (&write_schedule, 6 * KQ_SECOND);
  CU_ASSERT (write_schedule.due > 6 * KQ_SECOND && write_schedule.due != KQ_NEVER);
  kq_directory_schedule_update (&write_schedule, 7, true, 7 * KQ_SECOND);
  CU_ASSERT_EQUAL (write_schedule.due, KQ_NEVER);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "encoding round trip", test_value_round_trip },
    { "different directories have different hashes",
      test_different_directories_have_different_hashes },
    { "malformed values are rejected", test_malformed_values_are_rejected },
    { "inconsistent entries are counted", test_inconsistent_entries_are_counted },
    { "members of the other role come first", test_other_role_first },
    { "one balancer writes", test_one_balancer_writes },
    { "the write rate is limited", test_write_rate_is_limited },
    { "an unchanged directory is not written", test_unchanged_directory_is_not_written },
  };
  return kq_unit_run ("directory", tests, sizeof tests / sizeof tests[0]);
}
