#include <string.h>
#include <xxhash.h>

#include "kumquat/internal/coap_options.h"
#include "kumquat/internal/outbox.h"

#define ACK_TIMEOUT_US (2 * KQ_SECOND) /* ACK_TIMEOUT of RFC 7252 */
#define SENDS_MAX      5               /* 1 + MAX_RETRANSMIT of RFC 7252 */

static uint64_t
hash_message (const KqFlowKey *key, uint16_t message_id)
{
  return XXH3_64bits_withSeed (&message_id, sizeof message_id, kq_flow_key_hash (key));
}

KqOutbox *
kq_outbox_new (const void *parent)
{
  KqOutbox *outbox = talloc_zero (parent, KqOutbox);
  if (outbox == NULL)
    return NULL;
  TAILQ_INIT (&outbox->list);
  if (kq_hash_index_init (&outbox->index, outbox) < 0)
    {
      talloc_free (outbox);
      return NULL;
    }
  return outbox;
}

int
kq_outbox_add (KqOutbox *outbox, const KqFlowKey *key, const uint8_t *bytes, size_t size,
               KqTime now)
{
  if (outbox->index.count >= KQ_OUTBOX_MAX)
    return -1;
  KqOutgoing *outgoing = talloc_zero_size (outbox, sizeof *outgoing + size);
  if (outgoing == NULL)
    return -1;
  outgoing->key = *key;
  outgoing->message_id = (uint16_t)(bytes[2] << 8 | bytes[3]);
  outgoing->token_size = bytes[0] & 0x0f;
  memcpy (outgoing->token, bytes + KQ_COAP_HEADER_BYTES, outgoing->token_size);
  outgoing->timeout_us = ACK_TIMEOUT_US;
  outgoing->send_at = now + ACK_TIMEOUT_US;
  outgoing->sends = 1;
  outgoing->size = size;
  memcpy (outgoing->bytes, bytes, size);
  kq_hash_index_insert (&outbox->index, &outgoing->link, hash_message (key, outgoing->message_id));
  TAILQ_INSERT_TAIL (&outbox->list, outgoing, entry);
  return 0;
}

KqOutgoing *
kq_outbox_find (const KqOutbox *outbox, const KqFlowKey *key, uint16_t message_id)
{
  uint64_t hash = hash_message (key, message_id);
  KqHashLink *link = kq_hash_index_find (&outbox->index, hash);
  while (link != NULL)
    {
      KqOutgoing *outgoing = KQ_CONTAINER_OF (link, KqOutgoing, link);
      if (outgoing->message_id == message_id && kq_flow_key_equal (&outgoing->key, key))
        return outgoing;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

void
kq_outbox_remove (KqOutbox *outbox, KqOutgoing *outgoing)
{
  kq_hash_index_remove (&outbox->index, &outgoing->link);
  TAILQ_REMOVE (&outbox->list, outgoing, entry);
  talloc_free (outgoing);
}

void
kq_outbox_remove_flow (KqOutbox *outbox, const KqFlowKey *key)
{
  KqOutgoing *outgoing = TAILQ_FIRST (&outbox->list);
  while (outgoing != NULL)
    {
      KqOutgoing *next = TAILQ_NEXT (outgoing, entry);
      if (kq_flow_key_equal (&outgoing->key, key))
        kq_outbox_remove (outbox, outgoing);
      outgoing = next;
    }
}

KqOutgoing *
kq_outbox_due (KqOutbox *outbox, KqTime now, bool *give_up)
{
  KqOutgoing *outgoing;
  TAILQ_FOREACH (outgoing, &outbox->list, entry)
  {
    if (outgoing->send_at > now)
      continue;
    *give_up = outgoing->sends >= SENDS_MAX;
    outgoing->sends++;
    outgoing->timeout_us *= 2;
    outgoing->send_at = now + outgoing->timeout_us;
    return outgoing;
  }
  return NULL;
}
