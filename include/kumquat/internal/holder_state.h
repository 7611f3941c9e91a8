/* Private state of KqStreamHolder, shared by the files that implement it. Dependencies go one way:
 * stream_holder.c (frames and reports) and holder_target.c (segments of the target) use
 * holder_entry.c (entries of the table). */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/hash_index.h"
#include "kumquat/internal/stream_holder.h"

/* An opening segment carries no data. */
#define KQ_OPENING_BYTES 64

/* Probes that the target may still return. */
#define KQ_PROBES_KEPT 256

/**
 * enum KqHeldState - state of a stream in the table
 * @KQ_HELD_WAITING: queued for a slot; nothing was sent to the target
 * @KQ_HELD_OFFERED: the opening segment was sent to the target
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
 * @link: link of the hash index
 * @by_use: link of the list of all streams, least recently used first
 * @entry: link of the admission queue while it is queued
 * @key: addresses and ports
 * @state: see KqHeldState
 * @counted: it occupies a slot
 * @asked: a request was sent to the target and is not answered yet
 * @caller_ended: the caller has sent a FIN or a reset
 * @target_ended: the target has sent a FIN
 * @numbered: @first_number is known
 * @first_number: initial sequence number of the target
 * @target_end: sequence number after the last data of the target
 * @caller_numbered: @caller_end is known
 * @caller_end: sequence number after the last data of the caller
 * @balancer: receives answers about it; port 0 when no balancer has sent a frame of it
 * @attempt: number of the offer
 * @used_at: time of its last segment
 * @counted_at: when it occupied its slot, or when its last request arrived
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
 * struct KqProbed - a segment sent to the target to find out whether it owns the stream
 * @tag: tag that the target returns with the segment; 0 for an unused entry
 * @key: the stream
 * @balancer: receives the answer
 * @attempt: number of the balancer's query, repeated in the answer
 */
typedef struct
{
  uint32_t tag;
  KqStreamKey key;
  KqAddress balancer;
  uint32_t attempt;
} KqProbed;

/**
 * struct KqStreamHolder - the streams and the target of an agent
 * @life: the newest known process of the target
 * @admission: slots and queue of the target
 * @index: streams by key
 * @by_use: all streams, least recently used first
 * @probed: ring of probes by tag
 * @last_tag: tag of the last probe
 * @leaving: this agent is shutting down and accepts no new streams
 * @incomplete: the target may own streams that it opened before this agent started
 * @silences: opening segments in a row that the target did not accept in time
 * @silent_until: end of the backoff; before, no new stream is accepted
 */
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
