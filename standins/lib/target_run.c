/* Each event belongs to one stream, which is freed with its last event. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "kumquat/internal/admission.h"
#include "kumquat/internal/agent_history.h"
#include "kumquat/internal/list.h"
#include "kumquat/internal/stream_demand.h"
#include "kumquat/internal/stream_targets.h"
#include "kumquat/random.h"
#include "event_queue.h"
#include "target_run.h"

#define BALANCERS      20
#define TARGETS        KQ_RUN_TARGETS
#define SLOTS          KQ_RUN_SLOTS
#define DOMAINS        3
#define SERVICE        7
#define SERVICE_US     60000.0
#define LOCAL_US       100  /* one way within a failure domain */
#define REMOTE_US      1000 /* one way to another one */
#define REQUEST_US     4000 /* from acceptance until the first request arrives */
#define BUSY_MAX       3    /* as in stream_offer.c */
#define OFFERS_MAX     8
#define COLD_US        (2 * KQ_SECOND)
#define COLD_FACTOR    1.6
#define SAMPLES_MAX    400000
#define LATE_US        (200 * KQ_MS)
#define SUBSET_TARGETS 15
#define OUTSIDE_US     20000 /* cost of a target outside of the balancer's subset */

typedef enum
{
  OPENING,
  OFFERED,
  ANSWERED,
  FIRST_REQUEST,
  NEXT_REQUEST,
  ENDED,
  COLD
} EventType;

typedef struct Stream
{
  KqAdmissionEntry entry;
  unsigned balancer, target;
  unsigned offers, busy_count, left;
  uint64_t hash, busy[OFFERS_MAX];
  KqTime first_at, request_at;
  double think_us;
  KqStreamDemand demand;
  struct Stream *next; /* in the queue of the target */
  KqStreamRefusal reason;
  KqTargetLoad load;
} Stream;

typedef struct
{
  KqQueuedEvent queued;
  EventType type;
  Stream *stream;
} Event;

/* @sent: offers on their way to it; @first and @last: its queue */
typedef struct
{
  KqAdmission admission;
  KqDemandTotals demand;
  unsigned executing, sent;
  Stream *first, *last;
  double busy_us;
  KqTime cold_until;
} Target;

typedef struct
{
  KqTargetRunParams params;
  KqRandom random;
  KqAgentHistory *history;
  KqStreamTargets *balancers[BALANCERS];
  Target targets[TARGETS];
  KqEventQueue *queue;
  KqTime now;
  double *waits;
  unsigned samples, late;
  uint64_t openings, offers, declined, refused;
} Run;

static void
push (Run *run, KqTime delay, EventType type, Stream *stream)
{
  Event *event = talloc_zero (run, Event);
  event->queued.time = run->now + delay;
  event->type = type;
  event->stream = stream;
  kq_event_queue_push (run->queue, &event->queued);
}

static double
exponential (Run *run)
{
  return -log (1 - kq_random_double (&run->random));
}

/* Every seventh target runs at half speed in the case of slow targets. */
static double
slowness (const Run *run, unsigned target)
{
  double factor = run->params.slow && target % 7 == 0 ? 2 : 1;
  return run->now < run->targets[target].cold_until ? factor * COLD_FACTOR : factor;
}

static KqTime
one_way (const Stream *stream)
{
  return stream->balancer % DOMAINS == stream->target % DOMAINS ? LOCAL_US : REMOTE_US;
}

static KqTargetLoad
load_of (const Target *target)
{
  KqTargetLoad load = kq_admission_load (&target->admission);
  load.expected_permille =
      kq_demand_expected_permille (&target->demand, target->admission.service_us);
  return load;
}

static bool
is_busy (const Stream *stream, uint64_t id)
{
  for (unsigned i = 0; i < stream->busy_count; i++)
    if (stream->busy[i] == id)
      return true;
  return false;
}

static bool
measures (const Run *run)
{
  return run->now >= run->params.warm_up;
}

/* What a balancer knows of a candidate. */
typedef struct
{
  KqTargetLoad load;
  KqOfferCount offers;
  KqTime load_at;
} Known;

static Known
known_of (Run *run, const KqStreamTarget *target)
{
  const Target *actual = &run->targets[target->peer.id - 1];
  if (run->params.variant == KQ_VARIANT_FULL)
    return (Known){ load_of (actual), { .running = actual->sent, .at = run->now }, run->now };
  KqTime load_at = target->load_at;
  if (run->params.variant == KQ_VARIANT_UNAGED && load_at != 0)
    load_at = run->now;
  return (Known){ target->load, target->offers, load_at };
}

