/* Asynchronous client of the platform's key-value store, based on tevent. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqStore KqStore;
struct KqStoreProtocol; /* kumquat/internal/store_message.h */

/**
 * struct KqStoreValue - a key and its value in the store
 * @key: the key, NUL-terminated
 * @bytes: (array): the value
 * @size: size of @bytes
 * @mod_revision: store revision of the last modification; 0 if the key does not exist
 */
typedef struct
{
  const char *key;
  const uint8_t *bytes;
  size_t size;
  uint64_t mod_revision;
} KqStoreValue;

/**
 * struct KqStoreReply - result of a call; all pointers are valid only during the callback
 * @error: kind KQ_ERROR_NONE on success; KQ_ERROR_UNAVAILABLE if the call had no effect;
 *   KQ_ERROR_UNKNOWN_OUTCOME if a write was sent and no response was received;
 *   KQ_ERROR_CONFLICT if a compare failed
 * @revision: the store's revision
 * @cluster_id: cluster id of the store; it changes when the store is restored from a backup
 * @era: how often the store came back from an older copy; an answer of a lower era is outdated,
 *   whatever its revision. 0 if the store does not say so
 * @values: (array): the keys that were found
 * @count: length of @values
 * @all_keys: a watch delivers all keys under its prefix, not only the changed ones
 */
typedef struct
{
  KqError error;
  uint64_t revision;
  uint64_t cluster_id;
  uint32_t era;
  const KqStoreValue *values;
  unsigned count;
  bool all_keys;
} KqStoreReply;

typedef void (*KqStoreCallback) (const KqStoreReply *reply, void *data);

/**
 * struct KqStoreWrite - a compare-and-swap of one key; the writes of a transaction are atomic
 * @key: (borrowed): the key
 * @bytes: (borrowed): the new value
 * @size: size of @bytes
 * @expected_mod_revision: mod_revision the key must have; 0: the key must not exist
 */
typedef struct
{
  const char *key;
  const uint8_t *bytes;
  size_t size;
  uint64_t expected_mod_revision;
} KqStoreWrite;

/**
 * kq_store_new - creates a client; it connects on first use
 * @endpoints: (borrowed) (array): addresses of the store's HTTP gateway, tried in turn
 * @count: length of @endpoints
 * @timeout_us: how long the store may take to respond; a response to a read or a watch may take
 *   longer as long as parts of it arrive
 * @protocol: (nullable) (borrowed): encoding of the store calls; NULL for the JSON gateway of etcd
 * v3
 *
 * Return: (owned by @parent) the client, or NULL with @error set.
 */
KqStore *kq_store_new (const void *parent, struct tevent_context *ev, const KqAddress *endpoints,
                       unsigned count, KqTime timeout_us, const struct KqStoreProtocol *protocol,
                       KqError *error);

/* Callbacks must not free the store. kq_store_unwatch() may be called from any callback except
 * @on_change. */

/** kq_store_read - reads every key that starts with @prefix; @done is called once */
void kq_store_read (KqStore *store, const char *prefix, KqStoreCallback done, void *data);

/** kq_store_read_stale - like kq_store_read(), but the result may be some seconds out of date; this
 * is cheaper for the store */
void kq_store_read_stale (KqStore *store, const char *prefix, KqStoreCallback done, void *data);

/**
 * kq_store_check - reads the keys under @prefix that changed after @after_revision
 * @era: era that @after_revision belongs to, see KqStoreReply
 *
 * @done is called once: with the changed keys (mod_revision 0 for a deleted one), or, as from
 * kq_store_read_stale(), with all keys if @after_revision is 0, if the store cannot tell the
 * changes or if it no longer has that revision or was restored. A check costs the store more than a
 * stale read, so it suits large values only.
 */
void kq_store_check (KqStore *store, const char *prefix, uint64_t after_revision, uint32_t era,
                     KqStoreCallback done, void *data);

#define KQ_STORE_READ_KEYS_MAX 120

/** kq_store_read_keys - reads up to KQ_STORE_READ_KEYS_MAX keys in one call; keys that do not exist
 * are not in the reply; @done is called once */
void kq_store_read_keys (KqStore *store, const char *const *keys, unsigned count,
                         KqStoreCallback done, void *data);

/** kq_store_write - writes @count keys in one compare-and-swap transaction; @done is called once */
void kq_store_write (KqStore *store, const KqStoreWrite *writes, unsigned count,
                     KqStoreCallback done, void *data);

/**
 * kq_store_watch - reads every key under @prefix, then watches for changes
 *
 * @on_change is called with all keys at first, after a compaction, and after the store was restored
 * from a backup (a different cluster id, another era or a lower revision); otherwise it is called
 * with the changed keys. A broken stream is reopened right after the last delivered revision, so
 * that no change is missed or delivered twice. If the store is unreachable, @on_change is called
 * with error set, at most once per outage. Retries use exponential backoff with jitter.
 */
void kq_store_watch (KqStore *store, const char *prefix, KqStoreCallback on_change, void *data);

/** kq_store_unwatch - cancels the watch */
void kq_store_unwatch (KqStore *store);

/** kq_store_era - Return: the highest era that an answer of the store has had, see KqStoreReply */
uint32_t kq_store_era (const KqStore *store);

/** kq_store_is_reachable - Return: whether the store responded to the last call */
bool kq_store_is_reachable (const KqStore *store);
