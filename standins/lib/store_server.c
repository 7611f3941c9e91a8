#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/http_server.h"
#include "store_codec.h"
#include "store_server.h"

/* A request whose answer is lost is answered with 503 after this time, long after the client's
 * timeout. */
#define LOST_ANSWER_MS 20000

/**
 * struct Watcher - an open watch
 */
typedef struct Watcher
{
  StoreServer *server;
  struct Watcher *next;
  KqHttpRequest *request;
  char *key;
  char *end;
} Watcher;

/**
 * struct Calls - number of calls by kind
 */
typedef struct
{
  unsigned range;
  unsigned txn;
  unsigned watch;
  unsigned lease;
} CallCounts;

struct StoreServer
{
  struct tevent_context *ev;
  KqAddress address;
  KqHttpServer *gateway;
  StoreData *data;
  Watcher *watchers;
  CallCounts calls;
  long slow_ms;
  long lose_answers;
  long lose_requests;
  long mute_watches;
  uint64_t last_lease;
};

/**
 * struct Late - an answer to be sent after a delay
 */
typedef struct
{
  KqHttpRequest *request;
  unsigned status;
  char *text;
} DelayedReply;

static void
on_reply_due (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  DelayedReply *delayed = data;
  (void)ev;
  (void)timer;
  (void)now;
  kq_http_respond (delayed->request, delayed->status, "application/json", delayed->text,
                   strlen (delayed->text));
  talloc_free (delayed);
}

static void
answer_delayed (StoreServer *server, KqHttpRequest *request, unsigned status, const char *text,
                long ms)
{
  /* Owned by the gateway, as the request is, so that both are freed together. */
  DelayedReply *delayed = talloc_zero (server->gateway, DelayedReply);
  delayed->request = request;
  delayed->status = status;
  delayed->text = talloc_strdup (delayed, text);
  struct timeval when =
      tevent_timeval_current_ofs ((uint32_t)(ms / 1000), (uint32_t)(ms % 1000 * 1000));
  tevent_add_timer (server->ev, delayed, when, on_reply_due, delayed);
}

static void
answer_text (StoreServer *server, KqHttpRequest *request, unsigned status, const char *text)
{
  if (server->slow_ms > 0)
    answer_delayed (server, request, status, text, server->slow_ms);
  else
    kq_http_respond (request, status, "application/json", text, strlen (text));
}

static void
answer (StoreServer *server, KqHttpRequest *request, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  answer_text (server, request, status, text);
  free (text);
}

static json_t *
header_json (const StoreServer *server)
{
  return json_pack ("{s:o, s:s, s:o, s:s}", "cluster_id",
                    store_integer_json (server->data->cluster_id), "member_id", "1", "revision",
                    store_integer_json (server->data->revision), "raft_term", "2");
}

/* A read at an older revision returns the current keys, which suffices for a paginated read. */
static json_t *
range_json (const StoreServer *server, const json_t *body)
{
  void *scratch = talloc_new (NULL);
  size_t size;
  const char *start = store_read_bytes (scratch, body, "key", &size);
  const char *end = store_read_bytes (scratch, body, "range_end", NULL);
  bool after = start != NULL && end != NULL && size > strlen (start);
  uint64_t limit = store_read_integer (body, "limit");
  uint64_t oldest = store_read_integer (body, "min_mod_revision");
  json_t *found = json_array ();
  bool more = false;
  for (unsigned i = 0; start != NULL && i < server->data->keys->count; i++)
    {
      const StoreEntry *entry = &server->data->keys->entries[i];
      if (!store_key_in_range (entry->key, start, end) || entry->mod_revision < oldest ||
          (after && strcmp (entry->key, start) == 0))
        continue;
      if (limit > 0 && json_array_size (found) == limit)
        {
          more = true;
          break;
        }
      json_array_append_new (found, store_entry_json (entry));
    }
  json_t *root = json_pack ("{s:o}", "header", header_json (server));
  json_object_set_new (root, "count", store_integer_json (json_array_size (found)));
  json_object_set_new (root, "kvs", found);
  if (more)
    json_object_set_new (root, "more", json_true ());
  talloc_free (scratch);
  return root;
}

