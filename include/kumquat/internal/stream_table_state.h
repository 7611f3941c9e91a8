/* Private state of KqStreamTable, shared by the files that implement it. Dependencies go one way:
 * stream_table.c (frames and reports) and stream_table_target.c (segments of the target) use
 * owned_stream.c (entries of the table). */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/hash_index.h"
#include "kumquat/internal/outlier_detector.h"
#include "kumquat/internal/stream_demand.h"
#include "kumquat/internal/stream_table.h"

/* An opening segment carries no data. */
#define KQ_OPENING_BYTES 64

/* Probes that the target may still return. */
#define KQ_PENDING_PROBES_MAX 256

/**
 * enum KqOwnedStreamState - state of a stream in the table
 * @KQ_OWNED_QUEUED: queued for a slot; nothing was sent to the target
 * @KQ_OWNED_OPENING: the opening segment was sent to the target
 * @KQ_OWNED_OPEN: the target has accepted it
 */
typedef enum
{
  KQ_OWNED_QUEUED,
  KQ_OWNED_OPENING,
  KQ_OWNED_OPEN
} KqOwnedStreamState;

/**
 * struct KqOwnedStream - one stream of the target
 * @link: link of the hash index
 * @by_last_use: link of the list of all streams, least recently used first
 * @entry: link of the admission queue while it is queued
 * @key: addresses and ports
 * @state: see KqOwnedStreamState
 * @in_service: it occupies a slot
 * @request_pending: a request was sent to the target and is not answered yet
 * @caller_ended: the caller has sent a FIN or a reset
 * @target_ended: the target has sent a FIN
 * @superseded: another target has accepted the opening segment too, and the caller continues there
 * @target_isn_known: @target_isn is known
 * @target_isn: initial sequence number of the target
 * @target_next_sequence: sequence number after the last data of the target
 * @caller_next_known: @caller_next_sequence is known
 * @caller_next_sequence: sequence number after the last data of the caller
 * @balancer: receives answers about it; port 0 when no balancer has sent a frame of it
 * @transaction_id: number of the offer
 * @extended: the balancer reads extended frames
 * @used_at: time of its last segment
 * @in_service_since: when it occupied its slot, or when its last request arrived
 * @outcome_known: the outcome of its last request was recorded
 * @answer_incomplete: the size of its last answer is not known yet
 * @answer_took_us: time of that answer
 * @answer_bytes: bytes of that answer so far
 * @demand: its requests
 * @opening: its opening segment
 * @opening_size: bytes of @opening
 */
typedef struct KqOwnedStream
{
  KqHashLink link;
  TAILQ_ENTRY (KqOwnedStream) by_last_use;
  KqAdmissionEntry entry;
  KqStreamKey key;
  KqOwnedStreamState state;
  bool in_service;
  bool request_pending;
  bool caller_ended;
  bool target_ended;
  bool superseded;
  bool target_isn_known;
  uint32_t target_isn;
  uint32_t target_next_sequence;
  bool caller_next_known;
  uint32_t caller_next_sequence;
  KqAddress balancer;
  uint32_t transaction_id;
  bool extended;
  KqTime used_at;
  KqTime in_service_since;
  bool outcome_known;
  bool answer_incomplete;
  KqTime answer_took_us;
  size_t answer_bytes;
  KqStreamDemand demand;
  uint8_t opening[KQ_OPENING_BYTES];
  size_t opening_size;
} KqOwnedStream;

TAILQ_HEAD (KqOwnedStreamList, KqOwnedStream);

/**
 * struct KqPendingProbe - a segment sent to the target to find out whether it owns the stream
 * @tag: tag that the target returns with the segment; 0 for an unused entry
 * @key: the stream
 * @balancer: receives the answer
 * @transaction_id: number of the balancer's query, repeated in the answer
 * @extended: the balancer reads extended frames
 */
typedef struct
{
  uint32_t tag;
  KqStreamKey key;
  KqAddress balancer;
  uint32_t transaction_id;
  bool extended;
} KqPendingProbe;

/**
 * struct KqStreamTable - the streams and the target of an agent
 * @target_process: the newest known process of the target
 * @admission: slots and queue of the target
 * @demand: demand of the open streams
 * @index: streams by key
 * @by_last_use: all streams, least recently used first
 * @probed: ring of probes by tag
 * @last_tag: tag of the last probe
 * @target_seen: the target has sent a segment since this agent started
 * @evacuated: the failure domain is evacuated
 * @shutting_down: this agent is shutting down and accepts no new streams
 * @incomplete: the target may own streams that it opened before this agent started
 * @outlier_detector: outcomes of requests, and the limit because of failures
 * @limit_changed: the limit was set or lifted and this was not applied yet
 * @failed_permille: share of failed requests at the last outcome
 * @accept_timeouts: opening segments in a row that the target did not accept in time
 * @backoff_until: end of the backoff; before, no new stream is accepted
 */
