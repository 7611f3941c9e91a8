#include <CUnit/Basic.h>
#include <talloc.h>

#include "kumquat/flow_table.h"
#include "kumquat/internal/caller_count.h"
#include "kumquat/internal/flow_shard.h"
#include "kumquat/random.h"
#include "unit.h"

#define IDLE        (10 * KQ_SECOND)
#define MODEL_FLOWS 500
#define MODEL_STEPS 200000

static KqFlowKey
key_of (unsigned caller, unsigned port)
{
  KqFlowKey key = { .service = 1, .caller.port = (uint16_t)port };
  key.caller.ip[14] = (uint8_t)(caller >> 8);
  key.caller.ip[15] = (uint8_t)caller;
  return key;
}

static KqPeer
peer_of (unsigned number)
{
  return (KqPeer){ .id = number + 1, .incarnation = 1 + number % 3 };
}

/* Compares the results of random operations with an array as the reference model. */
static void
test_shard_behaves_as_a_map (void)
{
  KqRandom random;
  kq_random_seed (&random, 7);
  KqFlowShard *shard = kq_flow_shard_new (NULL, MODEL_FLOWS, 0);
  int model[MODEL_FLOWS];
  unsigned count = 0;
  for (unsigned i = 0; i < MODEL_FLOWS; i++)
    model[i] = -1;
  for (unsigned step = 0; step < MODEL_STEPS; step++)
    {
      unsigned i = (unsigned)kq_random_below (&random, MODEL_FLOWS);
      unsigned owner = (unsigned)kq_random_below (&random, 20);
      KqFlowKey key = key_of (i, i);
      KqPeer peer = peer_of (owner);
      uint64_t hash = kq_flow_key_hash (&key);
      unsigned phase = step / 20000; /* alternates between growing and shrinking */
      if (kq_random_below (&random, 10) < (phase % 2 == 0 ? 6 : 3))
        {
          CU_ASSERT_FATAL (kq_flow_shard_store (shard, &key, hash, &peer, 0) == 0);
          count += model[i] < 0;
          model[i] = (int)owner;
        }
      else if (kq_random_below (&random, 2) == 0)
        {
          CU_ASSERT_FATAL (kq_flow_shard_remove (shard, &key, hash, NULL) == (model[i] >= 0));
          count -= model[i] >= 0;
          model[i] = -1;
        }
      CU_ASSERT_FATAL (kq_flow_shard_lookup (shard, &key, hash, &peer) == (model[i] >= 0));
      CU_ASSERT_FATAL (model[i] < 0 || peer.id == peer_of ((unsigned)model[i]).id);
      CU_ASSERT_FATAL (kq_flow_shard_count (shard) == count);
    }
  unsigned seen = 0;
  unsigned cursor = 0;
  KqFlowEntry entry;
  while (kq_flow_shard_next (shard, &cursor, 0, &entry))
    seen++;
  CU_ASSERT (seen == count);
  talloc_free (shard);
}

static void
test_full_table_keeps_its_entries (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 1000, 4, IDLE);
  KqPeer owner = peer_of (1);
  unsigned stored = 0;
  for (unsigned i = 0; i < 3000; i++)
    {
      KqFlowKey key = key_of (i, 1);
      stored += kq_flow_table_store (table, &key, &owner, 0) == 0;
    }
  unsigned kept = 0;
  for (unsigned i = 0; i < 900; i++)
    {
      KqFlowKey key = key_of (i, 1);
      kept += kq_flow_table_lookup (table, &key, 0, &owner);
    }
  CU_ASSERT (stored == 1000);
  CU_ASSERT (kept == 900);
  CU_ASSERT (kq_flow_table_stats (table).refused_full == 2000);
  talloc_free (table);
}

