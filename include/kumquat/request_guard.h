/* Stands between the flows of one target and the target: at most once, limits, refusals. */
#pragma once

#include "kumquat/random.h"
#include "kumquat/types.h"
#include "kumquat/view.h"

typedef struct KqRequestGuard KqRequestGuard;

/**
 * struct KqRequestGuardOps - what a guard asks of its process
 * @to_target: send a CoAP datagram to the target on this flow
 * @to_caller: send a CoAP datagram to the caller of this flow
 * @finished: an answered request, for the counters: latency from arrival to the final answer
 *
 * All pointers are borrowed for the call. A callback does not call the guard.
 */
typedef struct
{
  void (*to_target) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*to_caller) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*finished) (const KqFlowKey *key, KqTime latency, bool answered, void *data);
} KqRequestGuardOps;

#define KQ_REQUEST_CLASSES_MAX 16

/**
 * struct KqRequestClass - worth of the requests whose query says class=NAME
 * @name: the name
 * @worth: what one answered request is worth, relative to other classes
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  uint32_t worth;
} KqRequestClass;

/**
 * enum KqRequestGuardDisable - rules that a test or a benchmark's baseline switches off
 * @KQ_DISABLE_ECHO: a non-idempotent request runs without an Echo value
 * @KQ_DISABLE_KEPT_ANSWERS: a repeat of an answered request runs again
 * @KQ_DISABLE_KEPT_REFUSALS: a repeat of a refused request may run
 * @KQ_DISABLE_WORTH: all requests are worth the same
 * @KQ_DISABLE_DEADLINE_QUEUE: waiting requests are served in order of arrival until they expire
 * @KQ_DISABLE_STUCK_SLOTS: a slot is free again when its request's deadline passed
 * @KQ_DISABLE_SHED: a refusal by the target does not lower the usable slots
 *
 * A service runs with none of them.
 */
typedef enum
{
  KQ_DISABLE_ECHO = 1,
  KQ_DISABLE_KEPT_ANSWERS = 2,
  KQ_DISABLE_KEPT_REFUSALS = 4,
  KQ_DISABLE_WORTH = 8,
  KQ_DISABLE_DEADLINE_QUEUE = 16,
  KQ_DISABLE_STUCK_SLOTS = 32,
  KQ_DISABLE_SHED = 64
} KqRequestGuardDisable;

/**
 * struct KqRequestGuardParams - limits of one guard
 * @target_id: hash of the target's name
 * @incarnation: this life of the agent; Echo values of another life run nothing
 * @echo_key: key of the message authentication code of Echo values
 * @slots: requests that run at once in the target
 * @queue_max: requests that wait for a slot
 * @deadline_us: how long a request may take when its caller states nothing
 * @kept_answers_max: answers kept for repeats
 * @kept_answer_us: how long an answer is kept
 * @echo_us: how long an Echo value is fresh; shortened to @kept_answer_us when it is longer
 * @ramp_us: after a cold start, the time in which the usable slots grow from one to all
 * @seed: seed of the generator
 * @kept_bytes_max: bytes of kept answers; 0 means KQ_KEPT_BYTES_DEFAULT
 * @observers_max: observations at once; 0 means KQ_OBSERVERS_DEFAULT
 * @classes: (array): worth of the named classes
 * @class_count: length of @classes
 * @default_worth: worth of all other requests; 0 means 1
 * @target_refusal_trusted: the target promises that a request which it answers with 5.03 did not
 *   run; otherwise the caller of a request that changes state is told "outcome unknown"
 * @disable: rules switched off, for tests and baselines
 */
#define KQ_KEPT_BYTES_DEFAULT ((size_t)8 << 20)
#define KQ_OBSERVERS_DEFAULT  4096
typedef struct
{
  uint64_t target_id;
  uint64_t incarnation;
  uint8_t echo_key[32];
  unsigned slots;
  unsigned queue_max;
  KqTime deadline_us;
  unsigned kept_answers_max;
  KqTime kept_answer_us;
  KqTime echo_us;
  KqTime ramp_us;
  uint64_t seed;
  size_t kept_bytes_max;
  unsigned observers_max;
  KqRequestClass classes[KQ_REQUEST_CLASSES_MAX];
  unsigned class_count;
  uint32_t default_worth;
  bool target_refusal_trusted;
  unsigned disable;
} KqRequestGuardParams;

