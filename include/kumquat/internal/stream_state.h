/* The state of a stream router, shared by the files that implement it. Calls go one way:
 * stream_router.c decides what a segment or an answer means and calls stream_offer.c for streams
 * that open and stream_search.c for those whose holder is unknown; all use stream_entry.c, which
 * ends the search of a stream that is settled, refused or freed. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/hash_index.h"
#include "kumquat/internal/search_budget.h"
#include "kumquat/internal/stream_router.h"

#define KQ_STREAM_TRIED_MAX 8
#define KQ_SEARCH_ROUND                                                                            \
  KQ_AGENT_CANDIDATES_MAX /* agents asked at once: with a fleet at rest, all of them               \
                           */
#define KQ_STREAM_WAITING_MAX                                                                      \
  4 /* segments kept while a holder is searched; callers repeat the rest */

/**
 * enum KqStreamState - what a balancer knows of a stream
 * @KQ_STREAM_OPENING: offered to an agent, or waits for one to appear
 * @KQ_STREAM_OPEN: held by an agent
 * @KQ_STREAM_QUEUED: its search waits until fewer others run
 * @KQ_STREAM_SEARCHING: agents were asked whether they hold it
 * @KQ_STREAM_PROBING: a segment went to the agents that cannot tell
 * @KQ_STREAM_LOST: nobody said that it holds it, and an agent that may is missing
 * @KQ_STREAM_REFUSED: refused with a reset; kept so that late segments cost nothing
 */
typedef enum
{
  KQ_STREAM_OPENING,
  KQ_STREAM_OPEN,
  KQ_STREAM_QUEUED,
  KQ_STREAM_SEARCHING,
  KQ_STREAM_PROBING,
  KQ_STREAM_LOST,
  KQ_STREAM_REFUSED
} KqStreamState;

/**
 * struct KqHeldSegment - copy of a segment that waits for its holder
 */
typedef struct KqHeldSegment
{
  STAILQ_ENTRY (KqHeldSegment) link;
  size_t size;
  uint8_t bytes[];
} KqHeldSegment;

/**
 * struct KqStream - one stream of a caller
 * @link: in the index
 * @by_use: in the list of all streams, the one used longest ago first
 * @by_due: in the list of those that wait for something, or of those that are queued
 * @key: what it is known by
 * @state: see KqStreamState
 * @waits: it is in the list of those that wait
 * @closing: a segment of the caller ended it
 * @starting: an agent that was asked has yet to hear of its target
 * @gone: its holder's target said that it does not hold it
 * @service: service that it goes to; 0 while searching without a route
 * @owner: agent that it was offered to last, or that holds it
 * @attempt: number of the last offer
 * @tried: (array): agents that are not offered it again
 * @tried_count: length of @tried
 * @busy: (array): agents that declined because they were busy
 * @busy_count: length of @busy
 * @offers: offers so far
 * @need: what its requests need
 * @first_at: when its first segment came
 * @used_at: when its last segment came
 * @due_at: when waiting ends
 * @acknowledged: last acknowledgement of the caller, for a reset in its window
 * @caller_waits: the caller has sent data that nobody took yet
 * @searched_at: when the last search began
 * @searched_version: version of the roll then
 * @counted: its search counts as running
 * @candidates: agents that may hold it; ids is owned
 * @asked: how many of them were asked
 * @unanswered: agents that were asked or probed in this round and have not answered
 * @answers_missing: an agent of the last search has not answered
 * @nobody: it is certain that nobody holds it
 * @maybe: (array): agents of this round that cannot tell whether they hold it
 * @maybe_count: length of @maybe
 * @held: segments that wait
 * @held_count: how many
 */
