/* Internal interfaces shared by the source files of the request guard. */
#pragma once

#include "kumquat/internal/echo.h"
#include "kumquat/internal/retransmit_queue.h"
#include "kumquat/internal/ramp.h"
#include "kumquat/internal/request_queue.h"

#define KQ_GUARD_MID_COUNTERS 4096 /* message id counters, shared between flows by hash */
#define KQ_GUARD_LATE_MAX     256  /* abandoned requests whose late answer is still recognised */

/**
 * struct KqRequestGuard - state of all requests to one target
 * @params: configuration
 * @ops: callbacks
 * @data: context pointer of the callbacks
 * @stats: counters; the gauges are computed on demand
 * @random: random number generator
 * @echo: issuer of Echo values
 * @echo_floor: Echo values issued up to this time admit no request
 * @dedup: stored outcomes of non-idempotent requests
 * @costs: worth and service time of each class
 * @queue: waiting requests
 * @running: requests running in the target
 * @running_count: length of @running
 * @observing: observations
 * @observer_count: length of @observing
 * @late: abandoned requests, oldest first
 * @late_count: length of @late
 * @stuck_count: number of requests in @late that occupy a slot
 * @probe_at: time of the next probe of a target with stuck slots
 * @by_token: waiting, running and observing exchanges by flow and token
 * @by_target: all exchanges, by token towards the target
 * @retransmit_queue: unacknowledged confirmable messages to callers
 * @cold_start: limit of usable slots after a cold start
 * @shed: limit of usable slots after the target refused a request
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
  KqDedupStore *dedup;
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
  KqRetransmitQueue *retransmit_queue;
  KqRamp cold_start;
  KqRamp shed;
  uint64_t next_target_token;
  uint16_t caller_mids[KQ_GUARD_MID_COUNTERS];
  uint16_t target_mids[KQ_GUARD_MID_COUNTERS];
  KqTime last_event;
};

/**
 * enum KqMethodSemantics - execution semantics of a CoAP method
 * @KQ_METHOD_SAFE: does not change state
 * @KQ_METHOD_IDEMPOTENT: changes state; running it twice has the same effect as once
 * @KQ_METHOD_NON_IDEMPOTENT: not idempotent; must run at most once
 * @KQ_METHOD_UNKNOWN: not supported
 */
typedef enum
{
  KQ_METHOD_SAFE,
  KQ_METHOD_IDEMPOTENT,
  KQ_METHOD_NON_IDEMPOTENT,
  KQ_METHOD_UNKNOWN
} KqMethodSemantics;

KqMethodSemantics kq_method_semantics (uint8_t code);

/**
 * struct KqIncomingDatagram - a received and parsed datagram of a caller
 * @key: (borrowed): the flow
 * @message: (borrowed): the parsed message
 * @bytes: (borrowed): the datagram
 * @size: bytes at @bytes
 * @digest: digest of the request's content
 * @now: arrival time
 */
typedef struct
{
  const KqFlowKey *key;
  const KqCoapMessage *message;
  const uint8_t *bytes;
  size_t size;
  uint64_t digest;
  KqTime now;
} KqIncomingDatagram;

/**
 * enum KqCancelReason - why a running request is abandoned
 * @KQ_CANCEL_DEADLINE: its deadline passed; the caller gets 5.04 and the target a reset
 * @KQ_CANCEL_CALLER: the caller cancelled it; the target gets a reset
 * @KQ_CANCEL_TARGET: the target rejected it with a reset; the caller gets 5.04
 */
typedef enum
{
  KQ_CANCEL_DEADLINE,
  KQ_CANCEL_CALLER,
  KQ_CANCEL_TARGET
} KqCancelReason;

/* src/request/request_guard.c */

/** kq_guard_record_time - records the time of a call; the first call starts the cold-start ramp */
void kq_guard_record_time (KqRequestGuard *guard, KqTime now);

/* src/request/guard_caller.c */

/** kq_guard_cancel_by_message_id - handles a caller's reset or missing acknowledgement of the
 * message with this id: ends the observation or cancels the request that the message belongs to */
void kq_guard_cancel_by_message_id (KqRequestGuard *guard, const KqFlowKey *key,
                                    uint16_t message_id, KqTime now);

/* src/request/guard_response.c: messages to callers. */

/** kq_guard_reply_context - Return: how to respond to a message that was just received */
KqReplyContext kq_guard_reply_context (const KqCoapMessage *message);

/** kq_guard_reply - responds to a datagram with an empty payload */
void kq_guard_reply (KqRequestGuard *guard, const KqIncomingDatagram *incoming, uint8_t code);

/** kq_guard_reply_refused - refuses a request that is not sent on; see kq_guard_format_refusal() */
void kq_guard_reply_refused (KqRequestGuard *guard, const KqIncomingDatagram *incoming);

/** kq_guard_reply_outcome_unknown - responds with 5.04: the request may have run */
void kq_guard_reply_outcome_unknown (KqRequestGuard *guard, const KqIncomingDatagram *incoming);

/** kq_guard_reply_challenge - responds with 4.01 and a fresh Echo value to be repeated by the
 * caller */
void kq_guard_reply_challenge (KqRequestGuard *guard, const KqIncomingDatagram *incoming);

/** kq_guard_reply_duplicate - responds with a stored answer */
void kq_guard_reply_duplicate (KqRequestGuard *guard, const KqIncomingDatagram *incoming,
                               const KqDedupEntry *dedup);

/** kq_guard_acknowledge - sends an empty acknowledgement for a confirmable request */
void kq_guard_acknowledge (KqRequestGuard *guard, const KqFlowKey *key, KqReplyContext *reply_to);

