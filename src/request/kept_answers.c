#include <string.h>
#include <xxhash.h>

#include "kumquat/internal/kept_answers.h"

uint64_t
kq_request_hash (const KqFlowKey *key, const uint8_t *token, size_t token_size)
{
  return XXH3_64bits_withSeed (token, token_size, kq_flow_key_hash (key));
}

KqKeptAnswers *
kq_kept_answers_new (const void *parent, unsigned max, size_t bytes_max, KqTime answer_us,
                     KqTime refusal_us)
{
  KqKeptAnswers *kept = talloc_zero (parent, KqKeptAnswers);
  if (kept == NULL)
    return NULL;
  TAILQ_INIT (&kept->answered);
  TAILQ_INIT (&kept->refused);
  kept->max = max;
  kept->bytes_max = bytes_max;
  kept->answer_us = answer_us;
  kept->refusal_us = refusal_us;
  if (kq_hash_index_init (&kept->index, kept) < 0)
    {
      talloc_free (kept);
      return NULL;
    }
  return kept;
}

KqKeptAnswer *
kq_kept_answers_find (const KqKeptAnswers *kept, const KqFlowKey *key, const uint8_t *token,
                      size_t token_size)
{
  uint64_t hash = kq_request_hash (key, token, token_size);
  KqHashLink *link = kq_hash_index_find (&kept->index, hash);
  while (link != NULL)
    {
      KqKeptAnswer *answer = KQ_CONTAINER_OF (link, KqKeptAnswer, link);
      if (answer->token_size == token_size && memcmp (answer->token, token, token_size) == 0 &&
          kq_flow_key_equal (&answer->key, key))
        return answer;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

bool
kq_kept_answers_full (const KqKeptAnswers *kept)
{
  return kept->index.count >= kept->max || kept->bytes + KQ_DATAGRAM_BYTES > kept->bytes_max;
}

KqKeptAnswer *
kq_kept_answers_reserve (KqKeptAnswers *kept, const KqFlowKey *key, const uint8_t *token,
                         size_t token_size, uint64_t digest)
{
  if (kq_kept_answers_full (kept))
    return NULL;
  KqKeptAnswer *answer = talloc_zero (kept, KqKeptAnswer);
  if (answer == NULL)
    return NULL;
  answer->key = *key;
  answer->token_size = (uint8_t)token_size;
  memcpy (answer->token, token, token_size);
  answer->state = KQ_KEPT_PENDING;
  answer->digest = digest;
  answer->expires = KQ_NEVER;
  kept->bytes += KQ_DATAGRAM_BYTES;
  kq_hash_index_insert (&kept->index, &answer->link, kq_request_hash (key, token, token_size));
  return answer;
}

static void
unlist (KqKeptAnswers *kept, KqKeptAnswer *answer)
{
  if (answer->state == KQ_KEPT_PENDING)
    kept->bytes -= KQ_DATAGRAM_BYTES;
  else
    {
      KqKeptList *list = answer->state == KQ_KEPT_ANSWERED ? &kept->answered : &kept->refused;
      TAILQ_REMOVE (list, answer, entry);
      kept->bytes -= answer->answer_size;
    }
}

int
kq_kept_answers_settle (KqKeptAnswers *kept, KqKeptAnswer *answer, KqKeptState state,
                        const uint8_t *bytes, size_t size, KqTime now)
{
  unlist (kept, answer);
  talloc_free (answer->answer);
  answer->answer = talloc_memdup (answer, bytes, size);
  answer->answer_size = answer->answer == NULL ? 0 : size;
  kept->bytes += answer->answer_size;
  answer->state = state;
  if (state == KQ_KEPT_ANSWERED)
    {
      answer->expires = now + kept->answer_us;
      TAILQ_INSERT_TAIL (&kept->answered, answer, entry);
    }
  else
    {
      answer->expires = now + kept->refusal_us;
      TAILQ_INSERT_TAIL (&kept->refused, answer, entry);
    }
  return answer->answer == NULL ? -1 : 0;
}

static void
expire_list (KqKeptAnswers *kept, KqKeptList *list, KqTime now)
{
  KqKeptAnswer *answer;
  while ((answer = TAILQ_FIRST (list)) != NULL && answer->expires <= now)
    {
      unlist (kept, answer);
      kq_hash_index_remove (&kept->index, &answer->link);
      talloc_free (answer);
    }
}

void
kq_kept_answers_expire (KqKeptAnswers *kept, KqTime now)
{
  expire_list (kept, &kept->answered, now);
  expire_list (kept, &kept->refused, now);
}
