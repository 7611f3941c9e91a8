/* Membership, dissemination of documents and control bandwidth: library nodes in one thread over a
 * simulated network with seeded faults, compared with the required results and with baselines.
 * Writes build/measured/membership.txt. */

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "group_network.h"
#include "kumquat/internal/control_message.h"
#include "measured.h"

#define SEEDS          3
#define LOSS           0.05
#define REGION         6500 /* 600 balancers and 5,900 agents of one region of the target */
#define BUDGET_BYTES   21000
#define DETECT_S       5.0
#define IN_FORCE_S     9.0
#define HEARTBEAT_S    1
#define PARTITION_S    120
#define REFRESH_S      5
#define OVERHEAD_BYTES 44
#define SERVICE        3
#define STEP           (50 * KQ_MS)

static FILE *measured;
static unsigned missed_targets;

static void
write_measured (const char *name, double value, const char *unit)
{
  measured_write (measured, name, value, unit);
}

static void
print_row (const char *name, double value, const char *unit, double target)
{
  const char *verdict = value <= target ? "met" : "MISSED";
  missed_targets += value > target;
  printf ("  %-58s %10.2f %-8s target %8.2f  %s\n", name, value, unit, target, verdict);
}

static void
print_info (const char *name, double value, const char *unit)
{
  printf ("  %-58s %10.2f %-8s\n", name, value, unit);
}

static double
cpu_seconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static double
seconds_since (const GroupNetwork *network, KqTime start)
{
  return (double)(group_network_now (network) - start) / (double)KQ_SECOND;
}

static double
bytes_of (const KqGroupStats *stats)
{
  return (double)(stats->bytes_sent + stats->bulk_bytes_sent);
}

/* Return: seconds until half of the members consider @victim dead. */
static double
measure_detection (GroupNetwork *network, unsigned victim)
{
  KqTime start = group_network_now (network);
  group_network_stop (network, victim);
  unsigned half = group_network_running (network) / 2;
  while (group_network_count (network, victim, KQ_MEMBER_DEAD) < half &&
         seconds_since (network, start) < 30)
    group_network_run (network, STEP);
  return seconds_since (network, start);
}

static int
publish (GroupNetwork *network, uint64_t revision)
{
  static const uint8_t text[600] = "{}";
  KqDocument document = { .service = SERVICE, .revision = { 1, revision }, .bytes = text };
  document.size = sizeof text;
  return kq_group_publish (group_network_node (network, 0), &document, group_network_now (network),
                           NULL);
}

/* Return: seconds until another balancer reports that the document is in force on all members. */
static double
measure_dissemination (GroupNetwork *network, uint64_t revision)
{
  KqDocumentStatus status = { 0 };
  KqTime start = group_network_now (network);
  bool done = false;
  publish (network, revision);
  while (!done && seconds_since (network, start) < 60)
    {
      group_network_run (network, STEP);
      done = kq_group_in_force (group_network_node (network, 1), SERVICE, &status) == 0 &&
             status.revision.revision == revision &&
             status.balancers == status.balancers_in_force &&
             status.agents == status.agents_in_force && status.balancers > 0;
    }
  return seconds_since (network, start);
}

typedef struct
{
  double idle_bytes_per_s;
  double datagrams_per_s;
  double cpu_ns_per_datagram;
  double detect_s;
  double in_force_s;
} RegionResult;

static RegionResult
run_region (unsigned nodes, uint64_t seed, unsigned idle_s, unsigned victims)
{
  RegionResult result = { 0 };
  GroupNetworkParams params = group_network_defaults (nodes, seed);
  params.loss = LOSS;
  GroupNetwork *network = group_network_new (NULL, &params);
  group_network_run (network, KQ_SECOND);
  KqGroupStats before = group_network_sum (network);
  double cpu = cpu_seconds ();
  group_network_run (network, idle_s * KQ_SECOND);
  cpu = cpu_seconds () - cpu;
  KqGroupStats after = group_network_sum (network);
  double datagrams = (double)(after.datagrams_sent - before.datagrams_sent);
  result.idle_bytes_per_s = (bytes_of (&after) - bytes_of (&before)) / nodes / idle_s;
  result.datagrams_per_s = datagrams / nodes / idle_s;
  result.cpu_ns_per_datagram = cpu * 1e9 / datagrams;
  result.in_force_s = measure_dissemination (network, 10);
  group_network_run (network, 2 * KQ_SECOND);
  for (unsigned i = 0; i < victims; i++)
    {
      double seconds = measure_detection (network, nodes / 2 + i);
      result.detect_s = seconds > result.detect_s ? seconds : result.detect_s;
    }
  talloc_free (network);
  return result;
}

