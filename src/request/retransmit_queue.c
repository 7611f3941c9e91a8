#include <string.h>
#include <xxhash.h>

#include "kumquat/internal/coap_options.h"
#include "kumquat/internal/retransmit_queue.h"

#define ACK_TIMEOUT_US    (2 * KQ_SECOND) /* ACK_TIMEOUT of RFC 7252 */
#define TRANSMISSIONS_MAX 5               /* 1 + MAX_RETRANSMIT of RFC 7252 */

static uint64_t
hash_message (const KqFlowKey *key, uint16_t message_id)
{
  return XXH3_64bits_withSeed (&message_id, sizeof message_id, kq_flow_key_hash (key));
}

KqRetransmitQueue *
kq_retransmit_queue_new (const void *parent)
{
  KqRetransmitQueue *retransmit_queue = talloc_zero (parent, KqRetransmitQueue);
  if (retransmit_queue == NULL)
    return NULL;
  TAILQ_INIT (&retransmit_queue->list);
  if (kq_hash_index_init (&retransmit_queue->index, retransmit_queue) < 0)
    {
      talloc_free (retransmit_queue);
      return NULL;
    }
  return retransmit_queue;
}

int
kq_retransmit_queue_add (KqRetransmitQueue *retransmit_queue, const KqFlowKey *key,
                         const uint8_t *bytes, size_t size, KqTime now)
{
  if (retransmit_queue->index.count >= KQ_RETRANSMIT_QUEUE_MAX)
    return -1;
  KqUnackedMessage *outgoing = talloc_zero_size (retransmit_queue, sizeof *outgoing + size);
  if (outgoing == NULL)
    return -1;
  outgoing->key = *key;
  outgoing->message_id = (uint16_t)(bytes[2] << 8 | bytes[3]);
  outgoing->token_size = bytes[0] & 0x0f;
  memcpy (outgoing->token, bytes + KQ_COAP_HEADER_BYTES, outgoing->token_size);
  outgoing->timeout_us = ACK_TIMEOUT_US;
  outgoing->send_at = now + ACK_TIMEOUT_US;
  outgoing->transmit_count = 1;
  outgoing->size = size;
  memcpy (outgoing->bytes, bytes, size);
  kq_hash_index_insert (&retransmit_queue->index, &outgoing->link,
                        hash_message (key, outgoing->message_id));
  TAILQ_INSERT_TAIL (&retransmit_queue->list, outgoing, entry);
  return 0;
}

KqUnackedMessage *
kq_retransmit_queue_find (const KqRetransmitQueue *retransmit_queue, const KqFlowKey *key,
                          uint16_t message_id)
{
  uint64_t hash = hash_message (key, message_id);
  KqHashLink *link = kq_hash_index_find (&retransmit_queue->index, hash);
  while (link != NULL)
    {
      KqUnackedMessage *outgoing = KQ_CONTAINER_OF (link, KqUnackedMessage, link);
      if (outgoing->message_id == message_id && kq_flow_key_equal (&outgoing->key, key))
        return outgoing;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

void
kq_retransmit_queue_remove (KqRetransmitQueue *retransmit_queue, KqUnackedMessage *outgoing)
{
  kq_hash_index_remove (&retransmit_queue->index, &outgoing->link);
  TAILQ_REMOVE (&retransmit_queue->list, outgoing, entry);
  talloc_free (outgoing);
}

void
kq_retransmit_queue_remove_flow (KqRetransmitQueue *retransmit_queue, const KqFlowKey *key)
{
  KqUnackedMessage *outgoing = TAILQ_FIRST (&retransmit_queue->list);
  while (outgoing != NULL)
    {
      KqUnackedMessage *next = TAILQ_NEXT (outgoing, entry);
      if (kq_flow_key_equal (&outgoing->key, key))
        kq_retransmit_queue_remove (retransmit_queue, outgoing);
      outgoing = next;
    }
}

KqUnackedMessage *
kq_retransmit_queue_due (KqRetransmitQueue *retransmit_queue, KqTime now, bool *limit_reached)
{
  KqUnackedMessage *outgoing;
  TAILQ_FOREACH (outgoing, &retransmit_queue->list, entry)
  {
    if (outgoing->send_at > now)
      continue;
    *limit_reached = outgoing->transmit_count >= TRANSMISSIONS_MAX;
    outgoing->transmit_count++;
    outgoing->timeout_us *= 2;
    outgoing->send_at = now + outgoing->timeout_us;
    return outgoing;
  }
  return NULL;
}
