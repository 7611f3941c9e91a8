/* Internal state of the store client, shared by its calls and its watch. */
#pragma once

#include "kumquat/internal/http_client.h"
#include "kumquat/internal/store_message.h"
#include "kumquat/random.h"

#define KQ_STORE_ENDPOINTS_MAX 8
#define KQ_STORE_PAGE_KEYS     500

typedef struct KqStoreWatch KqStoreWatch;

/**
 * struct KqStore - a store client
 * @ev: (borrowed): the event loop
 * @protocol: (borrowed): encodes requests to the store and decodes its responses
 * @http: the HTTP client
 * @endpoints: (array): addresses of the store
 * @endpoint_count: length of @endpoints
 * @endpoint: index of the endpoint in use
 * @timeout_us: timeout of one call
 * @reachable: the store responded to the last call
 * @era: highest era that an answer has had
 * @outdated_answers: answers that were refused because they had a lower era
 * @watch: (nullable): the watch
 * @random: source of retry jitter
 */
struct KqStore
{
  struct tevent_context *ev;
  const KqStoreProtocol *protocol;
  KqHttpClient *http;
  KqAddress endpoints[KQ_STORE_ENDPOINTS_MAX];
  unsigned endpoint_count;
  unsigned endpoint;
  KqTime timeout_us;
  bool reachable;
  uint32_t era;
  uint64_t outdated_answers;
  KqStoreWatch *watch;
  KqRandom random;
};

/** kq_store_read_range - like kq_store_read(), for keys modified at or after @min_mod_revision; all
 * pages are read at the same store revision. Return: (owned by @parent, which must not outlive
 * @store) the read; freeing it cancels the read */
void *kq_store_read_range (const void *parent, KqStore *store, const char *prefix,
                           uint64_t min_mod_revision, KqStoreCallback done, void *data);

/** kq_store_send - sends @store_call to the endpoint in use; @params contains timeout and
 * callbacks; the other fields are set here. Return: see kq_http_call() */
KqHttpCall *kq_store_send (KqStore *store, const KqStoreCall *store_call, KqHttpParams *params);

/** kq_store_check_era - takes note of the era of an answer. Return: false when the answer is of a
 * lower era than an earlier one and must not be used */
bool kq_store_check_era (KqStore *store, const KqHttpResult *result);

/** kq_store_set_unavailable - sets the error of @reply for a call that failed because of @cause */
void kq_store_set_unavailable (KqStore *store, KqStoreReply *reply, const char *cause);

/** kq_store_mark_unreachable - records a failed call and switches to the next endpoint */
void kq_store_mark_unreachable (KqStore *store);
