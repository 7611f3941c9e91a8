/* Maps flow hashes to buckets, and buckets to an ordered list of candidates. */
#pragma once

#include "kumquat/packet.h"
#include "kumquat/view.h"

#define KQ_BUCKETS 256 /* buckets of a service; fixed, so that a change of targets moves few */

typedef struct KqRouting KqRouting;

/**
 * kq_routing_new - computes the candidates of every bucket by weighted rendezvous hashing
 * @parent: talloc parent of the result
 * @view: (borrowed): the service and its targets; those that are starting, draining or denied are
 *   in no bucket, but if no target is in service, draining and denied ones are used as a last
 * resort
 *
 * The result depends only on the ids, weights, phases and denials in @view, not on their order.
 *
 * Return: (owned by @parent) an immutable table that threads may share, or NULL without memory.
 */
KqRouting *kq_routing_new (const void *parent, const KqServiceView *view);

/** kq_routing_in_service - Return: whether @target of @view takes new flows */
bool kq_routing_in_service (const KqServiceView *view, const KqMember *target);

/** kq_routing_bucket - Return: the bucket of a flow hash, 0 to KQ_BUCKETS - 1 */
unsigned kq_routing_bucket (uint64_t hash);

/**
 * kq_routing_candidates - lists a bucket's candidates, highest score first
 * @out: (out): up to KQ_CANDIDATES_MAX agents; the first is the home of the bucket
 *
 * Return: the number of candidates; 0 if the service has no usable target.
 */
unsigned kq_routing_candidates (const KqRouting *routing, unsigned bucket,
                                KqPeer out[KQ_CANDIDATES_MAX]);
