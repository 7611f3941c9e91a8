/* Proxy between the callers of one target and the target: at-most-once execution, admission limits
 * and refusals. */
#pragma once

#include "kumquat/random.h"
#include "kumquat/types.h"
#include "kumquat/view.h"

typedef struct KqRequestGuard KqRequestGuard;

/**
 * struct KqRequestGuardOps - callbacks of a guard
 * @to_target: sends a CoAP datagram of this flow to the target
 * @to_caller: sends a CoAP datagram to the caller of this flow
 * @finished: reports a completed request and its latency from arrival to the final answer
 *
 * All pointers are borrowed for the call. A callback must not call the guard.
 */
typedef struct
{
  void (*to_target) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*to_caller) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*finished) (const KqFlowKey *key, KqTime latency, bool answered, void *data);
} KqRequestGuardOps;

#define KQ_REQUEST_CLASSES_MAX 16

/**
 * struct KqRequestClass - worth of the requests with the query parameter class=NAME
 * @name: name of the class
 * @worth: value of one answered request relative to other classes
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  uint32_t worth;
} KqRequestClass;

/**
 * enum KqRequestGuardDisable - rules that tests and benchmark baselines disable
 * @KQ_DISABLE_ECHO: non-idempotent requests run without an Echo value
 * @KQ_DISABLE_ANSWER_DEDUP: a duplicate of an answered request runs again
 * @KQ_DISABLE_REFUSAL_DEDUP: a duplicate of a refused request may run
 * @KQ_DISABLE_WORTH: all requests have the same worth
 * @KQ_DISABLE_DEADLINE_QUEUE: waiting requests are served in FIFO order until they expire
 * @KQ_DISABLE_STUCK_SLOTS: a slot is free again as soon as its request's deadline has passed
 * @KQ_DISABLE_LOAD_SHEDDING: a refusal by the target does not reduce the usable slots
 *
 * None of them is set in production.
 */
typedef enum
{
  KQ_DISABLE_ECHO = 1,
  KQ_DISABLE_ANSWER_DEDUP = 2,
  KQ_DISABLE_REFUSAL_DEDUP = 4,
  KQ_DISABLE_WORTH = 8,
  KQ_DISABLE_DEADLINE_QUEUE = 16,
  KQ_DISABLE_STUCK_SLOTS = 32,
  KQ_DISABLE_LOAD_SHEDDING = 64
} KqRequestGuardDisable;

/**
 * struct KqRequestGuardParams - limits of one guard
 * @target_id: hash of the target's name
 * @incarnation: incarnation of the agent; Echo values of another one admit no request
 * @echo_key: MAC key of Echo values
 * @slots: requests that run concurrently in the target
 * @queue_max: maximum number of requests that wait for a slot
 * @deadline_us: deadline of requests that state none
 * @dedup_entries_max: maximum number of outcomes stored to answer duplicates
 * @dedup_lifetime_us: how long an answer is stored
 * @echo_us: how long an Echo value is fresh; limited to @dedup_lifetime_us
 * @ramp_us: time after a cold start during which the usable slots grow from one to all
 * @seed: seed of the random number generator
 * @dedup_bytes_max: maximum bytes of stored answers; 0 means KQ_DEDUP_BYTES_DEFAULT
 * @observers_max: maximum number of concurrent observations; 0 means KQ_OBSERVERS_DEFAULT
 * @classes: (array): worth of the named classes
 * @class_count: length of @classes
 * @default_worth: worth of all other requests; 0 means 1
 * @target_refusal_trusted: the target guarantees that a request it answers with 5.03 did not run;
 *   otherwise the response to a request that may change state is 5.04, "outcome unknown"
 * @disable: bit set of enum KqRequestGuardDisable, for tests and baselines
 */
#define KQ_DEDUP_BYTES_DEFAULT ((size_t)8 << 20)
#define KQ_OBSERVERS_DEFAULT   4096
typedef struct
{
  uint64_t target_id;
  uint64_t incarnation;
  uint8_t echo_key[32];
  unsigned slots;
  unsigned queue_max;
  KqTime deadline_us;
  unsigned dedup_entries_max;
  KqTime dedup_lifetime_us;
  KqTime echo_us;
  KqTime ramp_us;
  uint64_t seed;
  size_t dedup_bytes_max;
  unsigned observers_max;
  KqRequestClass classes[KQ_REQUEST_CLASSES_MAX];
  unsigned class_count;
  uint32_t default_worth;
  bool target_refusal_trusted;
  unsigned disable;
} KqRequestGuardParams;