struct KqStreamTable
{
  KqStreamTableParams params;
  KqStreamTableOps ops;
  void *data;
  KqTargetProcess target_process;
  KqAdmission admission;
  KqDemandTotals demand;
  KqHashIndex index;
  struct KqOwnedStreamList by_last_use;
  KqPendingProbe probed[KQ_PENDING_PROBES_MAX];
  uint32_t last_tag;
  bool target_seen;
  bool evacuated;
  bool shutting_down;
  bool incomplete;
  KqOutlierDetector outlier_detector;
  bool limit_changed;
  unsigned failed_permille;
  KqTime started_at;
  unsigned accept_timeouts;
  KqTime backoff_until;
  KqTime next_tick;
  KqStreamTableStats stats;
};

/* owned_stream.c */
KqOwnedStream *kq_owned_stream_find (const KqStreamTable *stream_table, const KqStreamKey *key);
KqOwnedStream *kq_owned_stream_new (KqStreamTable *stream_table, const KqStreamKey *key,
                                    KqTime now);
void kq_owned_stream_free (KqStreamTable *stream_table, KqOwnedStream *owned);
void kq_owned_stream_touch (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now);
void kq_owned_stream_occupy_slot (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now);
void kq_owned_stream_release_slot (KqStreamTable *stream_table, KqOwnedStream *owned,
                                   KqTime took_us);
void kq_owned_stream_open (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now);
void kq_stream_table_open_queued (KqStreamTable *stream_table, KqTime now);

/** kq_stream_table_decline_queued - declines the streams that are queued for a slot, so that
 * balancers can offer them elsewhere. A limit leaves those that ignore it */
void kq_stream_table_decline_queued (KqStreamTable *stream_table, KqStreamRefusal reason);

/* stream_outcome.c; without outlier detection, these do nothing. */

/** kq_stream_outcome_request - a new request arrives on the stream, so its last answer is complete
 */
void kq_stream_outcome_request (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now);

/** kq_stream_outcome_answer - the target sends the first data of an answer. Return: its service
 * time, or -1 when it may be an error and is no measurement */
KqTime kq_stream_outcome_answer (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now);

/** kq_stream_outcome_answer_data - the target has sent @bytes of an answer */
void kq_stream_outcome_answer_data (KqStreamTable *stream_table, KqOwnedStream *owned, size_t bytes,
                                    KqTime now);

/** kq_stream_outcome_ended - the target resets the stream, or ends it, KQ_OUTCOME_CLOSED */
void kq_stream_outcome_ended (KqStreamTable *stream_table, KqOwnedStream *owned,
                              KqRequestOutcome outcome, KqTime now);

/** kq_stream_outcome_check - looks for a request that is overdue; @next becomes the time of the
 * next check if that is sooner */
void kq_stream_outcome_check (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now,
                              KqTime *next);

/** kq_stream_outcome_apply - logs a change of the limit; a new limit declines queued streams */
void kq_stream_outcome_apply (KqStreamTable *stream_table, KqTime now);

/** kq_stream_outcome_refusal - Return: KQ_REFUSAL_LIMITED if the limit does not admit a new stream,
 * or KQ_REFUSAL_NONE */
KqStreamRefusal kq_stream_outcome_refusal (KqStreamTable *stream_table, const KqStreamNeed *need,
                                           bool has_free_slot, KqTime now);

/** kq_stream_outcome_reset - forgets all outcomes: the target was restarted */
void kq_stream_outcome_reset (KqStreamTable *stream_table);

/**
 * kq_stream_table_answer - sends an answer to a balancer, with the current load of the target
 * @request: its transaction id, key and version are those of the answer
 */
void kq_stream_table_answer (KqStreamTable *stream_table, const KqAddress *to,
                             KqStreamFrameType type, KqStreamRefusal reason,
                             const KqStreamFrame *request);

/** kq_owned_stream_set_balancer - sets the receiver of answers about the stream to the sender of
 * @frame */
void kq_owned_stream_set_balancer (KqOwnedStream *owned, const KqAddress *from,
                                   const KqStreamFrame *frame);
void kq_owned_stream_answer (KqStreamTable *stream_table, const KqOwnedStream *owned,
                             KqStreamFrameType type, KqStreamRefusal reason);
void kq_owned_stream_lost (KqStreamTable *stream_table, KqOwnedStream *owned);
void kq_holder_log (KqStreamTable *stream_table, int level, const char *event,
                    const KqStreamKey *key, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
