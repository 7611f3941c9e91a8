/* A segment of a stream that this balancer does not know comes after another balancer ended, or
 * after the fabric moved the stream. All agents that can hold it are asked; the holder answers. An
 * agent that started beside a target that was running before cannot tell: the segment itself goes
 * to all of these, and each target that does not hold the stream returns it. So an open stream
 * costs a round trip, and no target gets segments of others for longer than one.
 *
 * When nobody holds the stream, its caller is told, so that it does not wait until its deadline:
 * after a loss of power these are all open streams. That must never hit a stream that lives. So
 * every agent must have answered this very question, and no agent may be missing that has lived
 * within the lifetime of a stream; otherwise the stream is lost, and searched again when more is
 * known of the agents. */

#include <syslog.h>

#include "kumquat/internal/stream_state.h"

#define ANSWERS_US (60 * KQ_MS)  /* answers come within a round trip between failure domains */
#define RETRY_US   (20 * KQ_MS)  /* between looks for agents while none is known */
#define PROBE_US   (120 * KQ_MS) /* a target answers or returns a segment within milliseconds */
#define NOBODY_US                                                                                  \
  (400 * KQ_MS) /* a balancer that has just started learns of the agents within it */
#define LOST_US   (300 * KQ_MS)  /* pause before a stream without a holder is searched again */
#define REPEAT_US (1700 * KQ_MS) /* a caller repeats a segment after 1.6 s at the latest */

static bool
may_hold (const KqStreamRouter *router, const KqStream *stream, const KqStreamTarget *target)
{
  const KqStreamRoute *route =
      router->routes == NULL ? NULL : kq_route_table_find (router->routes, &stream->key);
  if (route == NULL)
    return true;
  for (unsigned i = 0; i < route->service_count; i++)
    if (route->services[i].number == target->service)
      return true;
  return false;
}

static bool
nobody_holds (const KqStreamRouter *router, const KqStream *stream)
{
  return router->agents_complete && stream->asked > 0 && !stream->answers_missing &&
         stream->maybe_count == 0;
}

static void
give_up (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool certain = stream->gone || nobody_holds (router, stream);
  router->stats.lost++;
  kq_stream_log (router, LOG_INFO, "stream-lost", stream,
                 "target_gone=%s agents=%s asked=%u told=%s age_ms=%lld",
                 stream->gone ? "yes" : "unknown", router->agents_complete ? "all" : "missing",
                 stream->asked, certain && (stream->gone || stream->caller_waits) ? "yes" : "no",
                 (long long)((now - stream->first_at) / KQ_MS));
  if (certain && (stream->gone || stream->caller_waits))
    {
      kq_stream_refuse (router, stream, now);
      return;
    }
  stream->state = KQ_STREAM_LOST;
  kq_stream_wait_until (router, stream, now + LOST_US);
}

void
kq_stream_search (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  unsigned count;
  KqStreamTarget *targets = kq_stream_targets_all (router->targets, &count);
  stream->state = KQ_STREAM_SEARCHING;
  stream->attempt = ++router->last_attempt;
  stream->searched_at = now;
  stream->searched_version = router->agents_version;
  stream->unanswered = 0;
  stream->answers_missing = false;
  stream->maybe_count = 0;
  stream->maybe = talloc_realloc (stream, stream->maybe, uint64_t, count + 1);
  router->stats.searches++;
  for (unsigned i = 0; i < count; i++)
    {
      if (!may_hold (router, stream, &targets[i]))
        continue;
      stream->unanswered++;
      kq_stream_send (router, stream, &targets[i], KQ_FRAME_FIND, NULL, 0);
    }
  stream->asked = stream->unanswered;
  kq_stream_wait_until (router, stream, now + (stream->asked > 0 ? ANSWERS_US : RETRY_US));
}

static void
probe (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqHeldSegment *held = STAILQ_FIRST (&stream->held);
  stream->state = KQ_STREAM_PROBING;
  stream->attempt = ++router->last_attempt;
  stream->unanswered = 0;
  for (unsigned i = 0; held != NULL && stream->maybe != NULL && i < stream->maybe_count; i++)
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
  if (stream->maybe != NULL && stream->maybe_count < stream->asked)
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

/* All answers are in, or late. */
static void
conclude (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqStreamTarget *last = NULL;
  stream->answers_missing |= stream->unanswered > 0;
  if (stream->maybe_count == 1 && stream->maybe != NULL)
    last = kq_stream_targets_find (router->targets, stream->maybe[0]);
  if (stream->state == KQ_STREAM_SEARCHING && stream->maybe_count > 0 && stream->held_count > 0)
    probe (router, stream, now);
  else if (stream->state == KQ_STREAM_PROBING && last != NULL)
    {
      /* All others returned the segment, and this target kept it. */
      router->stats.found++;
      KqHeldSegment *first = STAILQ_FIRST (&stream->held);
      if (first != NULL)
        {
          STAILQ_REMOVE_HEAD (&stream->held, link);
          stream->held_count--;
          talloc_free (first);
        }
      kq_stream_settle (router, stream, last);
    }
  else
    give_up (router, stream, now);
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
  if (stream->unanswered == 0)
    conclude (router, stream, now);
}

void
kq_stream_search_late (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  if (stream->asked == 0 && now - stream->first_at < NOBODY_US)
    kq_stream_search (router, stream, now);
  else
    conclude (router, stream, now);
}

void
kq_stream_search_again (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool more_known = stream->searched_version != router->agents_version;
  bool repeated = stream->used_at > stream->searched_at;
  if (now - stream->searched_at >= LOST_US && (more_known || repeated))
    kq_stream_search (router, stream, now);
  else if (now - stream->used_at >= REPEAT_US)
    kq_stream_free (router, stream);
  else
    kq_stream_wait_until (router, stream, now + LOST_US);
}