static void
report_sizes (void)
{
  static const unsigned sizes[] = { 30, 300, 1500, REGION };
  printf ("\nmembership and configuration by size, 5%% loss; worst of the seeds\n");
  for (unsigned i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      RegionResult worst = { 0 };
      bool is_region = sizes[i] == REGION;
      unsigned seeds = sizes[i] > 1000 ? 1 : SEEDS;
      for (uint64_t seed = 1; seed <= seeds; seed++)
        {
          RegionResult one = run_region (sizes[i], seed, is_region ? 4 : 10, is_region ? 2 : 4);
          worst = one.idle_bytes_per_s > worst.idle_bytes_per_s
                      ? (RegionResult){ .idle_bytes_per_s = one.idle_bytes_per_s,
                                        .datagrams_per_s = one.datagrams_per_s,
                                        .cpu_ns_per_datagram = one.cpu_ns_per_datagram,
                                        .detect_s = worst.detect_s,
                                        .in_force_s = worst.in_force_s }
                      : worst;
          worst.detect_s = one.detect_s > worst.detect_s ? one.detect_s : worst.detect_s;
          worst.in_force_s = one.in_force_s > worst.in_force_s ? one.in_force_s : worst.in_force_s;
        }
      printf (" %u members, %u seed(s)\n", sizes[i], seeds);
      print_row ("failure detected by half of the members", worst.detect_s, "s", DETECT_S);
      print_row ("document in force on all members, confirmed by a balancer", worst.in_force_s, "s",
                 IN_FORCE_S);
      print_row ("bytes per second and node, idle", worst.idle_bytes_per_s, "B/s", BUDGET_BYTES);
      char name[64];
      snprintf (name, sizeof name, "membership_idle_bytes_per_s_%u", sizes[i]);
      write_measured (name, worst.idle_bytes_per_s, "B/s");
      if (!is_region)
        continue;
      write_measured ("membership_detect_half_s", worst.detect_s, "s");
      write_measured ("membership_datagrams_per_s", worst.datagrams_per_s, "1/s");
      write_measured ("membership_cpu_ns_per_datagram", worst.cpu_ns_per_datagram, "ns");
      write_measured ("config_in_force_s", worst.in_force_s, "s");
    }
}

static KqGroupStats
run_freezes (GroupNetworkParams params, unsigned rounds)
{
  params.loss = LOSS;
  GroupNetwork *network = group_network_new (NULL, &params);
  for (unsigned i = 0; i < rounds; i++)
    {
      for (unsigned j = 0; j < 3; j++)
        group_network_freeze (network, (i * 37 + j * 11 + 3) % params.nodes, 2 * KQ_SECOND);
      group_network_run (network, 3 * KQ_SECOND);
    }
  KqGroupStats stats = group_network_sum (network);
  talloc_free (network);
  return stats;
}

/* Return: false deaths within @seconds if all members send heartbeats to each other and declare a
 * member dead after 3 consecutive losses. */
static double
heartbeat_false_deaths (unsigned nodes, unsigned seconds, uint64_t seed)
{
  KqRandom random;
  unsigned deaths = 0;
  kq_random_seed (&random, seed);
  for (unsigned pair = 0; pair < nodes * (nodes - 1); pair++)
    {
      unsigned missing = 0;
      for (unsigned second = 0; second < seconds; second += HEARTBEAT_S)
        {
          missing = kq_random_double (&random) < LOSS ? missing + 1 : 0;
          deaths += missing == 3;
        }
    }
  return deaths;
}

static void
report_false_deaths (void)
{
  double deaths = 0;
  double without_suspicion = 0;
  double without_refutation = 0;
  double heartbeats = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      GroupNetworkParams params = group_network_defaults (200, seed);
      KqGroupStats stats = run_freezes (params, 20);
      deaths += (double)(stats.deaths_declared + stats.domains_lost);
      params.no_suspicion = true;
      without_suspicion += (double)run_freezes (params, 5).deaths_declared;
      params.no_suspicion = false;
      params.no_refutation = true;
      without_refutation += (double)run_freezes (params, 8).deaths_declared;
      heartbeats += heartbeat_false_deaths (200, 60, seed);
    }
  printf ("\nfalse deaths: 200 members, 60 s, 5%% loss, 60 freezes of 2 s; sum of %d seeds\n",
          SEEDS);
  print_row ("probes with suspicion and refutation", deaths, "deaths", 0);
  print_info ("baseline: gossip without suspicion (15 s, 15 freezes)", without_suspicion, "deaths");
  print_info ("baseline: without refutation (24 s, 24 freezes)", without_refutation, "deaths");
  print_info ("baseline: all-to-all heartbeats, dead after 3 missed (loss only)", heartbeats,
              "deaths");
}

