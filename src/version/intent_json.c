#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/intent.h"

/**
 * struct KindName - name of an intent's kind in requests
 */
typedef struct
{
  const char *name;
  KqIntentKind kind;
} KindName;

static const KindName kind_names[] = {
  { "create", KQ_INTENT_CREATE },   { "change", KQ_INTENT_CHANGE }, { "remove", KQ_INTENT_REMOVE },
  { "drain", KQ_INTENT_DRAIN },     { "join", KQ_INTENT_JOIN },     { "weight", KQ_INTENT_WEIGHT },
  { "worth", KQ_INTENT_WORTH },     { "move", KQ_INTENT_MOVE },     { "undo", KQ_INTENT_UNDO },
  { "restore", KQ_INTENT_RESTORE },
};

/**
 * struct NumberField - an integer setting
 * @name: its name in requests
 * @bit: its KQ_FIELD_ bit
 * @offset: its offset in KqService
 */
typedef struct
{
  const char *name;
  uint32_t bit;
  size_t offset;
} NumberField;

static const NumberField number_fields[] = {
  { "slots", KQ_FIELD_SLOTS, offsetof (KqService, slots) },
  { "connections", KQ_FIELD_CONNECTIONS, offsetof (KqService, connections) },
  { "deadline_ms", KQ_FIELD_DEADLINE, offsetof (KqService, deadline_ms) },
  { "drain_limit_ms", KQ_FIELD_DRAIN_LIMIT, offsetof (KqService, drain_limit_ms) },
  { "slo_permille", KQ_FIELD_SLO_PERMILLE, offsetof (KqService, slo_permille) },
  { "slo_latency_ms", KQ_FIELD_SLO_LATENCY, offsetof (KqService, slo_latency_ms) },
};

static int
copy_name (const char *what, const char *text, char out[KQ_NAME_BYTES], KqError *error)
{
  if (text == NULL)
    return kq_error_set (error, KQ_ERROR_INVALID, "%s is missing; name it", what);
  if (kq_name_check (text, error) < 0)
    return -1;
  snprintf (out, KQ_NAME_BYTES, "%s", text);
  return 0;
}

static int
read_uint32 (const char *what, const json_t *value, uint32_t *out, KqError *error)
{
  json_int_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < 0 || number > (json_int_t)UINT32_MAX)
    return kq_error_set (error, KQ_ERROR_INVALID, "%s is not a whole number; write one from 0",
                         what);
  *out = (uint32_t)number;
  return 0;
}

static int
read_protocol (const json_t *value, KqIntent *intent, KqError *error)
{
  const char *text = json_string_value (value);
  if (text != NULL && strcmp (text, "coap") == 0)
    intent->settings.protocol = KQ_PROTOCOL_COAP;
  else if (text != NULL && strcmp (text, "udp") == 0)
    intent->settings.protocol = KQ_PROTOCOL_UDP;
  else
    return kq_error_set (error, KQ_ERROR_INVALID, "protocol is unknown; write \"coap\" or \"udp\"");
  intent->fields |= KQ_FIELD_PROTOCOL;
  return 0;
}

static int
read_port (const json_t *value, KqIntent *intent, KqError *error)
{
  uint32_t port = 0;
  if (read_uint32 ("port", value, &port, error) < 0)
    return -1;
  if (port == 0 || port > UINT16_MAX)
    return kq_error_set (error, KQ_ERROR_RANGE, "port is %u; set it from 1 to 65535", port);
  intent->settings.port = (uint16_t)port;
  intent->fields |= KQ_FIELD_PORT;
  return 0;
}

/* "denied" maps each drained target or failure domain to its drain limit in milliseconds:
 * {"bole": 60000}. */
static int
read_denied (json_t *object, KqIntent *intent, KqError *error)
{
  const char *name;
  json_t *value;
  KqService *settings = &intent->settings;
  if (!json_is_object (object) || json_object_size (object) > KQ_DENIED_MAX)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "denied is not a table of at most %d names; write bole = 60000",
                         KQ_DENIED_MAX);
  json_object_foreach (object, name, value)
  {
    unsigned i = settings->denied_count++;
    if (copy_name ("denied", name, settings->denied[i], error) < 0 ||
        read_uint32 ("denied", value, &settings->denied_limit_ms[i], error) < 0)
      return -1;
  }
  intent->fields |= KQ_FIELD_DENIED;
  return 0;
}

static int
read_weights (json_t *object, KqIntent *intent, KqError *error)
{
  const char *name;
  json_t *value;
  uint32_t weight = 0;
  KqService *settings = &intent->settings;
  if (!json_is_object (object) || json_object_size (object) > KQ_WEIGHTS_MAX)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "weights is not a table of at most %d names; write scoring-1 = 50",
                         KQ_WEIGHTS_MAX);
  json_object_foreach (object, name, value)
  {
    KqTargetWeight *entry = &settings->weights[settings->weight_count++];
    if (copy_name ("weights", name, entry->target, error) < 0 ||
        read_uint32 ("weights", value, &weight, error) < 0)
      return -1;
    entry->weight = weight > UINT16_MAX ? UINT16_MAX : (uint16_t)weight;
  }
  intent->fields |= KQ_FIELD_WEIGHTS;
  return 0;
}

