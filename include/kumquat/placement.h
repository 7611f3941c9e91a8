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
 */
typedef struct
{
  KqPeer self;
  unsigned flows_max;
  unsigned directory_max;
  KqTime idle_us;
  unsigned admit_load;
  uint64_t seed;
} KqPlacementParams;

/**
 * struct KqPlacementStats - counters and gauges for metrics and reports
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

/** kq_placement_tick - repeats what was not acknowledged, and closes idle flows */
void kq_placement_tick (KqPlacement *placement, KqTime now);

/** kq_placement_touch - a datagram of the target's was sent on this flow; it is not idle */
void kq_placement_touch (KqPlacement *placement, const KqFlowKey *key, KqTime now);

/** kq_placement_close - ends a flow that the target has finished with */
void kq_placement_close (KqPlacement *placement, const KqFlowKey *key, KqTime now);

/** kq_placement_set_draining - admits no new flow while draining; open flows and the directory stay
 */
void kq_placement_set_draining (KqPlacement *placement, bool draining, KqTime now);

/** kq_placement_stats - Return: the counters at this moment */
KqPlacementStats kq_placement_stats (const KqPlacement *placement);
