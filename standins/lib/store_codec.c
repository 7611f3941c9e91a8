#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/base64.h"
#include "store_codec.h"

json_t *
store_integer_json (uint64_t value)
{
  char text[32];
  snprintf (text, sizeof text, "%" PRIu64, value);
  return json_string (text);
}

uint64_t
store_read_integer (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);
  const char *text = json_string_value (value);
  return text == NULL ? (uint64_t)json_integer_value (value) : strtoull (text, NULL, 10);
}

json_t *
store_bytes_json (const void *bytes, size_t size)
{
  char *text = kq_base64_encode (NULL, bytes, size);
  json_t *value = json_string (text);
  talloc_free (text);
  return value;
}

char *
store_read_bytes (const void *parent, const json_t *object, const char *key, size_t *size)
{
  size_t ignored;
  return (char *)kq_base64_decode (parent, json_string_value (json_object_get (object, key)),
                                   size == NULL ? &ignored : size);
}

json_t *
store_entry_json (const StoreEntry *entry)
{
  json_t *root = json_object ();
  json_object_set_new (root, "key", store_bytes_json (entry->key, strlen (entry->key)));
  json_object_set_new (root, "mod_revision", store_integer_json (entry->mod_revision));
  if (entry->deleted)
    return root;
  json_object_set_new (root, "create_revision", store_integer_json (entry->create_revision));
  json_object_set_new (root, "version", store_integer_json (entry->version));
  json_object_set_new (root, "value", store_bytes_json (entry->bytes, entry->size));
  if (entry->lease > 0)
    json_object_set_new (root, "lease", store_integer_json (entry->lease));
  return root;
}

bool
store_key_in_range (const char *key, const char *start, const char *end)
{
  if (end == NULL || end[0] == '\0')
    return strcmp (key, start) == 0;
  return strcmp (key, start) >= 0 && strcmp (key, end) < 0;
}
