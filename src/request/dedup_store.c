#include <string.h>
#include <xxhash.h>

#include "kumquat/internal/dedup_store.h"

uint64_t
kq_request_hash (const KqFlowKey *key, const uint8_t *token, size_t token_size)
{
  return XXH3_64bits_withSeed (token, token_size, kq_flow_key_hash (key));
}

KqDedupStore *
kq_dedup_store_new (const void *parent, unsigned max, size_t bytes_max, KqTime answer_us,
                    KqTime refusal_us)
{
  KqDedupStore *dedup = talloc_zero (parent, KqDedupStore);
  if (dedup == NULL)
    return NULL;
  TAILQ_INIT (&dedup->answered);
  TAILQ_INIT (&dedup->refused);
  dedup->max = max;
  dedup->bytes_max = bytes_max;
  dedup->answer_us = answer_us;
  dedup->refusal_us = refusal_us;
  if (kq_hash_index_init (&dedup->index, dedup) < 0)
    {
      talloc_free (dedup);
      return NULL;
    }
  return dedup;
}

KqDedupEntry *
kq_dedup_store_find (const KqDedupStore *dedup, const KqFlowKey *key, const uint8_t *token,
                     size_t token_size)
{
  uint64_t hash = kq_request_hash (key, token, token_size);
  KqHashLink *link = kq_hash_index_find (&dedup->index, hash);
  while (link != NULL)
    {
      KqDedupEntry *answer = KQ_CONTAINER_OF (link, KqDedupEntry, link);
      if (answer->token_size == token_size && memcmp (answer->token, token, token_size) == 0 &&
          kq_flow_key_equal (&answer->key, key))
        return answer;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

bool
kq_dedup_store_is_full (const KqDedupStore *dedup)
{
  return dedup->index.count >= dedup->max || dedup->bytes + KQ_DATAGRAM_BYTES > dedup->bytes_max;
}

KqDedupEntry *
kq_dedup_store_reserve (KqDedupStore *dedup, const KqFlowKey *key, const uint8_t *token,
                        size_t token_size, uint64_t digest)
{
  if (kq_dedup_store_is_full (dedup))
    return NULL;
  KqDedupEntry *answer = talloc_zero (dedup, KqDedupEntry);
  if (answer == NULL)
    return NULL;
  answer->key = *key;
  answer->token_size = (uint8_t)token_size;
  memcpy (answer->token, token, token_size);
  answer->state = KQ_DEDUP_PENDING;
  answer->digest = digest;
  answer->expires = KQ_NEVER;
  dedup->bytes += KQ_DATAGRAM_BYTES;
  kq_hash_index_insert (&dedup->index, &answer->link, kq_request_hash (key, token, token_size));
  return answer;
}

static void
remove_from_list (KqDedupStore *dedup, KqDedupEntry *answer)
{
  if (answer->state == KQ_DEDUP_PENDING)
    dedup->bytes -= KQ_DATAGRAM_BYTES;
  else
    {
      KqDedupList *list = answer->state == KQ_DEDUP_ANSWERED ? &dedup->answered : &dedup->refused;
      TAILQ_REMOVE (list, answer, entry);
      dedup->bytes -= answer->answer_size;
    }
}

int
kq_dedup_store_complete (KqDedupStore *dedup, KqDedupEntry *answer, KqDedupState state,
                         const uint8_t *bytes, size_t size, KqTime now)
{
  remove_from_list (dedup, answer);
  talloc_free (answer->answer);
  answer->answer = talloc_memdup (answer, bytes, size);
  answer->answer_size = answer->answer == NULL ? 0 : size;
  dedup->bytes += answer->answer_size;
  answer->state = state;
  if (state == KQ_DEDUP_ANSWERED)
    {
      answer->expires = now + dedup->answer_us;
      TAILQ_INSERT_TAIL (&dedup->answered, answer, entry);
    }
  else
    {
      answer->expires = now + dedup->refusal_us;
      TAILQ_INSERT_TAIL (&dedup->refused, answer, entry);
    }
  return answer->answer == NULL ? -1 : 0;
}

static void
expire_list (KqDedupStore *dedup, KqDedupList *list, KqTime now)
{
  KqDedupEntry *answer;
  while ((answer = TAILQ_FIRST (list)) != NULL && answer->expires <= now)
    {
      remove_from_list (dedup, answer);
      kq_hash_index_remove (&dedup->index, &answer->link);
      talloc_free (answer);
    }
}

void
kq_dedup_store_expire (KqDedupStore *dedup, KqTime now)
{
  expire_list (dedup, &dedup->answered, now);
  expire_list (dedup, &dedup->refused, now);
}
