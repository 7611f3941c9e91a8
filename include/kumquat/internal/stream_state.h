/* Private state of KqStreamRouter, shared by the files that implement it. Dependencies go one way:
 * stream_router.c interprets segments and answers, and calls stream_offer.c for streams that are
 * being opened and stream_search.c for streams whose owner is unknown; all use stream_entry.c,
 * which ends the search for a stream when its owner is set, or when it is refused or freed. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/hash_index.h"
#include "kumquat/internal/probe_history.h"
#include "kumquat/internal/route_history.h"
#include "kumquat/internal/search_budget.h"
#include "kumquat/internal/service_pressure.h"
#include "kumquat/internal/stream_router.h"

#define KQ_STREAM_TRIED_MAX 8

/* Agents that a search queries at once: all candidates of a stable fleet. */
#define KQ_SEARCH_ROUND_AGENTS KQ_AGENT_CANDIDATES_MAX

/* Segments buffered during a search; callers retransmit others. */
#define KQ_STREAM_UNSENT_MAX 4

/**
 * enum KqStreamState - state of a stream at a balancer
 * @KQ_STREAM_OPENING: offered to an agent, or waits for an agent to offer it to
 * @KQ_STREAM_OPEN: owned by an agent
 * @KQ_STREAM_QUEUED: its search waits until fewer other searches run
 * @KQ_STREAM_SEARCHING: agents were queried whether they own it
 * @KQ_STREAM_PROBING: a segment was sent to the agents that cannot tell whether they own it
 * @KQ_STREAM_NOT_FOUND: the search found no owner; it is repeated, unless it is certain that none
 * exists
 * @KQ_STREAM_REFUSED: reset; kept for a while so that late segments start no offer or search
 */
typedef enum
{
  KQ_STREAM_OPENING,
  KQ_STREAM_OPEN,
  KQ_STREAM_QUEUED,
  KQ_STREAM_SEARCHING,
  KQ_STREAM_PROBING,
  KQ_STREAM_NOT_FOUND,
  KQ_STREAM_REFUSED
} KqStreamState;

/**
 * struct KqUnsentSegment - copy of a segment, buffered until the stream has an owner
 */
typedef struct KqUnsentSegment
{
  STAILQ_ENTRY (KqUnsentSegment) link;
  size_t size;
  uint8_t bytes[];
} KqUnsentSegment;

/**
 * struct KqStream - one stream of a caller
 * @link: link of the hash index
 * @by_last_use: link of the list of all streams, least recently used first
 * @by_timeout: link of the list of pending timeouts, or of queued searches
 * @key: addresses and ports
 * @state: see KqStreamState
 * @timeout_pending: it is in the list of pending timeouts
 * @closing: the caller has sent a FIN or a reset
 * @agent_starting: an agent declined because its target has not reported to it yet
 * @target_denied: the target of its owner returned a segment because it does not own the stream
 * @service: its service; 0 while searching without a route
 * @owner: agent that owns it, or that it was offered to last; 0 for none
 * @transaction_id: number of the last offer, or of the last round of queries or probes
 * @tried: (array): agents that it is not offered to again
 * @tried_count: length of @tried
 * @busy: (array): agents that declined because they were busy
 * @busy_count: length of @busy
 * @limited_agent: agent that declined last because it limits new streams; 0 for none
 * @offers: number of offers so far
 * @overloads: agents that declined because it would wait too long
 * @offer_lost: an offer was not answered, so its agent may have opened the stream
 * @explores: its last offer verifies reports, see KqPressureDecision
 * @expected_wait_us: wait that was expected at its last offer
 * @offered_at: time of its last offer
 * @need: requirements of its requests
 * @first_at: time of its first segment; of a new stream, when its caller sent the first copy of it
 * @used_at: time of its last segment
 * @timeout_at: time of the pending timeout
 * @acknowledged: last acknowledgement of the caller, so that a reset lies in its window
 * @answer_expected: the caller has sent data that no target has received yet
 * @searched_at: start of the last search
 * @searched_version: version of the agent history at that time
 * @search_running: its search counts as running
 * @candidates: agents that may own it; ids is owned
 * @named_count: the first of them belong to services that the route names or named
 * @querying_others: the current round queries agents of other services
 * @queried_count: number of candidates that were queried
 * @unanswered: agents that were queried or probed in this round and have not answered
 * @answers_missing: an agent of the last search has not answered
 * @orphaned: it is certain that no agent owns it
 * @unowned_since: when an owner declined it or a search found none, and no later segment was
 * accepted for UNOWNED_RESET_US; 0 for never
 * @unowned_at: when that happened last
 * @unowned_reported: the event for it was logged
 * @undecided: (array): agents of this round that cannot tell whether they own it
 * @undecided_count: length of @undecided
 * @uncertain: in this search an agent that may own it was not found or has not answered a query
 * @first_round: transaction of the first round of the search
 * @silent_agent: agent whose target has neither returned a segment of the stream nor
 * answered it, or 0
 * @silent_count: number of such agents that this search has found
 * @probed: this search has sent probes
 * @confirmed: the owner has stated that it owns the stream, in @owner_incarnation
 * @owner_certain: no other agent could own the stream when the owner was set
 * @owner_incarnation: incarnation of the owner when it was set
 * @unconfirmed_sent: segments sent to the owner since the last search, without confirmation
 * @unconfirmed_total: segments sent to owners that were neither confirmed nor certain
 * @unconfirmed_since: time of the first of them, or of the first probe; 0 for none since an owner
 * confirmed the stream
 * @probes: agents that a segment was sent to as a probe, in all searches
 * @unsent: buffered segments
 * @unsent_count: length of @unsent
 */
