/* Retransmission of confirmable messages to callers until they are acknowledged (RFC 7252, 4.2). */
#pragma once

#include "kumquat/internal/kept_answers.h"

#define KQ_OUTBOX_MAX 256 /* maximum number of unacknowledged messages */

/**
 * struct KqOutgoing - an unacknowledged confirmable message
 * @link: link in the index by flow and message id
 * @entry: link in the list of all messages
 * @key: the flow
 * @message_id: message id
 * @token: token
 * @token_size: bytes of @token
 * @send_at: time of the next retransmission
 * @timeout_us: current retransmission timeout
 * @sends: number of transmissions
 * @size: bytes at @bytes
 * @bytes: the datagram
 */
typedef struct KqOutgoing
{
  KqHashLink link;
  TAILQ_ENTRY (KqOutgoing) entry;
  KqFlowKey key;
  uint16_t message_id;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  KqTime send_at;
  KqTime timeout_us;
  unsigned sends;
  size_t size;
  uint8_t bytes[];
} KqOutgoing;

typedef TAILQ_HEAD (KqOutgoingList, KqOutgoing) KqOutgoingList;

/**
 * struct KqOutbox - all unacknowledged messages
 * @index: index by flow and message id
 * @list: list of all messages
 */
typedef struct
{
  KqHashIndex index;
  KqOutgoingList list;
} KqOutbox;

/** kq_outbox_new - Return: (owned by @parent) an empty queue, or NULL if out of memory */
KqOutbox *kq_outbox_new (const void *parent);

/**
 * kq_outbox_add - adds a message that was just sent for the first time
 * @bytes: (borrowed): a datagram that kq_coap_message_parse() accepts
 *
 * Return: 0, or -1 when the queue is full or out of memory; the message is then not retransmitted.
 */
int kq_outbox_add (KqOutbox *outbox, const KqFlowKey *key, const uint8_t *bytes, size_t size,
                   KqTime now);

/** kq_outbox_find - Return: (owned by @outbox) (nullable): the message with this id */
KqOutgoing *kq_outbox_find (const KqOutbox *outbox, const KqFlowKey *key, uint16_t message_id);

void kq_outbox_remove (KqOutbox *outbox, KqOutgoing *outgoing);

/** kq_outbox_remove_flow - removes all messages of a flow */
void kq_outbox_remove_flow (KqOutbox *outbox, const KqFlowKey *key);

/**
 * kq_outbox_due - finds a message whose retransmission timeout has expired
 * @give_up: (out): the retransmission limit is reached; the caller of this function must remove the
 * message
 *
 * Unless @give_up is set, the message counts as retransmitted at @now.
 *
 * Return: the message, or NULL when none is due.
 */
KqOutgoing *kq_outbox_due (KqOutbox *outbox, KqTime now, bool *give_up);
