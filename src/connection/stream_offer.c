/* Offers of new streams. A new stream is offered to one agent at a time. An agent without a free
 * slot declines and reports its load, and the next agent gets an offer. After
 * OFFERS_WITHOUT_QUEUEING agents were busy, the stream is offered to the agent that is expected to
 * have a free slot first. That agent queues the stream, or declines it because it would wait past
 * the time when its answer is of use. So admission is decided with the current load of the target,
 * and costs extra round trips only when slots are occupied, that is at loads near and above the
 * capacity of a service. */

#include <string.h>
#include <syslog.h>

#include "kumquat/internal/stream_state.h"
#include "kumquat/internal/stream_target_limit.h"

/* Offers that require a free slot, before one that allows queueing. */
#define OFFERS_WITHOUT_QUEUEING 3

/* The same with overload control, where the reports say which agent has the shortest queue. */
#define OFFERS_WITHOUT_QUEUEING_BY_WAIT 2

/* With overload control, agents that declined because the stream would wait too long, before it is
 * refused. The report that an offer relies on is up to a second old. */
#define OVERLOADS_MAX 2

/* Offers of one stream in total, and one more to an agent that declined because of its limit. */
#define OFFERS_MAX 8

/* An agent answers within milliseconds, as soon as its target has accepted. The rest of this time
 * is for CPU throttling: an instance that has used up its quota is suspended for up to 100 ms. */
#define OFFER_TIMEOUT_US (110 * KQ_MS)

/* A caller abandons a connection attempt after this time. */
#define CALLER_ATTEMPT_US (1400 * KQ_MS)

/* Interval between attempts to choose an agent. */
#define RETRY_INTERVAL_US (20 * KQ_MS)

/* How long an offer waits for a first target. A caller that is refused retries at once, and only
 * twice, so waiting is better than a refusal while targets are starting. The time covers the start
 * of a process and its joining. */
#define TARGET_START_US (1200 * KQ_MS)

static void
refuse (KqStreamRouter *router, KqStream *stream, KqStreamRefusal reason, KqTime now)
{
  static const KqStreamTarget none = { 0 };
  const KqStreamTarget *last = kq_stream_targets_find (router->targets, stream->owner);
  if (last == NULL)
    last = &none;
  router->stats.refused++;
  kq_stream_log (router, LOG_INFO, "stream-refused", stream,
                 "reason=%s offers=%u age_ms=%lld agent=%016llx running=%u slots=%u waiting=%u "
                 "service_us=%u load_age_ms=%lld expected_wait_ms=%lld run=no",
                 kq_stream_refusal_name (reason), stream->offers,
                 (long long)((now - stream->first_at) / KQ_MS), (unsigned long long)last->peer.id,
                 last->load.running, last->load.slots, last->load.waiting, last->load.service_us,
                 (long long)((now - last->load_at) / KQ_MS),
                 (long long)(stream->expected_wait_us / KQ_MS));
  kq_stream_refuse (router, stream, now);
}

static void
send_offer (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target, KqTime now)
{
  KqUnsentSegment *opening = STAILQ_FIRST (&stream->unsent);
  if (opening == NULL)
    return;
  stream->owner = target->peer.id;
  stream->offered_at = now;
  stream->transaction_id = ++router->last_transaction_id;
  stream->need.ignore_limit = target->limit.ignored;
  stream->need.age_ms = (uint32_t)((now - stream->first_at) / KQ_MS);
  stream->offers++;
  kq_stream_target_offered (target, now);
  router->stats.offers++;
  kq_stream_send (router, stream, target, KQ_FRAME_OPEN, opening->bytes, opening->size);
  kq_stream_set_timeout (router, stream, now + OFFER_TIMEOUT_US);
}

/* Lets the next offers queue the stream, also at agents that declined because they were busy. */
static void
allow_waiting (KqStream *stream)
{
  stream->need.may_wait = true;
  stream->busy_count = 0;
}

/* An agent, and whether the stream is refused instead. */
typedef struct
{
  KqStreamTarget *target;
  bool refused;
} Choice;

