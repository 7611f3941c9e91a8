/* The datagram between balancers and agents: a versioned header and the caller's payload. */
#pragma once

#include "kumquat/types.h"

#define KQ_PACKET_VERSION 1
#define KQ_CANDIDATES_MAX 3
#define KQ_HOPS_MAX       6

/**
 * enum KqPacketType - direction and meaning of a datagram
 * @KQ_PACKET_REQUEST: a caller's datagram on its way to the target
 * @KQ_PACKET_ANSWER: a target's datagram on its way to the caller
 * @KQ_PACKET_REFUSED: the receiver of a request refused it; payload empty, @reason says why
 * @KQ_PACKET_PEER: agent to agent: payload is a placement message
 */
typedef enum
{
  KQ_PACKET_REQUEST = 1,
  KQ_PACKET_ANSWER = 2,
  KQ_PACKET_REFUSED = 3,
  KQ_PACKET_PEER = 4
} KqPacketType;

/**
 * struct KqPacket - one decoded datagram
 * @type: what it is
 * @reason: for a refusal, why
 * @key: the flow; its service names what the sender believes the receiver serves
 * @revision: the configuration that the sender holds for the service
 * @to: incarnation of the agent the datagram is meant for; another life refuses it
 * @via: data address of the balancer that the answer goes through
 * @from: the sending agent, in answers the flow's owner; id 0 when a balancer sends
 * @candidates: (array): agents of the flow's bucket in order, the first is its home
 * @candidate_count: length of @candidates
 * @hops: how many agents have passed the datagram on
 * @payload: (borrowed): points into the received bytes
 * @payload_size: bytes of @payload
 */
typedef struct
{
  KqPacketType type;
  KqErrorKind reason;
  KqFlowKey key;
  KqRevision revision;
  uint64_t to;
  KqAddress via;
  KqPeer from;
  KqPeer candidates[KQ_CANDIDATES_MAX];
  unsigned candidate_count;
  unsigned hops;
  const uint8_t *payload;
  size_t payload_size;
} KqPacket;

/**
 * kq_packet_encode - writes a datagram
 * @packet: (borrowed): what to write
 * @bytes: (out): room for it
 * @capacity: bytes at @bytes
 *
 * Return: the number of bytes written, or -1 when they do not fit.
 */
int kq_packet_encode (const KqPacket *packet, uint8_t *bytes, size_t capacity);

/**
 * kq_packet_decode - reads a datagram from an untrusted sender
 * @bytes: (borrowed): the datagram; @packet borrows its payload
 * @size: bytes at @bytes
 * @packet: (out): what it says
 * @error: (nullable): set on failure
 *
 * Return: 0, or -1 with @error set to KQ_ERROR_INVALID or KQ_ERROR_RANGE.
 */
int kq_packet_decode (const uint8_t *bytes, size_t size, KqPacket *packet, KqError *error);
