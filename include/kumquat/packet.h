/* Format of the datagrams between balancers and agents: a versioned header and the caller's
 * payload. */
#pragma once

#include "kumquat/types.h"

#define KQ_PACKET_VERSION 1
#define KQ_CANDIDATES_MAX 3
#define KQ_HOPS_MAX       6

/**
 * enum KqPacketType - direction and meaning of a datagram
 * @KQ_PACKET_REQUEST: from the caller to the target
 * @KQ_PACKET_ANSWER: from the target to the caller
 * @KQ_PACKET_REFUSED: the receiver of a request refused it; the payload is empty, @reason says why
 * @KQ_PACKET_PEER: from agent to agent: the payload is a placement message
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
 * @type: direction and meaning
 * @reason: for a refusal, why
 * @key: the flow; its service is the one that the sender expects the receiver to serve
 * @revision: the sender's revision of the service's configuration
 * @to: incarnation of the agent that the datagram is addressed to; any other refuses it
 * @via: data address of the balancer through which the answer returns
 * @from: the sending agent, in answers the flow's owner; id 0 if a balancer sends
 * @candidates: (array): agents of the flow's bucket in order, the first is its home
 * @candidate_count: length of @candidates
 * @hops: number of agents that have forwarded the datagram
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
 * kq_packet_encode - encodes a datagram
 * @packet: (borrowed): the datagram
 * @bytes: (out): buffer
 * @capacity: bytes at @bytes
 *
 * Return: the number of bytes written, or -1 if they do not fit.
 */
int kq_packet_encode (const KqPacket *packet, uint8_t *bytes, size_t capacity);

/**
 * kq_packet_decode - decodes a datagram from an untrusted sender
 * @bytes: (borrowed): the datagram; @packet borrows its payload
 * @size: bytes at @bytes
 * @packet: (out): the decoded datagram
 * @error: (nullable): set on failure
 *
 * Return: 0, or -1 with @error set to KQ_ERROR_INVALID or KQ_ERROR_RANGE.
 */
int kq_packet_decode (const uint8_t *bytes, size_t size, KqPacket *packet, KqError *error);
