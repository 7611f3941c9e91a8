/* Checks keys for changes after a known revision. Unlike a read, the response contains only what
 * changed, so that a check of a large value that did not change transfers a few bytes. */

#include <talloc.h>

#include "kumquat/internal/store_client.h"

typedef struct
{
  KqStore *store;
  char *prefix;
  uint64_t after_revision;
  uint32_t era;
  KqHttpCall *call;
  KqStoreCallback done;
  void *data;
} ChangesCheck;

static int
destroy_check (ChangesCheck *check)
{
  TALLOC_FREE (check->call);
  return 0;
}

static void
finish_check (ChangesCheck *check, const KqStoreReply *reply)
{
  talloc_steal (NULL, check);
  check->done (reply, check->data);
  talloc_free (check);
}

static void
read_instead (ChangesCheck *check)
{
  kq_store_read_stale (check->store, check->prefix, check->done, check->data);
  talloc_free (check);
}

static void
on_check_done (const KqHttpResult *result, void *data)
{
  ChangesCheck *check = data;
  KqStore *store = check->store;
  KqStoreReply reply = { 0 };
  KqError cause = { 0 };
  KqStoreMessage *message = NULL;
  check->call = NULL;
  bool current = result->answered && kq_store_check_era (store, result);
  if (result->answered && !current)
    kq_error_set (&cause, KQ_ERROR_STALE, "the answer is from before the store was restored");
  if (current)
    message = store->protocol->decode (check, result->status, result->body, result->size, &cause);
  if (message == NULL)
    {
      kq_store_set_unavailable (store, &reply, result->answered ? cause.message : result->failure);
      kq_store_mark_unreachable (store);
      finish_check (check, &reply);
      return;
    }
  store->reachable = true;
  if (message->compacted || store->era != check->era || message->revision < check->after_revision)
    {
      read_instead (check);
      return;
    }
  reply.revision = message->revision;
  reply.cluster_id = message->cluster_id;
  reply.era = store->era;
  reply.values = message->values;
  reply.count = message->count;
  finish_check (check, &reply);
}

void
kq_store_check (KqStore *store, const char *prefix, uint64_t after_revision, uint32_t era,
                KqStoreCallback done, void *data)
{
  if (store->protocol->changes == NULL || after_revision == 0 || store->era != era)
    {
      kq_store_read_stale (store, prefix, done, data);
      return;
    }
  ChangesCheck *check = talloc_zero (store, ChangesCheck);
  KqStoreCall call = { 0 };
  KqHttpParams params = {
    .timeout_us = store->timeout_us, .extend_timeout = true, .done = on_check_done, .data = check
  };
  check->store = store;
  check->prefix = talloc_strdup (check, prefix);
  check->after_revision = after_revision;
  check->era = era;
  check->done = done;
  check->data = data;
  talloc_set_destructor (check, destroy_check);
  store->protocol->changes (check, prefix, after_revision, &call);
  check->call = kq_store_send (store, &call, &params);
}
