/* Parts of the request guard that its source files share. */
#pragma once

#include "kumquat/internal/echo.h"
#include "kumquat/internal/outbox.h"
#include "kumquat/internal/ramp.h"
#include "kumquat/internal/request_queue.h"

#define KQ_GUARD_MID_COUNTERS 4096 /* flows share one of these counters of message ids by hash */
#define KQ_GUARD_LATE_MAX     256  /* expired requests whose late answer is still recognised */

/**
 * struct KqRequestGuard - all requests of one target
 * @params: limits
 * @ops: callbacks
 * @data: their context pointer
 * @stats: counters; the gauges are computed on demand
 * @random: generator
 * @echo: issuer of Echo values
 * @echo_floor: values issued until then run nothing
 * @kept: outcomes of non-idempotent requests
 * @costs: worth and service time of each class
 * @queue: waiting requests
 * @running: requests in the target
 * @running_count: length of @running
 * @observing: observations
 * @observer_count: length of @observing
 * @late: expired requests, oldest first
 * @late_count: length of @late
 * @stuck_count: those of @late that hold a slot
 * @probe_at: when a target with stuck slots is probed again
 * @by_token: waiting, running and observing exchanges by flow and token
 * @by_target: all exchanges that were sent, by token towards the target
 * @outbox: confirmable messages to callers
 * @cold: ramp-up after the start
 * @shed: limit after the target refused a request
 * @next_target_token: next token towards the target
 * @caller_mids: next message id towards callers, by hash of the flow
 * @target_mids: next message id towards the target, by hash of the flow
 * @last_event: time of the latest call
 */
struct KqRequestGuard
{
  KqRequestGuardParams params;
  KqRequestGuardOps ops;
  void *data;
  KqRequestGuardStats stats;
  KqRandom random;
  KqEchoIssuer echo;
  KqTime echo_floor;
  KqKeptAnswers *kept;
  KqRequestCosts costs;
  KqRequestQueue queue;
  KqExchangeList running;
  unsigned running_count;
  KqExchangeList observing;
  unsigned observer_count;
  KqExchangeList late;
  unsigned late_count;
  unsigned stuck_count;
  KqTime probe_at;
  KqHashIndex by_token;
  KqHashIndex by_target;
  KqOutbox *outbox;
  KqRamp cold;
  KqRamp shed;
  uint64_t next_target_token;
  uint16_t caller_mids[KQ_GUARD_MID_COUNTERS];
  uint16_t target_mids[KQ_GUARD_MID_COUNTERS];
  KqTime last_event;
};

/**
 * enum KqMethod - what may be done with a request of a method
 * @KQ_METHOD_SAFE: changes nothing
 * @KQ_METHOD_IDEMPOTENT: running it twice has the effect of running it once
 * @KQ_METHOD_GUARDED: runs at most once
 * @KQ_METHOD_UNKNOWN: not supported
 */
typedef enum
{
  KQ_METHOD_SAFE,
  KQ_METHOD_IDEMPOTENT,
  KQ_METHOD_GUARDED,
  KQ_METHOD_UNKNOWN
} KqMethod;

KqMethod kq_method (uint8_t code);

/**
 * struct KqArrival - one datagram of a caller, parsed
 * @key: (borrowed): the flow
 * @message: (borrowed): what it says
 * @bytes: (borrowed): the datagram
 * @size: bytes at @bytes
 * @digest: of the request's content
 * @now: when it came
 */
typedef struct
{
  const KqFlowKey *key;
  const KqCoapMessage *message;
  const uint8_t *bytes;
  size_t size;
  uint64_t digest;
  KqTime now;
} KqArrival;

/**
 * enum KqCancelReason - why a running request is given up
 * @KQ_CANCEL_DEADLINE: its deadline passed: the caller and the target are told
 * @KQ_CANCEL_CALLER: the caller cancelled it: the target is told
 * @KQ_CANCEL_TARGET: the target rejected it: the caller is told
 */
typedef enum
{
  KQ_CANCEL_DEADLINE,
  KQ_CANCEL_CALLER,
  KQ_CANCEL_TARGET
} KqCancelReason;

/* src/request/request_guard.c */

/** kq_guard_event - notes the time of a call; the first one starts the ramp of a cold start */
void kq_guard_event (KqRequestGuard *guard, KqTime now);

/* src/request/guard_caller.c */

/** kq_guard_rejected - the caller rejected or never acknowledged a message, or cancels its own
 * request, as told by a message id */
void kq_guard_rejected (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id,
                        KqTime now);

/* src/request/guard_answer.c: towards callers. */

/** kq_guard_return_path - Return: how to answer a message that was just received */
KqReturnPath kq_guard_return_path (const KqCoapMessage *message);

/** kq_guard_reply - answers a datagram at once with an answer that has no body */
void kq_guard_reply (KqRequestGuard *guard, const KqArrival *arrival, uint8_t code);

/** kq_guard_reply_refused - answers a request that is not sent on, see kq_guard_decline() */
void kq_guard_reply_refused (KqRequestGuard *guard, const KqArrival *arrival);

/** kq_guard_reply_unknown - says that the request may have run: 5.04 */
void kq_guard_reply_unknown (KqRequestGuard *guard, const KqArrival *arrival);

/** kq_guard_reply_challenge - asks for the request again with a fresh Echo value: 4.01 */
void kq_guard_reply_challenge (KqRequestGuard *guard, const KqArrival *arrival);