typedef struct KqStream
{
  KqHashLink link;
  TAILQ_ENTRY (KqStream) by_use;
  TAILQ_ENTRY (KqStream) by_due;
  KqStreamKey key;
  KqStreamState state;
  bool waits;
  bool closing;
  bool starting;
  bool gone;
  uint32_t service;
  uint64_t owner;
  uint32_t attempt;
  uint64_t tried[KQ_STREAM_TRIED_MAX];
  unsigned tried_count;
  uint64_t busy[KQ_STREAM_TRIED_MAX];
  unsigned busy_count;
  unsigned offers;
  KqStreamNeed need;
  KqTime first_at;
  KqTime used_at;
  KqTime due_at;
  uint32_t acknowledged;
  bool caller_waits;
  KqTime searched_at;
  unsigned searched_version;
  bool counted;
  KqAgentCandidates candidates;
  unsigned asked;
  unsigned unanswered;
  bool answers_missing;
  bool nobody;
  uint64_t maybe[KQ_SEARCH_ROUND];
  unsigned maybe_count;
  STAILQ_HEAD (, KqHeldSegment) held;
  unsigned held_count;
} KqStream;

TAILQ_HEAD (KqStreamList, KqStream);

/**
 * struct KqStreamRouter - what a balancer knows; see the calls that set it
 * @roll: (borrowed): which agents may hold a stream
 * @queued: streams whose search waits
 */
struct KqStreamRouter
{
  KqStreamRouterOps ops;
  void *data;
  KqRouteTable *routes;
  bool routes_trusted;
  KqStreamTargets *targets;
  const KqAgentHistory *roll;
  KqSearchBudget search_budget;
  KqHashIndex index;
  struct KqStreamList by_use;
  struct KqStreamList by_due;
  struct KqStreamList queued;
  uint32_t last_attempt;
  KqTime next_expiry;
  KqStreamRouterStats stats;
};

/* stream_entry.c */
KqStream *kq_stream_find (const KqStreamRouter *router, const KqStreamKey *key);
KqStream *kq_stream_new (KqStreamRouter *router, const KqStreamKey *key, KqTime now);
void kq_stream_free (KqStreamRouter *router, KqStream *stream);
void kq_stream_touch (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_wait_until (KqStreamRouter *router, KqStream *stream, KqTime due);
void kq_stream_stop_waiting (KqStreamRouter *router, KqStream *stream);
void kq_stream_hold (KqStream *stream, const KqSegment *segment);
void kq_stream_drop_held (KqStream *stream);
void kq_stream_log (KqStreamRouter *router, int level, const char *event, const KqStream *stream,
                    const char *format, ...) __attribute__ ((format (printf, 5, 6)));

/** kq_stream_search_end - the search of @stream does not run or wait any more, whatever it found */
void kq_stream_search_end (KqStreamRouter *router, KqStream *stream);

/** kq_stream_send - sends a frame about @stream to @target, with @bytes of a segment or NULL */
void kq_stream_send (KqStreamRouter *router, KqStream *stream, const KqStreamTarget *target,
                     KqStreamFrameType type, const uint8_t *bytes, size_t size);

/** kq_stream_refuse - tells the caller, and keeps the stream for a while as refused */
void kq_stream_refuse (KqStreamRouter *router, KqStream *stream, KqTime now);

/** kq_stream_settle - @owner holds the stream: what waits goes there */
void kq_stream_settle (KqStreamRouter *router, KqStream *stream, KqStreamTarget *owner);

/* stream_offer.c */
void kq_stream_offer (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_offer_declined (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
                               KqStreamRefusal reason, KqTime now);
void kq_stream_offer_waits (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_offer_late (KqStreamRouter *router, KqStream *stream, KqTime now);

/* stream_search.c */
void kq_stream_search (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_search_answer (KqStreamRouter *router, KqStream *stream, const KqStreamFrame *frame,
                              KqTime now);
void kq_stream_search_late (KqStreamRouter *router, KqStream *stream, KqTime now);

/** kq_stream_search_queued - starts searches that waited, as far as the budget goes */
void kq_stream_search_queued (KqStreamRouter *router, KqTime now);

/** kq_stream_search_again - a lost stream is searched again when more is known of the agents, or
 * forgotten */
void kq_stream_search_again (KqStreamRouter *router, KqStream *stream, KqTime now);
