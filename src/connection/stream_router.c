#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/stream_state.h"

/* Retransmissions of a closed stream arrive within this time. */
#define CLOSING_US (4 * KQ_SECOND)

/* Interval between scans for idle streams. */
#define EXPIRE_EVERY (500 * KQ_MS)

/* Added to the idle timeout, so that a stream does not expire here before it does at its owner. */
#define IDLE_MARGIN_US (2 * KQ_SECOND)

KqStreamRouter *
kq_stream_router_new (const void *parent, const char *failure_domain, const KqAgentHistory *roll,
                      const KqStreamRouterOps *ops, void *data)
{
  KqStreamRouter *router = talloc_zero (parent, KqStreamRouter);
  if (router == NULL)
    return NULL;
  router->ops = *ops;
  router->data = data;
  TAILQ_INIT (&router->by_use);
  TAILQ_INIT (&router->by_due);
  TAILQ_INIT (&router->queued);
  router->roll = roll;
  kq_search_budget_init (&router->search_budget);
  router->targets = kq_stream_targets_new (router, failure_domain);
  if (router->targets == NULL || kq_hash_index_init (&router->index, router) < 0)
    {
      talloc_free (router);
      return NULL;
    }
  return router;
}

bool
kq_stream_router_set_routes (KqStreamRouter *router, KqRouteTable *routes)
{
  if (router->routes != NULL && routes->version <= router->routes->version)
    {
      talloc_free (routes);
      return false;
    }
  talloc_free (router->routes);
  router->routes = talloc_steal (router, routes);
  return true;
}

const KqRouteTable *
kq_stream_router_routes (const KqStreamRouter *router)
{
  return router->routes;
}

void
kq_stream_router_trust_routes (KqStreamRouter *router, bool trusted)
{
  router->routes_trusted = trusted;
}

void
kq_stream_router_set_members (KqStreamRouter *router, const KqMember *members, unsigned count)
{
  kq_stream_targets_set (router->targets, members, count);
}

/* Refuses a stream without a route only if the configuration is known to be current. Otherwise the
 * segment is dropped: the route may still arrive, and the caller retransmits. */
static void
refuse_without_route (KqStreamRouter *router, const KqSegment *segment)
{
  router->stats.no_route++;
  if (!router->routes_trusted || router->routes == NULL)
    {
      router->stats.dropped++;
      return;
    }
  router->ops.reset (&segment->key, segment->acknowledged, router->data);
}

static void
open_stream (KqStreamRouter *router, const KqSegment *segment, KqTime now)
{
  const KqStreamRoute *route =
      router->routes == NULL ? NULL : kq_route_table_find (router->routes, &segment->key);
  uint32_t service =
      route == NULL ? 0 : kq_stream_route_service (route, kq_stream_key_hash (&segment->key));
  if (service == 0)
    {
      refuse_without_route (router, segment);
      return;
    }
  KqStream *stream = kq_stream_new (router, &segment->key, now);
  if (stream == NULL)
    return;
  stream->state = KQ_STREAM_OPENING;
  stream->service = service;
  stream->need = (KqStreamNeed){ .priority = route->priority,
                                 .objective_ms = route->objective_ms,
                                 .timeout_ms = route->timeout_ms };
  kq_stream_hold (stream, segment);
  kq_stream_offer (router, stream, now);
}

/* Buffers a segment until the owner of its stream is known. A caller that closes the stream expects
 * no further answer. */
static void
wait_for_holder (KqStream *stream, const KqSegment *segment)
{
  bool ends = (segment->flags & (KQ_SEGMENT_FIN | KQ_SEGMENT_RST)) != 0;
  if (segment->payload_size > 0 && !ends)
    stream->caller_waits = true;
  kq_stream_hold (stream, segment);
}

