#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/stream_state.h"

/* Retransmissions of a closed stream arrive within this time. */
#define CLOSED_LINGER_US (4 * KQ_SECOND)

/* Interval between scans for idle streams. */
#define EXPIRY_INTERVAL_US (500 * KQ_MS)

/* Added to the idle timeout, so that a stream does not expire here before it does at its owner. */
#define IDLE_MARGIN_US (2 * KQ_SECOND)

KqStreamRouter *
kq_stream_router_new (const void *parent, const char *failure_domain,
                      const KqAgentHistory *agent_history, const KqStreamRouterOps *ops, void *data)
{
  KqStreamRouter *router = talloc_zero (parent, KqStreamRouter);
  if (router == NULL)
    return NULL;
  router->ops = *ops;
  router->data = data;
  TAILQ_INIT (&router->by_last_use);
  TAILQ_INIT (&router->by_timeout);
  TAILQ_INIT (&router->queued);
  router->agent_history = agent_history;
  kq_search_budget_init (&router->search_budget);
  router->targets = kq_stream_targets_new (router, failure_domain);
  router->route_history = kq_route_history_new (router);
  if (router->targets == NULL || router->route_history == NULL ||
      kq_hash_index_init (&router->index, router) < 0)
    {
      talloc_free (router);
      return NULL;
    }
  return router;
}

bool
kq_stream_router_set_routes (KqStreamRouter *router, KqRouteTable *routes, KqTime now)
{
  if (router->routes != NULL && routes->version <= router->routes->version)
    {
      talloc_free (routes);
      return false;
    }
  kq_route_history_replace (router->route_history, router->routes, routes, now);
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
kq_stream_router_set_evacuation (KqStreamRouter *router, const KqEvacuation *evacuation)
{
  kq_stream_targets_set_evacuation (router->targets, evacuation);
}

void
kq_stream_router_set_features (KqStreamRouter *router, const KqStreamFeatures *features)
{
  router->features = *features;
  kq_stream_targets_set_features (router->targets, features);
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
  stream->first_at = now - segment->opening_age_us;
  stream->service = service;
  stream->need = (KqStreamNeed){ .priority = route->priority,
                                 .objective_ms = route->objective_ms,
                                 .timeout_ms = route->timeout_ms };
  kq_stream_buffer_segment (stream, segment);
  kq_stream_offer (router, stream, now);
}

/* Buffers a segment until the owner of its stream is known. A caller that closes the stream expects
 * no further answer. */
static void
buffer_until_owned (KqStream *stream, const KqSegment *segment)
{
  bool ends = (segment->flags & (KQ_SEGMENT_FIN | KQ_SEGMENT_RST)) != 0;
  if (segment->payload_size > 0 && !ends)
    stream->answer_expected = true;
  kq_stream_buffer_segment (stream, segment);
}

static void
search_stream (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
{
  if (stream == NULL)
    stream = kq_stream_new (router, &segment->key, now);
  if (stream == NULL)
    return;
  stream->acknowledged = segment->acknowledged;
  buffer_until_owned (stream, segment);
  kq_stream_start_search (router, stream, now);
}

/* Forwards a segment to the owner. A SYN for an open stream is a retransmission, or the target's
 * answer has reached the caller before the agent's answer arrived here; it is sent as an offer to
 * the same agent. */
static void
forward_to_owner (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
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
  if (!opening && !kq_stream_may_forward (stream, owner, now))
    {
      search_stream (router, stream, segment, now);
      return;
    }
  if (opening)
    stream->transaction_id = ++router->last_transaction_id;
  kq_stream_send (router, stream, owner, opening ? KQ_FRAME_OPEN : KQ_FRAME_FORWARD, segment->bytes,
                  segment->size);
}

/* The caller has sent a segment other than a SYN, so a target has accepted the stream, although the
 * agent's answer is late or lost. The stream counts as open from now on and must not be refused. If
 * the agent of the last offer does not own it, that agent declines and a search for the owner
 * starts. */
static void
open_unconfirmed (KqStreamRouter *router, KqStream *stream, const KqSegment *segment, KqTime now)
{
  if (stream->owner == 0)
    {
      router->stats.dropped++;
      return;
    }
  kq_stream_drop_unsent (stream);
  kq_stream_clear_timeout (router, stream);
  stream->state = KQ_STREAM_OPEN;
  stream->confirmed = false;
  stream->owner_certain = false;
  stream->unconfirmed_sent = 0;
  router->stats.opened++;
  forward_to_owner (router, stream, segment, now);
}

static void
handle_known_segment (KqStreamRouter *router, KqStream *stream, const KqSegment *segment,
                      KqTime now)
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
        open_unconfirmed (router, stream, segment, now);
      break;
    case KQ_STREAM_OPEN:
      forward_to_owner (router, stream, segment, now);
      break;
    case KQ_STREAM_QUEUED:
    case KQ_STREAM_SEARCHING:
    case KQ_STREAM_PROBING:
      buffer_until_owned (stream, segment);
      break;
    case KQ_STREAM_NOT_FOUND:
      buffer_until_owned (stream, segment);
      kq_stream_search_retry (router, stream, now);
      break;
    case KQ_STREAM_REFUSED:
      router->stats.dropped++;
      if (opening)
        router->ops.reset (&stream->key, stream->acknowledged, router->data);
      break;
    }
}

