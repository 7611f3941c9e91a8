#include <string.h>
#include <talloc.h>

#include "kumquat/internal/store_client.h"

#define STATUS_SERVER_ERROR 500

/**
 * struct Read - a paginated read in progress
 * @store: (borrowed): the client
 * @prefix: keys that start with it
 * @min_mod_revision: see KqStoreRange
 * @stale: see KqStoreRange
 * @from: last key received; the next page starts after it
 * @revision: store revision of the first page; later pages are read at the same revision
 * @cluster_id: cluster id of the first page
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
  bool stale;
  const char *from;
  uint64_t revision;
  uint64_t cluster_id;
  unsigned tries;
  KqHttpCall *call;
  KqStoreValue *values;
  unsigned count;
  KqStoreDone done;
  void *data;
} Read;

KqStore *
kq_store_new (const void *parent, struct tevent_context *ev, const KqAddress *endpoints,
              unsigned count, KqTime timeout_us, const KqStoreDialect *dialect, KqError *error)
{
  KqStore *store = talloc_zero (parent, KqStore);
  store->ev = ev;
  store->dialect = dialect == NULL ? kq_store_etcd_dialect () : dialect;
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
kq_store_reachable (const KqStore *store)
{
  return store->reachable;
}

void
kq_store_failed (KqStore *store)
{
  store->reachable = false;
  store->endpoint = (store->endpoint + 1) % store->endpoint_count;
}

static void
set_unavailable (KqStore *store, KqStoreReply *reply, const char *why)
{
  char address[KQ_ADDRESS_TEXT_BYTES];
  kq_error_set (
      &reply->error, KQ_ERROR_UNAVAILABLE,
      "the store at %s did not answer (%.60s); what is in force stays in force, try again "
      "when the store is back",
      kq_address_format (&store->endpoints[store->endpoint], address), why);
}

KqHttpCall *
kq_store_send (KqStore *store, const KqStoreCall *store_call, KqHttpParams *params)
{
  params->address = store->endpoints[store->endpoint];
  params->method = store_call->method;
  params->path = store_call->path;
  params->body = store_call->body;
  return kq_http_call (store->http, params);
}

static int
destroy_read (Read *read)
{
  TALLOC_FREE (read->call);
  return 0;
}

static void read_page (Read *read);

static void
end_read (Read *read, KqStoreReply *reply)
{
  reply->revision = read->revision;
  reply->cluster_id = read->cluster_id;
  reply->values = read->values;
  reply->count = read->count;
  talloc_steal (NULL, read);
  read->done (reply, read->data);
  talloc_free (read);
}

static void
add_page (Read *read, const KqStoreMessage *page)
{
  if (read->revision == 0)
    {
      read->revision = page->revision;
      read->cluster_id = page->cluster_id;
    }
  if (page->count == 0)
    return;
  read->values = talloc_realloc (read, read->values, KqStoreValue, read->count + page->count);
  memcpy (read->values + read->count, page->values, page->count * sizeof page->values[0]);
  read->count += page->count;
  read->from = page->values[page->count - 1].key;
}

static void
on_read_done (const KqHttpResult *result, void *data)
{
  Read *read = data;
  KqStore *store = read->store;
  KqStoreReply reply = { 0 };
  KqError why = { 0 };
  KqStoreMessage *page = NULL;
  read->call = NULL;
  if (result->answered)
    page = store->dialect->decode (read, result->status, result->body, result->size, &why);
  if (page == NULL)
    set_unavailable (store, &reply, result->answered ? why.message : result->failure);
  if (page == NULL)
    {
      kq_store_failed (store);
      if (++read->tries < store->endpoint_count)
        read_page (read);
      else
        end_read (read, &reply);
      return;
    }
  store->reachable = true;
  add_page (read, page);
  if (page->more && page->count > 0)
    read_page (read);
  else
    end_read (read, &reply);
}

static void
read_page (Read *read)
{
  KqStore *store = read->store;
  KqStoreRange range = { .prefix = read->prefix,
                         .from = read->from,
                         .at_revision = read->revision,
                         .min_mod_revision = read->min_mod_revision,
                         .stale = read->stale,
                         .limit = KQ_STORE_KEYS_A_PAGE };
  KqHttpParams params = { .timeout_us = store->timeout_us, .done = on_read_done, .data = read };
  KqStoreCall call = { 0 };
  void *texts = talloc_new (read);
  store->dialect->range (texts, &range, &call);
  read->call = kq_store_send (store, &call, &params);
  talloc_free (texts);
}

static Read *
new_read (const void *parent, KqStore *store, const char *prefix, KqStoreDone done, void *data)
{
  Read *read = talloc_zero (parent, Read);
  read->store = store;
  read->prefix = talloc_strdup (read, prefix);
  read->done = done;
  read->data = data;
  talloc_set_destructor (read, destroy_read);
  return read;
}

void *
kq_store_read_range (const void *parent, KqStore *store, const char *prefix,
                     uint64_t min_mod_revision, KqStoreDone done, void *data)
{
  Read *read = new_read (parent, store, prefix, done, data);
  read->min_mod_revision = min_mod_revision;
  read_page (read);
  return read;
}

void
kq_store_read (KqStore *store, const char *prefix, KqStoreDone done, void *data)
{
  kq_store_read_range (store, store, prefix, 0, done, data);
}

void
kq_store_read_stale (KqStore *store, const char *prefix, KqStoreDone done, void *data)
{
  Read *read = new_read (store, store, prefix, done, data);
  read->stale = true;
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
  KqStoreDone done;
  void *data;
} Write;

static void send_write (Write *write);

static int
destroy_write (Write *write)
{
  TALLOC_FREE (write->call);
  return 0;
}

static void
end_write (Write *write, const KqStoreReply *reply)
{
  talloc_steal (NULL, write);
  write->done (reply, write->data);
  talloc_free (write);
}

static void
fail_write (Write *write, const KqHttpResult *result)
{
  KqStore *store = write->store;
  KqStoreReply reply = { 0 };
  bool refused = result->answered && result->status < STATUS_SERVER_ERROR;
  bool maybe_done = result->sent && !write->reads;
  if (maybe_done && !refused)
    kq_error_set (
        &reply.error, KQ_ERROR_UNKNOWN_OUTCOME,
        "no response from the store to a write that was sent; read the key to find out whether "
        "it took effect");
  else
    set_unavailable (store, &reply, result->answered ? "HTTP error" : result->failure);
  kq_store_failed (store);
  if (!maybe_done && ++write->tries < store->endpoint_count)
    send_write (write);
  else
    end_write (write, &reply);
}

static void
on_write_done (const KqHttpResult *result, void *data)
{
  Write *write = data;
  KqStoreReply reply = { 0 };
  KqStoreMessage *message = NULL;
  write->call = NULL;
  if (result->answered)
    message =
        write->store->dialect->decode (write, result->status, result->body, result->size, NULL);
  if (message == NULL)
    {
      fail_write (write, result);
      return;
    }
  write->store->reachable = true;
  reply.revision = message->revision;
  reply.cluster_id = message->cluster_id;
  reply.values = message->values;
  reply.count = message->count;
  if (!message->succeeded)
    kq_error_set (&reply.error, KQ_ERROR_CONFLICT,
                  "another writer modified the key; read it again and make a new plan");
  end_write (write, &reply);
}

static void
send_write (Write *write)
{
  KqStore *store = write->store;
  KqHttpParams params = {
    .timeout_us = store->timeout_us, .fresh = !write->reads, .done = on_write_done, .data = write
  };
  write->call = kq_store_send (store, &write->request, &params);
}

void
kq_store_read_keys (KqStore *store, const char *const *keys, unsigned count, KqStoreDone done,
                    void *data)
{
  Write *write = talloc_zero (store, Write);
  write->store = store;
  store->dialect->reads (write, keys, count, &write->request);
  write->reads = true;
  write->done = done;
  write->data = data;
  talloc_set_destructor (write, destroy_write);
  send_write (write);
}

void
kq_store_write (KqStore *store, const KqStoreWrite *writes, unsigned count, KqStoreDone done,
                void *data)
{
  Write *write = talloc_zero (store, Write);
  write->store = store;
  store->dialect->writes (write, writes, count, &write->request);
  write->done = done;
  write->data = data;
  talloc_set_destructor (write, destroy_write);
  send_write (write);
}
