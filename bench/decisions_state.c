/* Flow table of a balancer: lookup cost and bytes per flow from 1,000 to 500,000 flows, the longest
 * single store while the table grows, and a flood of flows from one caller. The baseline is the C
 * library's balanced tree protected by one mutex. */

#include <malloc.h>
#include <pthread.h>
#include <search.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "kumquat/flow_table.h"
#include "kumquat/internal/flow_shard.h"
#include "kumquat/internal/flow_sockets.h"
#include "kumquat/internal/placement_message.h"
#include "kumquat/random.h"
#include "measured.h"

#define CAPACITY         600000
#define SHARDS           16
#define LOOKUPS          2000000
#define ROUNDS           5
#define MAX_COST_RATIO   1.5
#define MAX_FLOW_BYTES   128.0
#define MIN_STORES_PER_S 5000.0
#define AGENT_FLOWS      2000

static double
now_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static KqFlowKey
key_of (unsigned number)
{
  KqFlowKey key = { .service = 1, .caller.port = (uint16_t)(number % 50000) };
  memcpy (key.caller.ip + 12, &number, sizeof number);
  return key;
}

static double
lookup_ns (KqFlowTable *table, unsigned flows, uint64_t seed)
{
  KqRandom random;
  unsigned found = 0;
  KqPeer owner;
  unsigned *order = malloc (sizeof *order * 65536);
  kq_random_seed (&random, seed);
  for (unsigned i = 0; i < 65536; i++)
    order[i] = (unsigned)kq_random_below (&random, flows);
  double start = now_ns ();
  for (unsigned i = 0; i < LOOKUPS; i++)
    {
      KqFlowKey key = key_of (order[i % 65536]);
      found += kq_flow_table_lookup (table, &key, 0, &owner);
    }
  double mean_ns = (now_ns () - start) / LOOKUPS;
  free (order);
  if (found != LOOKUPS)
    printf ("  %u lookups found nothing\n", LOOKUPS - found);
  return mean_ns;
}

typedef struct
{
  double lookup;
  double bytes;
  double store;
  double longest_store_us;
} Sample;

static Sample
measure (unsigned flows)
{
  Sample sample = { .lookup = 1e9 };
  KqFlowTable *table = kq_flow_table_new (NULL, CAPACITY, SHARDS, 100 * KQ_SECOND);
  double begin = now_ns ();
  for (unsigned i = 0; i < flows; i++)
    {
      KqFlowKey key = key_of (i);
      KqPeer owner = { .id = 1 + i % 41, .incarnation = 1 };
      double start = now_ns ();
      kq_flow_table_store (table, &key, &owner, 0);
      double us = (now_ns () - start) / 1e3;
      sample.longest_store_us = us > sample.longest_store_us ? us : sample.longest_store_us;
    }
  sample.store = (now_ns () - begin) / flows;
  for (uint64_t round = 1; round <= ROUNDS; round++)
    {
      double ns = lookup_ns (table, flows, round);
      sample.lookup = ns < sample.lookup ? ns : sample.lookup;
    }
  KqFlowTableStats stats = kq_flow_table_stats (table);
  sample.bytes = (double)stats.resident_bytes / (double)stats.entries;
  talloc_free (table);
  return sample;
}

/* Baseline: balanced tree of the C library */

typedef struct
{
  KqFlowKey key;
  KqPeer owner;
} TreeNode;

static int
compare_nodes (const void *a, const void *b)
{
  const KqFlowKey *x = a;
  const KqFlowKey *y = b;
  int order = memcmp (x->caller.ip, y->caller.ip, sizeof x->caller.ip);
  return order != 0 ? order : (int)x->caller.port - (int)y->caller.port;
}

static double
baseline_lookup_ns (unsigned flows)
{
  void *root = NULL;
  pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  KqRandom random;
  TreeNode *nodes = calloc (flows, sizeof *nodes);
  for (unsigned i = 0; i < flows; i++)
    {
      nodes[i].key = key_of (i);
      tsearch (&nodes[i], &root, compare_nodes);
    }
  kq_random_seed (&random, 1);
  unsigned *order = malloc (sizeof *order * 65536);
  for (unsigned i = 0; i < 65536; i++)
    order[i] = (unsigned)kq_random_below (&random, flows);
  double start = now_ns ();
  for (unsigned i = 0; i < LOOKUPS / 4; i++)
    {
      KqFlowKey key = key_of (order[i % 65536]);
      pthread_mutex_lock (&lock);
      if (tfind (&key, &root, compare_nodes) == NULL)
        abort ();
      pthread_mutex_unlock (&lock);
    }
  double mean_ns = (now_ns () - start) / (LOOKUPS / 4.0);
  for (unsigned i = 0; i < flows; i++)
    tdelete (&nodes[i], &root, compare_nodes);
  free (order);
  free (nodes);
  return mean_ns;
}

