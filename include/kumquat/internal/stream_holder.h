/* An agent's decisions about streams: which new ones its target takes, which it holds, and what of
 * the target's segments goes where. The target is the authority for what it holds. */
#pragma once

#include "kumquat/internal/admission.h"
#include "kumquat/internal/target_life.h"
#include "kumquat/view.h"

typedef struct KqStreamHolder KqStreamHolder;

/**
 * struct KqStreamHolderOps - what a holder asks of its process; pointers are borrowed for the call
 * @answer: sends a frame to a balancer
 * @deliver: gives a segment to the target, with this tag; 0 for none
 * @to_caller: sends a segment of the target's to the caller of @key
 * @event: something to log, as key=value pairs
 * @answered: (nullable): the target's answer to a request began, so long after it
 */
typedef struct
{
  void (*answer) (const KqAddress *to, const KqStreamFrame *frame, void *data);
  void (*deliver) (const uint8_t *bytes, size_t size, uint32_t tag, void *data);
  void (*to_caller) (const KqStreamKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*event) (int level, const char *name, const char *details, void *data);
  void (*answered) (KqTime took_us, void *data);
} KqStreamHolderOps;

/**
 * struct KqStreamHolderStats - counters since the start, gauges where said so
 * @opened: streams that the target took
 * @declined: by KqStreamRefusal, answers that declined
 * @misdirected: frames for another service or agent
 * @learnt: streams that the target held before this agent knew them
 * @probed: segments given to the target to learn whether it holds their stream
 * @bounced: segments that the target returned
 * @to_target: segments given to the target
 * @to_callers: segments of the target
 * @waited: streams that waited for a slot
 * @requests: requests that were answered
 * @gone: streams that ended with the target's life
 * @streams: gauge: streams held
 */
typedef struct
{
  uint64_t opened;
  uint64_t declined[KQ_REFUSAL_UNKNOWN + 1];
  uint64_t misdirected;
  uint64_t learnt;
  uint64_t probed;
  uint64_t bounced;
  uint64_t to_target;
  uint64_t to_callers;
  uint64_t waited;
  uint64_t requests;
  uint64_t gone;
  uint64_t streams;
} KqStreamHolderStats;

/**
 * struct KqStreamHolderParams - identity of one agent
 * @agent: its id
 * @service: number of the service that its target serves
 */
typedef struct
{
  uint64_t agent;
  uint32_t service;
} KqStreamHolderParams;

/** kq_stream_holder_new - Return: (owned by @parent) a holder whose target has said nothing yet, or
 * NULL without memory */
KqStreamHolder *kq_stream_holder_new (const void *parent, const KqStreamHolderParams *params,
                                      const KqStreamHolderOps *ops, void *data, KqTime now);

/**
 * kq_stream_holder_report - takes a call of the target
 * @age_us: how long the target has run, by its own word; -1 when not said
 *
 * Return: what the call meant; after KQ_TARGET_SAME, _CHANGED and _REBORN it may be acknowledged.
 */
KqTargetChange kq_stream_holder_report (KqStreamHolder *holder, const KqTargetReport *report,
                                        KqTime age_us, KqTime now);

/** kq_stream_holder_frame - decides about a frame of a balancer */
void kq_stream_holder_frame (KqStreamHolder *holder, const KqAddress *from,
                             const KqStreamFrame *frame, const KqSegment *segment, KqTime now);

/** kq_stream_holder_segment - decides about a segment of the target; @bytes of a bounced one are
 * those of @segment */
void kq_stream_holder_segment (KqStreamHolder *holder, const KqSegment *segment, KqTime now);

/** kq_stream_holder_unreachable - nobody listens where the target should */
void kq_stream_holder_unreachable (KqStreamHolder *holder, KqTime now);

/** kq_stream_holder_leave - this agent ends soon: it takes no new streams */
void kq_stream_holder_leave (KqStreamHolder *holder);

/** kq_stream_holder_takes_new - Return: whether a new stream could be taken, load aside */
bool kq_stream_holder_takes_new (const KqStreamHolder *holder);

/** kq_stream_holder_phase - Return: what this agent says of its target. An agent is told to stop
 * when its target has ended; one that has not heard of it since its own start came back after the
 * target's last word, as after a loss of power in the middle of a release, and says so too. */
KqTargetPhase kq_stream_holder_phase (const KqStreamHolder *holder);

KqTime kq_stream_holder_next_tick (const KqStreamHolder *holder);
void kq_stream_holder_tick (KqStreamHolder *holder, KqTime now);

KqStreamHolderStats kq_stream_holder_stats (const KqStreamHolder *holder);
const KqTargetLife *kq_stream_holder_target (const KqStreamHolder *holder);
KqTargetLoad kq_stream_holder_load (const KqStreamHolder *holder);
