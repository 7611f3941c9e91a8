/* Confirmable messages to callers, sent again until they are acknowledged (RFC 7252, 4.2). */
#pragma once

#include "kumquat/internal/kept_answers.h"

#define KQ_OUTBOX_MAX 256 /* messages that wait for an acknowledgement */

/**
 * struct KqOutgoing - one confirmable message
 * @link: in the index by flow and message id
 * @entry: in the list of all
 * @key: the flow
 * @message_id: its message id
 * @token: its token
 * @token_size: bytes of @token
 * @send_at: when it is sent again
 * @timeout_us: time between the last two sends
 * @sends: how often it was sent
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
 * struct KqOutbox - all messages that wait for an acknowledgement
 * @index: by flow and message id
 * @list: all of them
 */
typedef struct
{
  KqHashIndex index;
  KqOutgoingList list;
} KqOutbox;

/** kq_outbox_new - Return: (owned by @parent) an empty outbox, or NULL without memory */
KqOutbox *kq_outbox_new (const void *parent);

/**
 * kq_outbox_add - remembers a message that was just sent
 * @bytes: (borrowed): a datagram that kq_coap_message_parse() accepts
 *
 * Return: 0, or -1 when the outbox is full; the message is then not sent again.
 */
int kq_outbox_add (KqOutbox *outbox, const KqFlowKey *key, const uint8_t *bytes, size_t size,
                   KqTime now);

/** kq_outbox_find - Return: (owned by @outbox) (nullable): the message with this id */
KqOutgoing *kq_outbox_find (const KqOutbox *outbox, const KqFlowKey *key, uint16_t message_id);

void kq_outbox_remove (KqOutbox *outbox, KqOutgoing *outgoing);

/** kq_outbox_remove_flow - drops all messages of a flow */
void kq_outbox_remove_flow (KqOutbox *outbox, const KqFlowKey *key);

/**
 * kq_outbox_due - finds a message whose acknowledgement is overdue
 * @give_up: (out): it was sent often enough; the caller of this function removes it
 *
 * Unless @give_up, the message counts as sent again at @now.
 *
 * Return: the message, or NULL when none is due.
 */
KqOutgoing *kq_outbox_due (KqOutbox *outbox, KqTime now, bool *give_up);
