/* Weighted rendezvous hashing: every target draws a number for every bucket, from a hash of both,
 * and the best draws are the bucket's candidates. A draw is -weight / ln (u) with u uniform in (0,
 * 1), so the chance to be best is proportional to the weight. A target that joins or leaves changes
 * only the buckets that it wins or held, and no draw depends on the order or number of the targets.
 */

#include <math.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/routing.h"

#define HASH_BUCKET_SHIFT 56 /* the top 8 bits of a flow's hash name its bucket */

typedef struct
{
  KqPeer peers[KQ_CANDIDATES_MAX];
  double scores[KQ_CANDIDATES_MAX];
  unsigned count;
} BucketCandidates;

struct KqRouting
{
  BucketCandidates buckets[KQ_BUCKETS];
};

bool
kq_routing_in_service (const KqServiceView *view, const KqMember *target)
{
  bool live = target->state == KQ_MEMBER_ALIVE || target->state == KQ_MEMBER_SUSPECT;
  return live && target->phase == KQ_PHASE_SERVING && kq_service_admits (view->service, target);
}

static bool
last_resort (const KqMember *target)
{
  bool live = target->state == KQ_MEMBER_ALIVE || target->state == KQ_MEMBER_SUSPECT;
  return live && target->phase != KQ_PHASE_STARTING;
}

static double
draw (unsigned bucket, const KqMember *target)
{
  uint64_t hash = XXH3_64bits_withSeed (&target->peer.id, sizeof target->peer.id, bucket + 1);
  double u = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
  double weight = target->weight == 0 ? 1.0 : target->weight;
  return -weight / log (u);
}

static bool
better (const BucketCandidates *bucket, unsigned rank, double score, uint64_t id)
{
  if (score != bucket->scores[rank])
    return score > bucket->scores[rank];
  return id < bucket->peers[rank].id;
}

static void
offer (BucketCandidates *bucket, const KqPeer *peer, double score)
{
  unsigned rank = bucket->count;
  while (rank > 0 && better (bucket, rank - 1, score, peer->id))
    rank--;
  if (rank == KQ_CANDIDATES_MAX)
    return;
  if (bucket->count < KQ_CANDIDATES_MAX)
    bucket->count++;
  for (unsigned i = bucket->count - 1; i > rank; i--)
    {
      bucket->peers[i] = bucket->peers[i - 1];
      bucket->scores[i] = bucket->scores[i - 1];
    }
  bucket->peers[rank] = *peer;
  bucket->scores[rank] = score;
}

static void
offer_everywhere (KqRouting *routing, const KqMember *target)
{
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    offer (&routing->buckets[bucket], &target->peer, draw (bucket, target));
}

KqRouting *
kq_routing_new (const void *parent, const KqServiceView *view)
{
  KqRouting *routing = talloc_zero (parent, KqRouting);
  if (routing == NULL)
    return NULL;
  for (unsigned i = 0; i < view->count; i++)
    if (kq_routing_in_service (view, &view->targets[i]))
      offer_everywhere (routing, &view->targets[i]);
  if (routing->buckets[0].count > 0)
    return routing;
  for (unsigned i = 0; i < view->count; i++)
    if (last_resort (&view->targets[i]))
      offer_everywhere (routing, &view->targets[i]);
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
  const BucketCandidates *candidates = &routing->buckets[bucket % KQ_BUCKETS];
  memcpy (out, candidates->peers, candidates->count * sizeof out[0]);
  return candidates->count;
}