static int
read_worths (json_t *object, KqIntent *intent, KqError *error)
{
  const char *name;
  json_t *value;
  KqService *settings = &intent->settings;
  if (!json_is_object (object) || json_object_size (object) > KQ_WORTHS_MAX)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "worth is not a table of at most %d classes; write marks = 10",
                         KQ_WORTHS_MAX);
  json_object_foreach (object, name, value)
  {
    KqClassWorth *entry = &settings->worths[settings->worth_count++];
    if (copy_name ("worth", name, entry->class_name, error) < 0 ||
        read_uint32 ("worth", value, &entry->worth, error) < 0)
      return -1;
  }
  intent->fields |= KQ_FIELD_WORTHS;
  return 0;
}

static int
read_number (const char *name, const json_t *value, KqIntent *intent, KqError *error)
{
  for (unsigned i = 0; i < sizeof number_fields / sizeof number_fields[0]; i++)
    {
      const NumberField *field = &number_fields[i];
      if (strcmp (field->name, name) != 0)
        continue;
      intent->fields |= field->bit;
      uint32_t *out = (uint32_t *)(void *)((char *)&intent->settings + field->offset);
      return read_uint32 (name, value, out, error);
    }
  return kq_error_set (error, KQ_ERROR_INVALID,
                       "setting '%.40s' is unknown; see docs/reference/settings.md", name);
}

static int
read_settings (json_t *object, KqIntent *intent, KqError *error)
{
  const char *name;
  json_t *value;
  if (!json_is_object (object))
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "settings of service '%s' are not an object; write {\"port\": 5683}",
                         intent->service);
  json_object_foreach (object, name, value)
  {
    int result;
    if (strcmp (name, "protocol") == 0)
      result = read_protocol (value, intent, error);
    else if (strcmp (name, "port") == 0)
      result = read_port (value, intent, error);
    else if (strcmp (name, "denied") == 0)
      result = read_denied (value, intent, error);
    else if (strcmp (name, "weights") == 0)
      result = read_weights (value, intent, error);
    else if (strcmp (name, "worth") == 0)
      result = read_worths (value, intent, error);
    else
      result = read_number (name, value, intent, error);
    if (result < 0)
      return -1;
  }
  return 0;
}

static int
read_kind (const json_t *object, KqIntent *intent, KqError *error)
{
  const char *text = json_string_value (json_object_get (object, "kind"));
  for (unsigned i = 0; text != NULL && i < sizeof kind_names / sizeof kind_names[0]; i++)
    if (strcmp (kind_names[i].name, text) == 0)
      {
        intent->kind = kind_names[i].kind;
        return 0;
      }
  return kq_error_set (
      error, KQ_ERROR_INVALID,
      "intent '%.40s' is unknown; use create, change, remove, drain, join, weight, "
      "worth, move, restore or undo",
      text == NULL ? "" : text);
}

static int
read_intent (json_t *object, KqIntent *intent, KqError *error)
{
  json_t *value = json_object_get (object, "value");
  json_t *settings = json_object_get (object, "settings");
  const char *service = json_string_value (json_object_get (object, "service"));
  if (read_kind (object, intent, error) < 0 ||
      copy_name ("service", service, intent->service, error) < 0)
    return -1;
  bool needs_name = intent->kind == KQ_INTENT_DRAIN || intent->kind == KQ_INTENT_JOIN ||
                    intent->kind == KQ_INTENT_WEIGHT || intent->kind == KQ_INTENT_WORTH ||
                    intent->kind == KQ_INTENT_MOVE;
  const char *name = json_string_value (json_object_get (object, "name"));
  if (needs_name && copy_name ("name", name, intent->name, error) < 0)
    return -1;
  if (value != NULL && read_uint32 ("value", value, &intent->value, error) < 0)
    return -1;
  return settings == NULL ? 0 : read_settings (settings, intent, error);
}

static int
read_intents (const json_t *list, KqIntentList *out, KqError *error)
{
  size_t count = json_array_size (list);
  if (count == 0 || count > KQ_INTENTS_MAX)
    return kq_error_set (error, KQ_ERROR_INVALID, "a plan takes 1 to %d intents; split it",
                         KQ_INTENTS_MAX);
  out->intents = talloc_zero_array (out, KqIntent, count);
  out->count = (unsigned)count;
  for (unsigned i = 0; i < count; i++)
    if (read_intent (json_array_get (list, i), &out->intents[i], error) < 0)
      return -1;
  return 0;
}

static int
read_services (json_t *object, KqIntentList *out, KqError *error)
{
  const char *name;
  json_t *settings;
  size_t count = json_object_size (object);
  if (!json_is_object (object) || count > KQ_INTENTS_MAX)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "services is not a table of at most %d services; split it",
                         KQ_INTENTS_MAX);
  out->is_complete = true;
  out->intents = talloc_zero_array (out, KqIntent, count);
  json_object_foreach (object, name, settings)
  {
    KqIntent *intent = &out->intents[out->count++];
    intent->kind = KQ_INTENT_REPLACE;
    if (copy_name ("service", name, intent->service, error) < 0 ||
        read_settings (settings, intent, error) < 0)
      return -1;
  }
  return 0;
}

KqIntentList *
kq_intents_parse (const void *parent, const char *text, size_t size, KqError *error)
{
  json_error_t parse_error;
  KqIntentList *list = talloc_zero (parent, KqIntentList);
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &parse_error);
  json_t *services = json_object_get (root, "services");
  int result;
  if (root == NULL)
    result = kq_error_set (error, KQ_ERROR_INVALID,
                           "request is not JSON (line %d: %.60s); see docs/reference/commands.md",
                           parse_error.line, parse_error.text);
  else if (services != NULL)
    result = read_services (services, list, error);
  else
    result = read_intents (json_object_get (root, "intents"), list, error);
  json_decref (root);
  if (result < 0)
    TALLOC_FREE (list);
  return list;
}
