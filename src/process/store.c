#include <string.h>
#include <talloc.h>

#include "kumquat/internal/store_client.h"
#include "kumquat/log.h"

#define STATUS_SERVER_ERROR 500

/* Largest jump of the era that is accepted. It rises by one with each restore; a false value would
 * make the process refuse all later answers. */
#define ERA_JUMP_MAX 1000

/**
 * struct Read - a paginated read in progress
 * @store: (borrowed): the client
 * @prefix: keys that start with it
 * @min_mod_revision: see KqStoreRange
 * @accept_stale: see KqStoreRange
 * @after_key: last key received; the next page starts after it
 * @revision: store revision of the first page; later pages are read at the same revision
 * @cluster_id: cluster id of the first page
 * @era: era of the first page
 * @tries: number of endpoints that have failed
 * @call: (nullable): HTTP call in progress
 * @values: (array): values received so far
 * @count: length of @values
 * @done: see kq_store_read()
 * @data: context pointer of @done
 */
typedef struct
{
  KqStore *store;
  char *prefix;
  uint64_t min_mod_revision;
  bool accept_stale;
  const char *after_key;
  uint64_t revision;
  uint64_t cluster_id;
  uint32_t era;
  unsigned tries;
  KqHttpCall *call;
  KqStoreValue *values;
  unsigned count;
  KqStoreCallback done;
  void *data;
} RangeRead;

KqStore *
kq_store_new (const void *parent, struct tevent_context *ev, const KqAddress *endpoints,
              unsigned count, KqTime timeout_us, const KqStoreProtocol *protocol, KqError *error)
{
  KqStore *store = talloc_zero (parent, KqStore);
  store->ev = ev;
  store->protocol = protocol == NULL ? kq_store_etcd_protocol () : protocol;
  store->timeout_us = timeout_us;
  store->endpoint_count = count < KQ_STORE_ENDPOINTS_MAX ? count : KQ_STORE_ENDPOINTS_MAX;
  memcpy (store->endpoints, endpoints, store->endpoint_count * sizeof endpoints[0]);
  kq_random_seed_system (&store->random);
  if (count == 0)
    {
      kq_error_set (error, KQ_ERROR_INVALID,
                    "no store endpoint is configured; set store.endpoints");
      goto error;
    }
  store->http = kq_http_client_new (store, ev, error);
  if (store->http == NULL)
    goto error;
  return store;

error:
  talloc_free (store);
  return NULL;
}

bool
kq_store_is_reachable (const KqStore *store)
{
  return store->reachable;
}

void
kq_store_mark_unreachable (KqStore *store)
{
  store->reachable = false;
  store->endpoint = (store->endpoint + 1) % store->endpoint_count;
}

uint32_t
kq_store_era (const KqStore *store)
{
  return store->era;
}

/* An answer that was under way while the store was restored tells of keys that no longer exist. An
 * answer without the header does not count: a proxy or an error page may have written it. */
bool
kq_store_check_era (KqStore *store, const KqHttpResult *result)
{
  if (result->number == 0)
    return true;
  if (result->number > (uint64_t)store->era + ERA_JUMP_MAX)
    {
      kq_log (LOG_WARNING, "store-era-refused", "era=%llu before=%u",
              (unsigned long long)result->number, store->era);
      return true;
    }
  uint32_t era = (uint32_t)result->number;
  if (era < store->era)
    {
      store->outdated_answers++;
      return false;
    }
  if (era > store->era)
    kq_log (LOG_NOTICE, "store-era", "era=%u before=%u", era, store->era);
  store->era = era;
  return true;
}

void
kq_store_set_unavailable (KqStore *store, KqStoreReply *reply, const char *cause)
{
  char address[KQ_ADDRESS_TEXT_BYTES];
  kq_error_set (
      &reply->error, KQ_ERROR_UNAVAILABLE,
      "the store at %s did not answer (%.60s); what is in force stays in force, try again "
      "when the store is back",
      kq_address_format (&store->endpoints[store->endpoint], address), cause);
}