static void
answer_error (StoreServer *server, KqHttpRequest *request, unsigned status, const char *message)
{
  answer (server, request, status,
          json_pack ("{s:s, s:i, s:s}", "error", message, "code", 3, "message", message));
}

static bool
compare_holds (const StoreServer *server, const json_t *compare)
{
  const char *target = json_string_value (json_object_get (compare, "target"));
  char *key = store_read_bytes (NULL, compare, "key", NULL);
  if (key == NULL || target == NULL || strcmp (target, "MOD") != 0)
    {
      talloc_free (key);
      return false;
    }
  const StoreEntry *entry = store_data_find (server->data, key);
  uint64_t revision = entry == NULL ? 0 : entry->mod_revision;
  talloc_free (key);
  return revision == store_read_integer (compare, "mod_revision");
}

static bool
all_compares_hold (const StoreServer *server, const json_t *body)
{
  size_t index;
  const json_t *compare;
  json_array_foreach (json_object_get (body, "compare"), index, compare)
  {
    if (!compare_holds (server, compare))
      return false;
  }
  return true;
}

static void
notify_watchers (StoreServer *server, unsigned first)
{
  const StoreList *history = server->data->history;
  for (Watcher *watcher = server->watchers; watcher != NULL; watcher = watcher->next)
    {
      json_t *events = json_array ();
      for (unsigned i = first; i < history->count; i++)
        {
          const StoreEntry *entry = &history->entries[i];
          if (!store_key_in_range (entry->key, watcher->key, watcher->end))
            continue;
          json_t *event = json_pack ("{s:o}", "kv", store_entry_json (entry));
          if (entry->deleted)
            json_object_set_new (event, "type", json_string ("DELETE"));
          json_array_append_new (events, event);
        }
      json_t *root = json_pack ("{s:{s:o, s:s, s:O}}", "result", "header", header_json (server),
                                "watch_id", "0", "events", events);
      char *text = json_dumps (root, JSON_COMPACT);
      if (json_array_size (events) > 0 && !server->mute_watches)
        {
          kq_http_stream_write (watcher->request, text, strlen (text));
          kq_http_stream_write (watcher->request, "\n", 1);
        }
      json_decref (events);
      json_decref (root);
      free (text);
    }
}

static json_t *
apply_operations (StoreServer *server, const json_t *operations)
{
  json_t *responses = json_array ();
  size_t index;
  const json_t *operation;
  unsigned first = server->data->history->count;
  json_array_foreach (operations, index, operation)
  {
    const json_t *put = json_object_get (operation, "request_put");
    const json_t *range = json_object_get (operation, "request_range");
    size_t size = 0;
    char *key = store_read_bytes (NULL, put, "key", NULL);
    char *value = store_read_bytes (NULL, put, "value", &size);
    if (key != NULL)
      {
        store_data_put (server->data, key, (uint8_t *)value, size,
                        store_read_integer (put, "lease"));
        json_array_append_new (responses, json_pack ("{s:{}}", "response_put"));
      }
    else if (range != NULL)
      json_array_append_new (responses,
                             json_pack ("{s:o}", "response_range", range_json (server, range)));
    talloc_free (key);
    talloc_free (value);
  }
  if (server->data->history->count > first)
    {
      server->data->revision++;
      notify_watchers (server, first);
    }
  return responses;
}

static bool
has_puts (const json_t *body)
{
  size_t index;
  const json_t *operation;
  json_array_foreach (json_object_get (body, "success"), index, operation)
  {
    if (json_object_get (operation, "request_put") != NULL)
      return true;
  }
  return false;
}

static void
handle_txn (StoreServer *server, KqHttpRequest *request, const json_t *body)
{
  bool writes = has_puts (body);
  server->calls.txn++;
  if (writes && server->lose_requests > 0)
    {
      server->lose_requests--;
      answer_delayed (server, request, 503, "{}", LOST_ANSWER_MS);
      return;
    }
  bool holds = all_compares_hold (server, body);
  json_t *responses =
      apply_operations (server, json_object_get (body, holds ? "success" : "failure"));
  json_t *root = json_pack ("{s:o, s:o}", "header", header_json (server), "responses", responses);
  if (holds)
    json_object_set_new (root, "succeeded", json_true ());
  if (writes && server->lose_answers > 0)
    {
      server->lose_answers--;
      json_decref (root);
      answer_delayed (server, request, 503, "{}", LOST_ANSWER_MS);
      return;
    }
  answer (server, request, 200, root);
}