static int
choose_weighted (Run *run, const KqChoiceCandidate *choices, unsigned count,
                 const KqChoiceMeans *means)
{
  int chosen = -1;
  double total = 0;
  for (unsigned i = 0; i < count; i++)
    {
      double free = SLOTS + 1 - kq_choice_expected_running (&choices[i], means, run->now);
      double slowness = fmax (1, choices[i].load->service_us / means->service_us);
      double weight = fmax (free, 0.1) / slowness;
      total += weight;
      if (kq_random_double (&run->random) * total < weight)
        chosen = (int)i;
    }
  return chosen;
}

/* The variants that are not built into KqStreamTargets. */
static KqStreamTarget *
choose_variant (Run *run, const Stream *stream, const uint64_t *ids, unsigned id_count)
{
  KqChoiceCandidate choices[KQ_AGENT_CANDIDATES_MAX] = { 0 };
  KqStreamTarget *targets[KQ_AGENT_CANDIDATES_MAX];
  Known known[KQ_AGENT_CANDIDATES_MAX];
  KqTargetVariant variant = run->params.variant;
  unsigned count = 0;
  for (unsigned i = 0; i < id_count; i++)
    {
      KqStreamTarget *target = kq_stream_targets_find (run->balancers[stream->balancer], ids[i]);
      if (is_busy (stream, ids[i]))
        continue;
      bool outside = (ids[i] * 7 + (uint64_t)stream->balancer * 13) % TARGETS >= SUBSET_TARGETS;
      targets[count] = target;
      known[count] = known_of (run, target);
      choices[count] = (KqChoiceCandidate){
        .load = &known[count].load,
        .load_at = known[count].load_at,
        .offers = &known[count].offers,
        .remote = !target->same_domain,
        .penalty_us = variant == KQ_VARIANT_SUBSET && outside ? OUTSIDE_US : 0,
      };
      count++;
    }
  KqChoiceMeans means = kq_choice_means (choices, count, run->now);
  if (variant == KQ_VARIANT_TWO && count > 2)
    count = 2;
  int chosen = variant == KQ_VARIANT_WEIGHTED
                   ? choose_weighted (run, choices, count, &means)
                   : kq_choice_least_cost (choices, count, &means, run->now);
  return chosen < 0 ? NULL : targets[chosen];
}

static KqStreamTarget *
choose (Run *run, const Stream *stream)
{
  uint64_t ids[KQ_AGENT_CANDIDATES_MAX];
  unsigned count = kq_agent_history_rank (run->history, SERVICE, stream->hash, ids);
  if (stream->offers >= OFFERS_MAX)
    return NULL;
  if (run->params.variant > KQ_VARIANT_ESTIMATED)
    return choose_variant (run, stream, ids, count);
  return kq_stream_targets_choose (run->balancers[stream->balancer], SERVICE, ids, count,
                                   stream->busy, stream->busy_count, run->now);
}

static void
refuse (Run *run, Stream *stream)
{
  run->refused += measures (run);
  talloc_free (stream);
}

static void
offer (Run *run, Stream *stream)
{
  if (stream->busy_count >= BUSY_MAX)
    {
      stream->entry.need.may_wait = true;
      stream->busy_count = 0;
    }
  KqStreamTarget *target = choose (run, stream);
  if (target == NULL)
    {
      refuse (run, stream);
      return;
    }
  if (run->params.variant == KQ_VARIANT_ESTIMATED && target->queue_expected)
    stream->entry.need.may_wait = true;
  stream->target = (unsigned)(target->peer.id - 1);
  stream->offers++;
  run->offers += measures (run);
  run->targets[stream->target].sent++;
  kq_stream_target_offered (target, run->now);
  push (run, one_way (stream), OFFERED, stream);
}

static void
answer (Run *run, Stream *stream, KqStreamRefusal reason)
{
  stream->reason = reason;
  stream->load = load_of (&run->targets[stream->target]);
  push (run, one_way (stream) + (reason == KQ_REFUSAL_NONE ? LOCAL_US : 0), ANSWERED, stream);
}

static void
accept_stream (Run *run, Stream *stream)
{
  Target *target = &run->targets[stream->target];
  kq_admission_request_started (&target->admission);
  kq_stream_demand_open (&target->demand, &stream->demand, run->now);
  answer (run, stream, KQ_REFUSAL_NONE);
  push (run, REQUEST_US, FIRST_REQUEST, stream);
}

