/* Retransmission of confirmable messages to callers until they are acknowledged (RFC 7252, 4.2). */
#pragma once

#include "kumquat/internal/dedup_store.h"

#define KQ_RETRANSMIT_QUEUE_MAX 256 /* maximum number of unacknowledged messages */

/**
 * struct KqUnackedMessage - an unacknowledged confirmable message
 * @link: link in the index by flow and message id
 * @entry: link in the list of all messages
 * @key: the flow
 * @message_id: message id
 * @token: token
 * @token_size: bytes of @token
 * @send_at: time of the next retransmission
 * @timeout_us: current retransmission timeout
 * @transmit_count: number of transmissions
 * @size: bytes at @bytes
 * @bytes: the datagram
 */
typedef struct KqUnackedMessage
{
  KqHashLink link;
  TAILQ_ENTRY (KqUnackedMessage) entry;
  KqFlowKey key;
  uint16_t message_id;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  KqTime send_at;
  KqTime timeout_us;
  unsigned transmit_count;
  size_t size;
  uint8_t bytes[];
} KqUnackedMessage;

typedef TAILQ_HEAD (KqUnackedMessageList, KqUnackedMessage) KqUnackedMessageList;

/**
 * struct KqRetransmitQueue - all unacknowledged messages
 * @index: index by flow and message id
 * @list: list of all messages
 */
typedef struct
{
  KqHashIndex index;
  KqUnackedMessageList list;
} KqRetransmitQueue;

/** kq_retransmit_queue_new - Return: (owned by @parent) an empty queue, or NULL if out of memory */
KqRetransmitQueue *kq_retransmit_queue_new (const void *parent);

/**
 * kq_retransmit_queue_add - adds a message that was just sent for the first time
 * @bytes: (borrowed): a datagram that kq_coap_message_parse() accepts
 *
 * Return: 0, or -1 when the queue is full or out of memory; the message is then not retransmitted.
 */
int kq_retransmit_queue_add (KqRetransmitQueue *retransmit_queue, const KqFlowKey *key,
                             const uint8_t *bytes, size_t size, KqTime now);

/** kq_retransmit_queue_find - Return: (owned by @retransmit_queue) (nullable): the message with
 * this id */
KqUnackedMessage *kq_retransmit_queue_find (const KqRetransmitQueue *retransmit_queue,
                                            const KqFlowKey *key, uint16_t message_id);

void kq_retransmit_queue_remove (KqRetransmitQueue *retransmit_queue, KqUnackedMessage *outgoing);

/** kq_retransmit_queue_remove_flow - removes all messages of a flow */
void kq_retransmit_queue_remove_flow (KqRetransmitQueue *retransmit_queue, const KqFlowKey *key);

/**
 * kq_retransmit_queue_due - finds a message whose retransmission timeout has expired
 * @limit_reached: (out): the retransmission limit is reached; the caller of this function must
 * remove the message
 *
 * Unless @limit_reached is set, the message counts as retransmitted at @now.
 *
 * Return: the message, or NULL when none is due.
 */
KqUnackedMessage *kq_retransmit_queue_due (KqRetransmitQueue *retransmit_queue, KqTime now,
                                           bool *limit_reached);