static void
search_stream (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
{
  if (stream == NULL)
    stream = kq_stream_new (router, &segment->key, now);
  if (stream == NULL)
    return;
  stream->acknowledged = segment->acknowledged;
  wait_for_holder (stream, segment);
  kq_stream_search (router, stream, now);
}

/* Forwards a segment to the owner. A SYN for an open stream is a retransmission, or the target's
 * answer has reached the caller before the agent's answer arrived here; it is sent as an offer to
 * the same agent. */
static void
carry (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
{
  KqStreamTarget *owner = kq_stream_targets_find (router->targets, stream->owner);
  bool opening = (segment->flags & KQ_SEGMENT_SYN) != 0;
  if (owner == NULL && !opening)
    {
      search_stream (router, stream, segment, now);
      return;
    }
  if (owner == NULL)
    return;
  if (opening)
    stream->attempt = ++router->last_attempt;
  kq_stream_send (router, stream, owner, opening ? KQ_FRAME_OPEN : KQ_FRAME_CARRY, segment->bytes,
                  segment->size);
}

/* The caller has sent a segment other than a SYN, so a target has accepted the stream, although the
 * agent's answer is late or lost. The stream counts as open from now on and must not be refused. If
 * the agent of the last offer does not own it, that agent declines and a search for the owner
 * starts. */
static void
go_on (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
{
  if (stream->owner == 0)
    {
      router->stats.dropped++;
      return;
    }
  kq_stream_drop_held (stream);
  kq_stream_stop_waiting (router, stream);
  stream->state = KQ_STREAM_OPEN;
  router->stats.opened++;
  carry (router, stream, segment, now);
}

static void
take_segment (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
{
  bool opening = (segment->flags & KQ_SEGMENT_SYN) != 0;
  kq_stream_touch (router, stream, now);
  if (!opening)
    stream->acknowledged = segment->acknowledged;
  if ((segment->flags & (KQ_SEGMENT_FIN | KQ_SEGMENT_RST)) != 0)
    stream->closing = true;
  switch (stream->state)
    {
    case KQ_STREAM_OPENING:
      if (!opening)
        go_on (router, stream, segment, now);
      break;
    case KQ_STREAM_OPEN:
      carry (router, stream, segment, now);
      break;
    case KQ_STREAM_QUEUED:
    case KQ_STREAM_SEARCHING:
    case KQ_STREAM_PROBING:
      wait_for_holder (stream, segment);
      break;
    case KQ_STREAM_LOST:
      wait_for_holder (stream, segment);
      kq_stream_search_again (router, stream, now);
      break;
    case KQ_STREAM_REFUSED:
      router->stats.dropped++;
      if (opening)
        router->ops.reset (&stream->key, stream->acknowledged, router->data);
      break;
    }
}

void
kq_stream_router_segment (KqStreamRouter *router, const KqSegment *segment, KqTime now)
{
  router->stats.segments++;
  KqStream *stream = kq_stream_find (router, &segment->key);
  if (stream != NULL)
    take_segment (router, stream, segment, now);
  else if ((segment->flags & KQ_SEGMENT_SYN) != 0)
    open_stream (router, segment, now);
  else
    search_stream (router, NULL, segment, now);
}

static void
take_holds (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target, KqTime now)
{
  if (stream->state == KQ_STREAM_OPENING)
    {
      router->stats.opened++;
      if (router->ops.opened != NULL)
        router->ops.opened (now - stream->first_at, router->data);
      kq_stream_drop_held (stream);
      kq_stream_log (router, LOG_DEBUG, "stream-opened", stream, "agent=%016llx offers=%u us=%lld",
                     (unsigned long long)target->peer.id, stream->offers,
                     (long long)(now - stream->first_at));
    }
  else if (stream->state != KQ_STREAM_OPEN)
    router->stats.found++;
  else
    return;
  kq_stream_settle (router, stream, target);
}

static void
take_waiting (KqStreamRouter *router, KqStream *stream, const KqStreamFrame *frame, KqTime now)
{
  if (stream->state == KQ_STREAM_OPENING && stream->owner == frame->agent &&
      stream->attempt == frame->attempt)
    kq_stream_offer_waits (router, stream, now);
}

static void
take_declined (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
               const KqStreamFrame *frame, KqTime now)
{
  bool owner = stream->owner == target->peer.id;
  switch (stream->state)
    {
    case KQ_STREAM_OPENING:
      if (owner && frame->attempt == stream->attempt)
        kq_stream_offer_declined (router, stream, target, frame->reason, now);
      break;
    case KQ_STREAM_OPEN:
      if (!owner || frame->attempt != 0)
        break;
      stream->gone = frame->reason == KQ_REFUSAL_BOUNCED;
      stream->owner = 0;
      kq_stream_search (router, stream, now);
      break;
    case KQ_STREAM_SEARCHING:
    case KQ_STREAM_PROBING:
      if (frame->reason == KQ_REFUSAL_BOUNCED)
        stream->gone = true;
      if (frame->attempt == stream->attempt)
        kq_stream_search_answer (router, stream, frame, now);
      break;
    case KQ_STREAM_QUEUED:
    case KQ_STREAM_LOST:
    case KQ_STREAM_REFUSED:
      break;
    }
}

static void
take_maybe (KqStreamRouter *router, KqStream *stream, const KqStreamFrame *frame, KqTime now)
{
  if (stream->state == KQ_STREAM_SEARCHING && frame->attempt == stream->attempt)
    kq_stream_search_answer (router, stream, frame, now);
}

void
kq_stream_router_frame (KqStreamRouter *router, const KqStreamFrame *frame, KqTime now)
{
  KqStreamTarget *target = kq_stream_targets_find (router->targets, frame->agent);
  KqStream *stream = kq_stream_find (router, &frame->key);
  if (target == NULL || stream == NULL)
    {
      router->stats.malformed++;
      return;
    }
  kq_stream_target_answered (target, &frame->load, now);
  if (frame->type == KQ_FRAME_WAITING)
    take_waiting (router, stream, frame, now);
  else if (frame->type == KQ_FRAME_HOLDS)
    take_holds (router, stream, target, now);
  else if (frame->type == KQ_FRAME_DECLINED)
    take_declined (router, stream, target, frame, now);
  else if (frame->type == KQ_FRAME_MAYBE)
    take_maybe (router, stream, frame, now);
  else
    router->stats.malformed++;
  kq_stream_search_queued (router, now);
}

KqTime
kq_stream_router_next_tick (const KqStreamRouter *router)
{
  const KqStream *first = TAILQ_FIRST (&router->by_due);
  KqTime expiry = TAILQ_EMPTY (&router->by_use) ? KQ_NEVER : router->next_expiry;
  return first != NULL && first->due_at < expiry ? first->due_at : expiry;
}

static void
expire (KqStreamRouter *router, KqTime now)
{
  KqTime idle = router->routes == NULL ? KQ_NEVER / 2
                                       : router->routes->idle_timeout_ms * KQ_MS + IDLE_MARGIN_US;
  KqStream *stream, *next;
  for (stream = TAILQ_FIRST (&router->by_use); stream != NULL; stream = next)
    {
      next = TAILQ_NEXT (stream, by_use);
      if (now - stream->used_at < CLOSING_US)
        break;
      if (!stream->waits && stream->state != KQ_STREAM_QUEUED &&
          (stream->closing || now - stream->used_at >= idle))
        kq_stream_free (router, stream);
    }
}

static void
take_due (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  kq_stream_stop_waiting (router, stream);
  switch (stream->state)
    {
    case KQ_STREAM_OPENING:
      kq_stream_offer_late (router, stream, now);
      break;
    case KQ_STREAM_SEARCHING:
    case KQ_STREAM_PROBING:
      kq_stream_search_late (router, stream, now);
      break;
    case KQ_STREAM_LOST:
      kq_stream_search_again (router, stream, now);
      break;
    case KQ_STREAM_REFUSED:
      kq_stream_free (router, stream);
      break;
    case KQ_STREAM_OPEN:
    case KQ_STREAM_QUEUED:
      break;
    }
}

void
kq_stream_router_tick (KqStreamRouter *router, KqTime now)
{
  KqStream *stream = TAILQ_FIRST (&router->by_due);
  while (stream != NULL && stream->due_at <= now)
    {
      take_due (router, stream, now);
      stream = TAILQ_FIRST (&router->by_due);
    }
  kq_stream_search_queued (router, now);
  if (now < router->next_expiry)
    return;
  router->next_expiry = now + EXPIRE_EVERY;
  expire (router, now);
}

KqStreamRouterStats
kq_stream_router_stats (const KqStreamRouter *router)
{
  KqStreamRouterStats stats = router->stats;
  stats.search_limit = router->search_budget.limit;
  return stats;
}
