/* One request of a caller between its arrival and its final answer. */
#pragma once

#include "kumquat/internal/dedup_store.h"

/**
 * enum KqExchangeState - state of a request
 * @KQ_EXCHANGE_WAITING: waits for a slot; not yet sent to the target
 * @KQ_EXCHANGE_RUNNING: sent to the target
 * @KQ_EXCHANGE_OBSERVING: answered; the target sends notifications
 * @KQ_EXCHANGE_LATE: abandoned, the response was "outcome unknown"; only kept to recognise the
 * target's late answer
 */
typedef enum
{
  KQ_EXCHANGE_WAITING,
  KQ_EXCHANGE_RUNNING,
  KQ_EXCHANGE_OBSERVING,
  KQ_EXCHANGE_LATE
} KqExchangeState;

/**
 * struct KqReplyContext - what is needed to respond to a caller's request
 * @type: type of the caller's latest datagram
 * @message_id: message id of that datagram
 * @acked: it was acknowledged with an empty message, so the response is a separate message
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
} KqReplyContext;

/**
 * struct KqExchange - one request
 * @entry: link in the list of its state
 * @by_token: link in the index by flow and token, until the request is answered
 * @by_target: link in the index by token towards the target
 * @key: the flow
 * @reply_to: how to respond to the caller
 * @state: state of the request
 * @code: request method
 * @digest: digest of the request's content
 * @register_observer: the request registers for notifications (Observe: 0)
 * @target_token: token towards the target, unique within this incarnation
 * @target_mid: message id of the latest datagram exchanged with the target under this token
 * @target_acked: the target has acknowledged the request
 * @retransmit_count: number of retransmissions to the target
 * @retransmit_at: time of the next retransmission to the target
 * @occupies_slot: late exchange whose slot still counts as occupied
 * @arrived: arrival time of the first datagram
 * @started: time at which it was sent to the target
 * @deadline: time after which the caller no longer needs the answer
 * @abandoned_at: time at which it was abandoned
 * @class_index: index of the request class
 * @notified: at least one notification was sent to the caller
 * @notification_mid: message id of the latest notification
 * @renewed: (nullable) (borrowed): observation that this request renews; it remains active until
 * the target accepts the renewal
 * @renewal: (nullable) (borrowed): request that renews this observation
 * @dedup: (nullable): stored outcome of a non-idempotent request
 * @datagram: (owned) (nullable): the caller's datagram while it may still be sent to the target
 * @size: bytes at @datagram
 */
typedef struct KqExchange
{
  TAILQ_ENTRY (KqExchange) entry;
  KqHashLink by_token;
  KqHashLink by_target;
  KqFlowKey key;
  KqReplyContext reply_to;
  KqExchangeState state;
  uint8_t code;
  uint64_t digest;
  bool register_observer;
  uint64_t target_token;
  uint16_t target_mid;
  bool target_acked;
  unsigned retransmit_count;
  KqTime retransmit_at;
  bool occupies_slot;
  KqTime arrived;
  KqTime started;
  KqTime deadline;
  KqTime abandoned_at;
  unsigned class_index;
  bool notified;
  uint16_t notification_mid;
  struct KqExchange *renewed;
  struct KqExchange *renewal;
  KqDedupEntry *dedup;
  uint8_t *datagram;
  size_t size;
} KqExchange;

typedef TAILQ_HEAD (KqExchangeList, KqExchange) KqExchangeList;
