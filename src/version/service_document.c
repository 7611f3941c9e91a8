#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/service_json.h"
#include "kumquat/service_document.h"

#define DOCUMENT_FORMAT 1

/**
 * struct Reader - reads the fields of a JSON object and records the first error
 * @object: (borrowed): the object
 * @error: (nullable): set to the first error
 * @failed: a field was missing, of the wrong type or out of range
 */
typedef struct
{
  const json_t *object;
  KqError *error;
  bool failed;
} Reader;

static void
fail (Reader *reader, const char *key, const char *wanted)
{
  if (!reader->failed)
    kq_error_set (reader->error, KQ_ERROR_INVALID,
                  "service document: field '%s' is missing or is not %s; write documents with "
                  "kumquatctl only",
                  key, wanted);
  reader->failed = true;
}

static uint32_t
to_integer (Reader *reader, const char *key, const json_t *value, uint32_t max)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0 ||
      json_integer_value (value) > (json_int_t)max)
    {
      fail (reader, key, "an integer in range");
      return 0;
    }
  return (uint32_t)json_integer_value (value);
}

static uint32_t
read_integer (Reader *reader, const char *key, uint32_t max)
{
  return to_integer (reader, key, json_object_get (reader->object, key), max);
}

static void
copy_name (Reader *reader, const char *key, const char *text, char out[KQ_NAME_BYTES])
{
  if (text == NULL || strlen (text) >= KQ_NAME_BYTES)
    fail (reader, key, "a name");
  else
    snprintf (out, KQ_NAME_BYTES, "%s", text);
}

static KqProtocol
read_protocol (Reader *reader)
{
  const char *text = json_string_value (json_object_get (reader->object, "protocol"));
  if (text != NULL && strcmp (text, "coap") == 0)
    return KQ_PROTOCOL_COAP;
  if (text == NULL || strcmp (text, "udp") != 0)
    fail (reader, "protocol", "\"coap\" or \"udp\"");
  return KQ_PROTOCOL_UDP;
}

static bool
read_boolean (Reader *reader, const char *key)
{
  const json_t *value = json_object_get (reader->object, key);
  if (!json_is_boolean (value))
    fail (reader, key, "true or false");
  return json_is_true (value);
}

static void
read_denied (Reader *reader, KqService *service)
{
  const json_t *list = json_object_get (reader->object, "denied");
  size_t count = json_array_size (list);
  if (!json_is_array (list) || count > KQ_DENIED_MAX)
    {
      fail (reader, "denied", "a list of at most 64 entries");
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      const json_t *entry = json_array_get (list, i);
      const char *name = json_string_value (json_object_get (entry, "name"));
      copy_name (reader, "denied", name, service->denied[i]);
      service->denied_limit_ms[i] =
          to_integer (reader, "denied", json_object_get (entry, "limit_ms"), UINT32_MAX);
    }
  service->denied_count = (unsigned)count;
}

static void
read_weights (Reader *reader, KqService *service)
{
  json_t *object = json_object_get (reader->object, "weights");
  if (!json_is_object (object) || json_object_size (object) > KQ_WEIGHTS_MAX)
    {
      fail (reader, "weights", "an object of at most 64 entries");
      return;
    }
  const char *name;
  json_t *value;
  json_object_foreach (object, name, value)
  {
    KqTargetWeight *weight = &service->weights[service->weight_count++];
    copy_name (reader, "weights", name, weight->target);
    weight->weight = (uint16_t)to_integer (reader, "weights", value, KQ_WEIGHT_MAX);
  }
}

static void
read_worths (Reader *reader, KqService *service)
{
  json_t *object = json_object_get (reader->object, "worth");
  if (!json_is_object (object) || json_object_size (object) > KQ_WORTHS_MAX)
    {
      fail (reader, "worth", "an object of at most 16 entries");
      return;
    }
  const char *name;
  json_t *value;
  json_object_foreach (object, name, value)
  {
    KqClassWorth *worth = &service->worths[service->worth_count++];
    copy_name (reader, "worth", name, worth->class_name);
    worth->worth = to_integer (reader, "worth", value, UINT32_MAX);
  }
}

