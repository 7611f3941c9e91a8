/* Load balancing of new streams. Among the candidates of a stream, see agent_history.h, the
 * balancer prefers the one with the lowest expected completion time of the next request. It only
 * knows the load that agents reported in their last answers, which is as old as the last offer to
 * them; the agent itself decides about admission and declines an offer when its slots are occupied.
 */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/stream_target_limit.h"
#include "kumquat/internal/stream_targets.h"
#include "kumquat/internal/target_balance.h"
#include "kumquat/internal/target_choice.h"
#include "kumquat/panic.h"

/* Added to the cost of an agent in another failure domain: a free slot in the local domain is
 * preferred to a remote one, and a free remote slot to a local queue of a few requests. */
#define REMOTE_PENALTY_US (20 * KQ_MS)

/* Service time while no agent has reported one. */
#define SERVICE_DEFAULT_US 50000

/* Age at which a load report is ignored. */
#define LOAD_MAX_AGE_US (2 * KQ_SECOND)

/* A target appears to be failing if both its service time and its answer size are below the mean
 * divided by this. */
#define FAILING_DIVISOR 2

/* Cost added to a target that appears to be failing. */
#define FAILING_PENALTY_US (500 * KQ_MS)

/* Age of its report at which a target that appears to be failing is retried. */
#define FAILING_MAX_AGE_US (6 * KQ_SECOND)

/* A report has a weight of 1/16 in the smoothed use of a target, which is ignored when the target
 * has not reported for some seconds. */
#define USE_DIVISOR    16
#define USE_MAX_AGE_US (10 * KQ_SECOND)

/* Backoff after the first failed offer; it grows with each further one. */
#define BACKOFF_US (500 * KQ_MS)

/* Failed offers in a row after which the backoff does not grow. */
#define BACKOFF_STEPS_MAX 3

struct KqStreamTargets
{
  char domain[KQ_NAME_BYTES];
  const KqEvacuation *evacuation;
  KqStreamFeatures features;
  KqStreamTarget *targets;
  unsigned count;
};

KqStreamTargets *
kq_stream_targets_new (const void *parent, const char *domain)
{
  KqStreamTargets *targets = talloc_zero (parent, KqStreamTargets);
  if (targets != NULL)
    strncpy (targets->domain, domain, sizeof targets->domain - 1);
  return targets;
}

KqStreamTarget *
kq_stream_targets_find (const KqStreamTargets *targets, uint64_t id)
{
  unsigned low = 0;
  unsigned high = targets->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (targets->targets[middle].peer.id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return low < targets->count && targets->targets[low].peer.id == id ? &targets->targets[low]
                                                                     : NULL;
}

static int
compare_ids (const void *a, const void *b)
{
  const KqStreamTarget *one = a;
  const KqStreamTarget *other = b;
  return one->peer.id < other->peer.id ? -1 : one->peer.id > other->peer.id;
}

static void
fill_target (const KqStreamTargets *known, const KqMember *member, KqStreamTarget *target)
{
  const KqStreamTarget *before = kq_stream_targets_find (known, member->peer.id);
  memset (target, 0, sizeof *target);
  if (before != NULL && before->peer.incarnation == member->peer.incarnation)
    *target = *before;
  target->peer = member->peer;
  target->service = member->service;
  memcpy (target->failure_domain, member->failure_domain, KQ_NAME_BYTES);
  target->same_domain = strcmp (member->failure_domain, known->domain) == 0;
  target->evacuated = known->evacuation != NULL &&
                      kq_evacuation_contains (known->evacuation, target->failure_domain);
  target->serving = member->phase == KQ_PHASE_SERVING;
}

void
kq_stream_targets_set (KqStreamTargets *targets, const KqMember *members, unsigned count)
{
  KqStreamTarget *table = talloc_array (targets, KqStreamTarget, count + 1);
  unsigned used = 0;
  if (table == NULL)
    return;
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT)
      fill_target (targets, &members[i], &table[used++]);
  qsort (table, used, sizeof table[0], compare_ids);
  talloc_free (targets->targets);
  targets->targets = table;
  targets->count = used;
}

void
kq_stream_targets_set_evacuation (KqStreamTargets *targets, const KqEvacuation *evacuation)
{
  targets->evacuation = evacuation;
  for (unsigned i = 0; i < targets->count; i++)
    targets->targets[i].evacuated =
        kq_evacuation_contains (evacuation, targets->targets[i].failure_domain);
}

void
kq_stream_targets_set_features (KqStreamTargets *targets, const KqStreamFeatures *features)
{
  targets->features = *features;
}

static bool
was_tried (uint64_t id, const uint64_t *tried, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    if (tried[i] == id)
      return true;
  return false;
}

/* Mean values over the candidates of a stream, from their last reports. If @panic_mode is set, too
 * many targets appear to be failing, so none of them is treated as failing. */