/* Decides by the waits that the candidates report; @chosen is the choice by load. */
static Choice
choose_by_wait (KqStreamRouter *router, KqStream *stream, KqStreamTarget *chosen,
                KqStreamTarget *const *usable, unsigned usable_count, KqTime now)
{
  stream->need.age_ms = (uint32_t)((now - stream->first_at) / KQ_MS);
  KqPressureDecision decision = kq_service_pressure_decide (
      &router->pressure, stream->service, &stream->need, usable, usable_count, now);
  stream->explores = decision.explores;
  stream->expected_wait_us = decision.expected_wait_us;
  if (decision.action == KQ_PRESSURE_REFUSE && !stream->offer_lost)
    return (Choice){ .refused = true };
  if (decision.action == KQ_PRESSURE_QUEUE)
    stream->need.may_wait = true;
  if (decision.target == NULL)
    return (Choice){ .target = chosen };
  /* Whether limits are ignored is decided for all candidates. */
  decision.target->limit.ignored = chosen->limit.ignored;
  return (Choice){ .target = decision.target };
}

/* Chooses an agent among the candidates. Return: no agent too while the agent history is
 * incomplete: the stream could go to an agent that other balancers do not query for it. */
static Choice
choose_agent (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqStreamTarget *usable[KQ_TARGET_CANDIDATES_MAX];
  uint64_t candidate_ids[KQ_AGENT_CANDIDATES_MAX];
  uint64_t excluded[2 * KQ_STREAM_TRIED_MAX];
  if (!kq_agent_history_can_place (router->agent_history, now))
    return (Choice){ 0 };
  unsigned candidate_count = kq_agent_history_rank (
      router->agent_history, stream->service, kq_stream_key_hash (&stream->key), candidate_ids);
  memcpy (excluded, stream->tried, stream->tried_count * sizeof excluded[0]);
  memcpy (excluded + stream->tried_count, stream->busy, stream->busy_count * sizeof excluded[0]);
  unsigned excluded_count = stream->tried_count + stream->busy_count;
  KqStreamTarget *chosen =
      kq_stream_targets_choose (router->targets, stream->service, candidate_ids, candidate_count,
                                excluded, excluded_count, now);
  /* A limited target was chosen to find out whether it recovers, which the waits say nothing of. */
  bool probes_limited = chosen != NULL && chosen->limit.interval_us != 0;
  /* The queue of a busy agent is better than a target that fails requests. */
  if (probes_limited && chosen->limit.ignored && stream->busy_count > 0)
    return (Choice){ 0 };
  if (!router->features.overload_control && chosen != NULL && chosen->queue_expected)
    stream->need.may_wait = true;
  if (!router->features.overload_control || chosen == NULL || probes_limited)
    return (Choice){ .target = chosen };
  unsigned usable_count =
      kq_stream_targets_usable (router->targets, stream->service, candidate_ids, candidate_count,
                                excluded, excluded_count, now, usable);
  if (usable_count == 0)
    return (Choice){ .target = chosen };
  return choose_by_wait (router, stream, chosen, usable, usable_count, now);
}

/* Return: an agent that declined because of its limit, which the next offer ignores: no other agent
 * is left, and a target that fails some requests is better than a refusal. */
static KqStreamTarget *
return_to_limited (KqStreamRouter *router, KqStream *stream)
{
  KqStreamTarget *target = kq_stream_targets_find (router->targets, stream->limited_agent);
  stream->limited_agent = 0;
  if (target == NULL || !target->serving || target->evacuated || stream->offers > OFFERS_MAX)
    return NULL;
  target->limit.ignored = true;
  allow_waiting (stream);
  return target;
}

/* Retries all agents later: none is known yet, or one has no report of its target yet. */
static void
retry_later (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  stream->owner = 0;
  stream->offers = 0;
  stream->tried_count = 0;
  stream->agent_starting = false;
  kq_stream_set_timeout (router, stream, now + RETRY_INTERVAL_US);
}

