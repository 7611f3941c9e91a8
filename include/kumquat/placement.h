/* Decides which target owns a flow and preserves that decision across view changes. Flows are
 * hashed into buckets; the home of a bucket is the agent that places its new flows and records
 * their owners in its directory. */
#pragma once

#include "kumquat/packet.h"
#include "kumquat/random.h"
#include "kumquat/view.h"

typedef struct KqPlacement KqPlacement;

/**
 * struct KqPlacementOps - callbacks through which a placement acts on its process
 * @send: sends a placement message to another agent of the service
 * @deliver: this agent owns the flow of @packet: pass the payload to the target
 * @forward: @to owns the flow of @packet, or is the home of its bucket: forward the datagram with
 *   the hop count incremented
 * @refuse: no agent accepts the flow, and @packet was not delivered to any target
 * @load: Return: this target's load, in running and waiting requests per thousand slots
 * @closed: the flow expired or was closed here; release its resources
 *
 * All pointers are borrowed for the call. @data is the context pointer given at creation.
 */
typedef struct
{
  void (*send) (const KqPeer *to, const uint8_t *bytes, size_t size, void *data);
  void (*deliver) (const KqPacket *packet, void *data);
  void (*forward) (const KqPeer *to, const KqPacket *packet, void *data);
  void (*refuse) (const KqPacket *packet, KqErrorKind reason, void *data);
  unsigned (*load) (void *data);
  void (*closed) (const KqFlowKey *key, void *data);
} KqPlacementOps;

/**
 * struct KqPlacementParams - limits of one agent's placement
 * @self: this agent with its current incarnation
 * @flows_max: maximum number of flows that the target owns at a time
 * @directory_max: maximum number of flows of other targets that this agent records as home
 * @idle_us: a flow without datagrams for this long is closed
 * @admit_load: below this load a new flow is admitted without querying other targets
 * @seed: seed of the random number generator
 * @load_step: load that one more request adds (1000 / slots); 0 if unknown
 * @query_max: targets whose load is queried before a placement, 1 to 8; 0 means 4
 */
typedef struct
{
  KqPeer self;
  unsigned flows_max;
  unsigned directory_max;
  KqTime idle_us;
  unsigned admit_load;
  uint64_t seed;
  unsigned load_step;
  unsigned query_max;
} KqPlacementParams;

/**
 * struct KqPlacementStats - counters and gauges for metrics and reports
 * @flows_open: flows that the target owns
 * @flows_admitted: flows admitted here since the start
 * @flows_refused: datagrams refused
 * @flows_expired: flows closed because they were idle
 * @flows_placed_elsewhere: flows of this agent's buckets that another target accepted
 * @directory_entries: flows of other targets that this agent knows
 * @forwarded: datagrams forwarded
 * @messages_sent: placement messages sent
 * @messages_bad: placement messages that were malformed, for another service or of an ended
 *   incarnation
 * @buckets_home: buckets whose home is this agent in its view
 * @buckets_syncing: those of them that are not synced yet
 * @flows_lost: known flows whose owner died
 * @owner_conflicts: flows that two targets reported as their own
 * @datagrams_waiting: datagrams queued until their flow is placed
 * @sync_rounds: rounds in which the other targets were asked for their flows
 * @queries: flows for which the loads of other targets were queried
 */
typedef struct
{
  uint64_t flows_open;
  uint64_t flows_admitted;
  uint64_t flows_refused;
  uint64_t flows_expired;
  uint64_t flows_placed_elsewhere;
  uint64_t directory_entries;
  uint64_t forwarded;
  uint64_t messages_sent;
  uint64_t messages_bad;
  uint64_t buckets_home;
  uint64_t buckets_syncing;
  uint64_t flows_lost;
  uint64_t owner_conflicts;
  uint64_t datagrams_waiting;
  uint64_t sync_rounds;
  uint64_t queries;
} KqPlacementStats;

/** kq_placement_new - Return: (owned by @parent) a placement without flows, or NULL */
KqPlacement *kq_placement_new (const void *parent, const KqPlacementParams *params,
                               const KqPlacementOps *ops, void *data);

/** kq_placement_set_view - updates the known targets of the service; copies @view */
void kq_placement_set_view (KqPlacement *placement, const KqServiceView *view, KqTime now);

/** kq_placement_packet - handles a request from a balancer or one that an agent forwarded */
void kq_placement_packet (KqPlacement *placement, const KqPacket *packet, KqTime now);

/**
 * kq_placement_message - handles a placement message of another agent
 *
 * Return: 0, or -1 with @error set; the message is then counted and otherwise ignored.
 */
int kq_placement_message (KqPlacement *placement, const KqPeer *from, const uint8_t *bytes,
                          size_t size, KqTime now, KqError *error);

/**
 * kq_placement_next_tick - returns when kq_placement_tick must be called next
 *
 * Return: the earliest time, or KQ_NEVER. Expiry of idle flows also needs a tick at least ten times
 * a second.
 */
KqTime kq_placement_next_tick (const KqPlacement *placement);

/** kq_placement_tick - retransmits unanswered requests and closes idle flows */
void kq_placement_tick (KqPlacement *placement, KqTime now);

/** kq_placement_touch - resets the idle time of a flow on which the target sent a datagram */
void kq_placement_touch (KqPlacement *placement, const KqFlowKey *key, KqTime now);

/** kq_placement_close - closes a flow that the target has finished with */
void kq_placement_close (KqPlacement *placement, const KqFlowKey *key, KqTime now);

/** kq_placement_close_all - closes every flow that the target owns; Return: how many */
unsigned kq_placement_close_all (KqPlacement *placement, KqTime now);

/**
 * kq_placement_set_draining - admits no new flow while draining; open flows and the directory are
 * kept
 */
void kq_placement_set_draining (KqPlacement *placement, bool draining, KqTime now);

/** kq_placement_stats - Return: the current counters */
KqPlacementStats kq_placement_stats (const KqPlacement *placement);
