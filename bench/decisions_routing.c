/* Routing: how evenly the buckets are distributed over their home targets, and how many change
 * their home when one target joins, compared with hashing modulo the number of targets and with a
 * consistent-hashing ring with 100 points per target. */

#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/routing.h"

#define SEEDS       200
#define TARGETS_MAX 401
#define RING_POINTS 100
#define MOVED_LIMIT 1.15

typedef enum
{
  SCHEME_RENDEZVOUS,
  SCHEME_RING,
  SCHEME_MODULO
} Scheme;

static const char *const scheme_names[] = { "weighted rendezvous", "ring, 100 points", "modulo" };

typedef struct
{
  uint64_t point;
  unsigned target;
} RingPoint;

static int
compare_points (const void *a, const void *b)
{
  uint64_t x = ((const RingPoint *)a)->point;
  uint64_t y = ((const RingPoint *)b)->point;
  return x < y ? -1 : x > y;
}

static uint64_t
hash_of (uint64_t a, uint64_t b)
{
  uint64_t words[] = { a, b };
  return XXH3_64bits (words, sizeof words);
}

static void
homes_by_ring (unsigned seed, unsigned count, unsigned homes[KQ_BUCKETS])
{
  RingPoint *ring = malloc ((size_t)count * RING_POINTS * sizeof *ring);
  unsigned points = count * RING_POINTS;
  if (ring == NULL || points == 0)
    abort ();
  for (unsigned i = 0; i < points; i++)
    ring[i] =
        (RingPoint){ hash_of (1000 * seed + i / RING_POINTS, i % RING_POINTS), i / RING_POINTS };
  qsort (ring, points, sizeof *ring, compare_points);
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    {
      uint64_t position = hash_of (seed, 1000000 + bucket);
      unsigned i = 0;
      while (i < points && ring[i].point < position)
        i++;
      homes[bucket] = ring[i % points].target;
    }
  free (ring);
}

static void
homes_by_rendezvous (unsigned seed, unsigned count, unsigned homes[KQ_BUCKETS])
{
  static KqMember members[TARGETS_MAX];
  KqService service = { .number = 1 };
  for (unsigned i = 0; i < count; i++)
    {
      char name[KQ_NAME_BYTES];
      snprintf (name, sizeof name, "target-%u-%u", seed, i);
      members[i].phase = KQ_PHASE_SERVING;
      members[i].weight = 100;
      members[i].peer.id = kq_hash_name (name);
      members[i].peer.data.port = (uint16_t)i;
    }
  KqServiceView view = { .service = &service, .targets = members, .count = count };
  KqRouting *routing = kq_routing_new (NULL, &view);
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    {
      KqPeer candidates[KQ_CANDIDATES_MAX];
      kq_routing_candidates (routing, bucket, candidates);
      homes[bucket] = candidates[0].data.port;
    }
  talloc_free (routing);
}

static void
homes_by (Scheme scheme, unsigned seed, unsigned count, unsigned homes[KQ_BUCKETS])
{
  if (scheme == SCHEME_RENDEZVOUS)
    homes_by_rendezvous (seed, count, homes);
  else if (scheme == SCHEME_RING)
    homes_by_ring (seed, count, homes);
  else
    for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
      homes[bucket] = bucket % count;
}

static double
largest_share (const unsigned homes[KQ_BUCKETS], unsigned count)
{
  unsigned bucket_counts[TARGETS_MAX] = { 0 };
  unsigned max_count = 0;
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    if (++bucket_counts[homes[bucket]] > max_count)
      max_count = bucket_counts[homes[bucket]];
  return (double)max_count * count / KQ_BUCKETS;
}

/* Prints one row. Return: whether the number of moved buckets is within the limit. */
static bool
measure (Scheme scheme, unsigned count)
{
  unsigned before[KQ_BUCKETS];
  unsigned after[KQ_BUCKETS];
  double largest = 0;
  double moved = 0;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      homes_by (scheme, seed, count, before);
      homes_by (scheme, seed, count + 1, after);
      largest += largest_share (before, count) / SEEDS;
      for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
        moved += (before[bucket] != after[bucket]) / (double)SEEDS;
    }
  double min_moved = (double)KQ_BUCKETS / (count + 1);
  printf ("  %-20s %7u %14.2f %10.1f %10.1f %8.2f\n", scheme_names[scheme], count, largest, moved,
          min_moved, moved / min_moved);
  return moved <= MOVED_LIMIT * min_moved;
}

int
main (void)
{
  static const unsigned counts[] = { 3, 4, 7, 14, 40, 100, 400 };
  bool met = true;
  printf ("routing: 256 buckets, means of %d fleets; one target joins (leaving is symmetric)\n\n",
          SEEDS);
  printf ("  %-20s %7s %14s %10s %10s %8s\n", "", "targets", "largest share", "buckets", "least",
          "moved /");
  printf ("  %-20s %7s %14s %10s %10s %8s\n", "", "", "/ even share", "moved", "possible", "least");
  for (unsigned i = 0; i < sizeof counts / sizeof counts[0]; i++)
    for (Scheme scheme = SCHEME_RENDEZVOUS; scheme <= SCHEME_MODULO; scheme++)
      {
        bool within = measure (scheme, counts[i]);
        met = met && (scheme != SCHEME_RENDEZVOUS || within);
      }
  printf ("\n  target: rendezvous moves at most %.2f times the least possible: %s\n", MOVED_LIMIT,
          met ? "met" : "missed");
  return 0;
}
