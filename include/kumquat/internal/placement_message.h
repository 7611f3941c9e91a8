/* Messages between the agents of one service about flows. Each fits into one datagram. */
#pragma once

#include "kumquat/placement.h"
#include "kumquat/routing.h"

#define KQ_PLACEMENT_VERSION 1
#define KQ_MESSAGE_BYTES     1300
#define KQ_MESSAGE_FLOWS_MAX 36
#define KQ_MESSAGE_PEERS_MAX 9
#define KQ_BUCKET_SET_BYTES  (KQ_BUCKETS / 8)

/**
 * enum KqPlacementMessageType - meaning of a placement message
 * @KQ_MESSAGE_QUERY: asks for the receiver's load
 * @KQ_MESSAGE_LOAD: answer to a query: the load, or the reason why no flow is accepted
 * @KQ_MESSAGE_PLACE: asks the receiver to own a flow unless its load is above the stated limit
 * @KQ_MESSAGE_PLACED: answer: the sender owns the flow
 * @KQ_MESSAGE_REFUSED: answer: the sender does not own the flow, with the reason and the load
 * @KQ_MESSAGE_SYNC_REQUEST: the sender is home of these buckets and asks which of their flows the
 *   receiver owns
 * @KQ_MESSAGE_SYNC_ANSWER: one page of those flows
 * @KQ_MESSAGE_CHECK: asks whether the receiver still owns these flows
 * @KQ_MESSAGE_NOT_OWNED: answer: those of them that the sender does not own
 */
typedef enum
{
  KQ_MESSAGE_QUERY = 1,
  KQ_MESSAGE_LOAD,
  KQ_MESSAGE_PLACE,
  KQ_MESSAGE_PLACED,
  KQ_MESSAGE_REFUSED,
  KQ_MESSAGE_SYNC_REQUEST,
  KQ_MESSAGE_SYNC_ANSWER,
  KQ_MESSAGE_CHECK,
  KQ_MESSAGE_NOT_OWNED
} KqPlacementMessageType;

/**
 * struct KqMessageFlow - one flow in a message
 * @caller: with the message's service, the flow's key
 * @owner: 0 for the sender, otherwise the index in the message's peers, counted from 1
 */
typedef struct
{
  KqAddress caller;
  unsigned owner;
} KqMessageFlow;

/**
 * struct KqPlacementMessage - one decoded message
 * @type: meaning of the message
 * @service: number of the service
 * @number: matches an answer to its request; for a sync, the number of the round
 * @load: running and waiting requests per thousand slots, or the load limit of a place request
 * @reason: why no flow is accepted, or KQ_ERROR_NONE
 * @cursor: for a sync, only flows with a greater hash are requested or listed
 * @next: for a sync answer, the cursor of the next page; 0 on the last page
 * @digest: for a sync, digest of the targets that the sender knows
 * @buckets: for a sync request, one bit per bucket
 * @peers: (array): agents that flows refer to, or that the receiver may not know yet
 * @flows: (array): flows
 */
typedef struct
{
  KqPlacementMessageType type;
  uint32_t service;
  uint64_t number;
  unsigned load;
  KqErrorKind reason;
  uint64_t cursor;
  uint64_t next;
  uint64_t digest;
  uint8_t buckets[KQ_BUCKET_SET_BYTES];
  KqPeer peers[KQ_MESSAGE_PEERS_MAX];
  unsigned peer_count;
  KqMessageFlow flows[KQ_MESSAGE_FLOWS_MAX];
  unsigned flow_count;
} KqPlacementMessage;

/** kq_placement_message_encode - Return: bytes written, or -1 when they do not fit */
int kq_placement_message_encode (const KqPlacementMessage *message, uint8_t *bytes,
                                 size_t capacity);

/** kq_placement_message_decode - parses an untrusted message; Return: 0, or -1 with @error set */
int kq_placement_message_decode (const uint8_t *bytes, size_t size, KqPlacementMessage *message,
                                 KqError *error);

static inline bool
kq_bucket_set_has (const uint8_t set[KQ_BUCKET_SET_BYTES], unsigned bucket)
{
  return (set[bucket / 8] >> (bucket % 8) & 1) != 0;
}

static inline void
kq_bucket_set_add (uint8_t set[KQ_BUCKET_SET_BYTES], unsigned bucket)
{
  set[bucket / 8] |= (uint8_t)(1U << (bucket % 8));
}
