/* Bounded deduplication store: outcomes of non-idempotent requests, so that a duplicate is answered
 * and never executed. */
#pragma once

#include <sys/queue.h>

#include "kumquat/coap_message.h"
#include "kumquat/internal/hash_index.h"

/**
 * enum KqDedupState - state of a stored request
 * @KQ_DEDUP_PENDING: it waits or runs
 * @KQ_DEDUP_REFUSED: it was refused and must not run later
 * @KQ_DEDUP_ANSWERED: it was sent to the target; the answer may be "outcome unknown"
 */
typedef enum
{
  KQ_DEDUP_PENDING,
  KQ_DEDUP_REFUSED,
  KQ_DEDUP_ANSWERED
} KqDedupState;

/**
 * struct KqDedupEntry - outcome of one request
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
typedef struct KqDedupEntry
{
  KqHashLink link;
  TAILQ_ENTRY (KqDedupEntry) entry;
  KqFlowKey key;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  KqDedupState state;
  uint64_t digest;
  KqTime expires;
  uint8_t *answer;
  size_t answer_size;
} KqDedupEntry;

typedef TAILQ_HEAD (KqDedupList, KqDedupEntry) KqDedupList;

/**
 * struct KqDedupStore - the store
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
  KqDedupList answered;
  KqDedupList refused;
  unsigned max;
  size_t bytes_max;
  size_t bytes;
  KqTime answer_us;
  KqTime refusal_us;
} KqDedupStore;

/** kq_dedup_store_new - Return: (owned by @parent) an empty store, or NULL if out of memory */
KqDedupStore *kq_dedup_store_new (const void *parent, unsigned max, size_t bytes_max,
                                  KqTime answer_us, KqTime refusal_us);

/** kq_dedup_store_find - Return: (owned by @dedup) (nullable): the entry of a request */
KqDedupEntry *kq_dedup_store_find (const KqDedupStore *dedup, const KqFlowKey *key,
                                   const uint8_t *token, size_t token_size);

/** kq_dedup_store_is_full - Return: whether kq_dedup_store_reserve() would fail */
bool kq_dedup_store_is_full (const KqDedupStore *dedup);

/** kq_dedup_store_reserve - Return: a pending entry with space reserved for its answer, or
 * NULL when the store is full or out of memory */
KqDedupEntry *kq_dedup_store_reserve (KqDedupStore *dedup, const KqFlowKey *key,
                                      const uint8_t *token, size_t token_size, uint64_t digest);

/**
 * kq_dedup_store_complete - stores the outcome of a request, replacing an earlier one
 * @state: refused or answered; an answered entry never becomes refused
 * @bytes: (borrowed): the answer's datagram, at most KQ_DATAGRAM_BYTES long
 *
 * Return: 0, or -1 when the answer could not be copied; the entry itself is kept, and a duplicate
 * is answered with "outcome unknown".
 */
int kq_dedup_store_complete (KqDedupStore *dedup, KqDedupEntry *answer, KqDedupState state,
                             const uint8_t *bytes, size_t size, KqTime now);

/** kq_dedup_store_expire - removes expired entries */
void kq_dedup_store_expire (KqDedupStore *dedup, KqTime now);

/** kq_request_hash - Return: hash of a flow and a token */
uint64_t kq_request_hash (const KqFlowKey *key, const uint8_t *token, size_t token_size);