static void
on_watcher_closed (KqHttpRequest *request, void *data)
{
  Watcher *watcher = data;
  Watcher **link = &watcher->server->watchers;
  (void)request;
  while (*link != NULL && *link != watcher)
    link = &(*link)->next;
  if (*link != NULL)
    *link = watcher->next;
  talloc_free (watcher);
}

static void
write_line (KqHttpRequest *request, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  kq_http_stream_write (request, text, strlen (text));
  kq_http_stream_write (request, "\n", 1);
  json_decref (root);
  free (text);
}

static unsigned
history_index (const StoreServer *server, uint64_t revision)
{
  unsigned i = 0;
  const StoreList *history = server->data->history;
  while (i < history->count && history->entries[i].mod_revision < revision)
    i++;
  return i;
}

static void
handle_watch (StoreServer *server, KqHttpRequest *request, const json_t *body)
{
  const json_t *create = json_object_get (body, "create_request");
  uint64_t start = store_read_integer (create, "start_revision");
  server->calls.watch++;
  Watcher *watcher = talloc_zero (server, Watcher);
  watcher->server = server;
  watcher->request = request;
  watcher->key = store_read_bytes (watcher, create, "key", NULL);
  watcher->end = store_read_bytes (watcher, create, "range_end", NULL);
  if (watcher->key == NULL)
    {
      talloc_free (watcher);
      answer_error (server, request, 400, "watch request has no key");
      return;
    }
  kq_http_stream_begin (request, "application/json", on_watcher_closed, watcher);
  write_line (request, json_pack ("{s:{s:o, s:s, s:b}}", "result", "header", header_json (server),
                                  "watch_id", "0", "created", 1));
  if (start > 0 && start <= server->data->compact_revision)
    {
      write_line (request, json_pack ("{s:{s:o, s:b, s:o}}", "result", "header",
                                      header_json (server), "canceled", 1, "compact_revision",
                                      store_integer_json (server->data->compact_revision)));
      kq_http_stream_end (request);
      return;
    }
  Watcher *others = server->watchers;
  server->watchers = watcher;
  if (start > 0)
    notify_watchers (server, history_index (server, start));
  watcher->next = others;
}

static void
handle_lease (StoreServer *server, KqHttpRequest *request, const char *path, const json_t *body)
{
  server->calls.lease++;
  if (strcmp (path, "/v3/lease/grant") == 0)
    answer (server, request, 200,
            json_pack ("{s:o, s:o, s:o}", "header", header_json (server), "ID",
                       store_integer_json (++server->last_lease), "TTL",
                       store_integer_json (store_read_integer (body, "TTL"))));
  else
    answer_error (server, request, 501, "the stand-in supports only the lease operation grant");
}

static void
break_watches (StoreServer *server)
{
  for (Watcher *watcher = server->watchers; watcher != NULL; watcher = watcher->next)
    kq_http_stream_end (watcher->request);
  server->watchers = NULL;
}

static void
compact (StoreServer *server)
{
  StoreList *history = server->data->history;
  server->data->compact_revision = server->data->revision;
  talloc_free (history);
  server->data->history = talloc_zero (server->data, StoreList);
}

static void on_request (KqHttpRequest *request, const char *method, const char *path,
                        const char *body, size_t size, void *data);

static void
start_gateway (StoreServer *server, KqError *error)
{
  if (server->gateway != NULL)
    return;
  server->gateway =
      kq_http_server_new (server, server->ev, &server->address, on_request, server, error);
  if (server->gateway != NULL)
    server->address.port = kq_http_server_port (server->gateway);
}

static void
set_down (StoreServer *server, long on)
{
  if (!on)
    {
      start_gateway (server, NULL);
      return;
    }
  while (server->watchers != NULL)
    {
      Watcher *watcher = server->watchers;
      server->watchers = watcher->next;
      talloc_free (watcher);
    }
  TALLOC_FREE (server->gateway);
}