/**
 * struct KqRequestGuardStats - counters and gauges for metrics and reports
 * @requests: requests of callers, not counting duplicates
 * @answered: answers of the target sent to callers
 * @answered_in_time: answers sent before the deadline
 * @refused_not_run: refusals of requests that did not run and will not run
 * @outcome_unknown: responses that say that the request may have run
 * @duplicates_answered: duplicates answered with the stored answer
 * @duplicates_running: duplicates of requests that wait or run
 * @challenged: Echo challenges (4.01 with an Echo value) sent
 * @late_answers_dropped: answers of the target that arrived after the deadline or match no request
 * @malformed: datagrams that are not a valid CoAP message
 * @cancelled: requests and observations cancelled by their caller
 * @deadline_expired: requests whose deadline passed while they were running
 * @worth_answered: total worth of the requests in @answered_in_time
 * @running: gauge of requests running in the target
 * @waiting: gauge of requests that wait for a slot
 * @observers: gauge of active observations
 * @refused_by_target: 5.03 answers of the target
 * @slots_usable: gauge of slots usable after the ramp-up and load shedding limits
 * @slots_stuck: gauge of slots whose request expired and since when the target has sent nothing
 * @dedup_entries: gauge of stored outcomes
 * @dedup_bytes: gauge of bytes stored or reserved for answers
 */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t answered_in_time;
  uint64_t refused_not_run;
  uint64_t outcome_unknown;
  uint64_t duplicates_answered;
  uint64_t duplicates_running;
  uint64_t challenged;
  uint64_t late_answers_dropped;
  uint64_t malformed;
  uint64_t cancelled;
  uint64_t deadline_expired;
  uint64_t worth_answered;
  uint64_t running;
  uint64_t waiting;
  uint64_t observers;
  uint64_t refused_by_target;
  uint64_t slots_usable;
  uint64_t slots_stuck;
  uint64_t dedup_entries;
  uint64_t dedup_bytes;
} KqRequestGuardStats;

/** kq_request_guard_new - Return: (owned by @parent) an idle guard, or NULL if out of memory */
KqRequestGuard *kq_request_guard_new (const void *parent, const KqRequestGuardParams *params,
                                      const KqRequestGuardOps *ops, void *data);

/** kq_request_guard_from_caller - handles a caller's datagram on a flow owned by this agent */
void kq_request_guard_from_caller (KqRequestGuard *guard, const KqFlowKey *key,
                                   const uint8_t *bytes, size_t size, KqTime now);

/** kq_request_guard_from_target - handles a datagram that the target sent on a flow */
void kq_request_guard_from_target (KqRequestGuard *guard, const KqFlowKey *key,
                                   const uint8_t *bytes, size_t size, KqTime now);

/** kq_request_guard_refuse - refuses a caller's datagram on a flow that no target accepted */
void kq_request_guard_refuse (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                              size_t size, KqErrorKind reason, KqTime now);

/** kq_request_guard_tick - handles timeouts: deadlines, retransmissions and stored answers */
void kq_request_guard_tick (KqRequestGuard *guard, KqTime now);

/**
 * kq_request_guard_flow_closed - releases the state of a closed flow
 *
 * Refuses waiting requests and ends observations with 5.03 and a Max-Age of 0, so that the caller
 * registers again immediately. Running requests continue, and stored answers are kept.
 */
void kq_request_guard_flow_closed (KqRequestGuard *guard, const KqFlowKey *key, KqTime now);

/**
 * kq_request_guard_drain - prepares for the removal of the target
 *
 * This is transparent to callers: requests of open flows still run, observations continue and
 * stored answers are kept. The ramp-up ends, so that the remaining requests finish soon. New flows
 * are kept away by the placement.
 */
void kq_request_guard_drain (KqRequestGuard *guard, KqTime now);

/** kq_request_guard_rotate_echo_key - issues Echo values with @key from now on; values issued with
 * the last two older keys remain valid */
void kq_request_guard_rotate_echo_key (KqRequestGuard *guard, const uint8_t key[32]);

/** kq_request_guard_load - Return: running and waiting requests per thousand usable slots */
unsigned kq_request_guard_load (const KqRequestGuard *guard, KqTime now);

/** kq_request_guard_idle - Return: whether there is no running, waiting or observing
 * exchange and no unacknowledged message */
bool kq_request_guard_idle (const KqRequestGuard *guard);

KqRequestGuardStats kq_request_guard_stats (const KqRequestGuard *guard);

/**
 * kq_request_guard_set_limits - applies a new configuration; running and waiting requests are kept
 * @limits: (borrowed): its slots, queue_max, deadline_us, classes, class_count and default_worth
 * are applied, all other members are ignored
 */
void kq_request_guard_set_limits (KqRequestGuard *guard, const KqRequestGuardParams *limits,
                                  KqTime now);
