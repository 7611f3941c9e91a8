/* Client of the platform's key-value service, driven by tevent. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqStore KqStore;
struct KqStoreDialect; /* kumquat/internal/store_message.h */

/**
 * struct KqStoreValue - one key as the store holds it
 * @key: the key with a NUL
 * @bytes: (array): the value
 * @size: bytes at @bytes
 * @mod_revision: store revision of its last change; 0 when the key does not exist
 */
typedef struct
{
  const char *key;
  const uint8_t *bytes;
  size_t size;
  uint64_t mod_revision;
} KqStoreValue;

/**
 * struct KqStoreReply - outcome of one call; all pointers are borrowed for the callback
 * @error: kind KQ_ERROR_NONE on success; KQ_ERROR_UNAVAILABLE when the call had no effect;
 *   KQ_ERROR_UNKNOWN_OUTCOME when a write was sent and no answer came;
 *   KQ_ERROR_CONFLICT when a compare failed
 * @revision: the store's revision
 * @cluster_id: identity of the store; another one means that it was restored
 * @values: (array): what a read found
 * @count: length of @values
 */
typedef struct
{
  KqError error;
  uint64_t revision;
  uint64_t cluster_id;
  const KqStoreValue *values;
  unsigned count;
} KqStoreReply;

typedef void (*KqStoreDone) (const KqStoreReply *reply, void *data);

/**
 * struct KqStoreWrite - one compare-and-swap; all of a transaction's writes happen or none
 * @key: (borrowed): the key
 * @bytes: (borrowed): the new value
 * @size: bytes at @bytes
 * @expected_mod_revision: compared first; 0 means that the key must not exist
 */
typedef struct
{
  const char *key;
  const uint8_t *bytes;
  size_t size;
  uint64_t expected_mod_revision;
} KqStoreWrite;

/**
 * kq_store_new - creates a client; connects on first use
 * @endpoints: (borrowed) (array): addresses of the store's HTTP gateway, tried in turn
 * @count: length of @endpoints
 * @timeout_us: limit of one call
 * @dialect: (nullable) (borrowed): how the store is spoken to; NULL for etcd v3's JSON gateway
 *
 * Return: (owned by @parent) the client, or NULL with @error set.
 */
KqStore *kq_store_new (const void *parent, struct tevent_context *ev, const KqAddress *endpoints,
                       unsigned count, KqTime timeout_us, const struct KqStoreDialect *dialect,
                       KqError *error);

/* No callback of the store may free the store; kq_store_unwatch() is allowed from anywhere but
 * @changed. */

/** kq_store_read - reads every key that starts with @prefix; @done is called once */
void kq_store_read (KqStore *store, const char *prefix, KqStoreDone done, void *data);

/** kq_store_read_stale - as kq_store_read(), with an answer that may be some seconds old and costs
 * the store less */
void kq_store_read_stale (KqStore *store, const char *prefix, KqStoreDone done, void *data);

#define KQ_STORE_KEYS_MAX 120

/** kq_store_read_keys - reads up to KQ_STORE_KEYS_MAX keys in one call; those that do not exist are
 * left out of the reply; @done is called once */
void kq_store_read_keys (KqStore *store, const char *const *keys, unsigned count, KqStoreDone done,
                         void *data);

/** kq_store_write - compares and swaps @count keys at once; @done is called once */
void kq_store_write (KqStore *store, const KqStoreWrite *writes, unsigned count, KqStoreDone done,
                     void *data);

/**
 * kq_store_watch - reads every key under @prefix, then follows its changes
 *
 * @changed is called with the whole set at first, after a compaction and when the store was
 * restored (another cluster id or an older revision), and with the changed keys otherwise; a broken
 * stream is opened again behind the last revision, so that no change is missed or told twice. It is
 * called with error set when the store cannot be reached, at most once an outage. Retries by itself
 * with a growing, jittered delay.
 */
void kq_store_watch (KqStore *store, const char *prefix, KqStoreDone changed, void *data);

/** kq_store_unwatch - ends the watch */
void kq_store_unwatch (KqStore *store);

/** kq_store_reachable - Return: whether the last call was answered */
bool kq_store_reachable (const KqStore *store);