typedef struct KqStream
{
  KqHashLink link;
  TAILQ_ENTRY (KqStream) by_last_use;
  TAILQ_ENTRY (KqStream) by_timeout;
  KqStreamKey key;
  KqStreamState state;
  bool timeout_pending;
  bool closing;
  bool agent_starting;
  bool target_denied;
  uint32_t service;
  uint64_t owner;
  uint32_t transaction_id;
  uint64_t tried[KQ_STREAM_TRIED_MAX];
  unsigned tried_count;
  uint64_t busy[KQ_STREAM_TRIED_MAX];
  unsigned busy_count;
  uint64_t limited_agent;
  unsigned offers;
  unsigned overloads;
  bool offer_lost;
  bool explores;
  KqTime expected_wait_us;
  KqTime offered_at;
  KqStreamNeed need;
  KqTime first_at;
  KqTime used_at;
  KqTime timeout_at;
  uint32_t acknowledged;
  bool answer_expected;
  KqTime searched_at;
  unsigned searched_version;
  bool search_running;
  KqAgentCandidates candidates;
  unsigned named_count;
  bool querying_others;
  unsigned queried_count;
  unsigned unanswered;
  bool answers_missing;
  bool orphaned;
  KqTime unowned_since;
  KqTime unowned_at;
  bool unowned_reported;
  uint64_t undecided[KQ_SEARCH_ROUND_AGENTS];
  unsigned undecided_count;
  bool uncertain;
  uint32_t first_round;
  uint64_t silent_agent;
  unsigned silent_count;
  bool probed;
  bool confirmed;
  bool owner_certain;
  uint64_t owner_incarnation;
  unsigned unconfirmed_sent;
  unsigned unconfirmed_total;
  KqTime unconfirmed_since;
  KqProbeHistory probes;
  STAILQ_HEAD (, KqUnsentSegment) unsent;
  unsigned unsent_count;
} KqStream;

TAILQ_HEAD (KqStreamList, KqStream);

/**
 * struct KqStreamRouter - streams, routes and agents of a balancer
 * @routes: (owned) (nullable): the configuration in use
 * @route_history: services that routes named before
 * @routes_trusted: the configuration is known to be the newest
 * @targets: agents and their load
 * @agent_history: (borrowed): the agent history, which names the agents that may own a stream
 * @search_budget: limit of concurrent searches
 * @index: streams by key
 * @by_last_use: all streams, least recently used first
 * @by_timeout: streams with a pending timeout, the earliest first
 * @queued: streams whose search waits for the budget
 * @features: optional parts in use
 * @pressure: expected waits of the services; used with overload control
 * @last_transaction_id: number of the last offer or round of queries
 * @next_expiry: time of the next scan for idle streams
 */
struct KqStreamRouter
{
  KqStreamRouterOps ops;
  void *data;
  KqRouteTable *routes;
  KqRouteHistory *route_history;
  bool routes_trusted;
  KqStreamTargets *targets;
  const KqAgentHistory *agent_history;
  KqSearchBudget search_budget;
  KqHashIndex index;
  struct KqStreamList by_last_use;
  struct KqStreamList by_timeout;
  struct KqStreamList queued;
  KqStreamFeatures features;
  KqServicePressure pressure;
  uint32_t last_transaction_id;
  KqTime next_expiry;
  KqStreamRouterStats stats;
};

