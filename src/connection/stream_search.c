/* Search for the agent that owns a stream. A balancer receives segments of a stream that it does
 * not know after another balancer has stopped, or after the fabric has rerouted the stream. It
 * queries the agents that may own the stream, see agent_roll.h, in rounds; the owner answers. An
 * agent that started after its target cannot tell: the segment itself is sent as a probe to all
 * such agents, and each target that does not own the stream returns it. So finding the owner costs
 * one round trip, and a target receives segments of other targets' streams for one round trip at
 * most. Segments that the caller sends meanwhile are buffered with the search.
 *
 * When no agent owns the stream, its caller gets a reset, so that it does not wait until its
 * deadline: after a power loss this concerns all open streams. A live stream must never be reset.
 * So every agent that may own the stream must have answered the query of this search, and none of
 * them may be missing; otherwise the stream is searched again when more is known of the agents. */

#include <syslog.h>

#include "kumquat/internal/stream_state.h"

/* Timeout of a round of queries, longer than a round trip between failure domains. */
#define ANSWERS_US (60 * KQ_MS)

/* Interval between searches while no agent is known. */
#define RETRY_US (20 * KQ_MS)

/* Timeout of a round of probes; a target answers or returns a segment within milliseconds. */
#define PROBE_US (120 * KQ_MS)

/* How long a search without candidates is retried: a balancer learns of the agents within this time
 * after its start. */
#define NOBODY_US (400 * KQ_MS)

/* Delay before the search for a missing owner is repeated. */
#define LOST_US (300 * KQ_MS)

/* A stream without segments for this time is not searched any more: its caller would have
 * retransmitted after 1.6 s at the latest. */
#define REPEAT_US (1700 * KQ_MS)

/* Writes the services that the stream may belong to. Return: their number, 0 without a route. */
static unsigned
services_of (const KqStreamRouter *router, const KqStream *stream,
             uint32_t services[KQ_ROUTE_SERVICES_MAX])
{
  const KqStreamRoute *route =
      router->routes == NULL ? NULL : kq_route_table_find (router->routes, &stream->key);
  if (route == NULL)
    return 0;
  for (unsigned i = 0; i < route->service_count; i++)
    services[i] = route->services[i].number;
  return route->service_count;
}

static bool
nobody_holds (const KqStream *stream)
{
  return stream->candidates.known && stream->candidates.missing == 0 && stream->asked > 0 &&
         !stream->answers_missing;
}

static void
give_up (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool certain = stream->gone || nobody_holds (stream);
  bool tell = certain && (stream->gone || stream->caller_waits);
  router->stats.lost++;
  kq_stream_log (router, LOG_INFO, "stream-lost", stream,
                 "target_gone=%s agents=%s missing=%u unanswered=%s asked=%u told=%s age_ms=%lld",
                 stream->gone ? "yes" : "unknown", stream->candidates.known ? "known" : "unknown",
                 stream->candidates.missing, stream->answers_missing ? "yes" : "no", stream->asked,
                 tell ? "yes" : "no", (long long)((now - stream->first_at) / KQ_MS));
  if (tell)
    {
      kq_stream_refuse (router, stream, now);
      return;
    }
  kq_stream_search_end (router, stream);
  stream->nobody = certain;
  stream->state = KQ_STREAM_LOST;
  kq_stream_wait_until (router, stream, now + LOST_US);
}

/* Sends a query to the next round of candidates. */
static void
ask (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  const KqAgentCandidates *candidates = &stream->candidates;
  unsigned end = stream->asked + KQ_SEARCH_ROUND;
  stream->state = KQ_STREAM_SEARCHING;
  stream->attempt = ++router->last_attempt;
  stream->unanswered = 0;
  stream->maybe_count = 0;
  for (; stream->asked < candidates->count && stream->asked < end; stream->asked++)
    {
      const KqStreamTarget *target =
          kq_stream_targets_find (router->targets, candidates->ids[stream->asked]);
      if (target == NULL)
        {
          stream->answers_missing = true;
          continue;
        }
      stream->unanswered++;
      router->stats.questions++;
      kq_stream_send (router, stream, target, KQ_FRAME_FIND, NULL, 0);
    }
  kq_stream_wait_until (router, stream, now + (stream->asked > 0 ? ANSWERS_US : RETRY_US));
}

static void
start (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  uint32_t services[KQ_ROUTE_SERVICES_MAX];
  unsigned count = services_of (router, stream, services);
  talloc_free (stream->candidates.ids);
  stream->candidates = kq_agent_history_candidates (stream, router->roll, services, count,
                                                    kq_stream_key_hash (&stream->key), now);
  stream->searched_at = now;
  stream->searched_version = kq_agent_history_version (router->roll);
  stream->asked = 0;
  stream->answers_missing = false;
  stream->counted = true;
  router->stats.searches++;
  ask (router, stream, now);
}

void
kq_stream_search (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  kq_stream_search_end (router, stream);
  if (kq_search_budget_start (&router->search_budget))
    {
      start (router, stream, now);
      return;
    }
  kq_stream_stop_waiting (router, stream);
  stream->state = KQ_STREAM_QUEUED;
  TAILQ_INSERT_TAIL (&router->queued, stream, by_due);
  router->stats.queued++;
}