KqHttpCall *
kq_store_send (KqStore *store, const KqStoreCall *store_call, KqHttpParams *params)
{
  params->address = store->endpoints[store->endpoint];
  params->method = store_call->method;
  params->path = store_call->path;
  params->body = store_call->body;
  params->number_header = store->protocol->era_header;
  return kq_http_call (store->http, params);
}

static int
destroy_read (RangeRead *read)
{
  TALLOC_FREE (read->call);
  return 0;
}

static void read_page (RangeRead *read);

static void
finish_read (RangeRead *read, KqStoreReply *reply)
{
  reply->revision = read->revision;
  reply->cluster_id = read->cluster_id;
  reply->era = read->era;
  reply->values = read->values;
  reply->count = read->count;
  talloc_steal (NULL, read);
  read->done (reply, read->data);
  talloc_free (read);
}

static void
append_page (RangeRead *read, const KqStoreMessage *page)
{
  if (read->revision == 0)
    {
      read->revision = page->revision;
      read->cluster_id = page->cluster_id;
      read->era = read->store->era;
    }
  if (page->count == 0)
    return;
  read->values = talloc_realloc (read, read->values, KqStoreValue, read->count + page->count);
  memcpy (read->values + read->count, page->values, page->count * sizeof page->values[0]);
  read->count += page->count;
  read->after_key = page->values[page->count - 1].key;
}

static void
restart_read (RangeRead *read)
{
  read->revision = 0;
  read->after_key = NULL;
  read->count = 0;
  read_page (read);
}

static void
on_read_done (const KqHttpResult *result, void *data)
{
  RangeRead *read = data;
  KqStore *store = read->store;
  KqStoreReply reply = { 0 };
  KqError cause = { 0 };
  KqStoreMessage *page = NULL;
  read->call = NULL;
  bool current = result->answered && kq_store_check_era (store, result);
  if (result->answered && !current)
    kq_error_set (&cause, KQ_ERROR_STALE, "the answer is from before the store was restored");
  if (current)
    page = store->protocol->decode (read, result->status, result->body, result->size, &cause);
  if (page == NULL)
    kq_store_set_unavailable (store, &reply, result->answered ? cause.message : result->failure);
  if (page == NULL)
    {
      kq_store_mark_unreachable (store);
      if (++read->tries < store->endpoint_count)
        read_page (read);
      else
        finish_read (read, &reply);
      return;
    }
  store->reachable = true;
  if (read->revision != 0 && read->era != store->era)
    {
      /* The store was restored between two pages. */
      restart_read (read);
      return;
    }
  append_page (read, page);
  if (page->more && page->count > 0)
    read_page (read);
  else
    finish_read (read, &reply);
}

static void
read_page (RangeRead *read)
{
  KqStore *store = read->store;
  KqStoreRange range = { .prefix = read->prefix,
                         .after_key = read->after_key,
                         .at_revision = read->revision,
                         .min_mod_revision = read->min_mod_revision,
                         .accept_stale = read->accept_stale,
                         .limit = KQ_STORE_PAGE_KEYS };
  KqHttpParams params = {
    .timeout_us = store->timeout_us, .extend_timeout = true, .done = on_read_done, .data = read
  };
  KqStoreCall call = { 0 };
  void *scope = talloc_new (read);
  store->protocol->range (scope, &range, &call);
  read->call = kq_store_send (store, &call, &params);
  talloc_free (scope);
}

static RangeRead *
new_read (const void *parent, KqStore *store, const char *prefix, KqStoreCallback done, void *data)
{
  RangeRead *read = talloc_zero (parent, RangeRead);
  read->store = store;
  read->prefix = talloc_strdup (read, prefix);
  read->done = done;
  read->data = data;
  talloc_set_destructor (read, destroy_read);
  return read;
}

void *
kq_store_read_range (const void *parent, KqStore *store, const char *prefix,
                     uint64_t min_mod_revision, KqStoreCallback done, void *data)
{
  RangeRead *read = new_read (parent, store, prefix, done, data);
  read->min_mod_revision = min_mod_revision;
  read_page (read);
  return read;
}

void
kq_store_read (KqStore *store, const char *prefix, KqStoreCallback done, void *data)
{
  kq_store_read_range (store, store, prefix, 0, done, data);
}

