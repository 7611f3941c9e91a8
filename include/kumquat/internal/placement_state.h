/* State of one agent's placement, shared by the files that implement it.
 *
 * Safety rests on two rules. An agent places new flows of a bucket only while the bucket is
 * synced: every target that it knows, and every target that those know, has answered its sync
 * request. An agent that answers a sync request is fenced: it is no longer synced for the bucket
 * and accepts flows of the bucket only from the requester. Two agents that reach each other are
 * therefore never synced for the same bucket at the same time, whatever their views contain;
 * views only determine which agent sends the request. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/flow_shard.h"
#include "kumquat/internal/placement_message.h"
#include "kumquat/random.h"

#define KQ_QUERIED_TARGETS_MAX  8
#define KQ_DEPARTED_MAX         64
#define KQ_RESERVED_MAX         64
#define KQ_HANDLED_REQUESTS_MAX 256
#define KQ_UNKNOWN_PEERS_MAX    8

/**
 * struct KqTarget - a target of the service that this agent knows
 * @peer: its agent
 * @since: when this incarnation of it appeared
 * @in_service: accepts new flows
 */
typedef struct
{
  KqPeer peer;
  KqTime since;
  bool in_service;
} KqTarget;

/**
 * struct KqBucket - what this agent knows about one bucket
 * @home: first candidate in this agent's view; id 0 if there is none
 * @claimed: the home in this agent's view forwarded a flow that names this agent as the home
 * @synced: this agent may place flows of the bucket
 * @in_round: the current sync round requests the bucket
 * @overflow: the directory had no room for a flow of the bucket
 * @blocked_until: new flows are refused until then because of an overflow
 * @fence: the agent that last requested the bucket
 * @fence_round: number of its sync round
 * @fence_current: the fence is more recent than the last change of @home
 * @reclaim_at: before this time a fenced home leaves the bucket to @fence
 */
typedef struct
{
  KqPeer home;
  bool claimed;
  bool synced;
  bool in_round;
  bool overflow;
  KqTime blocked_until;
  KqPeer fence;
  uint64_t fence_round;
  bool fence_current;
  KqTime reclaim_at;
} KqBucket;

/**
 * struct KqWaitingDatagram - a queued copy of a datagram whose flow is not placed yet
 */
typedef struct KqWaitingDatagram
{
  TAILQ_ENTRY (KqWaitingDatagram) link;
  KqPacket packet;
  uint8_t payload[];
} KqWaitingDatagram;

/**
 * enum KqPendingState - what a flow waits for
 * @KQ_WAIT_SYNC: the sync of its bucket
 * @KQ_WAIT_LOADS: the loads of other targets
 * @KQ_WAIT_PLACED: the answer of the chosen target
 * @KQ_HANDED_OVER: nothing: another agent became home of the bucket before the chosen target
 *   answered; the record is kept so that the new home learns of the target
 */
typedef enum
{
  KQ_WAIT_SYNC,
  KQ_WAIT_LOADS,
  KQ_WAIT_PLACED,
  KQ_HANDED_OVER
} KqPendingState;

/**
 * struct KqQueriedTarget - another target whose load was queried
 */
typedef struct
{
  KqPeer peer;
  unsigned load;
  bool answered;
  bool declined;
} KqQueriedTarget;

/**
 * struct KqPending - a flow that is being placed
 */
typedef struct KqPending
{
  TAILQ_ENTRY (KqPending) link;
  TAILQ_HEAD (, KqWaitingDatagram) waiting;
  unsigned waiting_count;
  KqFlowKey key;
  uint64_t hash;
  unsigned bucket;
  KqPendingState state;
  uint64_t number;
  KqTime expires_at;
  KqTime retry_at;
  unsigned tries;
  unsigned refusals;
  KqQueriedTarget queried_targets[KQ_QUERIED_TARGETS_MAX];
  unsigned queried_count;
  KqPeer chosen;
  unsigned limit;
} KqPending;

/**
 * struct KqSyncPeer - progress of the sync with one target
 * @asked_at: when the first request was sent
 */
typedef struct
{
  KqPeer peer;
  uint64_t cursor;
  bool done;
  KqTime asked_at;
  KqTime retry_at;
  unsigned tries;
} KqSyncPeer;

/**
 * struct KqSyncRound - the current request for the flows of buckets whose home this agent became
 * @earlier: @peers of the previous round, so that a restart does not reset the timeout of an
 *   unresponsive agent
 * @complete: @peers contains every agent that must be asked; false after an allocation failure
 */
typedef struct
{
  bool active;
  bool complete;
  uint64_t number;
  KqTime started_at;
  uint8_t buckets[KQ_BUCKET_SET_BYTES];
  KqSyncPeer *peers;
  unsigned peer_count;
  KqSyncPeer *earlier;
  unsigned earlier_count;
} KqSyncRound;

/**
 * struct KqReservation - a flow that another home placed here and that has sent no datagram yet
 */
typedef struct
{
  uint64_t hash;
  KqTime until;
} KqReservation;

/**
 * struct KqUnknownPeer - an agent that is not in the view, but requested flows or was named by
 * other agents
 * @until: when the record expires
 */
typedef struct
{
  KqPeer peer;
  KqTime until;
} KqUnknownPeer;

/**
 * struct KqHandledRequest - an answered place request; a duplicate of it gets the same answer
 * @tag: hash of the sender's incarnation and the request's number
 * @reason: the answer, KQ_ERROR_NONE if the flow was accepted
 */