/** kq_guard_reply_kept - repeats a kept answer */
void kq_guard_reply_kept (KqRequestGuard *guard, const KqArrival *arrival,
                          const KqKeptAnswer *kept);

/** kq_guard_acknowledge - sends an empty acknowledgement for a confirmable request */
void kq_guard_acknowledge (KqRequestGuard *guard, const KqFlowKey *key, KqReturnPath *back);

/** kq_guard_reset_caller - rejects a caller's message */
void kq_guard_reset_caller (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id);

/** kq_guard_respond - sends an answer's datagram back on a request's path */
void kq_guard_respond (KqRequestGuard *guard, const KqFlowKey *key, const KqReturnPath *back,
                       const uint8_t *bytes, size_t size, KqTime now);

/** kq_guard_notify - sends a notification of the target to the caller */
void kq_guard_notify (KqRequestGuard *guard, KqExchange *exchange, KqCoapType type,
                      const uint8_t *bytes, size_t size, KqTime now);

/**
 * kq_guard_decline - writes the answer to a request that is not sent to the target, and counts it
 * @code: request method
 *
 * That is 5.03, "not run". Copies of an idempotent request that changes state are not remembered,
 * and an earlier one may have run, so it gets 5.04, which lets its caller send it again as well.
 *
 * Return: the size of the answer.
 */
size_t kq_guard_decline (KqRequestGuard *guard, uint8_t code, const KqReturnPath *back,
                         uint8_t bytes[KQ_DATAGRAM_BYTES]);

/** kq_guard_end_of_feed - writes the last notification of a closed flow; Return: its size */
size_t kq_guard_end_of_feed (const KqReturnPath *back, uint8_t bytes[KQ_DATAGRAM_BYTES]);

/** kq_guard_unknown - writes "outcome unknown" for @back; Return: its size */
size_t kq_guard_unknown (const KqReturnPath *back, uint8_t bytes[KQ_DATAGRAM_BYTES]);

/* src/request/guard_exchange.c: life of one request. */

/** kq_guard_usable - Return: slots that may be used now, at least 1 */
unsigned kq_guard_usable (const KqRequestGuard *guard, KqTime now);

/** kq_guard_find - Return: the exchange with this flow and token, or NULL */
KqExchange *kq_guard_find (const KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *token,
                           size_t token_size);

/**
 * kq_guard_open - makes a waiting exchange
 * @target_token: token towards the target, or 0 for a new one
 *
 * Return: (owned by @guard) the exchange, in no queue yet, or NULL without memory.
 */
KqExchange *kq_guard_open (KqRequestGuard *guard, const KqArrival *arrival, uint64_t target_token);

/** kq_guard_schedule - starts an exchange, queues it, or refuses it or one of less worth */
void kq_guard_schedule (KqRequestGuard *guard, KqExchange *exchange, KqTime now);

/** kq_guard_would_admit - Return: whether kq_guard_schedule() would start or queue a request */
bool kq_guard_would_admit (const KqRequestGuard *guard, const KqArrival *arrival);

/** kq_guard_fill - refuses waiting requests that are too late and starts others in free slots */
void kq_guard_fill (KqRequestGuard *guard, KqTime now);

/** kq_guard_refuse_waiting - takes an exchange out of the queue and refuses it, not run */
void kq_guard_refuse_waiting (KqRequestGuard *guard, KqExchange *exchange, KqTime now);

/** kq_guard_give_up - ends a running request whose outcome is then unknown */
void kq_guard_give_up (KqRequestGuard *guard, KqExchange *exchange, KqCancelReason reason,
                       KqTime now);

/**
 * kq_guard_end_observation - stops notifications and frees the exchange
 * @tell_target: the caller wants no more: tells the target, and sends no notification again
 */
void kq_guard_end_observation (KqRequestGuard *guard, KqExchange *exchange, bool tell_target);

/** kq_guard_renew - lets @exchange take the caller's token over from the observation that it renews
 */
void kq_guard_renew (KqRequestGuard *guard, KqExchange *exchange, KqExchange *renewed);

/** kq_guard_keep_observation - the renewal failed: the observation goes on under the caller's token
 */
void kq_guard_keep_observation (KqRequestGuard *guard, KqExchange *renewal);

/** kq_guard_free - takes an exchange out of all indexes and frees it; it is in no list any more */
void kq_guard_free (KqRequestGuard *guard, KqExchange *exchange);

/** kq_guard_settle - records the outcome of a non-idempotent request; other requests have none */
void kq_guard_settle (KqRequestGuard *guard, KqExchange *exchange, KqKeptState state,
                      const uint8_t *bytes, size_t size, KqTime now);

/* src/request/guard_target.c: towards the target. */

/** kq_guard_send_request - sends an exchange's request; Return: 0, or -1 when it is too long */
int kq_guard_send_request (KqRequestGuard *guard, KqExchange *exchange, KqTime now);

/** kq_guard_send_empty - sends an empty message to the target */
void kq_guard_send_empty (KqRequestGuard *guard, const KqFlowKey *key, KqCoapType type,
                          uint16_t message_id);

/** kq_guard_next_target_mid - Return: a message id that is new on this flow towards the target */
uint16_t kq_guard_next_target_mid (KqRequestGuard *guard, const KqFlowKey *key);

/** kq_guard_tick_target - sends idempotent requests again and probes a silent target */
void kq_guard_tick_target (KqRequestGuard *guard, KqTime now);
