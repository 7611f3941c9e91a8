/* One request of a caller between its arrival and its final answer. */
#pragma once

#include "kumquat/internal/kept_answers.h"

/**
 * enum KqExchangeState - where a request is
 * @KQ_EXCHANGE_WAITING: in the queue for a slot; never sent to the target
 * @KQ_EXCHANGE_RUNNING: sent to the target
 * @KQ_EXCHANGE_OBSERVING: answered, and the target sends notifications
 * @KQ_EXCHANGE_LATE: its caller was told "outcome unknown"; only waits for the target's late answer
 */
typedef enum
{
  KQ_EXCHANGE_WAITING,
  KQ_EXCHANGE_RUNNING,
  KQ_EXCHANGE_OBSERVING,
  KQ_EXCHANGE_LATE
} KqExchangeState;

/**
 * struct KqReturnPath - how the caller's datagram is answered
 * @type: type of the caller's latest datagram
 * @message_id: its message id
 * @acked: it was acknowledged by an empty message, so the answer comes as a message of its own
 * @token: the caller's token
 * @token_size: bytes of @token
 */
typedef struct
{
  KqCoapType type;
  uint16_t message_id;
  bool acked;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
} KqReturnPath;

/**
 * struct KqExchange - one request
 * @entry: in the list of its state
 * @by_token: in the index by flow and token, until it is answered
 * @by_target: in the index by the token towards the target
 * @key: the flow
 * @back: how to answer
 * @state: where it is
 * @code: request method
 * @digest: of the request's content
 * @register_observer: it asks for notifications
 * @target_token: token towards the target, unique in this life
 * @target_mid: message id of the latest datagram exchanged with the target under this token
 * @target_acked: the target has acknowledged it
 * @resends: how often it was sent again to the target
 * @resend_at: when it is sent again to the target
 * @holds_slot: a late exchange whose slot counts as busy
 * @arrived: when the first datagram came
 * @started: when it was sent to the target
 * @deadline: when the caller loses interest
 * @given_up: when it became late
 * @class_index: request class
 * @notified: a notification was sent to the caller
 * @notification_mid: message id of the latest one
 * @renewed: (nullable) (borrowed): observation that this request renews; it goes on until the
 * target has agreed
 * @renewal: (nullable) (borrowed): request that renews this observation
 * @kept: (nullable): outcome of a non-idempotent request
 * @datagram: (owned) (nullable): what the caller sent, as long as it may have to be sent on
 * @size: bytes at @datagram
 */
typedef struct KqExchange
{
  TAILQ_ENTRY (KqExchange) entry;
  KqHashLink by_token;
  KqHashLink by_target;
  KqFlowKey key;
  KqReturnPath back;
  KqExchangeState state;
  uint8_t code;
  uint64_t digest;
  bool register_observer;
  uint64_t target_token;
  uint16_t target_mid;
  bool target_acked;
  unsigned resends;
  KqTime resend_at;
  bool holds_slot;
  KqTime arrived;
  KqTime started;
  KqTime deadline;
  KqTime given_up;
  unsigned class_index;
  bool notified;
  uint16_t notification_mid;
  struct KqExchange *renewed;
  struct KqExchange *renewal;
  KqKeptAnswer *kept;
  uint8_t *datagram;
  size_t size;
} KqExchange;

typedef TAILQ_HEAD (KqExchangeList, KqExchange) KqExchangeList;