static void
handle_offer (Run *run, Stream *stream)
{
  Target *target = &run->targets[stream->target];
  KqAdmission *admission = &target->admission;
  bool free = kq_admission_has_capacity (admission) && admission->waiting_count == 0;
  bool may_wait = stream->entry.need.may_wait;
  target->sent--;
  if (run->params.variant != KQ_VARIANT_TODAY && !may_wait &&
      kq_demand_exceeds (&target->demand, admission->service_us, admission->slots))
    answer (run, stream, KQ_REFUSAL_BUSY);
  else if (free)
    accept_stream (run, stream);
  else if (!may_wait)
    answer (run, stream, KQ_REFUSAL_BUSY);
  else if (!kq_admission_should_enqueue (admission, &stream->entry, run->now))
    answer (run, stream, KQ_REFUSAL_OVERLOAD);
  else
    kq_admission_enqueue (admission, &stream->entry);
}

static void
handle_answer (Run *run, Stream *stream)
{
  KqStreamTargets *balancer = run->balancers[stream->balancer];
  KqStreamTarget *target = kq_stream_targets_find (balancer, stream->target + 1);
  kq_stream_target_answered (target, &stream->load, run->now);
  if (stream->reason == KQ_REFUSAL_NONE)
    return;
  run->declined += measures (run);
  if (stream->reason == KQ_REFUSAL_BUSY)
    {
      stream->busy[stream->busy_count++] = target->peer.id;
      offer (run, stream);
      return;
    }
  refuse (run, stream);
}

static void
execute (Run *run, Stream *stream)
{
  Target *target = &run->targets[stream->target];
  /* Half of the service time is the same for all requests, the other half exponential. */
  double us = SERVICE_US * (0.5 + 0.5 * exponential (run)) * slowness (run, stream->target);
  target->executing++;
  if (measures (run))
    {
      KqTime wait = run->now - stream->request_at;
      target->busy_us += us;
      run->late += wait > LATE_US;
      if (run->samples < SAMPLES_MAX)
        run->waits[run->samples++] = (double)wait / KQ_MS;
    }
  push (run, (KqTime)us, ENDED, stream);
}

static void
handle_request (Run *run, Stream *stream)
{
  Target *target = &run->targets[stream->target];
  kq_stream_demand_request (&target->demand, &stream->demand, run->now);
  stream->request_at = run->now;
  if (stream->demand.requests == 1)
    stream->request_at = stream->first_at + REQUEST_US + one_way (stream);
  stream->entry.arrived_at = run->now;
  stream->next = NULL;
  if (target->executing < SLOTS)
    execute (run, stream);
  else if (target->first == NULL)
    target->first = target->last = stream;
  else
    target->last = target->last->next = stream;
}

static void
handle_ended (Run *run, Stream *stream)
{
  Target *target = &run->targets[stream->target];
  KqAdmissionEntry *entry;
  target->executing--;
  kq_admission_request_ended (&target->admission, run->now - stream->entry.arrived_at);
  if (target->first != NULL)
    {
      Stream *next = target->first;
      target->first = next->next;
      execute (run, next);
    }
  if (--stream->left > 0)
    push (run, (KqTime)(stream->think_us * exponential (run)), NEXT_REQUEST, stream);
  else
    {
      kq_stream_demand_close (&target->demand, &stream->demand);
      talloc_free (stream);
    }
  while ((entry = kq_admission_find_expired (&target->admission, run->now)) != NULL)
    {
      kq_admission_remove (&target->admission, entry);
      answer (run, KQ_CONTAINER_OF (entry, Stream, entry), KQ_REFUSAL_OVERLOAD);
    }
  while ((entry = kq_admission_select_next (&target->admission, run->now)) != NULL)
    {
      kq_admission_remove (&target->admission, entry);
      accept_stream (run, KQ_CONTAINER_OF (entry, Stream, entry));
    }
}

/* Balancers have unequal shares; with @skewed, those of one domain have three times as much. */
static unsigned
draw_balancer (Run *run)
{
  for (;;)
    {
      unsigned balancer = (unsigned)kq_random_below (&run->random, BALANCERS);
      unsigned share = (1 + balancer % 4) * (run->params.skewed && balancer % DOMAINS == 0 ? 3 : 1);
      if (kq_random_below (&run->random, 12) < share)
        return balancer;
    }
}

