/* Datagrams between balancers and agents about streams. */
#pragma once

#include "kumquat/codec.h"
#include "kumquat/internal/segment.h"

/**
 * enum KqStreamFrameType - what a frame asks or tells
 * @KQ_FRAME_OPEN: balancer to agent: take this new stream, if the target can
 * @KQ_FRAME_CARRY: balancer to agent: a segment of a stream that the agent is believed to hold
 * @KQ_FRAME_PROBE: balancer to agent: a segment of a stream that only a target can know
 * @KQ_FRAME_FIND: balancer to agent: do you hold this stream?
 * @KQ_FRAME_WITHDRAW: balancer to agent: the stream was offered elsewhere; forget it, unless open
 * @KQ_FRAME_WAITING: agent to balancer: the stream waits here for a slot
 * @KQ_FRAME_HOLDS: agent to balancer: the target holds the stream
 * @KQ_FRAME_MAYBE: agent to balancer: this agent is younger than its target and cannot tell
 * @KQ_FRAME_DECLINED: agent to balancer: the stream is not held and was not opened here
 */
typedef enum
{
  KQ_FRAME_OPEN = 1,
  KQ_FRAME_CARRY,
  KQ_FRAME_PROBE,
  KQ_FRAME_FIND,
  KQ_FRAME_WITHDRAW,
  KQ_FRAME_WAITING,
  KQ_FRAME_HOLDS,
  KQ_FRAME_MAYBE,
  KQ_FRAME_DECLINED
} KqStreamFrameType;

/**
 * enum KqStreamRefusal - why an agent declines
 * @KQ_REFUSAL_NONE: it does not
 * @KQ_REFUSAL_BUSY: all slots are taken, and the frame did not allow to wait
 * @KQ_REFUSAL_OVERLOAD: the stream waited, or would wait, for longer than it is useful
 * @KQ_REFUSAL_DRAINING: the target takes no new streams
 * @KQ_REFUSAL_STARTING: the agent has just started, and the target has said nothing to it yet
 * @KQ_REFUSAL_NO_TARGET: the target is not there, or does not answer
 * @KQ_REFUSAL_BOUNCED: the target returned the segment
 * @KQ_REFUSAL_WRONG_SERVICE: this agent serves another service, or is another agent
 * @KQ_REFUSAL_UNKNOWN: no such stream here
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
  KQ_REFUSAL_UNKNOWN
} KqStreamRefusal;

/**
 * struct KqTargetLoad - load of a target, true when it was written
 * @running: requests that run or are about to
 * @slots: requests that run at once
 * @waiting: new streams that wait for a slot
 * @service_us: time that a request takes, smoothed
 * @answer_bytes: size of an answer, smoothed
 */
typedef struct
{
  unsigned running;
  unsigned slots;
  unsigned waiting;
  uint32_t service_us;
  uint32_t answer_bytes;
} KqTargetLoad;

/**
 * struct KqStreamNeed - what the requests of a new stream need
 * @priority: 0 is the most important
 * @objective_ms: an answer within it is in time
 * @timeout_ms: an answer after it is of no use
 * @age_ms: since its first SYN was seen
 * @may_wait: the agent may let it wait for a slot
 */
typedef struct
{
  unsigned priority;
  uint32_t objective_ms;
  uint32_t timeout_ms;
  uint32_t age_ms;
  bool may_wait;
} KqStreamNeed;

/**
 * struct KqStreamFrame - one decoded frame; fields that its type does not have are 0
 * @type: what it is
 * @service: the service that the receiver, or in an answer the sender, serves
 * @agent: id of the agent that is asked, or answers
 * @attempt: number of an offer or of a question for the holder, which its answer repeats
 * @key: the stream
 * @need: of a new stream
 * @reason: of a refusal
 * @load: in an answer
 * @segment: (nullable) (borrowed): the segment's bytes
 * @segment_size: bytes at @segment
 */
typedef struct
{
  KqStreamFrameType type;
  uint32_t service;
  uint64_t agent;
  uint32_t attempt;
  KqStreamKey key;
  KqStreamNeed need;
  KqStreamRefusal reason;
  KqTargetLoad load;
  const uint8_t *segment;
  size_t segment_size;
} KqStreamFrame;

/** kq_stream_frame_encode - Return: bytes written, or -1 when they do not fit */
int kq_stream_frame_encode (const KqStreamFrame *frame, uint8_t *bytes, size_t capacity);

/** kq_stream_frame_decode - reads a frame of an untrusted sender; @frame borrows @bytes. Return: 0,
 * or -1 with @error set */
int kq_stream_frame_decode (const uint8_t *bytes, size_t size, KqStreamFrame *frame,
                            KqError *error);

/** kq_stream_refusal_name - Return: (static) the reason in lower case with hyphens */
const char *kq_stream_refusal_name (KqStreamRefusal reason);
