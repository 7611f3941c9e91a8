/* A watch alternates between three steps. Read: the whole set is read and given to the user. Open:
 * a stream is opened that starts behind the last revision given to the user, so nothing is missed
 * and nothing is given twice. Check: every few seconds, and before a broken stream is opened again,
 * a cheap read asks for keys changed behind that revision. It finds a stream that lives and says
 * nothing (a key changed and the stream did not tell), an outage, and a store that was restored
 * (another cluster id or an older revision), which starts again with the first step. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/store_client.h"

#define RETRY_FIRST_US    (100 * KQ_MS)
#define CHECK_INTERVAL_US (5 * KQ_SECOND)
#define LINE_BYTES_MAX    ((size_t)64 * 1024 * 1024)
#define STATUS_OK         200

/**
 * struct KqStoreWatch - the watch of one prefix
 * @store: (borrowed): the client
 * @prefix: keys that start with it
 * @changed: see kq_store_watch()
 * @data: context pointer of @changed
 * @stream: (nullable): the open stream
 * @read: (nullable): the read in progress
 * @timer: (nullable): the next step
 * @lines: (nullable): runs when @text holds whole lines
 * @text: received and not yet taken
 * @known: store revision of what was given to the user; 0 before the first
 * @cluster_id: the store that @known belongs to
 * @retry_us: delay of the next retry
 * @created: the stream was confirmed by the store
 * @out: an outage was reported
 */
struct KqStoreWatch
{
  KqStore *store;
  char *prefix;
  KqStoreDone changed;
  void *data;
  KqHttpCall *stream;
  void *read;
  struct tevent_timer *timer;
  struct tevent_timer *lines;
  char *text;
  uint64_t known;
  uint64_t cluster_id;
  KqTime retry_us;
  bool created;
  bool out;
};

typedef void (*Step) (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
                      void *data);

static void on_poll_done (const KqHttpResult *result, void *data);
static void on_check (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
                      void *data);
static void read_whole (KqStoreWatch *watch);

static void
set_timer (KqStoreWatch *watch, KqTime delay_us, Step step)
{
  TALLOC_FREE (watch->timer);
  struct timeval when = tevent_timeval_current_ofs ((uint32_t)(delay_us / KQ_SECOND),
                                                    (uint32_t)(delay_us % KQ_SECOND));
  watch->timer = tevent_add_timer (watch->store->ev, watch, when, step, watch);
}

static KqTime
jittered (KqStoreWatch *watch, KqTime delay_us)
{
  return delay_us / 2 + (KqTime)kq_random_below (&watch->store->random, (uint64_t)delay_us);
}

static void
close_stream (KqStoreWatch *watch)
{
  TALLOC_FREE (watch->stream);
  TALLOC_FREE (watch->lines);
  TALLOC_FREE (watch->text);
  watch->created = false;
}

static void
retry (KqStoreWatch *watch)
{
  KqTime delay = jittered (watch, watch->retry_us);
  close_stream (watch);
  KqTime longest = watch->store->dialect->retry_longest_us;
  watch->retry_us = watch->retry_us * 2 < longest ? watch->retry_us * 2 : longest;
  set_timer (watch, delay, on_check);
}

static void
report_outage (KqStoreWatch *watch, const KqStoreReply *reply)
{
  if (watch->out)
    return;
  watch->out = true;
  watch->changed (reply, watch->data);
}

static bool
deliver (KqStoreWatch *watch, const KqStoreMessage *message)
{
  KqStoreReply reply = { .revision = message->revision,
                         .cluster_id = message->cluster_id,
                         .values = message->values,
                         .count = message->count };
  if (message->created)
    {
      watch->created = true;
      watch->retry_us = RETRY_FIRST_US;
      set_timer (watch, jittered (watch, CHECK_INTERVAL_US), on_check);
    }
  if (message->cancelled)
    {
      close_stream (watch);
      read_whole (watch);
      return false;
    }
  if (message->count == 0)
    return true;
  watch->known = message->revision;
  watch->changed (&reply, watch->data);
  return true;
}

/* Return: whether a whole line was taken and the stream goes on. */
static bool
take_line (KqStoreWatch *watch)
{
  size_t size = talloc_get_size (watch->text);
  char *end = memchr (watch->text, '\n', size);
  if (end == NULL)
    return false;
  size_t line = (size_t)(end - watch->text);
  KqStoreMessage *message =
      watch->store->dialect->decode (watch, STATUS_OK, watch->text, line, NULL);
  memmove (watch->text, end + 1, size - line - 1);
  if (size - line - 1 == 0)
    TALLOC_FREE (watch->text);
  else
    watch->text = talloc_realloc (watch, watch->text, char, size - line - 1);
  if (message == NULL)
    {
      retry (watch);
      return false;
    }
  bool open = deliver (watch, message);
  talloc_free (message);
  return open && watch->text != NULL;
}

static void
on_lines (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqStoreWatch *watch = data;
  (void)ev;
  (void)timer;
  (void)now;
  watch->lines = NULL;
  while (watch->text != NULL && take_line (watch))
    ;
}

