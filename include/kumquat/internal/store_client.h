/* State that the store's calls and its watch share. */
#pragma once

#include "kumquat/internal/http_client.h"
#include "kumquat/internal/store_message.h"
#include "kumquat/random.h"

#define KQ_STORE_ENDPOINTS_MAX 8
#define KQ_STORE_KEYS_A_PAGE   500

typedef struct KqStoreWatch KqStoreWatch;

/**
 * struct KqStore - client of one store
 * @ev: (borrowed): the event loop
 * @dialect: (borrowed): how it is spoken to
 * @http: the HTTP client
 * @endpoints: (array): addresses of the store
 * @endpoint_count: length of @endpoints
 * @endpoint: the one in use
 * @timeout_us: limit of one call
 * @reachable: the last call was answered
 * @watch: (nullable): the watch
 * @random: for jitter
 */
struct KqStore
{
  struct tevent_context *ev;
  const KqStoreDialect *dialect;
  KqHttpClient *http;
  KqAddress endpoints[KQ_STORE_ENDPOINTS_MAX];
  unsigned endpoint_count;
  unsigned endpoint;
  KqTime timeout_us;
  bool reachable;
  KqStoreWatch *watch;
  KqRandom random;
};

/** kq_store_read_range - reads like kq_store_read(), page by page at one store revision; freeing
 * the result cancels it. Return: (owned by @parent, which lives no longer than @store) the read */
void *kq_store_read_range (const void *parent, KqStore *store, const char *prefix,
                           uint64_t min_mod_revision, KqStoreDone done, void *data);

/** kq_store_send - sends @store_call to the endpoint in use; @params gives limits and callbacks,
 * and the rest is filled in. Return: see kq_http_call() */
KqHttpCall *kq_store_send (KqStore *store, const KqStoreCall *store_call, KqHttpParams *params);

/** kq_store_failed - notes a failed call: the next one uses another endpoint */
void kq_store_failed (KqStore *store);