static void
test_flood_of_one_caller_leaves_room (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 8000, 4, IDLE);
  KqPeer owner = peer_of (1);
  for (unsigned port = 1; port < 60000; port++)
    {
      KqFlowKey key = key_of (9, port);
      kq_flow_table_store (table, &key, &owner, 0);
    }
  unsigned refused = 0;
  for (unsigned caller = 10; caller < 3010; caller++)
    {
      KqFlowKey key = key_of (caller, 1);
      refused += kq_flow_table_store (table, &key, &owner, 0) < 0;
    }
  CU_ASSERT (refused == 0);
  talloc_free (table);
}

static void
test_idle_flows_expire_and_used_ones_stay (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 20000, 2, IDLE);
  KqPeer owner = peer_of (1);
  for (unsigned i = 0; i < 10000; i++)
    {
      KqFlowKey key = key_of (i, 1);
      CU_ASSERT_FATAL (kq_flow_table_store (table, &key, &owner, 0) == 0);
    }
  for (unsigned i = 0; i < 100; i++)
    {
      KqFlowKey key = key_of (i, 1);
      CU_ASSERT (kq_flow_table_lookup (table, &key, IDLE - KQ_SECOND, &owner));
    }
  for (unsigned turn = 0; turn < 20; turn++)
    kq_flow_table_expire (table, IDLE + KQ_SECOND);
  CU_ASSERT (kq_flow_table_stats (table).entries == 100);
  CU_ASSERT (kq_flow_table_stats (table).expired == 9900);
  talloc_free (table);
}

static void
test_remove_checks_the_owner (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 10, 1, IDLE);
  KqFlowKey key = key_of (1, 1);
  KqPeer owner = peer_of (1);
  KqPeer other_incarnation = owner;
  other_incarnation.incarnation++;
  CU_ASSERT (kq_flow_table_store (table, &key, &owner, 0) == 0);
  kq_flow_table_remove (table, &key, &other_incarnation);
  CU_ASSERT (kq_flow_table_lookup (table, &key, 0, NULL));
  kq_flow_table_remove (table, &key, &owner);
  CU_ASSERT (!kq_flow_table_lookup (table, &key, 0, NULL));
  talloc_free (table);
}

/* Checked at every size while the table fills, so that the moments of growth are included. */
static void
test_at_most_128_bytes_a_flow (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 100000, 4, IDLE);
  for (unsigned i = 0; i < 100000; i++)
    {
      KqFlowKey key = key_of (i / 1000, i % 1000);
      KqPeer owner = peer_of (i % 40);
      if (kq_flow_table_store (table, &key, &owner, 0) < 0)
        continue;
      KqFlowTableStats stats = kq_flow_table_stats (table);
      if (stats.entries >= 10000)
        CU_ASSERT_FATAL (stats.resident_bytes <= 128 * stats.entries);
    }
  talloc_free (table);
}

static void
test_caller_count_never_counts_too_low (void)
{
  KqCallerCount *count = kq_caller_count_new (NULL);
  for (unsigned round = 0; round < 3; round++)
    for (unsigned i = 0; i < 2000; i++)
      {
        KqFlowKey key = key_of (i, 1);
        kq_caller_count_add (count, &key.caller, round == 2 ? -1 : 1);
      }
  for (unsigned i = 0; i < 2000; i++)
    {
      KqFlowKey key = key_of (i, 1);
      CU_ASSERT (kq_caller_count_get (count, &key.caller) >= 1);
    }
  talloc_free (count);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "shard behaves as a map", test_shard_behaves_as_a_map },
    { "full table keeps its entries", test_full_table_keeps_its_entries },
    { "flood of one caller leaves room", test_flood_of_one_caller_leaves_room },
    { "idle flows expire and used ones stay", test_idle_flows_expire_and_used_ones_stay },
    { "remove checks the owner", test_remove_checks_the_owner },
    { "at most 128 bytes a flow", test_at_most_128_bytes_a_flow },
    { "caller count never counts too low", test_caller_count_never_counts_too_low },
  };
  return kq_unit_run ("flow table", tests, sizeof tests / sizeof tests[0]);
}
