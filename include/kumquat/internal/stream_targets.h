/* The agents that a balancer knows, with the load of their targets, and the choice among them for a
 * new stream. */
#pragma once

#include "kumquat/internal/evacuation.h"
#include "kumquat/internal/stream_features.h"
#include "kumquat/internal/stream_frame.h"
#include "kumquat/internal/target_choice.h"
#include "kumquat/view.h"

/* Candidates that are looked at for one stream. */
#define KQ_TARGET_CANDIDATES_MAX 12

typedef struct KqStreamTargets KqStreamTargets;

/**
 * struct KqTargetLimit - how new streams avoid a limited target, see stream_target_limit.h
 * @credit: part of a stream that its share of new streams has added up to
 * @interval_us: interval of offers that find out whether it recovers; 0 while it is not limited
 * @probe_at: time of the next such offer
 * @ignored: the offer that it was chosen for ignores its limit
 */
typedef struct
{
  unsigned credit;
  KqTime interval_us;
  KqTime probe_at;
  bool ignored;
} KqTargetLimit;

/**
 * struct KqStreamTarget - one agent and its target
 * @peer: the agent, with its current incarnation
 * @service: number of the service
 * @same_domain: it is in this balancer's failure domain
 * @failure_domain: its failure domain
 * @evacuated: its failure domain is evacuated
 * @serving: it reports that its target accepts new streams
 * @load: load of the target as of its last answer
 * @load_at: when that answer arrived; 0 for never
 * @offered: new streams offered to it since then
 * @offers: the same with their expected ends, for features.load_estimation
 * @use: smoothed load per slot, over its reports; 0 without one
 * @failures: offers in a row that failed, without an answer or without a working target
 * @backoff_until: end of its backoff; before, it is chosen only if no other agent is left
 * @limit: how new streams avoid it while its agent limits them
 * @queue_expected: the last choice of the target expected a queue at all candidates
 * @doubted_until: before, the waits that it reports are not believed; see service_pressure.h
 */
typedef struct
{
  KqPeer peer;
  uint32_t service;
  char failure_domain[KQ_NAME_BYTES];
  bool same_domain;
  bool evacuated;
  bool serving;
  KqTargetLoad load;
  KqTime load_at;
  unsigned offered;
  KqOfferCount offers;
  double use;
  unsigned failures;
  KqTime backoff_until;
  KqTargetLimit limit;
  bool queue_expected;
  KqTime doubted_until;
} KqStreamTarget;

/** kq_stream_targets_new - Return: (owned by @parent) an empty table for a balancer of @domain */
KqStreamTargets *kq_stream_targets_new (const void *parent, const char *domain);

/** kq_stream_targets_set - sets the current members; the load of an agent is kept for as long as
 * its incarnation stays the same */
void kq_stream_targets_set (KqStreamTargets *targets, const KqMember *members, unsigned count);

/** kq_stream_targets_set_evacuation - sets which failure domains are evacuated; @evacuation is
 * borrowed and is read again whenever the members change */
void kq_stream_targets_set_evacuation (KqStreamTargets *targets, const KqEvacuation *evacuation);

/** kq_stream_targets_set_features - sets the optional parts in use; none at first */
void kq_stream_targets_set_features (KqStreamTargets *targets, const KqStreamFeatures *features);

/** kq_stream_targets_find - Return: (borrowed until the next set) the target, or NULL */
KqStreamTarget *kq_stream_targets_find (const KqStreamTargets *targets, uint64_t id);

/**
 * kq_stream_targets_choose - chooses the agent to offer a new stream to
 * @candidate_ids: (array): ids of the stream's candidates, see kq_agent_history_rank()
 * @candidate_count: length of @candidate_ids
 * @tried: (array): ids of agents that are not chosen again
 * @tried_count: length of @tried
 *
 * Chooses the serving candidate outside of evacuated failure domains with the lowest expected
 * completion time of the next request according to its last report; an agent of another failure
 * domain gets a penalty for the network round trip. With features.load_estimation, the load that is
 * expected now decides instead, see target_choice.h. With outlier detection, limited targets get
 * their share, and are chosen otherwise only if no other is left. Agents in backoff are chosen only
 * if no other is left.
 *
 * Return: (borrowed until the next set) the agent, or NULL when all were tried.
 */
KqStreamTarget *kq_stream_targets_choose (const KqStreamTargets *targets, uint32_t service,
                                          const uint64_t *candidate_ids, unsigned candidate_count,
                                          const uint64_t *tried, unsigned tried_count, KqTime now);

/** kq_stream_targets_busiest_permille - Return: load per slot of the busiest target relative to the
 * mean of its service, in thousandths, over targets with a report of the last seconds; the highest
 * of all services with two such targets, 0 for none. Scans all targets. */
unsigned kq_stream_targets_busiest_permille (const KqStreamTargets *targets, KqTime now);

/** kq_stream_target_offered - counts an offer of a new stream to the target */
void kq_stream_target_offered (KqStreamTarget *target, KqTime now);

/**
 * kq_stream_targets_usable - finds the candidates that kq_stream_targets_choose() chooses from
 * @usable: (out): (borrowed until the next set) agents that are neither in backoff nor limited
 *
 * Return: their number.
 */
unsigned kq_stream_targets_usable (const KqStreamTargets *targets, uint32_t service,
                                   const uint64_t *candidate_ids, unsigned candidate_count,
                                   const uint64_t *tried, unsigned tried_count, KqTime now,
                                   KqStreamTarget *usable[KQ_TARGET_CANDIDATES_MAX]);

/** kq_stream_target_answered - stores the load that an answer carries, and ends the backoff */
void kq_stream_target_answered (KqStreamTarget *target, const KqTargetLoad *load, KqTime now);

/** kq_stream_target_failed - records a failed offer, and starts or extends the backoff */
void kq_stream_target_failed (KqStreamTarget *target, KqTime now);