void
kq_stream_search_queued (KqStreamRouter *router, KqTime now)
{
  KqStream *stream;
  while ((stream = TAILQ_FIRST (&router->queued)) != NULL)
    {
      if (now - stream->used_at >= REPEAT_US)
        {
          kq_stream_free (router, stream);
          continue;
        }
      if (!kq_search_budget_start (&router->search_budget))
        return;
      kq_stream_search_end (router, stream);
      start (router, stream, now);
    }
}

static void
probe (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqHeldSegment *held = STAILQ_FIRST (&stream->held);
  stream->state = KQ_STREAM_PROBING;
  stream->attempt = ++router->last_attempt;
  stream->unanswered = 0;
  for (unsigned i = 0; held != NULL && i < stream->maybe_count; i++)
    {
      KqStreamTarget *target = kq_stream_targets_find (router->targets, stream->maybe[i]);
      if (target == NULL)
        continue;
      stream->unanswered++;
      kq_stream_send (router, stream, target, KQ_FRAME_PROBE, held->bytes, held->size);
    }
  kq_stream_wait_until (router, stream, now + PROBE_US);
}

static void
note_maybe (KqStream *stream, uint64_t agent)
{
  if (stream->maybe_count < KQ_SEARCH_ROUND)
    stream->maybe[stream->maybe_count++] = agent;
  else
    stream->answers_missing = true;
}

static void
forget_maybe (KqStream *stream, uint64_t agent)
{
  for (unsigned i = 0; i < stream->maybe_count; i++)
    if (stream->maybe[i] == agent)
      {
        stream->maybe[i] = stream->maybe[--stream->maybe_count];
        return;
      }
}

/* All other targets have returned the probe, so the last one has accepted the segment and owns the
 * stream. The segment is not sent again. */
static void
settle_last (KqStreamRouter *router, KqStream *stream, KqStreamTarget *last)
{
  KqHeldSegment *first = STAILQ_FIRST (&stream->held);
  router->stats.found++;
  if (first != NULL)
    {
      STAILQ_REMOVE_HEAD (&stream->held, link);
      stream->held_count--;
      talloc_free (first);
    }
  kq_stream_settle (router, stream, last);
}

/* Ends a round: all answers have arrived, or the round has timed out. */
static void
conclude (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqStreamTarget *last = NULL;
  stream->answers_missing |= stream->unanswered > 0;
  if (stream->maybe_count == 1)
    last = kq_stream_targets_find (router->targets, stream->maybe[0]);
  if (stream->state == KQ_STREAM_SEARCHING && stream->maybe_count > 0 && stream->held_count > 0)
    probe (router, stream, now);
  else if (stream->state == KQ_STREAM_PROBING && last != NULL)
    settle_last (router, stream, last);
  else
    {
      stream->answers_missing |= stream->maybe_count > 0;
      if (stream->asked < stream->candidates.count)
        ask (router, stream, now);
      else
        give_up (router, stream, now);
    }
}

void
kq_stream_search_answer (KqStreamRouter *router, KqStream *stream, const KqStreamFrame *frame,
                         KqTime now)
{
  if (frame->type == KQ_FRAME_MAYBE)
    note_maybe (stream, frame->agent);
  if (frame->type == KQ_FRAME_DECLINED)
    forget_maybe (stream, frame->agent);
  if (frame->reason == KQ_REFUSAL_WRONG_SERVICE)
    stream->answers_missing = true;
  if (stream->unanswered > 0)
    stream->unanswered--;
  if (stream->unanswered > 0)
    return;
  kq_search_budget_answered (&router->search_budget);
  conclude (router, stream, now);
}

/* A few missing answers are probably from agents that have stopped. Only when more than half of a
 * round is late is the network taken to be congested, and the search budget reduced. */
static void
note_late (KqStreamRouter *router, const KqStream *stream, KqTime now)
{
  unsigned round = stream->state == KQ_STREAM_SEARCHING ? stream->asked % KQ_SEARCH_ROUND : 0;
  if (round == 0)
    round = stream->asked < KQ_SEARCH_ROUND ? stream->asked : KQ_SEARCH_ROUND;
  if (2 * stream->unanswered <= round)
    return;
  router->stats.late++;
  kq_search_budget_late (&router->search_budget, now);
}

void
kq_stream_search_late (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  if (stream->state == KQ_STREAM_SEARCHING)
    note_late (router, stream, now);
  if (stream->asked == 0 && now - stream->first_at < NOBODY_US)
    kq_stream_search (router, stream, now);
  else
    conclude (router, stream, now);
}

void
kq_stream_search_again (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  /* No further search once it is certain that no agent owns the stream: the result would be the
   * same, although a caller that closes its stream retransmits the FIN for seconds. */
  if (stream->nobody && stream->caller_waits)
    {
      kq_stream_refuse (router, stream, now);
      return;
    }
  bool more_known = stream->searched_version != kq_agent_history_version (router->roll);
  bool repeated = stream->used_at > stream->searched_at;
  if (!stream->nobody && now - stream->searched_at >= LOST_US && (more_known || repeated))
    kq_stream_search (router, stream, now);
  else if (now - stream->used_at >= REPEAT_US)
    kq_stream_free (router, stream);
  else
    kq_stream_wait_until (router, stream, now + LOST_US);
}
