/* Weighted rendezvous hashing: each pair of bucket and target has a score computed from a hash of
 * both, and the targets with the highest scores are the candidates of the bucket. The score is
 * -weight / ln (u) with u uniform in (0, 1), so the probability of the highest score is
 * proportional to the weight. A target that joins or leaves changes only the buckets in which it is
 * a candidate, and no score depends on the order or number of the targets. */

#include <math.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/routing.h"

#define HASH_BUCKET_SHIFT 56 /* the top 8 bits of a flow's hash are its bucket */

/**
 * struct BucketCandidates - highest scores of one bucket while a table is computed
 * @targets: (array): indexes into the targets of the view, highest score first
 * @scores: (array): their scores
 * @count: length of both
 */
typedef struct
{
  uint16_t targets[KQ_CANDIDATES_MAX];
  double scores[KQ_CANDIDATES_MAX];
  unsigned count;
} BucketCandidates;

/**
 * struct KqRouting - the computed table; two bytes a candidate, so that thousands of services fit
 * @peers: (array): the targets
 * @per_bucket: number of candidates, the same for every bucket
 * @candidates: (array): indexes into @peers
 */
struct KqRouting
{
  KqPeer *peers;
  unsigned per_bucket;
  uint16_t candidates[KQ_BUCKETS][KQ_CANDIDATES_MAX];
};

bool
kq_routing_in_service (const KqServiceView *view, const KqMember *target)
{
  bool live = target->state == KQ_MEMBER_ALIVE || target->state == KQ_MEMBER_SUSPECT;
  return live && target->phase == KQ_PHASE_SERVING && kq_service_admits (view->service, target);
}

static bool
is_last_resort (const KqMember *target)
{
  bool live = target->state == KQ_MEMBER_ALIVE || target->state == KQ_MEMBER_SUSPECT;
  return live && target->phase != KQ_PHASE_STARTING;
}

static double
compute_score (unsigned bucket, const KqMember *target)
{
  uint64_t hash = XXH3_64bits_withSeed (&target->peer.id, sizeof target->peer.id, bucket + 1);
  double u = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
  double weight = target->weight == 0 ? 1.0 : target->weight;
  return -weight / log (u);
}

static bool
ranks_before (const KqServiceView *view, const BucketCandidates *bucket, unsigned rank,
              double score, uint64_t id)
{
  if (score != bucket->scores[rank])
    return score > bucket->scores[rank];
  return id < view->targets[bucket->targets[rank]].peer.id;
}

static void
insert_candidate (const KqServiceView *view, BucketCandidates *bucket, uint16_t target,
                  double score)
{
  unsigned rank = bucket->count;
  while (rank > 0 && ranks_before (view, bucket, rank - 1, score, view->targets[target].peer.id))
    rank--;
  if (rank == KQ_CANDIDATES_MAX)
    return;
  if (bucket->count < KQ_CANDIDATES_MAX)
    bucket->count++;
  for (unsigned i = bucket->count - 1; i > rank; i--)
    {
      bucket->targets[i] = bucket->targets[i - 1];
      bucket->scores[i] = bucket->scores[i - 1];
    }
  bucket->targets[rank] = target;
  bucket->scores[rank] = score;
}

static unsigned
usable_targets (const KqServiceView *view, bool fallback, uint16_t *usable)
{
  unsigned count = 0;
  for (unsigned i = 0; i < view->count && i < UINT16_MAX; i++)
    {
      const KqMember *target = &view->targets[i];
      if (fallback ? is_last_resort (target) : kq_routing_in_service (view, target))
        usable[count++] = (uint16_t)i;
    }
  return count;
}

static void
fill_bucket (KqRouting *routing, const KqServiceView *view, const uint16_t *usable, unsigned count,
             unsigned bucket)
{
  BucketCandidates best = { .count = 0 };
  for (unsigned i = 0; i < count; i++)
    insert_candidate (view, &best, usable[i], compute_score (bucket, &view->targets[usable[i]]));
  memcpy (routing->candidates[bucket], best.targets, sizeof best.targets);
  routing->per_bucket = best.count;
}

KqRouting *
kq_routing_new (const void *parent, const KqServiceView *view)
{
  KqRouting *routing = talloc_zero (parent, KqRouting);
  if (routing == NULL)
    return NULL;
  uint16_t *usable = talloc_array (routing, uint16_t, view->count + 1);
  routing->peers = talloc_array (routing, KqPeer, view->count + 1);
  if (usable == NULL || routing->peers == NULL)
    {
      talloc_free (routing);
      return NULL;
    }
  unsigned count = usable_targets (view, false, usable);
  if (count == 0)
    count = usable_targets (view, true, usable);
  for (unsigned i = 0; i < view->count; i++)
    routing->peers[i] = view->targets[i].peer;
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    fill_bucket (routing, view, usable, count, bucket);
  talloc_free (usable);
  return routing;
}

unsigned
kq_routing_bucket (uint64_t hash)
{
  return (unsigned)(hash >> HASH_BUCKET_SHIFT);
}

unsigned
kq_routing_candidates (const KqRouting *routing, unsigned bucket, KqPeer out[KQ_CANDIDATES_MAX])
{
  const uint16_t *candidates = routing->candidates[bucket % KQ_BUCKETS];
  for (unsigned i = 0; i < routing->per_bucket; i++)
    out[i] = routing->peers[candidates[i]];
  return routing->per_bucket;
}