/**
 * struct KqRequestGuardStats - counters and gauges for metrics and reports
 * @requests: requests of callers without repeats
 * @answered: the target's answers given to callers
 * @answered_in_time: those given before the deadline
 * @refused_not_run: refusals of requests that did not run and will not
 * @outcome_unknown: callers told that their request may have run
 * @repeats_answered: repeats that got the kept answer
 * @repeats_running: repeats of requests that wait or run
 * @challenged: Echo values given
 * @late_answers_dropped: answers of the target that came after the deadline or match no request
 * @malformed: datagrams that were no CoAP message
 * @cancelled: requests and observations that their caller cancelled
 * @deadline_expired: requests whose deadline passed while they ran
 * @worth_answered: worth of the requests in @answered_in_time
 * @running: gauge of requests in the target
 * @waiting: gauge of requests that wait for a slot
 * @observers: gauge of observations
 * @refused_by_target: answers of the target that said 5.03
 * @slots_usable: gauge of slots after ramp-up and shedding
 * @slots_stuck: gauge of slots whose request expired and of which the target said nothing since
 * @kept_answers: gauge of kept outcomes
 * @kept_bytes: gauge of bytes of kept answers and of reservations for them
 */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t answered_in_time;
  uint64_t refused_not_run;
  uint64_t outcome_unknown;
  uint64_t repeats_answered;
  uint64_t repeats_running;
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
  uint64_t kept_answers;
  uint64_t kept_bytes;
} KqRequestGuardStats;

/** kq_request_guard_new - Return: (owned by @parent) an idle guard, or NULL without memory */
KqRequestGuard *kq_request_guard_new (const void *parent, const KqRequestGuardParams *params,
                                      const KqRequestGuardOps *ops, void *data);

/** kq_request_guard_from_caller - takes a datagram of a flow that this target holds */
void kq_request_guard_from_caller (KqRequestGuard *guard, const KqFlowKey *key,
                                   const uint8_t *bytes, size_t size, KqTime now);

/** kq_request_guard_from_target - takes a datagram that the target sent on a flow */
void kq_request_guard_from_target (KqRequestGuard *guard, const KqFlowKey *key,
                                   const uint8_t *bytes, size_t size, KqTime now);

/** kq_request_guard_refuse - answers a datagram that no target took: refused, not run */
void kq_request_guard_refuse (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                              size_t size, KqErrorKind reason, KqTime now);

/** kq_request_guard_tick - expires waiting requests, kept answers and Echo values */
void kq_request_guard_tick (KqRequestGuard *guard, KqTime now);

/**
 * kq_request_guard_flow_closed - releases what belongs to a flow
 *
 * Cancels what still waits and ends observations with a refusal that names no reason to wait, so
 * that the caller registers again. Requests that run go on, and kept answers stay.
 */
void kq_request_guard_flow_closed (KqRequestGuard *guard, const KqFlowKey *key, KqTime now);

/**
 * kq_request_guard_drain - the target is about to leave
 *
 * Requests of flows that are open still run, observations go on and kept answers stay: no caller
 * notices. Ramp-up ends, so that what is there finishes soon. The placement keeps new flows away.
 */
void kq_request_guard_drain (KqRequestGuard *guard, KqTime now);

/** kq_request_guard_rotate_echo_key - makes Echo values with @key; older values stay valid */
void kq_request_guard_rotate_echo_key (KqRequestGuard *guard, const uint8_t key[32]);

/** kq_request_guard_load - Return: requests running and waiting per thousand usable slots */
unsigned kq_request_guard_load (const KqRequestGuard *guard, KqTime now);

/** kq_request_guard_idle - Return: whether nothing runs, waits or is observed */
bool kq_request_guard_idle (const KqRequestGuard *guard);

KqRequestGuardStats kq_request_guard_stats (const KqRequestGuard *guard);

/**
 * kq_request_guard_set_limits - takes another configuration; requests that run or wait stay
 * @limits: (borrowed): its slots, queue_max, deadline_us, classes, class_count and default_worth
 * are taken, the rest is not looked at
 */
void kq_request_guard_set_limits (KqRequestGuard *guard, const KqRequestGuardParams *limits,
                                  KqTime now);