static void
measure_flood (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 100000, SHARDS, 100 * KQ_SECOND);
  KqPeer owner = { .id = 1 };
  unsigned refused = 0;
  unsigned lost = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      KqFlowKey key = key_of (i);
      kq_flow_table_store (table, &key, &owner, 0);
    }
  for (unsigned i = 0; i < 4000000; i++)
    {
      KqFlowKey key = { .service = 1 + i / 65536, .caller.port = (uint16_t)i };
      kq_flow_table_store (table, &key, &owner, 0);
    }
  for (unsigned i = 0; i < 30000; i++)
    {
      KqFlowKey key = key_of (i);
      if (i < 10000)
        lost += !kq_flow_table_lookup (table, &key, 0, &owner);
      else
        refused += kq_flow_table_store (table, &key, &owner, 0) < 0;
    }
  printf (
      "\n  flood of 4000000 flows from one address into a table of 100000: %u of 10000 flows of\n"
      "  others lost, %u of 20000 new flows of others refused: %s\n",
      lost, refused, lost == 0 && refused == 0 ? "met" : "missed");
  talloc_free (table);
}

/* Memory of an open flow in an agent, without the kernel's socket, and bytes per flow of a
 * synchronization page. */
static void
measure_agent (FILE *file)
{
  static const KqFlowSocketsOps ops;
  void *context = talloc_new (NULL);
  KqAddress target = { .port = 1 };
  KqPeer self = { .id = 1, .incarnation = 1 };
  KqFlowSockets *sockets =
      kq_flow_sockets_new (context, tevent_context_init (context), &target, &ops, NULL);
  KqFlowShard *shard = kq_flow_shard_new (context, AGENT_FLOWS, 0);
  size_t before = mallinfo2 ().uordblks;
  for (unsigned i = 0; i < AGENT_FLOWS; i++)
    {
      KqFlowKey key = key_of (i);
      kq_flow_shard_store (shard, &key, kq_flow_key_hash (&key), &self, 0);
      kq_flow_sockets_set_via (sockets, &key, &target);
    }
  double bytes = (double)(mallinfo2 ().uordblks - before) / AGENT_FLOWS;
  KqPlacementMessage message = { .type = KQ_MESSAGE_SYNC_ANSWER,
                                 .flow_count = KQ_MESSAGE_FLOWS_MAX };
  uint8_t page[KQ_MESSAGE_BYTES];
  int size = kq_placement_message_encode (&message, page, sizeof page);
  double share = (double)size / KQ_MESSAGE_FLOWS_MAX;
  printf ("\n  agent: %.0f bytes an open flow, %.0f bytes a flow sent to a new home\n", bytes,
          share);
  measured_write (file, "agent_bytes_per_flow", bytes, "B");
  measured_write (file, "handover_bytes_per_flow", share, "B");
  talloc_free (context);
}

static int
write_measurements (const Sample *last)
{
  FILE *file = measured_open ("flows");
  if (file == NULL)
    return 1;
  measured_write (file, "flow_table_bytes_per_flow", last->bytes, "B");
  measured_write (file, "flow_table_lookup_ns", last->lookup, "ns");
  measure_agent (file);
  fclose (file);
  return 0;
}

int
main (void)
{
  static const unsigned flows[] = { 1000, 10000, 100000, 500000 };
  Sample first = { 0 };
  Sample last = { 0 };
  printf ("flow state: %d shards, one thread; best of %d rounds of %d lookups\n\n", SHARDS, ROUNDS,
          LOOKUPS);
  printf ("  %8s %11s %12s %11s %13s %14s\n", "flows", "lookup ns", "tree, ns", "store ns",
          "longest, us", "bytes a flow");
  for (unsigned i = 0; i < 4; i++)
    {
      last = measure (flows[i]);
      first = i == 0 ? last : first;
      printf ("  %8u %11.1f %12.1f %11.1f %13.1f %14.1f\n", flows[i], last.lookup,
              baseline_lookup_ns (flows[i]), last.store, last.longest_store_us, last.bytes);
    }
  double growth = last.lookup / first.lookup;
  double per_second = 1e9 / last.store;
  printf ("\n  target: lookup cost at 500000 at most %.1f times that at 1000: %.2f, %s\n",
          MAX_COST_RATIO, growth, growth <= MAX_COST_RATIO ? "met" : "missed");
  printf ("  target: at most %.0f bytes a flow at 500000: %.1f, %s\n", MAX_FLOW_BYTES, last.bytes,
          last.bytes <= MAX_FLOW_BYTES ? "met" : "missed");
  printf ("  target: at least %.0f new flows a second: %.0f, %s\n", MIN_STORES_PER_S, per_second,
          per_second >= MIN_STORES_PER_S ? "met" : "missed");
  measure_flood ();
  return write_measurements (&last);
}
