/* Requests and answers of the store, in the words that its dialect speaks. */
#pragma once

#include "kumquat/store.h"

/**
 * struct KqStoreRange - a read of keys
 * @prefix: (borrowed): keys that start with it
 * @from: (nullable) (borrowed): only keys after this one
 * @at_revision: read as of this store revision; 0 means now
 * @min_mod_revision: only keys changed at or after this store revision
 * @limit: keys an answer; 0 means without limit
 * @stale: an answer that is some seconds old will do, which costs the store less
 */
typedef struct
{
  const char *prefix;
  const char *from;
  uint64_t at_revision;
  uint64_t min_mod_revision;
  unsigned limit;
  bool stale;
} KqStoreRange;

/**
 * struct KqStoreMessage - one answer, or one message of a watch
 * @revision: the store's revision
 * @cluster_id: identity of the store
 * @values: (array): keys; of a watch, the changed ones, with mod_revision 0 for a deleted key
 * @count: length of @values
 * @more: a read found more keys than its limit
 * @succeeded: the compares of a transaction held
 * @created: a watch began
 * @cancelled: a watch ended
 * @compacted: a watch ended because its start was compacted
 */
typedef struct
{
  uint64_t revision;
  uint64_t cluster_id;
  KqStoreValue *values;
  unsigned count;
  bool more;
  bool succeeded;
  bool created;
  bool cancelled;
  bool compacted;
} KqStoreMessage;

/**
 * struct KqStoreCall - one HTTP request
 * @method: (borrowed): static
 * @path: path and query
 * @body: (nullable): JSON
 */
typedef struct
{
  const char *method;
  char *path;
  char *body;
} KqStoreCall;

/**
 * struct KqStoreDialect - how one kind of store is spoken to
 * @range: writes a read of keys
 * @reads: (nullable): writes a read of several keys at once
 * @writes: writes a transaction of compare-and-swaps
 * @watch: writes a request for the changes from @start_revision on
 * @decode: reads the answer to any of them, or one line of a watch that streams. Return: (owned by
 *   @parent) the message, or NULL with @error set
 * @poll_ms: a watch answers once, after at most so long, and is asked again; 0: it streams lines
 * @poll_slack_us: how much later than that the answer to a watch may come
 * @retry_longest_us: longest pause between attempts while the store does not answer
 *
 * Texts written into a call are owned by @parent.
 */
typedef struct KqStoreDialect
{
  void (*range) (const void *parent, const KqStoreRange *range, KqStoreCall *call);
  void (*reads) (const void *parent, const char *const *keys, unsigned count, KqStoreCall *call);
  void (*writes) (const void *parent, const KqStoreWrite *writes, unsigned count,
                  KqStoreCall *call);
  void (*watch) (const void *parent, const char *prefix, uint64_t start_revision,
                 KqStoreCall *call);
  KqStoreMessage *(*decode) (const void *parent, unsigned status, const char *text, size_t size,
                             KqError *error);
  unsigned poll_ms;
  KqTime poll_slack_us;
  KqTime retry_longest_us;
} KqStoreDialect;

/** kq_store_etcd_dialect - Return: (static) the JSON gateway of etcd v3 */
const KqStoreDialect *kq_store_etcd_dialect (void);