void
kq_stream_offer (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  unsigned limit =
      router->features.overload_control ? OFFERS_WITHOUT_QUEUEING_BY_WAIT : OFFERS_WITHOUT_QUEUEING;
  Choice choice = { 0 };
  if (stream->busy_count >= limit)
    allow_waiting (stream);
  if (stream->offers < OFFERS_MAX)
    choice = choose_agent (router, stream, now);
  if (choice.target == NULL && !choice.refused && stream->busy_count > 0)
    {
      allow_waiting (stream);
      choice = choose_agent (router, stream, now);
    }
  if (choice.target == NULL && !choice.refused && stream->limited_agent != 0)
    choice.target = return_to_limited (router, stream);
  bool target_expected = stream->offers == 0 || stream->agent_starting;
  if (choice.refused)
    {
      router->stats.refused_early++;
      refuse (router, stream, KQ_REFUSAL_OVERLOAD, now);
    }
  else if (choice.target != NULL)
    send_offer (router, stream, choice.target, now);
  else if (target_expected && now - stream->first_at < TARGET_START_US)
    retry_later (router, stream, now);
  else
    refuse (router, stream, stream->overloads > 0 ? KQ_REFUSAL_OVERLOAD : KQ_REFUSAL_NO_TARGET,
            now);
}

static void
exclude (KqStream *stream, uint64_t agent)
{
  if (stream->tried_count < KQ_STREAM_TRIED_MAX)
    stream->tried[stream->tried_count++] = agent;
}

void
kq_stream_offer_declined (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
                          KqStreamRefusal reason, KqTime now)
{
  router->stats.declined++;
  switch (reason)
    {
    case KQ_REFUSAL_OVERLOAD:
      if (!router->features.overload_control || ++stream->overloads >= OVERLOADS_MAX)
        {
          refuse (router, stream, reason, now);
          return;
        }
      exclude (stream, target->peer.id);
      break;
    case KQ_REFUSAL_BUSY:
      if (stream->busy_count < KQ_STREAM_TRIED_MAX)
        stream->busy[stream->busy_count++] = target->peer.id;
      break;
    case KQ_REFUSAL_STARTING:
      stream->agent_starting = true;
      exclude (stream, target->peer.id);
      break;
    case KQ_REFUSAL_EVACUATED:
      exclude (stream, target->peer.id);
      break;
    case KQ_REFUSAL_LIMITED:
      stream->limited_agent = target->peer.id;
      kq_stream_target_limit_declined (target, now);
      exclude (stream, target->peer.id);
      break;
    case KQ_REFUSAL_DRAINING:
      target->serving = false;
      exclude (stream, target->peer.id);
      break;
    default:
      kq_stream_target_failed (target, now);
      exclude (stream, target->peer.id);
      break;
    }
  kq_stream_offer (router, stream, now);
}

/* The agent has queued the stream. It answers again when the stream gets a slot, or when it cannot
 * get one in time. */
void
kq_stream_offer_queued (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqTime end = stream->first_at + CALLER_ATTEMPT_US + OFFER_TIMEOUT_US;
  kq_stream_set_timeout (router, stream,
                         end > now + OFFER_TIMEOUT_US ? end : now + OFFER_TIMEOUT_US);
}

void
kq_stream_offer_answered (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
                          const KqStreamFrame *frame, KqTime now)
{
  bool declined = frame->type == KQ_FRAME_DECLINED;
  if (!router->features.overload_control || stream->state != KQ_STREAM_OPENING ||
      stream->owner != target->peer.id || stream->transaction_id != frame->transaction_id)
    return;
  KqPressureOutcome outcome = { .service = stream->service,
                                .need = stream->need,
                                .explores = stream->explores,
                                .expected_wait_us = stream->expected_wait_us,
                                .took_us = now - stream->offered_at,
                                .opened = frame->type == KQ_FRAME_OWNED,
                                .overloaded = declined && frame->reason == KQ_REFUSAL_OVERLOAD };
  outcome.lacks_room =
      frame->type == KQ_FRAME_QUEUED ||
      (declined && (frame->reason == KQ_REFUSAL_BUSY || frame->reason == KQ_REFUSAL_OVERLOAD));
  kq_service_pressure_answered (&router->pressure, target, &outcome, now);
}

void
kq_stream_offer_timeout (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqStreamTarget *target = kq_stream_targets_find (router->targets, stream->owner);
  if (stream->owner != 0)
    {
      router->stats.unanswered++;
      kq_stream_log (router, LOG_INFO, "offer-unanswered", stream, "agent=%016llx offers=%u",
                     (unsigned long long)stream->owner, stream->offers);
      exclude (stream, stream->owner);
      stream->offer_lost = true;
    }
  if (target != NULL)
    {
      kq_stream_target_failed (target, now);
      kq_stream_send (router, stream, target, KQ_FRAME_WITHDRAW, NULL, 0);
    }
  kq_stream_offer (router, stream, now);
}