/** kq_guard_reset_caller - rejects a caller's message with a reset */
void kq_guard_reset_caller (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id);

/** kq_guard_respond - sends a response to the caller: piggybacked if the request is a confirmable
 * message not yet acknowledged, else as a separate message */
void kq_guard_respond (KqRequestGuard *guard, const KqFlowKey *key, const KqReplyContext *reply_to,
                       const uint8_t *bytes, size_t size, KqTime now);

/** kq_guard_notify - forwards a notification of the target to the caller */
void kq_guard_notify (KqRequestGuard *guard, KqExchange *exchange, KqCoapType type,
                      const uint8_t *bytes, size_t size, KqTime now);

/**
 * kq_guard_format_refusal - formats and counts the response to a request that is not sent to the
 * target
 * @code: request method
 *
 * The response is 5.03, "not run". An idempotent request that changes state gets 5.04 instead: its
 * duplicates are not recorded, so an earlier one may have run. Its caller may retry it either way.
 *
 * Return: the size of the response.
 */
size_t kq_guard_format_refusal (KqRequestGuard *guard, uint8_t code, const KqReplyContext *reply_to,
                                uint8_t bytes[KQ_DATAGRAM_BYTES]);

/** kq_guard_format_observation_end - formats the notification that ends an observation; Return: its
 * size */
size_t kq_guard_format_observation_end (const KqReplyContext *reply_to,
                                        uint8_t bytes[KQ_DATAGRAM_BYTES]);

/** kq_guard_format_outcome_unknown - formats a 5.04 "outcome unknown"; Return: its size */
size_t kq_guard_format_outcome_unknown (const KqReplyContext *reply_to,
                                        uint8_t bytes[KQ_DATAGRAM_BYTES]);

/* src/request/guard_exchange.c: lifecycle of a request. */

/** kq_guard_usable_slots - Return: slots usable now, at least 1 */
unsigned kq_guard_usable_slots (const KqRequestGuard *guard, KqTime now);

/** kq_guard_find_exchange - Return: the exchange with this flow and token, or NULL */
KqExchange *kq_guard_find_exchange (const KqRequestGuard *guard, const KqFlowKey *key,
                                    const uint8_t *token, size_t token_size);

/**
 * kq_guard_new_exchange - creates an exchange in the waiting state
 * @target_token: token towards the target, or 0 for a new one
 *
 * Return: (owned by @guard) the exchange, not queued yet, or NULL if out of memory.
 */
KqExchange *kq_guard_new_exchange (KqRequestGuard *guard, const KqIncomingDatagram *incoming,
                                   uint64_t target_token);

/** kq_guard_schedule - starts, queues or refuses an exchange; may evict one of less worth */
void kq_guard_schedule (KqRequestGuard *guard, KqExchange *exchange, KqTime now);

/** kq_guard_would_admit - Return: whether kq_guard_schedule() would start or queue a request */
bool kq_guard_would_admit (const KqRequestGuard *guard, const KqIncomingDatagram *incoming);

/** kq_guard_start_waiting - refuses waiting requests that can no longer meet their deadline and
 * starts others in the free slots */
void kq_guard_start_waiting (KqRequestGuard *guard, KqTime now);

/** kq_guard_refuse_waiting - removes an exchange from the queue and refuses it */
void kq_guard_refuse_waiting (KqRequestGuard *guard, KqExchange *exchange, KqTime now);

/** kq_guard_abandon - abandons a running request; its outcome is then unknown */
void kq_guard_abandon (KqRequestGuard *guard, KqExchange *exchange, KqCancelReason reason,
                       KqTime now);

/**
 * kq_guard_end_observation - stops notifications and frees the exchange
 * @reset_target: the caller is no longer interested: resets the target's notification and stops
 * retransmitting the last one
 */
void kq_guard_end_observation (KqRequestGuard *guard, KqExchange *exchange, bool reset_target);

/** kq_guard_begin_renewal - moves the caller's token from an observation to the renewing request */
void kq_guard_begin_renewal (KqRequestGuard *guard, KqExchange *exchange, KqExchange *renewed);

/** kq_guard_cancel_renewal - returns the caller's token after a failed renewal */
void kq_guard_cancel_renewal (KqRequestGuard *guard, KqExchange *renewal);

/** kq_guard_free_exchange - removes an exchange from all indexes and frees it; it must not be in a
 * list */
void kq_guard_free_exchange (KqRequestGuard *guard, KqExchange *exchange);

/** kq_guard_record_outcome - stores the outcome of a non-idempotent request; does nothing for
 * others */
void kq_guard_record_outcome (KqRequestGuard *guard, KqExchange *exchange, KqDedupState state,
                              const uint8_t *bytes, size_t size, KqTime now);

/* src/request/guard_target.c: messages to and from the target. */

/** kq_guard_send_request - sends a request to the target; Return: 0, or -1 when it is too long */
int kq_guard_send_request (KqRequestGuard *guard, KqExchange *exchange, KqTime now);

/** kq_guard_send_empty - sends an empty message to the target */
void kq_guard_send_empty (KqRequestGuard *guard, const KqFlowKey *key, KqCoapType type,
                          uint16_t message_id);

/** kq_guard_next_target_mid - Return: the next message id towards the target on this flow */
uint16_t kq_guard_next_target_mid (KqRequestGuard *guard, const KqFlowKey *key);

/** kq_guard_tick_target - retransmits idempotent requests, expires late exchanges and probes an
 * unresponsive target */
void kq_guard_tick_target (KqRequestGuard *guard, KqTime now);
