/* Bounded deduplication store: outcomes of non-idempotent requests, so that a duplicate is answered
 * and never executed. */
#pragma once

#include <sys/queue.h>

#include "kumquat/coap_message.h"
#include "kumquat/internal/hash_index.h"

/**
 * enum KqKeptState - state of a stored request
 * @KQ_KEPT_PENDING: it waits or runs
 * @KQ_KEPT_REFUSED: it was refused and must not run later
 * @KQ_KEPT_ANSWERED: it was sent to the target; the answer may be "outcome unknown"
 */
typedef enum
{
  KQ_KEPT_PENDING,
  KQ_KEPT_REFUSED,
  KQ_KEPT_ANSWERED
} KqKeptState;

/**
 * struct KqKeptAnswer - outcome of one request
 * @link: link in the index by flow and token
 * @entry: link in the list of its state, oldest first
 * @key: the flow
 * @token: token; identifies the request within its flow
 * @token_size: bytes of @token
 * @state: state of the request
 * @digest: digest of the request's content
 * @expires: when the entry may be removed
 * @answer: (owned) (nullable): the answer's datagram
 * @answer_size: bytes at @answer
 */
typedef struct KqKeptAnswer
{
  KqHashLink link;
  TAILQ_ENTRY (KqKeptAnswer) entry;
  KqFlowKey key;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  KqKeptState state;
  uint64_t digest;
  KqTime expires;
  uint8_t *answer;
  size_t answer_size;
} KqKeptAnswer;

typedef TAILQ_HEAD (KqKeptList, KqKeptAnswer) KqKeptList;

/**
 * struct KqKeptAnswers - the store
 * @index: by flow and token
 * @answered: answered requests, oldest first
 * @refused: refused requests, oldest first
 * @max: maximum number of entries
 * @bytes_max: maximum bytes of answers; a pending entry reserves KQ_DATAGRAM_BYTES
 * @bytes: bytes of stored answers and of reservations
 * @answer_us: how long an answer is kept after it was sent
 * @refusal_us: how long a refusal is kept
 */
typedef struct
{
  KqHashIndex index;
  KqKeptList answered;
  KqKeptList refused;
  unsigned max;
  size_t bytes_max;
  size_t bytes;
  KqTime answer_us;
  KqTime refusal_us;
} KqKeptAnswers;

/** kq_kept_answers_new - Return: (owned by @parent) an empty store, or NULL if out of memory */
KqKeptAnswers *kq_kept_answers_new (const void *parent, unsigned max, size_t bytes_max,
                                    KqTime answer_us, KqTime refusal_us);

/** kq_kept_answers_find - Return: (owned by @kept) (nullable): the entry of a request */
KqKeptAnswer *kq_kept_answers_find (const KqKeptAnswers *kept, const KqFlowKey *key,
                                    const uint8_t *token, size_t token_size);

/** kq_kept_answers_full - Return: whether kq_kept_answers_reserve() would fail */
bool kq_kept_answers_full (const KqKeptAnswers *kept);

/** kq_kept_answers_reserve - Return: a pending entry with space reserved for its answer, or
 * NULL when the store is full or out of memory */
KqKeptAnswer *kq_kept_answers_reserve (KqKeptAnswers *kept, const KqFlowKey *key,
                                       const uint8_t *token, size_t token_size, uint64_t digest);

/**
 * kq_kept_answers_settle - stores the outcome of a request, replacing an earlier one
 * @state: refused or answered; an answered entry never becomes refused
 * @bytes: (borrowed): the answer's datagram, at most KQ_DATAGRAM_BYTES long
 *
 * Return: 0, or -1 when the answer could not be copied; the entry itself is kept, and a duplicate
 * is answered with "outcome unknown".
 */
int kq_kept_answers_settle (KqKeptAnswers *kept, KqKeptAnswer *answer, KqKeptState state,
                            const uint8_t *bytes, size_t size, KqTime now);

/** kq_kept_answers_expire - removes expired entries */
void kq_kept_answers_expire (KqKeptAnswers *kept, KqTime now);

/** kq_request_hash - Return: hash of a flow and a token */
uint64_t kq_request_hash (const KqFlowKey *key, const uint8_t *token, size_t token_size);
