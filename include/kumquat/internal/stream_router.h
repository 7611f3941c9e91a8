/* A balancer's decisions about streams: which agent a new one is offered to, and which agent holds
 * one that is open. It sees what callers send and what agents answer, never what targets send. */
#pragma once

#include "kumquat/internal/agent_roll.h"
#include "kumquat/internal/route_table.h"
#include "kumquat/internal/stream_targets.h"

typedef struct KqStreamRouter KqStreamRouter;

/**
 * struct KqStreamRouterOps - what a router asks of its process; pointers are borrowed for the call
 * @send: sends a frame to an agent
 * @reset: tells the caller of @key that the stream is refused or gone; @sequence lies in its window
 * @event: something to log about one stream, as key=value pairs
 * @opened: (nullable): a stream was opened, so long after its first segment
 */
typedef struct
{
  void (*send) (const KqAddress *to, const KqStreamFrame *frame, void *data);
  void (*reset) (const KqStreamKey *key, uint32_t sequence, void *data);
  void (*event) (int level, const char *name, const char *details, void *data);
  void (*opened) (KqTime took_us, void *data);
} KqStreamRouterOps;

/**
 * struct KqStreamRouterStats - counters since the start, gauges where said so
 * @segments: segments of callers taken
 * @malformed: answers of agents that name no stream or agent known here
 * @opened: streams that an agent took
 * @offers: offers of new streams, repeated ones included
 * @declined: offers that an agent declined
 * @unanswered: offers that no agent answered in time
 * @refused: new streams refused with a reset
 * @no_route: segments to an address without a route
 * @dropped: segments dropped because nobody could take them
 * @found: streams whose holder was found by asking
 * @lost: streams that nobody held any more
 * @searches: streams whose holder was asked for
 * @questions: agents asked whether they hold a stream
 * @late: rounds of questions that were not answered in time
 * @queued: gauge: streams whose search waits
 * @search_limit: gauge: searches that may run at once
 * @streams: gauge: streams known
 */
typedef struct
{
  uint64_t segments;
  uint64_t malformed;
  uint64_t opened;
  uint64_t offers;
  uint64_t declined;
  uint64_t unanswered;
  uint64_t refused;
  uint64_t no_route;
  uint64_t dropped;
  uint64_t found;
  uint64_t lost;
  uint64_t searches;
  uint64_t questions;
  uint64_t late;
  uint64_t queued;
  uint64_t search_limit;
  uint64_t streams;
} KqStreamRouterStats;

/**
 * kq_stream_router_new - Return: (owned by @parent) a router without routes, or NULL without memory
 * @roll: (borrowed): which agents may hold a stream; it takes the members before the router does
 */
KqStreamRouter *kq_stream_router_new (const void *parent, const char *failure_domain,
                                      const KqAgentHistory *roll, const KqStreamRouterOps *ops,
                                      void *data);

/** kq_stream_router_set_routes - takes a newer configuration; it is owned by the router then.
 * Return: whether it was newer */
bool kq_stream_router_set_routes (KqStreamRouter *router, KqRouteTable *routes);

/** kq_stream_router_routes - Return: (borrowed) (nullable) the configuration in use */
const KqRouteTable *kq_stream_router_routes (const KqStreamRouter *router);

/** kq_stream_router_trust_routes - says whether the configuration is known to be the newest; while
 * it is not, a stream without a route is not refused, only dropped */
void kq_stream_router_trust_routes (KqStreamRouter *router, bool trusted);

/** kq_stream_router_set_members - takes the members as now believed */
void kq_stream_router_set_members (KqStreamRouter *router, const KqMember *members, unsigned count);

/** kq_stream_router_segment - decides about a segment of a caller */
void kq_stream_router_segment (KqStreamRouter *router, const KqSegment *segment, KqTime now);

/** kq_stream_router_frame - takes an answer of an agent */
void kq_stream_router_frame (KqStreamRouter *router, const KqStreamFrame *frame, KqTime now);

/** kq_stream_router_next_tick - Return: when kq_stream_router_tick() is due, or KQ_NEVER */
KqTime kq_stream_router_next_tick (const KqStreamRouter *router);
void kq_stream_router_tick (KqStreamRouter *router, KqTime now);

KqStreamRouterStats kq_stream_router_stats (const KqStreamRouter *router);
