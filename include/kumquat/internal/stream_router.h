/* Stream routing of a balancer: which agent a new stream is offered to, and which agent owns an
 * open stream. A balancer receives segments of callers and answers of agents, never segments of
 * targets.
 */
#pragma once

#include "kumquat/internal/agent_history.h"
#include "kumquat/internal/route_table.h"
#include "kumquat/internal/stream_features.h"
#include "kumquat/internal/stream_targets.h"

typedef struct KqStreamRouter KqStreamRouter;

/**
 * struct KqStreamRouterOps - callbacks of a router; pointers are borrowed for the call
 * @send: sends a frame to an agent
 * @reset: sends a reset to the caller of @key; @sequence lies in the caller's window
 * @event: logs an event of one stream; @details are key=value pairs
 * @opened: (nullable): a stream was opened, @took_us after its first segment
 */
typedef struct
{
  void (*send) (const KqAddress *to, const KqStreamFrame *frame, void *data);
  void (*reset) (const KqStreamKey *key, uint32_t sequence, void *data);
  void (*event) (int level, const char *name, const char *details, void *data);
  void (*opened) (KqTime took_us, void *data);
} KqStreamRouterOps;

/**
 * struct KqStreamRouterStats - counters since the start; gauges are marked
 * @segments: segments received from callers
 * @malformed: answers of agents with an unknown stream, agent or type
 * @opened: new streams that an agent accepted
 * @offers: offers of new streams, repeated ones included
 * @declined: offers that an agent declined
 * @unanswered: offers that were not answered in time
 * @refused: new streams refused with a reset
 * @refused_early: those of them that were expected to be late at every agent
 * @no_route: segments to an address without a route
 * @dropped: segments dropped because their stream has no route or owner, or was refused
 * @outdated: segments dropped because they waited while the process was paused
 * @found: searches that found the owner
 * @lost: searches that found no owner
 * @unowned: streams whose segments no agent accepted for 500 ms or longer
 * @searches: searches for the owner of a stream
 * @questions: queries sent to agents by searches
 * @late: rounds of queries that were not answered in time
 * @queued: gauge: streams whose search is queued
 * @search_limit: gauge: searches that may run at once
 * @streams: gauge: streams known
 * @busiest_permille: gauge, with features.load_estimation, set by
 * kq_stream_router_update_balance(): see kq_stream_targets_busiest_permille()
 * @expected_wait_us: (array): gauge: smoothed wait that new streams expect, by priority; 0 without
 *   overload control
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
  uint64_t refused_early;
  uint64_t no_route;
  uint64_t dropped;
  uint64_t outdated;
  uint64_t found;
  uint64_t lost;
  uint64_t unowned;
  uint64_t searches;
  uint64_t questions;
  uint64_t late;
  uint64_t queued;
  uint64_t search_limit;
  uint64_t streams;
  uint64_t busiest_permille;
  KqTime expected_wait_us[KQ_WAIT_CLASSES];
} KqStreamRouterStats;

/**
 * kq_stream_router_new - Return: (owned by @parent) a router without routes, or NULL without memory
 * @agent_history: (borrowed): the agent history; it must be updated with the members before the
 * router
 */
KqStreamRouter *kq_stream_router_new (const void *parent, const char *failure_domain,
                                      const KqAgentHistory *agent_history,
                                      const KqStreamRouterOps *ops, void *data);

/** kq_stream_router_set_routes - replaces the configuration if @routes is newer, and takes
 * ownership of @routes. Return: whether it was newer */
bool kq_stream_router_set_routes (KqStreamRouter *router, KqRouteTable *routes, KqTime now);

/** kq_stream_router_routes - Return: (borrowed) (nullable) the configuration in use */
const KqRouteTable *kq_stream_router_routes (const KqStreamRouter *router);

/** kq_stream_router_trust_routes - sets whether the configuration is known to be the newest; while
 * it is not, segments without a route are dropped instead of refused */
void kq_stream_router_trust_routes (KqStreamRouter *router, bool trusted);

/** kq_stream_router_set_evacuation - sets which failure domains are evacuated; @evacuation is
 * borrowed. New streams go elsewhere; open ones stay. */
void kq_stream_router_set_evacuation (KqStreamRouter *router, const KqEvacuation *evacuation);

/** kq_stream_router_set_features - sets the optional parts in use; none at first */
void kq_stream_router_set_features (KqStreamRouter *router, const KqStreamFeatures *features);

/** kq_stream_router_set_members - sets the current members */
void kq_stream_router_set_members (KqStreamRouter *router, const KqMember *members, unsigned count);

/** kq_stream_router_handle_segment - handles a segment of a caller */
void kq_stream_router_handle_segment (KqStreamRouter *router, const KqSegment *segment, KqTime now);

/** kq_stream_router_handle_outdated_segment - handles a segment of a caller that waited here while
 * this process was paused. It is forwarded if its stream is open, and dropped otherwise: the caller
 * has retransmitted it meanwhile, and may have opened the stream through another balancer. */
void kq_stream_router_handle_outdated_segment (KqStreamRouter *router, const KqSegment *segment,
                                               KqTime now);

/** kq_stream_router_resume - handles that this process was paused: offers and searches that were
 * under way are dropped without a reset, since their callers may have an owner elsewhere. Open
 * streams stay; an owner that is wrong declines the next segment. */
void kq_stream_router_resume (KqStreamRouter *router);

/** kq_stream_router_handle_frame - handles an answer of an agent */
void kq_stream_router_handle_frame (KqStreamRouter *router, const KqStreamFrame *frame, KqTime now);

/** kq_stream_router_next_tick - Return: when kq_stream_router_tick() is due, or KQ_NEVER */
KqTime kq_stream_router_next_tick (const KqStreamRouter *router);
void kq_stream_router_tick (KqStreamRouter *router, KqTime now);

/** kq_stream_router_update_balance - updates busiest_permille of the statistics; scans all targets
 */
void kq_stream_router_update_balance (KqStreamRouter *router, KqTime now);

KqStreamRouterStats kq_stream_router_stats (const KqStreamRouter *router);