/* stream_entry.c */
KqStream *kq_stream_find (const KqStreamRouter *router, const KqStreamKey *key);
KqStream *kq_stream_new (KqStreamRouter *router, const KqStreamKey *key, KqTime now);
void kq_stream_free (KqStreamRouter *router, KqStream *stream);
void kq_stream_touch (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_set_timeout (KqStreamRouter *router, KqStream *stream, KqTime due);
void kq_stream_clear_timeout (KqStreamRouter *router, KqStream *stream);
void kq_stream_buffer_segment (KqStream *stream, const KqSegment *segment);
void kq_stream_drop_unsent (KqStream *stream);
void kq_stream_log (KqStreamRouter *router, int level, const char *event, const KqStream *stream,
                    const char *format, ...) __attribute__ ((format (printf, 5, 6)));

/** kq_stream_end_search - ends the search for the owner of @stream, whether running or queued */
void kq_stream_end_search (KqStreamRouter *router, KqStream *stream);

/** kq_stream_send - sends a frame about @stream to @target, with @bytes of a segment or NULL */
void kq_stream_send (KqStreamRouter *router, KqStream *stream, const KqStreamTarget *target,
                     KqStreamFrameType type, const uint8_t *bytes, size_t size);

/** kq_stream_refuse - sends a reset to the caller, and keeps the stream for a while as refused */
void kq_stream_refuse (KqStreamRouter *router, KqStream *stream, KqTime now);

/** kq_stream_set_owner - sets the owner of the stream and sends it the buffered segments; when the
 * owner is not @confirmed, only those that kq_stream_may_forward() allows */
void kq_stream_set_owner (KqStreamRouter *router, KqStream *stream, KqStreamTarget *owner,
                          bool confirmed, KqTime now);

/** kq_stream_may_forward - Return: whether a segment may be sent to the owner of an open stream
 * before the owner is verified by a search; counts the segment */
bool kq_stream_may_forward (KqStream *stream, const KqStreamTarget *owner, KqTime now);

/** kq_stream_may_try_owner - Return: whether an agent that has not confirmed the stream may be
 * taken as its owner */
bool kq_stream_may_try_owner (const KqStream *stream, bool certain, KqTime now);

/** kq_stream_may_probe - Return: whether probes of the stream may be sent; with @certain its owner
 * is among the agents that have answered, or has ended */
bool kq_stream_may_probe (const KqStream *stream, bool certain, KqTime now);

/** kq_stream_note_unconfirmed - notes that a segment goes to an agent that may not be the owner */
void kq_stream_note_unconfirmed (KqStream *stream, KqTime now);

/** kq_stream_confirm_owner - notes that the current owner has stated that it owns the stream */
void kq_stream_confirm_owner (KqStream *stream, const KqStreamTarget *owner);

/* stream_offer.c */
void kq_stream_offer (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_offer_declined (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
                               KqStreamRefusal reason, KqTime now);
void kq_stream_offer_queued (KqStreamRouter *router, KqStream *stream, KqTime now);

/** kq_stream_offer_answered - learns from the answer to the last offer of @stream, before the
 * answer takes effect */
void kq_stream_offer_answered (KqStreamRouter *router, KqStream *stream, KqStreamTarget *target,
                               const KqStreamFrame *frame, KqTime now);
void kq_stream_offer_timeout (KqStreamRouter *router, KqStream *stream, KqTime now);

/* stream_search.c */
void kq_stream_start_search (KqStreamRouter *router, KqStream *stream, KqTime now);
void kq_stream_search_handle_answer (KqStreamRouter *router, KqStream *stream,
                                     const KqStreamFrame *frame, KqTime now);

/** kq_stream_search_found - sets the owner that has confirmed a searched stream */
void kq_stream_search_found (KqStreamRouter *router, KqStream *stream, KqStreamTarget *owner,
                             KqTime now);

/** kq_stream_search_note_returned - notes that the target of @agent does not own the stream, so
 * that it is not probed in later searches */
void kq_stream_search_note_returned (KqStreamRouter *router, KqStream *stream, uint64_t agent);
void kq_stream_search_timeout (KqStreamRouter *router, KqStream *stream, KqTime now);

/** kq_stream_note_unowned - notes that @agent declined the stream, or with 0 that a search found no
 * owner; logs an event when that has gone on for too long */
void kq_stream_note_unowned (KqStreamRouter *router, KqStream *stream, uint64_t agent, KqTime now);

/** kq_stream_start_queued_searches - starts queued searches while the budget allows it */
void kq_stream_start_queued_searches (KqStreamRouter *router, KqTime now);

/** kq_stream_search_retry - repeats the search for a stream without a known owner when more is
 * known of the agents or its caller has retransmitted, or frees the stream when its caller is
 * silent */
void kq_stream_search_retry (KqStreamRouter *router, KqStream *stream, KqTime now);