static double
item_bytes (void)
{
  uint8_t bytes[KQ_CONTROL_DATAGRAM_BYTES];
  KqWriter writer;
  KqItem item = { .kind = KQ_ITEM_MEMBER };
  snprintf (item.claim.member.name, KQ_NAME_BYTES, "instance-00001");
  snprintf (item.claim.member.failure_domain, KQ_NAME_BYTES, "region-1-domain-01");
  item.claim.member.peer.incarnation = UINT64_C (1700000000000000);
  kq_writer_init (&writer, bytes, sizeof bytes);
  kq_control_write_item (&writer, &item);
  return (double)writer.size;
}

static void
report_baseline_bytes (void)
{
  double item = item_bytes ();
  printf ("\nbytes a second a node at %u members, calculated from the encoded sizes\n", REGION);
  print_info ("baseline: heartbeat of all to all, every second",
              (REGION - 1) * (OVERHEAD_BYTES + 24.0) / HEARTBEAT_S, "B/s");
  print_info ("baseline: refresh of every member's state, every 5 s", REGION * item / REFRESH_S,
              "B/s");
  write_measured ("membership_item_bytes", item, "B");
}

static double
mean_live (const GroupNetwork *network, unsigned nodes)
{
  double sum = 0;
  for (unsigned i = 0; i < nodes; i++)
    {
      KqGroup *group = group_network_node (network, i);
      sum += group == NULL ? 0 : kq_group_live (group);
    }
  return sum / group_network_running (network);
}

static double
wait_for_live (GroupNetwork *network, unsigned nodes, double expected, KqTime start)
{
  while (seconds_since (network, start) < 120)
    {
      double live = mean_live (network, nodes);
      if (live > expected - 0.001 && live < expected + 0.001)
        break;
      group_network_run (network, 4 * STEP);
    }
  return seconds_since (network, start);
}

static void
update_max (double *worst, double value)
{
  if (value > *worst)
    *worst = value;
}

static void
report_domain_loss (unsigned nodes, uint64_t seed, double *worst_lost_s, double *worst_restart_s)
{
  GroupNetworkParams params = group_network_defaults (nodes, seed);
  params.loss = LOSS;
  GroupNetwork *network = group_network_new (NULL, &params);
  group_network_run (network, KQ_SECOND);
  KqGroupStats before = group_network_sum (network);
  KqTime start = group_network_now (network);
  for (unsigned i = 0; i < nodes; i++)
    if (group_network_domain (network, i) == 1)
      group_network_stop (network, i);
  unsigned survivor_count = group_network_running (network);
  double lost_s = wait_for_live (network, nodes, survivor_count, start);
  KqGroupStats after = group_network_sum (network);
  double bytes = (bytes_of (&after) - bytes_of (&before)) / survivor_count / lost_s;
  printf (" %u members, a third of them lost at once, seed %llu\n", nodes,
          (unsigned long long)seed);
  print_row ("loss detected by all survivors", lost_s, "s", 2 * DETECT_S);
  print_row ("deaths declared individually",
             (double)(after.deaths_declared - before.deaths_declared), "deaths",
             nodes / 3.0 / 100 + 5);
  print_row ("bytes a second a node meanwhile", bytes, "B/s", BUDGET_BYTES);
  before = group_network_sum (network);
  start = group_network_now (network);
  for (unsigned i = 0; i < nodes; i++)
    if (group_network_domain (network, i) == 1)
      group_network_start (network, i);
  double restart_s = wait_for_live (network, nodes, nodes, start);
  after = group_network_sum (network);
  bytes = (bytes_of (&after) - bytes_of (&before)) / nodes / restart_s;
  print_info ("all members known again after the restart", restart_s, "s");
  print_row ("bytes a second a node meanwhile", bytes, "B/s", BUDGET_BYTES);
  update_max (worst_lost_s, lost_s);
  update_max (worst_restart_s, restart_s);
  talloc_free (network);
}

static void
report_partition (unsigned nodes, uint64_t seed, double *worst_healed_s)
{
  GroupNetworkParams params = group_network_defaults (nodes, seed);
  params.loss = LOSS;
  GroupNetwork *network = group_network_new (NULL, &params);
  group_network_run (network, KQ_SECOND);
  for (unsigned i = 0; i < nodes; i++)
    group_network_set_partition (network, i, i / 3 % 2);
  group_network_run (network, PARTITION_S * KQ_SECOND);
  KqTime start = group_network_now (network);
  for (unsigned i = 0; i < nodes; i++)
    group_network_set_partition (network, i, 0);
  double healed_s = wait_for_live (network, nodes, nodes, start);
  printf (" %u members partitioned into two halves for 2 minutes, seed %llu\n", nodes,
          (unsigned long long)seed);
  print_info ("all members known again after the partition healed", healed_s, "s");
  print_row ("incarnations replaced", (double)group_network_sum (network).new_incarnations, "count",
             0);
  update_max (worst_healed_s, healed_s);
  talloc_free (network);
}

