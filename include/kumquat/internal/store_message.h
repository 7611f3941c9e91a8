/* Encoding of requests to the store and decoding of its responses, for each supported protocol. */
#pragma once

#include "kumquat/store.h"

/**
 * struct KqStoreRange - parameters of a range read
 * @prefix: (borrowed): only keys with this prefix
 * @after_key: (nullable) (borrowed): only keys after this one
 * @at_revision: read at this store revision; 0: the current one
 * @min_mod_revision: only keys modified at or after this store revision
 * @limit: maximum number of keys in a response; 0: unlimited
 * @accept_stale: accept data that is some seconds out of date, which is cheaper for the store
 */
typedef struct
{
  const char *prefix;
  const char *after_key;
  uint64_t at_revision;
  uint64_t min_mod_revision;
  unsigned limit;
  bool accept_stale;
} KqStoreRange;

/**
 * struct KqStoreMessage - a decoded response, or a message of a watch
 * @revision: the store's revision
 * @cluster_id: cluster id of the store
 * @values: (array): keys; in a watch, the changed keys, with mod_revision 0 for a deleted key
 * @count: length of @values
 * @more: there are more keys than the limit of the read
 * @succeeded: all compares of the transaction succeeded
 * @created: the store created the watch
 * @cancelled: the store cancelled the watch
 * @compacted: the watch ended because its start revision was compacted
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
 * struct KqStoreCall - an encoded HTTP request
 * @method: (borrowed): HTTP method, a static string
 * @path: path and query
 * @body: (nullable): JSON body
 */
typedef struct
{
  const char *method;
  char *path;
  char *body;
} KqStoreCall;

/**
 * struct KqStoreProtocol - protocol of one kind of store
 * @range: encodes a range read
 * @reads: (nullable): encodes a read of several individual keys
 * @writes: encodes a transaction of compare-and-swap writes
 * @watch: encodes a request for the changes from @start_revision on
 * @changes: (nullable): encodes a request for the changes after a revision that the store responds
 *   to at once
 * @decode: decodes the response to any of these, or one line of a streaming watch. Return: (owned
 *   by @parent) the message, or NULL with @error set
 * @era_header: (nullable): response header with the era of the store, see KqStoreReply
 * @poll_ms: long-poll time: the store responds to a watch request after at most this time, and the
 *   client sends the next request; 0: a watch is a stream of lines
 * @poll_margin_us: how long after @poll_ms the response may arrive before the request times out
 * @retry_max_us: maximum delay between retries while the store is unreachable
 *
 * The strings of an encoded request are owned by @parent.
 */
typedef struct KqStoreProtocol
{
  void (*range) (const void *parent, const KqStoreRange *range, KqStoreCall *call);
  void (*reads) (const void *parent, const char *const *keys, unsigned count, KqStoreCall *call);
  void (*writes) (const void *parent, const KqStoreWrite *writes, unsigned count,
                  KqStoreCall *call);
  void (*watch) (const void *parent, const char *prefix, uint64_t start_revision,
                 KqStoreCall *call);
  void (*changes) (const void *parent, const char *prefix, uint64_t after_revision,
                   KqStoreCall *call);
  KqStoreMessage *(*decode) (const void *parent, unsigned status, const char *text, size_t size,
                             KqError *error);
  const char *era_header;
  unsigned poll_ms;
  KqTime poll_margin_us;
  KqTime retry_max_us;
} KqStoreProtocol;

/** kq_store_etcd_protocol - Return: (static) the protocol of the JSON gateway of etcd v3 */
const KqStoreProtocol *kq_store_etcd_protocol (void);
