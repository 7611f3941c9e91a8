/* Decides which target holds a flow, and keeps that decision through changes of the view. */
#pragma once

#include "kumquat/packet.h"
#include "kumquat/random.h"
#include "kumquat/view.h"

typedef struct KqPlacement KqPlacement;

/**
 * struct KqPlacementOps - what a placement asks of its process
 * @send: sends a placement message to another agent of the service
 * @deliver: this target holds the flow of @packet: hand the payload to the target
 * @forward: @to holds the flow of @packet, or is the home of its bucket: pass the datagram on with
 *   one hop more
 * @refuse: nobody takes the flow, and @packet was not delivered to any target
 * @load: Return: this target's load, in requests running and waiting per thousand slots
 * @closed: the flow expired or was closed here; release what belongs to it
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
 * @self: this agent in this life
 * @flows_max: flows that the target holds at once
 * @directory_max: flows of other targets that this agent keeps as home of their buckets
 * @idle_us: a flow without a datagram for so long is closed
 * @admit_load: a new flow stays here without asking others while the load is below this
 * @seed: seed of the generator
 * @load_step: what one more request adds to the load (1000 / slots); 0 when not known
 * @ask_max: targets asked for their load before a placement, 1 to 8; 0 means 4
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
  unsigned ask_max;
} KqPlacementParams;

/**
 * struct KqPlacementStats - counters and gauges for metrics and reports
 * @flows_open: flows that the target holds
 * @flows_admitted: flows taken here since the start
 * @flows_refused: datagrams refused
 * @flows_expired: flows closed because they were idle
 * @flows_placed_elsewhere: flows of this agent's buckets that another target took
 * @directory_entries: flows of other targets that this agent knows
 * @forwarded: datagrams passed on
 * @messages_sent: placement messages sent
 * @messages_bad: placement messages that were malformed or of another service or life
 * @buckets_home: buckets whose home is this agent in its view
 * @buckets_syncing: those of them that it may not place flows of yet
 * @flows_lost: flows known here whose target died
 * @owner_conflicts: flows that two targets said they hold
 * @datagrams_waiting: datagrams kept until their flow is placed
 * @sync_rounds: times that the other targets were asked for their flows
 * @queries: flows for which other targets were asked for their load
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

/** kq_placement_new - Return: (owned by @parent) a placement that holds no flow, or NULL */
KqPlacement *kq_placement_new (const void *parent, const KqPlacementParams *params,
                               const KqPlacementOps *ops, void *data);

/** kq_placement_set_view - takes the service's targets as now believed; copies @view */
void kq_placement_set_view (KqPlacement *placement, const KqServiceView *view, KqTime now);

/** kq_placement_packet - decides about a request from a balancer or passed on by an agent */
void kq_placement_packet (KqPlacement *placement, const KqPacket *packet, KqTime now);

/**
 * kq_placement_message - takes a placement message of another agent
 *
 * Return: 0, or -1 with @error set; the message is then counted and has no effect.
 */
int kq_placement_message (KqPlacement *placement, const KqPeer *from, const uint8_t *bytes,
                          size_t size, KqTime now, KqError *error);

/**
 * kq_placement_next_tick - tells when kq_placement_tick has something to do
 *
 * Return: the earliest time, or KQ_NEVER; idle flows need a tick at least ten times a second
 * besides.
 */
KqTime kq_placement_next_tick (const KqPlacement *placement);

/** kq_placement_tick - repeats what was not acknowledged, and closes idle flows */
void kq_placement_tick (KqPlacement *placement, KqTime now);

/** kq_placement_touch - a datagram of the target's was sent on this flow; it is not idle */
void kq_placement_touch (KqPlacement *placement, const KqFlowKey *key, KqTime now);

/** kq_placement_close - ends a flow that the target has finished with */
void kq_placement_close (KqPlacement *placement, const KqFlowKey *key, KqTime now);

/** kq_placement_close_all - ends every flow that the target holds; Return: how many */
unsigned kq_placement_close_all (KqPlacement *placement, KqTime now);

/** kq_placement_set_draining - admits no new flow while draining; open flows and the directory stay
 */
void kq_placement_set_draining (KqPlacement *placement, bool draining, KqTime now);

/** kq_placement_stats - Return: the counters at this moment */
KqPlacementStats kq_placement_stats (const KqPlacement *placement);
