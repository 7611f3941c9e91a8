/* A watch is in one of three states.
 *
 * Read: all keys under the prefix are read and passed to the callback.
 * Open: a stream of changes is open. It starts right after the last revision that was passed to the
 * callback, so that no change is missed or delivered twice.
 * Check: every few seconds, and before a broken stream is reopened, a read for keys modified after
 * that revision detects an open stream that does not deliver changes, an outage, and a store that
 * was restored from a backup (a different cluster id or a lower revision). After a restore, the
 * watch returns to the read state. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/store_client.h"

#define RETRY_INITIAL_US  (100 * KQ_MS)
#define CHECK_INTERVAL_US (5 * KQ_SECOND)
#define BUFFER_BYTES_MAX  ((size_t)64 * 1024 * 1024)
#define STATUS_OK         200

/**
 * struct KqStoreWatch - the watch of one prefix
 * @store: (borrowed): the client
 * @prefix: keys that start with it
 * @on_change: see kq_store_watch()
 * @data: context pointer of @on_change
 * @stream: (nullable): the open stream
 * @read: (nullable): the read in progress
 * @timer: (nullable): timer of the next check, retry or timeout
 * @lines_timer: (nullable): timer that processes the complete lines in @buffer
 * @buffer: (nullable): received bytes that have not been processed
 * @processed_revision: last store revision that was processed; 0 before the first read
 * @cluster_id: cluster id of the store that @processed_revision refers to
 * @era: era of the store that @processed_revision refers to
 * @retry_us: delay before the next retry
 * @created: the store confirmed the stream
 * @outage_reported: the current outage was reported to @on_change
 */
struct KqStoreWatch
{
  KqStore *store;
  char *prefix;
  KqStoreCallback on_change;
  void *data;
  KqHttpCall *stream;
  void *read;
  struct tevent_timer *timer;
  struct tevent_timer *lines_timer;
  char *buffer;
  uint64_t processed_revision;
  uint64_t cluster_id;
  uint32_t era;
  KqTime retry_us;
  bool created;
  bool outage_reported;
};

typedef void (*TimerHandler) (struct tevent_context *ev, struct tevent_timer *timer,
                              struct timeval now, void *data);

static void on_poll_done (const KqHttpResult *result, void *data);
static void on_check (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
                      void *data);
static void read_all (KqStoreWatch *watch);

static void
set_timer (KqStoreWatch *watch, KqTime delay_us, TimerHandler handler)
{
  TALLOC_FREE (watch->timer);
  struct timeval when = tevent_timeval_current_ofs ((uint32_t)(delay_us / KQ_SECOND),
                                                    (uint32_t)(delay_us % KQ_SECOND));
  watch->timer = tevent_add_timer (watch->store->ev, watch, when, handler, watch);
}

static KqTime
add_jitter (KqStoreWatch *watch, KqTime delay_us)
{
  return delay_us / 2 + (KqTime)kq_random_below (&watch->store->random, (uint64_t)delay_us);
}

static void
close_stream (KqStoreWatch *watch)
{
  TALLOC_FREE (watch->stream);
  TALLOC_FREE (watch->lines_timer);
  TALLOC_FREE (watch->buffer);
  watch->created = false;
}

static void
retry (KqStoreWatch *watch)
{
  KqTime delay = add_jitter (watch, watch->retry_us);
  close_stream (watch);
  KqTime max_delay = watch->store->protocol->retry_max_us;
  watch->retry_us = watch->retry_us * 2 < max_delay ? watch->retry_us * 2 : max_delay;
  set_timer (watch, delay, on_check);
}

static void
report_outage (KqStoreWatch *watch, const KqStoreReply *reply)
{
  if (watch->outage_reported)
    return;
  watch->outage_reported = true;
  watch->on_change (reply, watch->data);
}