bool
store_server_admin (StoreServer *server, const char *name, long value)
{
  if (strcmp (name, "down") == 0)
    set_down (server, value);
  else if (strcmp (name, "slow") == 0)
    server->slow_ms = value;
  else if (strcmp (name, "lose_answers") == 0)
    server->lose_answers = value;
  else if (strcmp (name, "lose_requests") == 0)
    server->lose_requests = value;
  else if (strcmp (name, "mute_watches") == 0)
    server->mute_watches = value;
  else if (strcmp (name, "break_watches") == 0)
    break_watches (server);
  else if (strcmp (name, "compact") == 0)
    compact (server);
  else if (strcmp (name, "snapshot") == 0)
    store_data_snapshot (server->data);
  else if (strcmp (name, "restore") == 0 && store_data_restore (server->data))
    break_watches (server);
  else
    return strcmp (name, "count") == 0;
  return true;
}

static void
on_down_timer (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
               void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  set_down (data, 1);
}

static void
handle_admin (StoreServer *server, KqHttpRequest *request, const char *name)
{
  const char *value = NULL;
  static const char *const parameters[] = { "on", "ms", "n" };
  for (unsigned i = 0; i < 3 && value == NULL; i++)
    value = kq_http_query_parameter (request, parameters[i]);
  long number = value == NULL ? 1 : strtol (value, NULL, 10);
  bool goes_down = strcmp (name, "down") == 0 && number != 0;
  /* The gateway may be serving this request, so it is stopped after the answer is sent. */
  if (goes_down)
    tevent_add_timer (server->ev, server, tevent_timeval_current_ofs (0, 20000), on_down_timer,
                      server);
  bool known = goes_down || store_server_admin (server, name, number);
  char text[160];
  snprintf (text, sizeof text,
            "{\"range\":%u,\"txn\":%u,\"watch\":%u,\"lease\":%u,\"open_watches\":%s,"
            "\"revision\":%" PRIu64 "}\n",
            server->calls.range, server->calls.txn, server->calls.watch, server->calls.lease,
            server->watchers == NULL ? "false" : "true", server->data->revision);
  kq_http_respond (request, known ? 200 : 404, "application/json", text, strlen (text));
}

static void
on_request (KqHttpRequest *request, const char *method, const char *path, const char *body,
            size_t size, void *data)
{
  StoreServer *server = data;
  (void)method;
  if (strncmp (path, "/admin/", 7) == 0)
    {
      handle_admin (server, request, path + 7);
      return;
    }
  json_t *root = json_loadb (body, size, 0, NULL);
  if (root == NULL)
    answer_error (server, request, 400, "request body is not valid JSON");
  else if (strcmp (path, "/v3/kv/range") == 0)
    {
      server->calls.range++;
      answer (server, request, 200, range_json (server, root));
    }
  else if (strcmp (path, "/v3/kv/txn") == 0)
    handle_txn (server, request, root);
  else if (strcmp (path, "/v3/watch") == 0)
    handle_watch (server, request, root);
  else if (strncmp (path, "/v3/lease/", 10) == 0)
    handle_lease (server, request, path, root);
  else
    answer_error (server, request, 404, "path not found");
  json_decref (root);
}

static void
on_admin (KqHttpRequest *request, const char *method, const char *path, const char *body,
          size_t size, void *data)
{
  (void)method;
  (void)body;
  (void)size;
  handle_admin (data, request, strncmp (path, "/admin/", 7) == 0 ? path + 7 : "");
}

static int
destroy (StoreServer *server)
{
  set_down (server, 1);
  return 0;
}

StoreServer *
store_server_new (const void *parent, struct tevent_context *ev, const KqAddress *listen_address,
                  const KqAddress *admin, KqError *error)
{
  StoreServer *server = talloc_zero (parent, StoreServer);
  server->ev = ev;
  server->address = *listen_address;
  server->data = store_data_new (server);
  talloc_set_destructor (server, destroy);
  start_gateway (server, error);
  if (server->gateway == NULL)
    goto error;
  if (admin != NULL && kq_http_server_new (server, ev, admin, on_admin, server, error) == NULL)
    goto error;
  return server;

error:
  talloc_free (server);
  return NULL;
}

uint16_t
store_server_port (const StoreServer *server)
{
  return server->address.port;
}
