/* Requests and answers of the store's JSON gateway. */
#pragma once

#include "kumquat/store.h"

/**
 * struct KqStoreRange - a read of keys
 * @prefix: (borrowed): keys that start with it
 * @from: (nullable) (borrowed): only keys after this one
 * @at_revision: read as of this store revision; 0 means now
 * @min_mod_revision: only keys changed at or after this store revision
 * @limit: keys an answer; 0 means without limit
 */
typedef struct
{
  const char *prefix;
  const char *from;
  uint64_t at_revision;
  uint64_t min_mod_revision;
  unsigned limit;
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

/* Encoders return text owned by @parent. */
char *kq_store_encode_range (const void *parent, const KqStoreRange *range);
char *kq_store_encode_writes (const void *parent, const KqStoreWrite *writes, unsigned count);
char *kq_store_encode_reads (const void *parent, const char *const *keys, unsigned count);
char *kq_store_encode_watch (const void *parent, const char *prefix, uint64_t start_revision);

/** kq_store_decode - Return: (owned by @parent) the message, or NULL with @error set */
KqStoreMessage *kq_store_decode (const void *parent, const char *text, size_t size, KqError *error);
