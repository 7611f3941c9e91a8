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
 * All pointers are borrowed for the call.
 */
typedef struct
{
  void (*to_target) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*to_caller) (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*finished) (const KqFlowKey *key, KqTime latency, bool answered, void *data);
} KqRequestGuardOps;

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
 * @echo_us: how long an Echo value is fresh
 * @ramp_us: after a cold start, the time in which the usable slots grow from one to all
 * @seed: seed of the generator
 */
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
} KqRequestGuardParams;

/**
 * struct KqRequestGuardStats - counters and gauges for metrics and reports
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

/** kq_request_guard_flow_closed - releases what belongs to a flow; cancels what still waits */
void kq_request_guard_flow_closed (KqRequestGuard *guard, const KqFlowKey *key, KqTime now);

/** kq_request_guard_load - Return: requests running and waiting per thousand usable slots */
unsigned kq_request_guard_load (const KqRequestGuard *guard, KqTime now);

/** kq_request_guard_idle - Return: whether nothing runs, waits or is observed */
bool kq_request_guard_idle (const KqRequestGuard *guard);

KqRequestGuardStats kq_request_guard_stats (const KqRequestGuard *guard);

/** kq_request_guard_set_limits - takes other limits; requests that run or wait stay */
void kq_request_guard_set_limits (KqRequestGuard *guard, unsigned slots, KqTime deadline_us,
                                  KqTime now);