void
kq_store_read_stale (KqStore *store, const char *prefix, KqStoreCallback done, void *data)
{
  RangeRead *read = new_read (store, store, prefix, done, data);
  read->accept_stale = true;
  read_page (read);
}

/**
 * struct Write - a transaction in progress
 * @reads: the transaction is read-only and can be retried safely
 */
typedef struct
{
  KqStore *store;
  KqStoreCall request;
  unsigned tries;
  bool reads;
  KqHttpCall *call;
  KqStoreCallback done;
  void *data;
} Transaction;

static void send_transaction (Transaction *txn);

static int
destroy_transaction (Transaction *txn)
{
  TALLOC_FREE (txn->call);
  return 0;
}

static void
finish_transaction (Transaction *txn, const KqStoreReply *reply)
{
  talloc_steal (NULL, txn);
  txn->done (reply, txn->data);
  talloc_free (txn);
}

static void
handle_transaction_failure (Transaction *txn, const KqHttpResult *result)
{
  KqStore *store = txn->store;
  KqStoreReply reply = { 0 };
  bool refused = result->answered && result->status < STATUS_SERVER_ERROR;
  bool may_have_effect = result->sent && !txn->reads;
  if (may_have_effect && !refused)
    kq_error_set (
        &reply.error, KQ_ERROR_UNKNOWN_OUTCOME,
        "no response from the store to a write that was sent; read the key to find out whether "
        "it took effect");
  else
    kq_store_set_unavailable (store, &reply, result->answered ? "HTTP error" : result->failure);
  kq_store_mark_unreachable (store);
  if (!may_have_effect && ++txn->tries < store->endpoint_count)
    send_transaction (txn);
  else
    finish_transaction (txn, &reply);
}

static void
on_transaction_done (const KqHttpResult *result, void *data)
{
  Transaction *txn = data;
  KqStoreReply reply = { 0 };
  KqStoreMessage *message = NULL;
  txn->call = NULL;
  if (result->answered && !kq_store_check_era (txn->store, result))
    {
      /* A write that was acknowledged in an earlier era may be gone, so its outcome is unknown. */
      KqHttpResult outdated = { .sent = true,
                                .failure = "the answer is from before the store was restored" };
      handle_transaction_failure (txn, &outdated);
      return;
    }
  if (result->answered)
    message = txn->store->protocol->decode (txn, result->status, result->body, result->size, NULL);
  if (message == NULL)
    {
      handle_transaction_failure (txn, result);
      return;
    }
  txn->store->reachable = true;
  reply.revision = message->revision;
  reply.cluster_id = message->cluster_id;
  reply.era = txn->store->era;
  reply.values = message->values;
  reply.count = message->count;
  if (!message->succeeded)
    kq_error_set (&reply.error, KQ_ERROR_CONFLICT,
                  "another writer modified the key; read it again and make a new plan");
  finish_transaction (txn, &reply);
}

static void
send_transaction (Transaction *txn)
{
  KqStore *store = txn->store;
  KqHttpParams params = { .timeout_us = store->timeout_us,
                          .extend_timeout = txn->reads,
                          .new_connection = !txn->reads,
                          .done = on_transaction_done,
                          .data = txn };
  txn->call = kq_store_send (store, &txn->request, &params);
}

void
kq_store_read_keys (KqStore *store, const char *const *keys, unsigned count, KqStoreCallback done,
                    void *data)
{
  Transaction *txn = talloc_zero (store, Transaction);
  txn->store = store;
  store->protocol->reads (txn, keys, count, &txn->request);
  txn->reads = true;
  txn->done = done;
  txn->data = data;
  talloc_set_destructor (txn, destroy_transaction);
  send_transaction (txn);
}

void
kq_store_write (KqStore *store, const KqStoreWrite *writes, unsigned count, KqStoreCallback done,
                void *data)
{
  Transaction *txn = talloc_zero (store, Transaction);
  txn->store = store;
  store->protocol->writes (txn, writes, count, &txn->request);
  txn->done = done;
  txn->data = data;
  talloc_set_destructor (txn, destroy_transaction);
  send_transaction (txn);
}