void
kq_stream_router_handle_segment (KqStreamRouter *router, const KqSegment *segment, KqTime now)
{
  router->stats.segments++;
  KqStream *stream = kq_stream_find (router, &segment->key);
  if (stream != NULL)
    handle_known_segment (router, stream, segment, now);
  else if ((segment->flags & KQ_SEGMENT_SYN) != 0)
    open_stream (router, segment, now);
  else
    search_stream (router, NULL, segment, now);
}

void
kq_stream_router_handle_outdated_segment (KqStreamRouter *router, const KqSegment *segment,
                                          KqTime now)
{
  KqStream *stream = kq_stream_find (router, &segment->key);
  router->stats.segments++;
  if (stream != NULL && stream->state == KQ_STREAM_OPEN && (segment->flags & KQ_SEGMENT_SYN) == 0)
    handle_known_segment (router, stream, segment, now);
  else
    router->stats.outdated++;
}

void
kq_stream_router_resume (KqStreamRouter *router)
{
  KqStream *stream, *next;
  for (stream = TAILQ_FIRST (&router->by_last_use); stream != NULL; stream = next)
    {
      next = TAILQ_NEXT (stream, by_last_use);
      if (stream->state != KQ_STREAM_OPEN && stream->state != KQ_STREAM_REFUSED)
        kq_stream_free (router, stream);
    }
}

static void
handle_owned (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target, KqTime now)
{
  if (stream->state == KQ_STREAM_OPENING)
    {
      router->stats.opened++;
      if (router->ops.opened != NULL)
        router->ops.opened (now - stream->first_at, router->data);
      kq_stream_drop_unsent (stream);
      kq_stream_log (router, LOG_DEBUG, "stream-opened", stream, "agent=%016llx offers=%u us=%lld",
                     (unsigned long long)target->peer.id, stream->offers,
                     (long long)(now - stream->first_at));
    }
  else if (stream->state != KQ_STREAM_OPEN)
    {
      router->stats.found++;
      kq_stream_search_found (router, stream, target, now);
      return;
    }
  else
    {
      if (stream->owner == target->peer.id)
        kq_stream_confirm_owner (stream, target);
      return;
    }
  kq_stream_set_owner (router, stream, target, true, now);
}

static void
handle_queued (KqStreamRouter *router, KqStream *stream, const KqStreamFrame *frame, KqTime now)
{
  if (stream->state == KQ_STREAM_OPENING && stream->owner == frame->agent &&
      stream->transaction_id == frame->transaction_id)
    kq_stream_offer_queued (router, stream, now);
}

static void
handle_declined (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
                 const KqStreamFrame *frame, KqTime now)
{
  bool owner = stream->owner == target->peer.id;
  switch (stream->state)
    {
    case KQ_STREAM_OPENING:
      if (owner && frame->transaction_id == stream->transaction_id)
        kq_stream_offer_declined (router, stream, target, frame->reason, now);
      break;
    case KQ_STREAM_OPEN:
      if (!owner || frame->transaction_id != 0)
        break;
      stream->target_denied = frame->reason == KQ_REFUSAL_BOUNCED;
      if (frame->reason != KQ_REFUSAL_WRONG_SERVICE)
        kq_stream_search_note_returned (router, stream, target->peer.id);
      stream->owner = 0;
      kq_stream_note_unowned (router, stream, target->peer.id, now);
      kq_stream_start_search (router, stream, now);
      break;
    case KQ_STREAM_SEARCHING:
    case KQ_STREAM_PROBING:
      if (frame->reason == KQ_REFUSAL_BOUNCED)
        stream->target_denied = true;
      if (frame->transaction_id == stream->transaction_id)
        kq_stream_search_handle_answer (router, stream, frame, now);
      break;
    case KQ_STREAM_QUEUED:
    case KQ_STREAM_NOT_FOUND:
    case KQ_STREAM_REFUSED:
      break;
    }
}