static void
report_changes (unsigned nodes)
{
  const unsigned changes = 40;
  GroupNetworkParams params = group_network_defaults (nodes, 1);
  GroupNetwork *network = group_network_new (NULL, &params);
  group_network_run (network, KQ_SECOND);
  KqGroupStats start = group_network_sum (network);
  group_network_run (network, 10 * KQ_SECOND);
  KqGroupStats before = group_network_sum (network);
  for (unsigned i = 0; i < changes; i++)
    {
      kq_group_set_phase (group_network_node (network, 7 * i + 1), KQ_PHASE_DRAINING,
                          group_network_now (network));
      group_network_run (network, 10 * KQ_SECOND / changes);
    }
  KqGroupStats after = group_network_sum (network);
  double idle = bytes_of (&before) - bytes_of (&start);
  double bytes = (bytes_of (&after) - bytes_of (&before) - idle) / nodes / changes;
  before = after;
  for (unsigned i = 0; i < changes; i++)
    {
      publish (network, 10 + i);
      group_network_run (network, 10 * KQ_SECOND / changes);
    }
  after = group_network_sum (network);
  double document = (bytes_of (&after) - bytes_of (&before) - idle) / nodes / changes;
  printf ("\nbytes a node for one change, %u members, 4 changes a second\n", nodes);
  print_info ("phase of a member", bytes, "B");
  print_info ("document of 600 bytes, acknowledgements included", document, "B");
  write_measured ("membership_change_bytes", bytes, "B");
  write_measured ("config_change_bytes", document, "B");
  talloc_free (network);
}

static void
report_memory (void)
{
  const unsigned documents = 2000;
  static const uint8_t text[600] = "{}";
  GroupNetworkParams params = group_network_defaults (REGION, 1);
  size_t empty = mallinfo2 ().uordblks;
  params.nodes = 1;
  GroupNetwork *network = group_network_new (NULL, &params);
  KqGroup *group = group_network_node (network, 0);
  size_t one = mallinfo2 ().uordblks;
  for (unsigned i = 0; i < REGION; i++)
    {
      KqMember member = kq_group_self (group);
      snprintf (member.name, sizeof member.name, "instance-%05u", i + 1);
      kq_group_preload (group, &member, KQ_SECOND);
    }
  size_t members = mallinfo2 ().uordblks;
  for (unsigned i = 0; i < documents; i++)
    {
      KqDocument document = { .service = i + 1, .revision = { 1, 1 }, .bytes = text };
      document.size = sizeof text;
      kq_group_publish (group, &document, KQ_SECOND, NULL);
    }
  size_t filled = mallinfo2 ().uordblks;
  printf ("\nmemory of one node's tables\n");
  print_info ("an empty group", (double)(one - empty), "B");
  print_info ("each member", (double)(members - one) / REGION, "B");
  print_info ("each document of 600 bytes", (double)(filled - members) / documents, "B");
  write_measured ("membership_group_bytes", (double)(one - empty), "B");
  write_measured ("membership_member_bytes", (double)(members - one) / REGION, "B");
  write_measured ("config_document_bytes", (double)(filled - members) / documents, "B");
  talloc_free (network);
}

static void
report_faults (void)
{
  double lost[2] = { 0 };
  double restart[2] = { 0 };
  double healed = 0;
  printf ("\nfailure domains and partitions, 5%% loss\n");
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      report_domain_loss (150, seed, &lost[0], &restart[0]);
      report_partition (150, seed, &healed);
    }
  report_domain_loss (600, 1, &lost[1], &restart[1]);
  write_measured ("domain_lost_s_150", lost[0], "s");
  write_measured ("domain_restart_s_150", restart[0], "s");
  write_measured ("domain_lost_s_600", lost[1], "s");
  write_measured ("domain_restart_s_600", restart[1], "s");
  write_measured ("partition_healed_s_150", healed, "s");
}

int
main (void)
{
  measured = measured_open ("membership");
  if (measured == NULL)
    return 1;
  report_memory ();
  report_sizes ();
  report_false_deaths ();
  report_baseline_bytes ();
  report_changes (600);
  report_faults ();
  printf ("\n%u target(s) missed\n", missed_targets);
  fclose (measured);
  return 0;
}
