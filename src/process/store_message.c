#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/base64.h"
#include "kumquat/internal/store_message.h"

#define STATUS_OK    200
#define RETRY_MAX_US (5 * KQ_SECOND) /* short compared with an outage of minutes */

static json_t *
base64_json (const void *bytes, size_t size)
{
  char *encoded = kq_base64_encode (NULL, bytes, size);
  json_t *value = json_string (encoded);
  talloc_free (encoded);
  return value;
}

/* The gateway encodes 64-bit integers as JSON strings. */
static json_t *
integer_json (uint64_t value)
{
  char text[32];
  snprintf (text, sizeof text, "%" PRIu64, value);
  return json_string (text);
}

static char *
dump_json (const void *parent, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  char *owned = talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return owned;
}

/* Encodes the end of the key range of a prefix: the prefix with its last byte incremented. */
static json_t *
prefix_end (const char *prefix)
{
  char *end = talloc_strdup (NULL, prefix);
  size_t size = strlen (end);
  if (size > 0)
    end[size - 1]++;
  json_t *value = base64_json (end, size);
  talloc_free (end);
  return value;
}

static void
set_request (KqStoreCall *call, const char *path, char *body)
{
  call->method = "POST";
  call->path = talloc_strdup (talloc_parent (body), path);
  call->body = body;
}

static void
encode_range (const void *parent, const KqStoreRange *range, KqStoreCall *call)
{
  json_t *root = json_object ();
  if (range->after_key != NULL)
    json_object_set_new (root, "key",
                         base64_json (range->after_key, strlen (range->after_key) + 1));
  else
    json_object_set_new (root, "key", base64_json (range->prefix, strlen (range->prefix)));
  json_object_set_new (root, "range_end", prefix_end (range->prefix));
  if (range->at_revision > 0)
    json_object_set_new (root, "revision", integer_json (range->at_revision));
  if (range->min_mod_revision > 0)
    json_object_set_new (root, "min_mod_revision", integer_json (range->min_mod_revision));
  if (range->limit > 0)
    json_object_set_new (root, "limit", integer_json (range->limit));
  if (range->accept_stale)
    json_object_set_new (root, "serializable", json_true ());
  set_request (call, "/v3/kv/range", dump_json (parent, root));
}

static json_t *
compare_json (const KqStoreWrite *write)
{
  json_t *compare = json_pack ("{s:s, s:s}", "target", "MOD", "result", "EQUAL");
  json_object_set_new (compare, "key", base64_json (write->key, strlen (write->key)));
  json_object_set_new (compare, "mod_revision", integer_json (write->expected_mod_revision));
  return compare;
}

static void
encode_writes (const void *parent, const KqStoreWrite *writes, unsigned count, KqStoreCall *call)
{
  json_t *compares = json_array ();
  json_t *puts = json_array ();
  json_t *reads = json_array ();
  for (unsigned i = 0; i < count; i++)
    {
      json_t *put = json_object ();
      json_t *read = json_object ();
      size_t key_size = strlen (writes[i].key);
      json_object_set_new (put, "key", base64_json (writes[i].key, key_size));
      json_object_set_new (put, "value", base64_json (writes[i].bytes, writes[i].size));
      json_object_set_new (read, "key", base64_json (writes[i].key, key_size));
      json_array_append_new (compares, compare_json (&writes[i]));
      json_array_append_new (puts, json_pack ("{s:o}", "request_put", put));
      json_array_append_new (reads, json_pack ("{s:o}", "request_range", read));
    }
  json_t *root =
      json_pack ("{s:o, s:o, s:o}", "compare", compares, "success", puts, "failure", reads);
  set_request (call, "/v3/kv/txn", dump_json (parent, root));
}

static void
encode_reads (const void *parent, const char *const *keys, unsigned count, KqStoreCall *call)
{
  json_t *reads = json_array ();
  for (unsigned i = 0; i < count; i++)
    {
      json_t *read = json_object ();
      json_object_set_new (read, "key", base64_json (keys[i], strlen (keys[i])));
      json_array_append_new (reads, json_pack ("{s:o}", "request_range", read));
    }
  set_request (call, "/v3/kv/txn", dump_json (parent, json_pack ("{s:o}", "success", reads)));
}