typedef struct
{
  uint64_t tag;
  KqErrorKind reason;
} KqHandledRequest;

/**
 * struct KqPlacement - placement state of one agent
 * @flows: flows that this agent owns
 * @directory: flows of this agent's buckets that other agents own
 * @digest: digest of the known targets
 * @departed: incarnations that left the view, the last KQ_DEPARTED_MAX of them
 * @unknown_peers: unknown peers that sent sync messages
 * @unresponsive_peers: unknown peers that did not answer; syncs do not wait for them until the
 * record expires
 * @last_number: number of the last request; never reused within one incarnation
 */
struct KqPlacement
{
  KqPlacementParams params;
  KqPlacementOps ops;
  void *data;
  KqRandom random;
  bool draining;
  bool has_view;
  uint32_t service;
  KqRouting *routing;
  KqTarget *targets;
  unsigned target_count;
  uint64_t digest;
  KqPeer departed[KQ_DEPARTED_MAX];
  unsigned departed_count;
  KqUnknownPeer unknown_peers[KQ_UNKNOWN_PEERS_MAX];
  KqUnknownPeer unresponsive_peers[KQ_UNKNOWN_PEERS_MAX];
  unsigned unresponsive_next;
  KqBucket buckets[KQ_BUCKETS];
  KqFlowShard *flows;
  KqFlowShard *directory;
  unsigned check_cursor;
  TAILQ_HEAD (, KqPending) pending;
  unsigned pending_count;
  size_t waiting_bytes;
  uint64_t last_number;
  KqSyncRound round;
  KqReservation reserved[KQ_RESERVED_MAX];
  KqHandledRequest handled[KQ_HANDLED_REQUESTS_MAX];
  unsigned handled_next;
  KqPlacementStats stats;
};

/* placement.c */
void kq_placement_send (KqPlacement *placement, const KqPeer *to, KqPlacementMessage *message);
void kq_placement_refuse (KqPlacement *placement, const KqPacket *packet, KqErrorKind reason);
void kq_placement_forward (KqPlacement *placement, const KqPeer *to, const KqPeer *home,
                           const KqPacket *packet);
int kq_placement_admit (KqPlacement *placement, const KqFlowKey *key, uint64_t hash, KqTime now);
bool kq_placement_is_home (const KqPlacement *placement, unsigned bucket);

/* placement_view.c */
const KqTarget *kq_placement_find_target (const KqPlacement *placement, uint64_t id);
bool kq_placement_peer_has_ended (const KqPlacement *placement, const KqPeer *peer);
bool kq_placement_peer_is_unknown (const KqPlacement *placement, const KqPeer *peer);
bool kq_placement_peer_is_unresponsive (const KqPlacement *placement, const KqPeer *peer,
                                        KqTime now);
void kq_placement_record_peer (KqPlacement *placement, const KqPeer *peer, KqTime now);
void kq_placement_mark_unresponsive (KqPlacement *placement, const KqPeer *peer, KqTime now);

/* placement_pending.c */
KqPending *kq_pending_find (KqPlacement *placement, const KqFlowKey *key);
KqPending *kq_pending_by_number (KqPlacement *placement, uint64_t number);
KqPending *kq_pending_new (KqPlacement *placement, const KqPacket *packet, uint64_t hash,
                           KqTime now);
void kq_pending_enqueue (KqPlacement *placement, KqPending *pending, const KqPacket *packet);
void kq_pending_deliver (KqPlacement *placement, KqPending *pending);
void kq_pending_forward (KqPlacement *placement, KqPending *pending, const KqPeer *to,
                         const KqPeer *home);
void kq_pending_refuse (KqPlacement *placement, KqPending *pending, KqErrorKind reason);
void kq_pending_hand_over (KqPlacement *placement, unsigned bucket, const KqPeer *home, KqTime now);
void kq_pending_tick (KqPlacement *placement, KqTime now);

/* placement_choice.c */
unsigned kq_choice_load (KqPlacement *placement, KqTime now);
void kq_choice_start (KqPlacement *placement, KqPending *pending, KqTime now);
void kq_choice_place_at_owner (KqPlacement *placement, KqPending *pending, const KqPeer *owner,
                               KqTime now);
void kq_choice_retry (KqPlacement *placement, KqPending *pending, KqTime now);
void kq_choice_release_reservation (KqPlacement *placement, uint64_t hash);
void kq_choice_message (KqPlacement *placement, const KqPeer *from,
                        const KqPlacementMessage *message, KqTime now);

/* placement_sync.c */
void kq_sync_start (KqPlacement *placement, KqTime now);
void kq_sync_view_changed (KqPlacement *placement, KqTime now);
void kq_sync_message (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *message,
                      KqTime now);
void kq_sync_tick (KqPlacement *placement, KqTime now);

/* placement_sync_answer.c */
void kq_sync_answer (KqPlacement *placement, const KqPeer *from, const KqPlacementMessage *request,
                     KqTime now);

/* placement_directory.c */
void kq_directory_drop_ended (KqPlacement *placement, KqTime now);
void kq_directory_drop_buckets (KqPlacement *placement, const uint8_t buckets[KQ_BUCKET_SET_BYTES],
                                KqTime now);
void kq_directory_tick (KqPlacement *placement, KqTime now);
void kq_directory_message (KqPlacement *placement, const KqPeer *from,
                           const KqPlacementMessage *message, KqTime now);