typedef struct
{
  uint64_t service_us;
  uint64_t answer_bytes;
  bool panic_mode;
} ServiceMeans;

/* Answers are not parsed here, but error answers arrive much sooner than others and are much
 * shorter. */
static bool
looks_failing (const KqStreamTarget *target, const ServiceMeans *typical, KqTime now)
{
  return target->load_at != 0 && now - target->load_at < FAILING_MAX_AGE_US &&
         (uint64_t)target->load.service_us * FAILING_DIVISOR < typical->service_us &&
         (uint64_t)target->load.answer_bytes * FAILING_DIVISOR < typical->answer_bytes;
}

/* The means are taken over the candidates alone, so that the cost of a choice does not grow with
 * the service. */
static ServiceMeans
candidate_means (KqStreamTarget *const *candidates, unsigned candidate_count, KqTime now)
{
  ServiceMeans typical = { 0 };
  KqDomainCounts domain_counts = { 0 };
  unsigned count = 0;
  for (unsigned i = 0; i < candidate_count; i++)
    {
      if (candidates[i]->load.service_us == 0)
        continue;
      typical.service_us += candidates[i]->load.service_us;
      typical.answer_bytes += candidates[i]->load.answer_bytes;
      count++;
    }
  if (count == 0)
    return (ServiceMeans){ .service_us = SERVICE_DEFAULT_US };
  typical.service_us /= count;
  typical.answer_bytes /= count;
  for (unsigned i = 0; i < candidate_count; i++)
    {
      bool failing = looks_failing (candidates[i], &typical, now);
      *(failing ? &domain_counts.suspect : &domain_counts.alive) += 1;
    }
  typical.panic_mode = kq_panic_decide (&domain_counts, 1, KQ_PANIC_PERMILLE).use_suspects;
  return typical;
}

/* Return: expected time until a request that is sent now is answered, in microseconds. The weight
 * of a report decreases with its age, so that a target that was slow is retried. */
static uint64_t
expected_completion_us (const KqStreamTarget *target, const ServiceMeans *service_means, KqTime now)
{
  uint64_t typical = service_means->service_us;
  uint64_t penalty_us = target->same_domain ? 0 : REMOTE_PENALTY_US;
  if (!service_means->panic_mode && looks_failing (target, service_means, now))
    penalty_us += FAILING_PENALTY_US;
  KqTime age = now - target->load_at;
  if (target->load_at == 0 || age >= LOAD_MAX_AGE_US || target->load.slots == 0)
    return typical + target->offered * typical / 4 + penalty_us;
  /* A failing target answers faster than others and must not be preferred for it: service times
   * below the mean count as the mean. */
  uint64_t known = target->load.service_us > typical ? target->load.service_us : typical;
  uint64_t mean_weight = (uint64_t)age;
  uint64_t service =
      (known * (LOAD_MAX_AGE_US - mean_weight) + typical * mean_weight) / LOAD_MAX_AGE_US;
  uint64_t running = target->load.running + target->load.waiting + target->offered;
  uint64_t slots = target->load.slots;
  uint64_t queued = running >= slots ? running + 1 - slots : 0;
  /* Among targets with free slots, a higher load costs a little more: its slots may be occupied
   * before the offer arrives. */
  return service + queued * service / slots + running * service / slots / 4 + penalty_us;
}

/* Writes the candidates that are agents of the service. Return: their number. */
static unsigned
find_candidates (const KqStreamTargets *targets, uint32_t service, const uint64_t *ids,
                 unsigned count, KqStreamTarget *candidates[KQ_TARGET_CANDIDATES_MAX])
{
  unsigned found = 0;
  for (unsigned i = 0; i < count && found < KQ_TARGET_CANDIDATES_MAX; i++)
    {
      KqStreamTarget *target = kq_stream_targets_find (targets, ids[i]);
      if (target != NULL && target->service == service)
        candidates[found++] = target;
    }
  return found;
}

/* Return: the choice by the load expected now, see target_choice.h. */
static KqStreamTarget *
choose_by_expected_load (KqStreamTarget *const *candidates, unsigned count,
                         const ServiceMeans *typical, KqTime now)
{
  KqChoiceCandidate choices[KQ_TARGET_CANDIDATES_MAX];
  for (unsigned i = 0; i < count; i++)
    {
      const KqStreamTarget *target = candidates[i];
      bool failing = !typical->panic_mode && looks_failing (target, typical, now);
      choices[i] = (KqChoiceCandidate){ .load = &target->load,
                                        .load_at = target->load_at,
                                        .offers = &target->offers,
                                        .remote = !target->same_domain,
                                        .penalty_us = failing ? FAILING_PENALTY_US : 0 };
    }
  KqChoiceMeans means = kq_choice_means (choices, count, now);
  int chosen = kq_choice_least_cost (choices, count, &means, now);
  if (chosen < 0)
    return NULL;
  candidates[chosen]->queue_expected = kq_choice_expects_queue (&choices[chosen], &means, now);
  return candidates[chosen];
}