static void
read_fields (Reader *reader, KqService *service)
{
  if (read_integer (reader, "format", UINT32_MAX) != DOCUMENT_FORMAT)
    fail (reader, "format", "the format of this release (1)");
  service->number = read_integer (reader, "number", UINT32_MAX);
  copy_name (reader, "name", json_string_value (json_object_get (reader->object, "name")),
             service->name);
  service->protocol = read_protocol (reader);
  service->port = (uint16_t)read_integer (reader, "port", UINT16_MAX);
  service->slots = read_integer (reader, "slots", UINT32_MAX);
  service->connections = read_integer (reader, "connections", UINT32_MAX);
  service->deadline_ms = read_integer (reader, "deadline_ms", UINT32_MAX);
  service->drain_limit_ms = read_integer (reader, "drain_limit_ms", UINT32_MAX);
  service->slo_permille = read_integer (reader, "slo_permille", UINT32_MAX);
  service->slo_latency_ms = read_integer (reader, "slo_latency_ms", UINT32_MAX);
  service->removed = read_boolean (reader, "removed");
  if (json_object_get (reader->object, "epoch") != NULL)
    service->revision.epoch = read_integer (reader, "epoch", UINT32_MAX);
  read_denied (reader, service);
  read_weights (reader, service);
  read_worths (reader, service);
}

int
kq_service_parse (const uint8_t *bytes, size_t size, KqRevision revision, KqService *service,
                  KqError *error)
{
  json_error_t where;
  json_t *root = json_loadb ((const char *)bytes, size, JSON_REJECT_DUPLICATES, &where);
  if (root == NULL)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "service document is not JSON (line %d: %.80s); write documents with "
                         "kumquatctl only",
                         where.line, where.text);
  memset (service, 0, sizeof *service);
  service->revision = revision;
  Reader reader = { .object = root, .error = error };
  if (json_is_object (root))
    read_fields (&reader, service);
  else
    fail (&reader, "(root)", "an object");
  json_decref (root);
  if (reader.failed)
    return -1;
  return kq_service_check (service, error);
}

static json_t *
denied_json (const KqService *service)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < service->denied_count; i++)
    json_array_append_new (list, json_pack ("{s:s, s:I}", "name", service->denied[i], "limit_ms",
                                            (json_int_t)service->denied_limit_ms[i]));
  return list;
}

static json_t *
weights_json (const KqService *service)
{
  json_t *object = json_object ();
  for (unsigned i = 0; i < service->weight_count; i++)
    json_object_set_new (object, service->weights[i].target,
                         json_integer (service->weights[i].weight));
  return object;
}

static json_t *
worths_json (const KqService *service)
{
  json_t *object = json_object ();
  for (unsigned i = 0; i < service->worth_count; i++)
    json_object_set_new (object, service->worths[i].class_name,
                         json_integer (service->worths[i].worth));
  return object;
}

json_t *
kq_service_to_json (const KqService *service)
{
  uint32_t epoch = service->revision.epoch == 0 ? KQ_EPOCH_FIRST : service->revision.epoch;
  return json_pack (
      "{s:i, s:I, s:I, s:s, s:s, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:b, s:o, s:o, s:o}", "format",
      DOCUMENT_FORMAT, "epoch", (json_int_t)epoch, "number", (json_int_t)service->number, "name",
      service->name, "protocol", service->protocol == KQ_PROTOCOL_COAP ? "coap" : "udp", "port",
      (int)service->port, "slots", (json_int_t)service->slots, "connections",
      (json_int_t)service->connections, "deadline_ms", (json_int_t)service->deadline_ms,
      "drain_limit_ms", (json_int_t)service->drain_limit_ms, "slo_permille",
      (json_int_t)service->slo_permille, "slo_latency_ms", (json_int_t)service->slo_latency_ms,
      "removed", service->removed, "denied", denied_json (service), "weights",
      weights_json (service), "worth", worths_json (service));
}

char *
kq_service_format (const void *parent, const KqService *service, const char *operation)
{
  json_t *root = kq_service_to_json (service);
  json_object_set_new (root, "operation", json_string (operation));
  char *text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  char *owned = talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return owned;
}