static bool
deliver (KqStoreWatch *watch, const KqStoreMessage *message)
{
  KqStoreReply reply = { .revision = message->revision,
                         .cluster_id = message->cluster_id,
                         .era = watch->era,
                         .values = message->values,
                         .count = message->count };
  if (message->created)
    {
      watch->created = true;
      watch->retry_us = RETRY_INITIAL_US;
      set_timer (watch, add_jitter (watch, CHECK_INTERVAL_US), on_check);
    }
  if (message->cancelled)
    {
      close_stream (watch);
      read_all (watch);
      return false;
    }
  if (message->count == 0)
    return true;
  watch->processed_revision = message->revision;
  watch->on_change (&reply, watch->data);
  return true;
}

/* Processes one buffered line. Return: whether the stream is still open and has more data. */
static bool
process_line (KqStoreWatch *watch)
{
  size_t size = talloc_get_size (watch->buffer);
  char *end = memchr (watch->buffer, '\n', size);
  if (end == NULL)
    return false;
  size_t line = (size_t)(end - watch->buffer);
  KqStoreMessage *message =
      watch->store->protocol->decode (watch, STATUS_OK, watch->buffer, line, NULL);
  memmove (watch->buffer, end + 1, size - line - 1);
  if (size - line - 1 == 0)
    TALLOC_FREE (watch->buffer);
  else
    watch->buffer = talloc_realloc (watch, watch->buffer, char, size - line - 1);
  if (message == NULL)
    {
      retry (watch);
      return false;
    }
  bool open = deliver (watch, message);
  talloc_free (message);
  return open && watch->buffer != NULL;
}

static void
on_lines (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqStoreWatch *watch = data;
  (void)ev;
  (void)timer;
  (void)now;
  watch->lines_timer = NULL;
  while (watch->buffer != NULL && process_line (watch))
    ;
}

/* Lines are processed from a timer because the call must not be freed in its chunk callback. */
static bool
on_chunk (const char *bytes, size_t size, void *data)
{
  KqStoreWatch *watch = data;
  size_t buffered_size = watch->buffer == NULL ? 0 : talloc_get_size (watch->buffer);
  if (buffered_size + size > BUFFER_BYTES_MAX)
    return false;
  watch->buffer = talloc_realloc (watch, watch->buffer, char, buffered_size + size);
  memcpy (watch->buffer + buffered_size, bytes, size);
  if (watch->lines_timer == NULL)
    watch->lines_timer =
        tevent_add_timer (watch->store->ev, watch, tevent_timeval_zero (), on_lines, watch);
  return true;
}

static void
on_stream_done (const KqHttpResult *result, void *data)
{
  KqStoreWatch *watch = data;
  (void)result;
  watch->stream = NULL;
  kq_store_mark_unreachable (watch->store);
  retry (watch);
}

static void
on_open_timeout (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
                 void *data)
{
  KqStoreWatch *watch = data;
  (void)ev;
  (void)timer;
  (void)now;
  watch->timer = NULL;
  kq_store_mark_unreachable (watch->store);
  retry (watch);
}

static void
open_stream (KqStoreWatch *watch)
{
  KqStore *store = watch->store;
  bool long_polls = store->protocol->poll_ms > 0;
  KqHttpParams params = { .new_connection = !long_polls, .done = on_stream_done, .data = watch };
  KqStoreCall call = { 0 };
  void *scope = talloc_new (watch);
  if (long_polls)
    {
      params.timeout_us = store->protocol->poll_ms * KQ_MS + store->protocol->poll_margin_us;
      params.extend_timeout = true;
      params.done = on_poll_done;
    }
  else
    params.chunk = on_chunk;
  close_stream (watch);
  store->protocol->watch (scope, watch->prefix, watch->processed_revision + 1, &call);
  watch->stream = kq_store_send (store, &call, &params);
  talloc_free (scope);
  TALLOC_FREE (watch->timer);
  if (!long_polls)
    set_timer (watch, store->timeout_us, on_open_timeout);
}

/* The response to a poll contains the store's revision, so a polling watch needs no separate check.
 */