KqStreamTarget *
kq_stream_targets_choose (const KqStreamTargets *targets, uint32_t service,
                          const uint64_t *candidate_ids, unsigned candidate_count,
                          const uint64_t *tried, unsigned tried_count, KqTime now)
{
  KqStreamTarget *candidates[KQ_TARGET_CANDIDATES_MAX] = { NULL };
  KqStreamTarget *chosen = NULL;
  KqStreamTarget *fallback = NULL;
  unsigned count = find_candidates (targets, service, candidate_ids, candidate_count, candidates);
  ServiceMeans typical = candidate_means (candidates, count, now);
  KqLimitedCandidates limits =
      kq_limited_candidates_count (&targets->features, candidates, count, now);
  KqStreamTarget *avoided = NULL;
  uint64_t lowest = 0;
  bool is_due;
  KqStreamTarget *usable[KQ_TARGET_CANDIDATES_MAX];
  unsigned usable_count = 0;
  for (unsigned i = 0; i < count; i++)
    {
      KqStreamTarget *target = candidates[i];
      target->queue_expected = false;
      if (!target->serving || target->evacuated || was_tried (target->peer.id, tried, tried_count))
        continue;
      if (target->backoff_until > now)
        {
          if (fallback == NULL || target->backoff_until < fallback->backoff_until)
            fallback = target;
          continue;
        }
      if (kq_stream_target_is_avoided (target, &limits, now, &is_due))
        {
          avoided = target;
          continue;
        }
      if (is_due)
        return kq_stream_target_limit_chosen (target, &limits, false, now);
      if (targets->features.load_estimation)
        {
          usable[usable_count++] = target;
          continue;
        }
      uint64_t completion_us = expected_completion_us (target, &typical, now);
      if (chosen != NULL && completion_us >= lowest)
        continue;
      chosen = target;
      lowest = completion_us;
    }
  if (usable_count > 0)
    chosen = choose_by_expected_load (usable, usable_count, &typical, now);
  bool last_resort = chosen == NULL && avoided != NULL;
  if (last_resort)
    chosen = avoided;
  return kq_stream_target_limit_chosen (chosen == NULL ? fallback : chosen, &limits, last_resort,
                                        now);
}

unsigned
kq_stream_targets_busiest_permille (const KqStreamTargets *targets, KqTime now)
{
  KqTargetBalance *balance = kq_target_balance_new (targets, targets->count);
  if (balance == NULL)
    return 0;
  for (unsigned i = 0; i < targets->count; i++)
    {
      const KqStreamTarget *target = &targets->targets[i];
      if (target->load_at != 0 && now - target->load_at < USE_MAX_AGE_US)
        kq_target_balance_add (balance, target->service, target->use);
    }
  unsigned busiest = kq_target_balance_busiest_permille (balance);
  talloc_free (balance);
  return busiest;
}

void
kq_stream_target_offered (KqStreamTarget *target, KqTime now)
{
  target->offered++;
  kq_offer_count_sent (&target->offers, target->load.service_us, now);
}

unsigned
kq_stream_targets_usable (const KqStreamTargets *targets, uint32_t service,
                          const uint64_t *candidate_ids, unsigned candidate_count,
                          const uint64_t *tried, unsigned tried_count, KqTime now,
                          KqStreamTarget *usable[KQ_TARGET_CANDIDATES_MAX])
{
  KqStreamTarget *candidates[KQ_TARGET_CANDIDATES_MAX] = { NULL };
  unsigned count = find_candidates (targets, service, candidate_ids, candidate_count, candidates);
  KqLimitedCandidates limits =
      kq_limited_candidates_count (&targets->features, candidates, count, now);
  unsigned used = 0;
  for (unsigned i = 0; i < count; i++)
    if (candidates[i]->serving && !kq_stream_target_is_limited (candidates[i], &limits, now) &&
        !candidates[i]->evacuated && candidates[i]->backoff_until <= now &&
        !was_tried (candidates[i]->peer.id, tried, tried_count))
      usable[used++] = candidates[i];
  return used;
}

void
kq_stream_target_answered (KqStreamTarget *target, const KqTargetLoad *load, KqTime now)
{
  double use = kq_choice_use (load);
  target->use = target->load_at == 0 ? use : target->use + (use - target->use) / USE_DIVISOR;
  target->load = *load;
  target->load_at = now;
  target->offered = 0;
  kq_offer_count_reported (&target->offers, now);
  target->failures = 0;
  target->backoff_until = 0;
}

void
kq_stream_target_failed (KqStreamTarget *target, KqTime now)
{
  if (target->failures < BACKOFF_STEPS_MAX)
    target->failures++;
  target->backoff_until = now + BACKOFF_US * target->failures;
}