static void
open_stream (Run *run, double interval_us)
{
  Stream *stream = talloc_zero (run, Stream);
  stream->balancer = draw_balancer (run);
  stream->hash = kq_random_next (&run->random);
  stream->first_at = run->now;
  stream->entry.arrived_at = run->now;
  stream->entry.need = (KqStreamNeed){ .priority = 1, .objective_ms = 400, .timeout_ms = 2000 };
  stream->left = 1 + (unsigned)kq_random_below (&run->random, 2 * run->params.requests - 1);
  stream->think_us = 20000 + 400000 * kq_random_double (&run->random);
  run->openings += measures (run);
  offer (run, stream);
  push (run, 1 + (KqTime)(interval_us * exponential (run)), OPENING, NULL);
}

static void
handle_event (Run *run, const Event *event, double interval_us)
{
  Stream *stream = event->stream;
  switch (event->type)
    {
    case OPENING:
      open_stream (run, interval_us);
      break;
    case OFFERED:
      handle_offer (run, stream);
      break;
    case ANSWERED:
      handle_answer (run, stream);
      break;
    case NEXT_REQUEST:
      kq_admission_request_started (&run->targets[stream->target].admission);
      handle_request (run, stream);
      break;
    case FIRST_REQUEST:
      handle_request (run, stream);
      break;
    case ENDED:
      handle_ended (run, stream);
      break;
    case COLD:
      run->targets[kq_random_below (&run->random, TARGETS)].cold_until = run->now + COLD_US;
      push (run, KQ_SECOND / 2, COLD, NULL);
      break;
    }
}

static void
set_up (Run *run)
{
  KqMember members[TARGETS] = { 0 };
  KqStreamFeatures features = { .load_estimation = run->params.variant != KQ_VARIANT_TODAY };
  run->history = kq_agent_history_new (run, 0);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      members[i] = (KqMember){ .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING };
      members[i].service = SERVICE;
      members[i].peer.id = i + 1;
      snprintf (members[i].failure_domain, KQ_NAME_BYTES, "domain-%u", i % DOMAINS);
      kq_admission_init (&run->targets[i].admission);
      kq_admission_set_slots (&run->targets[i].admission, SLOTS);
    }
  kq_agent_history_update (run->history, members, TARGETS, 0);
  for (unsigned i = 0; i < BALANCERS; i++)
    {
      run->balancers[i] = kq_stream_targets_new (run, members[i % DOMAINS].failure_domain);
      kq_stream_targets_set (run->balancers[i], members, TARGETS);
      kq_stream_targets_set_features (run->balancers[i], &features);
    }
}

static int
compare_waits (const void *a, const void *b)
{
  double one = *(const double *)a;
  double other = *(const double *)b;
  return (one > other) - (one < other);
}

static KqTargetRunResult
result_of (Run *run)
{
  double busiest = 0;
  double sum = 0;
  double openings = (double)run->openings;
  for (unsigned i = 0; i < TARGETS; i++)
    {
      busiest = fmax (busiest, run->targets[i].busy_us);
      sum += run->targets[i].busy_us;
    }
  qsort (run->waits, run->samples, sizeof run->waits[0], compare_waits);
  return (KqTargetRunResult){ .p99_ms = run->waits[run->samples * 99 / 100],
                              .late = (double)run->late / run->samples,
                              .declined = (double)run->declined / openings,
                              .offers = (double)run->offers / openings,
                              .refused = (double)run->refused / openings,
                              .busiest = busiest * TARGETS / sum };
}

KqTargetRunResult
kq_target_run (const KqTargetRunParams *params)
{
  Run *run = talloc_zero (NULL, Run);
  double capacity = 0;
  run->params = *params;
  run->waits = talloc_array (run, double, SAMPLES_MAX);
  run->queue = kq_event_queue_new (run);
  kq_random_seed (&run->random, params->seed);
  set_up (run);
  for (unsigned i = 0; i < TARGETS; i++)
    capacity += SLOTS / slowness (run, i);
  double interval_us = SERVICE_US * params->requests / (capacity * params->use);
  push (run, 0, OPENING, NULL);
  if (params->cold)
    push (run, 0, COLD, NULL);
  while (run->now < params->end)
    {
      Event *event = (Event *)kq_event_queue_pop (run->queue);
      run->now = event->queued.time;
      handle_event (run, event, interval_us);
      talloc_free (event);
    }
  KqTargetRunResult result = result_of (run);
  talloc_free (run);
  return result;
}