static void
on_poll_done (const KqHttpResult *result, void *data)
{
  KqStoreWatch *watch = data;
  KqStore *store = watch->store;
  KqStoreReply reply = { 0 };
  KqStoreMessage *message = NULL;
  watch->stream = NULL;
  bool current = result->answered && kq_store_check_era (store, result);
  if (current)
    message =
        store->protocol->decode (watch, result->status, result->body, result->size, &reply.error);
  else if (result->answered)
    kq_error_set (&reply.error, KQ_ERROR_STALE,
                  "the answer to a watch request is from before the store was restored");
  else
    kq_error_set (&reply.error, KQ_ERROR_UNAVAILABLE,
                  "no response from the store to a watch request: %.100s", result->failure);
  if (message == NULL)
    {
      kq_store_mark_unreachable (store);
      retry (watch);
      report_outage (watch, &reply);
      return;
    }
  store->reachable = true;
  watch->outage_reported = false;
  watch->retry_us = RETRY_INITIAL_US;
  /* Revisions of a restored store are given out again, so one above the last processed revision
   * says nothing about what was missed. */
  if (message->compacted || store->era != watch->era ||
      message->revision < watch->processed_revision)
    read_all (watch);
  else if (deliver (watch, message))
    {
      watch->processed_revision = message->revision;
      open_stream (watch);
    }
  talloc_free (message);
}

static void
on_read_all_done (const KqStoreReply *reply, void *data)
{
  KqStoreWatch *watch = data;
  watch->read = NULL;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      retry (watch);
      report_outage (watch, reply);
      return;
    }
  watch->outage_reported = false;
  watch->processed_revision = reply->revision;
  watch->cluster_id = reply->cluster_id;
  watch->era = reply->era;
  open_stream (watch);
  KqStoreReply all = *reply;
  all.all_keys = true;
  watch->on_change (&all, watch->data);
}

static void
read_all (KqStoreWatch *watch)
{
  TALLOC_FREE (watch->timer);
  TALLOC_FREE (watch->read);
  watch->read =
      kq_store_read_range (watch, watch->store, watch->prefix, 0, on_read_all_done, watch);
}

static bool
is_restored (const KqStoreWatch *watch, const KqStoreReply *reply)
{
  return reply->cluster_id != watch->cluster_id || reply->era != watch->era ||
         reply->revision < watch->processed_revision;
}

static bool
has_missed_change (const KqStoreWatch *watch, const KqStoreReply *reply)
{
  for (unsigned i = 0; i < reply->count; i++)
    if (reply->values[i].mod_revision > watch->processed_revision)
      return true;
  return false;
}

static void
on_check_read (const KqStoreReply *reply, void *data)
{
  KqStoreWatch *watch = data;
  watch->read = NULL;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      retry (watch);
      report_outage (watch, reply);
      return;
    }
  watch->outage_reported = false;
  if (is_restored (watch, reply))
    {
      close_stream (watch);
      read_all (watch);
    }
  else if (!watch->created || has_missed_change (watch, reply))
    open_stream (watch);
  else
    set_timer (watch, add_jitter (watch, CHECK_INTERVAL_US), on_check);
}

static void
on_check (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqStoreWatch *watch = data;
  (void)ev;
  (void)timer;
  (void)now;
  watch->timer = NULL;
  if (watch->processed_revision == 0)
    read_all (watch);
  else if (watch->store->protocol->poll_ms > 0)
    open_stream (watch);
  else
    watch->read = kq_store_read_range (watch, watch->store, watch->prefix,
                                       watch->processed_revision + 1, on_check_read, watch);
}

static int
destroy (KqStoreWatch *watch)
{
  close_stream (watch);
  return 0;
}

void
kq_store_watch (KqStore *store, const char *prefix, KqStoreCallback on_change, void *data)
{
  kq_store_unwatch (store);
  KqStoreWatch *watch = talloc_zero (store, KqStoreWatch);
  watch->store = store;
  watch->prefix = talloc_strdup (watch, prefix);
  watch->on_change = on_change;
  watch->data = data;
  watch->retry_us = RETRY_INITIAL_US;
  talloc_set_destructor (watch, destroy);
  store->watch = watch;
  read_all (watch);
}

void
kq_store_unwatch (KqStore *store)
{
  TALLOC_FREE (store->watch);
}