static void
encode_watch (const void *parent, const char *prefix, uint64_t start_revision, KqStoreCall *call)
{
  json_t *create = json_object ();
  json_object_set_new (create, "key", base64_json (prefix, strlen (prefix)));
  json_object_set_new (create, "range_end", prefix_end (prefix));
  json_object_set_new (create, "start_revision", integer_json (start_revision));
  set_request (call, "/v3/watch",
               dump_json (parent, json_pack ("{s:o}", "create_request", create)));
}

static uint64_t
read_integer (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);
  if (json_is_integer (value))
    return (uint64_t)json_integer_value (value);
  const char *text = json_string_value (value);
  return text == NULL ? 0 : strtoull (text, NULL, 10);
}

static bool
add_value (KqStoreMessage *message, const json_t *item, bool deleted)
{
  message->values = talloc_realloc (message, message->values, KqStoreValue, message->count + 1);
  KqStoreValue *value = &message->values[message->count];
  memset (value, 0, sizeof *value);
  size_t key_size;
  value->key = (char *)kq_base64_decode (message, json_string_value (json_object_get (item, "key")),
                                         &key_size);
  if (value->key == NULL)
    return false;
  const char *text = json_string_value (json_object_get (item, "value"));
  value->bytes = kq_base64_decode (message, text == NULL ? "" : text, &value->size);
  if (!deleted)
    value->mod_revision = read_integer (item, "mod_revision");
  message->count++;
  return value->bytes != NULL;
}

static bool
add_values (KqStoreMessage *message, const json_t *list)
{
  size_t index;
  const json_t *item;
  json_array_foreach (list, index, item)
  {
    if (!add_value (message, item, false))
      return false;
  }
  return true;
}

static bool
add_events (KqStoreMessage *message, const json_t *list)
{
  size_t index;
  const json_t *event;
  json_array_foreach (list, index, event)
  {
    const char *type = json_string_value (json_object_get (event, "type"));
    bool deleted = type != NULL && strcmp (type, "DELETE") == 0;
    if (!add_value (message, json_object_get (event, "kv"), deleted))
      return false;
  }
  return true;
}

/* After a failed compare, the transaction's response contains the current value of each key. */
static bool
add_current_values (KqStoreMessage *message, const json_t *responses)
{
  size_t index;
  const json_t *item;
  json_array_foreach (responses, index, item)
  {
    const json_t *range = json_object_get (item, "response_range");
    if (!add_values (message, json_object_get (range, "kvs")))
      return false;
  }
  return true;
}

static bool
read_message (KqStoreMessage *message, const json_t *root)
{
  const json_t *header = json_object_get (root, "header");
  message->revision = read_integer (header, "revision");
  message->cluster_id = read_integer (header, "cluster_id");
  message->more = json_is_true (json_object_get (root, "more"));
  message->succeeded = json_is_true (json_object_get (root, "succeeded"));
  message->created = json_is_true (json_object_get (root, "created"));
  message->cancelled = json_is_true (json_object_get (root, "canceled"));
  message->compacted = read_integer (root, "compact_revision") > 0;
  return json_is_object (header) && add_values (message, json_object_get (root, "kvs")) &&
         add_events (message, json_object_get (root, "events")) &&
         add_current_values (message, json_object_get (root, "responses"));
}

static KqStoreMessage *
decode (const void *parent, unsigned status, const char *text, size_t size, KqError *error)
{
  if (status != STATUS_OK)
    {
      kq_error_set (error, KQ_ERROR_UNAVAILABLE, "HTTP error %u", status);
      return NULL;
    }
  KqStoreMessage *message = talloc_zero (parent, KqStoreMessage);
  json_t *root = json_loadb (text, size, 0, NULL);
  const json_t *result = json_object_get (root, "result");
  if (!read_message (message, result == NULL ? root : result))
    {
      const char *why = json_string_value (json_object_get (root, "message"));
      kq_error_set (error, KQ_ERROR_UNAVAILABLE,
                    "unexpected response from the store: '%.80s'; check that its address is an "
                    "etcd v3 gateway",
                    why == NULL ? "malformed message" : why);
      TALLOC_FREE (message);
    }
  json_decref (root);
  return message;
}

const KqStoreProtocol *
kq_store_etcd_protocol (void)
{
  static const KqStoreProtocol protocol = { .range = encode_range,
                                            .reads = encode_reads,
                                            .writes = encode_writes,
                                            .watch = encode_watch,
                                            .decode = decode,
                                            .retry_max_us = RETRY_MAX_US };
  return &protocol;
}