/* Lines are taken from a timer, because the stream may not be closed inside this callback. */
static bool
on_chunk (const char *bytes, size_t size, void *data)
{
  KqStoreWatch *watch = data;
  size_t held = watch->text == NULL ? 0 : talloc_get_size (watch->text);
  if (held + size > LINE_BYTES_MAX)
    return false;
  watch->text = talloc_realloc (watch, watch->text, char, held + size);
  memcpy (watch->text + held, bytes, size);
  if (watch->lines == NULL)
    watch->lines =
        tevent_add_timer (watch->store->ev, watch, tevent_timeval_zero (), on_lines, watch);
  return true;
}

static void
on_stream_done (const KqHttpResult *result, void *data)
{
  KqStoreWatch *watch = data;
  (void)result;
  watch->stream = NULL;
  kq_store_failed (watch->store);
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
  kq_store_failed (watch->store);
  retry (watch);
}

static void
open_stream (KqStoreWatch *watch)
{
  KqStore *store = watch->store;
  bool polls = store->dialect->poll_ms > 0;
  KqHttpParams params = { .fresh = !polls, .done = on_stream_done, .data = watch };
  KqStoreCall call = { 0 };
  void *texts = talloc_new (watch);
  if (polls)
    {
      params.timeout_us = store->dialect->poll_ms * KQ_MS + store->dialect->poll_slack_us;
      params.done = on_poll_done;
    }
  else
    params.chunk = on_chunk;
  close_stream (watch);
  store->dialect->watch (texts, watch->prefix, watch->known + 1, &call);
  watch->stream = kq_store_send (store, &call, &params);
  talloc_free (texts);
  TALLOC_FREE (watch->timer);
  if (!polls)
    set_timer (watch, store->timeout_us, on_open_timeout);
}

/* The answer to a poll is the check of the stream as well: it shows the store's revision. */
static void
on_poll_done (const KqHttpResult *result, void *data)
{
  KqStoreWatch *watch = data;
  KqStore *store = watch->store;
  KqStoreReply reply = { 0 };
  KqStoreMessage *message = NULL;
  watch->stream = NULL;
  if (result->answered)
    message =
        store->dialect->decode (watch, result->status, result->body, result->size, &reply.error);
  else
    kq_error_set (&reply.error, KQ_ERROR_UNAVAILABLE, "the store did not answer a watch: %.100s",
                  result->failure);
  if (message == NULL)
    {
      kq_store_failed (store);
      retry (watch);
      report_outage (watch, &reply);
      return;
    }
  store->reachable = true;
  watch->out = false;
  watch->retry_us = RETRY_FIRST_US;
  if (message->compacted || message->revision < watch->known)
    read_whole (watch);
  else if (deliver (watch, message))
    {
      watch->known = message->revision;
      open_stream (watch);
    }
  talloc_free (message);
}

static void
on_whole_read (const KqStoreReply *reply, void *data)
{
  KqStoreWatch *watch = data;
  watch->read = NULL;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      retry (watch);
      report_outage (watch, reply);
      return;
    }
  watch->out = false;
  watch->known = reply->revision;
  watch->cluster_id = reply->cluster_id;
  open_stream (watch);
  watch->changed (reply, watch->data);
}

static void
read_whole (KqStoreWatch *watch)
{
  TALLOC_FREE (watch->timer);
  TALLOC_FREE (watch->read);
  watch->read = kq_store_read_range (watch, watch->store, watch->prefix, 0, on_whole_read, watch);
}

static bool
is_restored (const KqStoreWatch *watch, const KqStoreReply *reply)
{
  return reply->cluster_id != watch->cluster_id || reply->revision < watch->known;
}

static bool
has_missed (const KqStoreWatch *watch, const KqStoreReply *reply)
{
  for (unsigned i = 0; i < reply->count; i++)
    if (reply->values[i].mod_revision > watch->known)
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
  watch->out = false;
  if (is_restored (watch, reply))
    {
      close_stream (watch);
      read_whole (watch);
    }
  else if (!watch->created || has_missed (watch, reply))
    open_stream (watch);
  else
    set_timer (watch, jittered (watch, CHECK_INTERVAL_US), on_check);
}

static void
on_check (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  KqStoreWatch *watch = data;
  (void)ev;
  (void)timer;
  (void)now;
  watch->timer = NULL;
  if (watch->known == 0)
    read_whole (watch);
  else if (watch->store->dialect->poll_ms > 0)
    open_stream (watch);
  else
    watch->read = kq_store_read_range (watch, watch->store, watch->prefix, watch->known + 1,
                                       on_check_read, watch);
}

static int
destroy (KqStoreWatch *watch)
{
  close_stream (watch);
  return 0;
}

void
kq_store_watch (KqStore *store, const char *prefix, KqStoreDone changed, void *data)
{
  kq_store_unwatch (store);
  KqStoreWatch *watch = talloc_zero (store, KqStoreWatch);
  watch->store = store;
  watch->prefix = talloc_strdup (watch, prefix);
  watch->changed = changed;
  watch->data = data;
  watch->retry_us = RETRY_FIRST_US;
  talloc_set_destructor (watch, destroy);
  store->watch = watch;
  read_whole (watch);
}

void
kq_store_unwatch (KqStore *store)
{
  TALLOC_FREE (store->watch);
}