static void
handle_undecided (KqStreamRouter *router, KqStream *stream, const KqStreamFrame *frame, KqTime now)
{
  if (stream->state == KQ_STREAM_SEARCHING && frame->transaction_id == stream->transaction_id)
    kq_stream_search_handle_answer (router, stream, frame, now);
}

void
kq_stream_router_handle_frame (KqStreamRouter *router, const KqStreamFrame *frame, KqTime now)
{
  KqStreamTarget *target = kq_stream_targets_find (router->targets, frame->agent);
  KqStream *stream = kq_stream_find (router, &frame->key);
  if (target == NULL || stream == NULL)
    {
      router->stats.malformed++;
      return;
    }
  kq_stream_target_answered (target, &frame->load, now);
  kq_stream_offer_answered (router, stream, target, frame, now);
  if (frame->type == KQ_FRAME_QUEUED)
    handle_queued (router, stream, frame, now);
  else if (frame->type == KQ_FRAME_OWNED)
    handle_owned (router, stream, target, now);
  else if (frame->type == KQ_FRAME_DECLINED)
    handle_declined (router, stream, target, frame, now);
  else if (frame->type == KQ_FRAME_UNDECIDED)
    handle_undecided (router, stream, frame, now);
  else
    router->stats.malformed++;
  kq_stream_start_queued_searches (router, now);
}

KqTime
kq_stream_router_next_tick (const KqStreamRouter *router)
{
  const KqStream *first = TAILQ_FIRST (&router->by_timeout);
  KqTime expiry = TAILQ_EMPTY (&router->by_last_use) ? KQ_NEVER : router->next_expiry;
  return first != NULL && first->timeout_at < expiry ? first->timeout_at : expiry;
}

static void
free_idle (KqStreamRouter *router, KqTime now)
{
  KqTime idle = router->routes == NULL ? KQ_NEVER / 2
                                       : router->routes->idle_timeout_ms * KQ_MS + IDLE_MARGIN_US;
  KqStream *stream, *next;
  for (stream = TAILQ_FIRST (&router->by_last_use); stream != NULL; stream = next)
    {
      next = TAILQ_NEXT (stream, by_last_use);
      if (now - stream->used_at < CLOSED_LINGER_US)
        break;
      if (!stream->timeout_pending && stream->state != KQ_STREAM_QUEUED &&
          (stream->closing || now - stream->used_at >= idle))
        kq_stream_free (router, stream);
    }
}

static void
handle_timeout (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  kq_stream_clear_timeout (router, stream);
  switch (stream->state)
    {
    case KQ_STREAM_OPENING:
      kq_stream_offer_timeout (router, stream, now);
      break;
    case KQ_STREAM_SEARCHING:
    case KQ_STREAM_PROBING:
      kq_stream_search_timeout (router, stream, now);
      break;
    case KQ_STREAM_NOT_FOUND:
      kq_stream_search_retry (router, stream, now);
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
  KqStream *stream = TAILQ_FIRST (&router->by_timeout);
  while (stream != NULL && stream->timeout_at <= now)
    {
      handle_timeout (router, stream, now);
      stream = TAILQ_FIRST (&router->by_timeout);
    }
  kq_stream_start_queued_searches (router, now);
  if (now < router->next_expiry)
    return;
  router->next_expiry = now + EXPIRY_INTERVAL_US;
  free_idle (router, now);
}

void
kq_stream_router_update_balance (KqStreamRouter *router, KqTime now)
{
  if (router->features.load_estimation)
    router->stats.busiest_permille = kq_stream_targets_busiest_permille (router->targets, now);
}

KqStreamRouterStats
kq_stream_router_stats (const KqStreamRouter *router)
{
  KqStreamRouterStats stats = router->stats;
  stats.search_limit = router->search_budget.limit;
  memcpy (stats.expected_wait_us, router->pressure.expected_us, sizeof stats.expected_wait_us);
  return stats;
}
