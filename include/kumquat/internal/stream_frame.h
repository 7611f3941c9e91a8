/* Protocol of balancers and agents for streams, one frame per datagram. */
#pragma once

#include "kumquat/codec.h"
#include "kumquat/internal/segment.h"

/**
 * enum KqStreamFrameType - type of a frame
 * @KQ_FRAME_OPEN: balancer to agent: offer of a new stream, with its opening segment
 * @KQ_FRAME_FORWARD: balancer to agent: a segment of a stream that the agent is believed to own
 * @KQ_FRAME_PROBE: balancer to agent: a segment of a stream that only the target can decide about
 * @KQ_FRAME_QUERY: balancer to agent: query whether the agent owns a stream
 * @KQ_FRAME_WITHDRAW: balancer to agent: the stream is offered elsewhere; drop it if it is queued
 * @KQ_FRAME_QUEUED: agent to balancer: the stream is queued for a slot
 * @KQ_FRAME_OWNED: agent to balancer: the agent owns the stream
 * @KQ_FRAME_UNDECIDED: agent to balancer: this agent started after its target and cannot tell
 * @KQ_FRAME_DECLINED: agent to balancer: the agent does not own the stream and has not opened it
 */
typedef enum
{
  KQ_FRAME_OPEN = 1,
  KQ_FRAME_FORWARD,
  KQ_FRAME_PROBE,
  KQ_FRAME_QUERY,
  KQ_FRAME_WITHDRAW,
  KQ_FRAME_QUEUED,
  KQ_FRAME_OWNED,
  KQ_FRAME_UNDECIDED,
  KQ_FRAME_DECLINED
} KqStreamFrameType;

/**
 * enum KqStreamRefusal - why an agent declines
 * @KQ_REFUSAL_NONE: it does not decline
 * @KQ_REFUSAL_BUSY: all slots are occupied, and the frame does not allow queueing
 * @KQ_REFUSAL_OVERLOAD: the stream has waited, or would wait, past the time when it is useful
 * @KQ_REFUSAL_DRAINING: the target accepts no new streams
 * @KQ_REFUSAL_STARTING: the agent has just started, and its target has not reported to it yet
 * @KQ_REFUSAL_NO_TARGET: the target has ended, or does not answer
 * @KQ_REFUSAL_BOUNCED: the target returned the segment
 * @KQ_REFUSAL_WRONG_SERVICE: the frame is for another service or another agent
 * @KQ_REFUSAL_UNKNOWN: the agent does not know the stream
 * @KQ_REFUSAL_EVACUATED: the agent's failure domain is evacuated
 * @KQ_REFUSAL_LIMITED: (extended) the target fails requests, and new streams are limited
 */
typedef enum
{
  KQ_REFUSAL_NONE,
  KQ_REFUSAL_BUSY,
  KQ_REFUSAL_OVERLOAD,
  KQ_REFUSAL_DRAINING,
  KQ_REFUSAL_STARTING,
  KQ_REFUSAL_NO_TARGET,
  KQ_REFUSAL_BOUNCED,
  KQ_REFUSAL_WRONG_SERVICE,
  KQ_REFUSAL_UNKNOWN,
  KQ_REFUSAL_EVACUATED,
  KQ_REFUSAL_LIMITED
} KqStreamRefusal;

#define KQ_REFUSAL_MAX KQ_REFUSAL_LIMITED

/* Priorities for which an agent reports the wait separately; less urgent ones share the last. */
#define KQ_WAIT_CLASSES 3

/**
 * struct KqTargetLoad - load of a target at the time of the answer
 * @running: requests that run or are about to run
 * @slots: requests that the target runs at once
 * @waiting: new streams that are queued for a slot
 * @service_us: smoothed service time of a request
 * @answer_bytes: smoothed size of an answer
 * @failed_permille: (extended) share of recent requests that the target failed, in thousandths
 * @limited: (extended) the agent limits new streams because of these failures
 * @expected_permille: (extended) requests that the open streams are expected to keep running on
 *   average, in thousandths of one request
 * @wait_us: (extended) (array) expected wait for a slot of a new stream, by priority
 */
typedef struct
{
  unsigned running;
  unsigned slots;
  unsigned waiting;
  uint32_t service_us;
  uint32_t answer_bytes;
  unsigned failed_permille;
  bool limited;
  uint32_t expected_permille;
  uint32_t wait_us[KQ_WAIT_CLASSES];
} KqTargetLoad;

/**
 * struct KqStreamNeed - requirements of the requests of a new stream
 * @priority: 0 is the highest
 * @objective_ms: latency objective
 * @timeout_ms: an answer after this time is of no use
 * @age_ms: time since the balancer received its first SYN
 * @may_wait: the agent may queue it for a slot
 * @ignore_limit: (extended) the agent applies no limit because of failures: so many targets of the
 *   service fail that none is avoided
 */
typedef struct
{
  unsigned priority;
  uint32_t objective_ms;
  uint32_t timeout_ms;
  uint32_t age_ms;
  bool may_wait;
  bool ignore_limit;
} KqStreamNeed;

/**
 * struct KqStreamFrame - one decoded frame; fields that its type does not have are 0
 * @type: type of the frame
 * @extended: it has the fields that are marked as extended, and is sent as version 3; otherwise as
 *   version 2, which all releases read
 * @service: number of the service that the agent serves
 * @agent: id of the agent that receives the frame, or sends it as an answer
 * @transaction_id: number of an offer, query or probe, repeated in its answer
 * @key: the stream
 * @need: requirements of a new stream
 * @reason: in an answer, why the agent declines
 * @load: in an answer, load of the target
 * @segment: (nullable) (borrowed): the bytes of the segment
 * @segment_size: bytes at @segment
 */
typedef struct
{
  KqStreamFrameType type;
  bool extended;
  uint32_t service;
  uint64_t agent;
  uint32_t transaction_id;
  KqStreamKey key;
  KqStreamNeed need;
  KqStreamRefusal reason;
  KqTargetLoad load;
  const uint8_t *segment;
  size_t segment_size;
} KqStreamFrame;

/** kq_stream_frame_encode - Return: bytes written, or -1 when they do not fit */
int kq_stream_frame_encode (const KqStreamFrame *frame, uint8_t *bytes, size_t capacity);

/** kq_stream_frame_decode - decodes a frame of an untrusted sender; @frame borrows @bytes. Return:
 * 0, or -1 with @error set */
int kq_stream_frame_decode (const uint8_t *bytes, size_t size, KqStreamFrame *frame,
                            KqError *error);

/** kq_stream_refusal_name - Return: (static) the reason in lower case with hyphens */
const char *kq_stream_refusal_name (KqStreamRefusal reason);
