/* The state of a stream holder, shared by the files that implement it. Calls go one way:
 * stream_holder.c (frames, reports) and holder_target.c (the target's segments) use
 * holder_entry.c. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/hash_index.h"
#include "kumquat/internal/stream_holder.h"

#define KQ_OPENING_BYTES 64  /* an opening segment carries no data */
#define KQ_PROBES_KEPT   256 /* segments given to the target whose return is awaited */

/**
 * enum KqHeldState - how far a stream has got
 * @KQ_HELD_WAITING: waits for a slot; the target has not seen it
 * @KQ_HELD_OFFERED: the target has its opening segment
 * @KQ_HELD_OPEN: the target has accepted it
 */
typedef enum
{
  KQ_HELD_WAITING,
  KQ_HELD_OFFERED,
  KQ_HELD_OPEN
} KqHeldState;

/**
 * struct KqHeldStream - one stream of the target
 * @link: in the index
 * @by_use: in the list of all streams, the one used longest ago first
 * @entry: its place in the queue while it waits
 * @key: what it is known by
 * @state: see KqHeldState
 * @counted: it takes a slot
 * @asked: a request of it has arrived at the target and is not answered
 * @caller_ended: the caller has sent its end
 * @target_ended: the target has sent its end
 * @numbered: @first_number is known
 * @first_number: sequence number of the target's opening segment
 * @target_end: number behind the target's last data
 * @caller_numbered: @caller_end is known
 * @caller_end: number behind the caller's last data
 * @balancer: where answers about it go; port 0 when no balancer has spoken of it
 * @attempt: number of the offer
 * @used_at: when its last segment went by
 * @counted_at: when it took its slot, or its request arrived
 * @opening: its opening segment
 * @opening_size: bytes of @opening
 */
typedef struct KqHeldStream
{
  KqHashLink link;
  TAILQ_ENTRY (KqHeldStream) by_use;
  KqAdmissionEntry entry;
  KqStreamKey key;
  KqHeldState state;
  bool counted;
  bool asked;
  bool caller_ended;
  bool target_ended;
  bool numbered;
  uint32_t first_number;
  uint32_t target_end;
  bool caller_numbered;
  uint32_t caller_end;
  KqAddress balancer;
  uint32_t attempt;
  KqTime used_at;
  KqTime counted_at;
  uint8_t opening[KQ_OPENING_BYTES];
  size_t opening_size;
} KqHeldStream;

TAILQ_HEAD (KqHeldList, KqHeldStream);

/**
 * struct KqProbed - a segment given to the target to learn whether it holds the stream
 * @tag: what the target returns; 0 for an unused place
 * @attempt: number of the balancer's question, for the answer
 */
typedef struct
{
  uint32_t tag;
  KqStreamKey key;
  KqAddress balancer;
  uint32_t attempt;
} KqProbed;

struct KqStreamHolder
{
  KqStreamHolderParams params;
  KqStreamHolderOps ops;
  void *data;
  KqTargetLife life;
  KqAdmission admission;
  KqHashIndex index;
  struct KqHeldList by_use;
  KqProbed probed[KQ_PROBES_KEPT];
  uint32_t last_tag;
  bool leaving;
  bool incomplete;
  KqTime started_at;
  unsigned silences;
  KqTime silent_until;
  KqTime next_tick;
  KqStreamHolderStats stats;
};

/* holder_entry.c */
KqHeldStream *kq_held_find (const KqStreamHolder *holder, const KqStreamKey *key);
KqHeldStream *kq_held_new (KqStreamHolder *holder, const KqStreamKey *key, KqTime now);
void kq_held_free (KqStreamHolder *holder, KqHeldStream *held);
void kq_held_touch (KqStreamHolder *holder, KqHeldStream *held, KqTime now);
void kq_held_count (KqStreamHolder *holder, KqHeldStream *held, KqTime now);
void kq_held_uncount (KqStreamHolder *holder, KqHeldStream *held, KqTime took_us);
void kq_held_open (KqStreamHolder *holder, KqHeldStream *held, KqTime now);
void kq_held_start_waiting (KqStreamHolder *holder, KqTime now);
void kq_holder_answer (KqStreamHolder *holder, const KqAddress *to, KqStreamFrameType type,
                       KqStreamRefusal reason, uint32_t attempt, const KqStreamKey *key);
void kq_held_answer (KqStreamHolder *holder, const KqHeldStream *held, KqStreamFrameType type,
                     KqStreamRefusal reason);
void kq_held_gone (KqStreamHolder *holder, KqHeldStream *held);
void kq_holder_log (KqStreamHolder *holder, int level, const char *event, const KqStreamKey *key,
                    const char *format, ...) __attribute__ ((format (printf, 5, 6)));
