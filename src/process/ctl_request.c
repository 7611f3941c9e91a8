/* Builds plan requests: an intent from the command's arguments, or the complete configuration from
 * a TOML file. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/ctl_impl.h"
#include "kumquat/internal/toml_file.h"

#define KEY_BYTES 128

static const char usage[] = "usage: kumquatctl plan create|change SERVICE KEY=VALUE...\n"
                            "       kumquatctl plan remove|undo|restore SERVICE\n"
                            "       kumquatctl plan drain SERVICE TARGET-OR-DOMAIN [LIMIT_MS]\n"
                            "       kumquatctl plan join SERVICE TARGET-OR-DOMAIN\n"
                            "       kumquatctl plan weight SERVICE TARGET WEIGHT\n"
                            "       kumquatctl plan worth SERVICE CLASS WORTH\n"
                            "       kumquatctl plan move SERVICE DOMAIN PERCENT\n"
                            "       kumquatctl plan --file FILE.toml\n";

/**
 * struct IntentArity - number of arguments after the service name for a kind of intent
 * @kind: the kind
 * @min_arguments: minimum number
 * @max_arguments: maximum number
 */
typedef struct
{
  const char *kind;
  unsigned min_arguments;
  unsigned max_arguments;
} IntentArity;

static const IntentArity intent_arities[] = {
  { "create", 1, 64 }, { "change", 1, 64 }, { "remove", 0, 0 }, { "undo", 0, 0 },
  { "restore", 0, 0 }, { "drain", 1, 2 },   { "join", 1, 1 },   { "weight", 2, 2 },
  { "worth", 2, 2 },   { "move", 2, 2 },
};

int
kq_ctl_set_setting (json_t *object, const char *key, json_t *value)
{
  char name[KEY_BYTES];
  const char *dot = strchr (key, '.');
  if (dot == NULL)
    return json_object_set_new (object, key, value);
  snprintf (name, sizeof name, "%.*s", (int)(dot - key), key);
  json_t *nested = json_object_get (object, name);
  if (nested == NULL)
    {
      nested = json_object ();
      json_object_set_new (object, name, nested);
    }
  return kq_ctl_set_setting (nested, dot + 1, value);
}

static json_t *
value_json (const char *text)
{
  char *end;
  long long number = strtoll (text, &end, 10);
  return *end == '\0' && end != text ? json_integer (number) : json_string (text);
}

static int
add_settings (json_t *intent, const char *const *pairs, unsigned count)
{
  json_t *settings = json_object ();
  json_object_set_new (intent, "settings", settings);
  for (unsigned i = 0; i < count; i++)
    {
      char key[KEY_BYTES];
      const char *equals = strchr (pairs[i], '=');
      if (equals == NULL || (size_t)(equals - pairs[i]) >= sizeof key)
        {
          fprintf (stderr, "%s: not a setting; write KEY=VALUE such as slots=5\n", pairs[i]);
          return -1;
        }
      snprintf (key, sizeof key, "%.*s", (int)(equals - pairs[i]), pairs[i]);
      kq_ctl_set_setting (settings, key, value_json (equals + 1));
    }
  return 0;
}

static const IntentArity *
find_arity (const KqCtl *ctl)
{
  for (unsigned i = 0; ctl->count >= 3 && i < sizeof intent_arities / sizeof intent_arities[0]; i++)
    {
      unsigned extra = ctl->count - 3;
      if (strcmp (intent_arities[i].kind, ctl->arguments[1]) == 0 &&
          extra >= intent_arities[i].min_arguments && extra <= intent_arities[i].max_arguments)
        return &intent_arities[i];
    }
  return NULL;
}

static json_t *
intent_json (const KqCtl *ctl)
{
  const IntentArity *arity = find_arity (ctl);
  if (arity == NULL)
    {
      fputs (usage, stderr);
      return NULL;
    }
  json_t *intent = json_pack ("{s:s, s:s}", "kind", arity->kind, "service", ctl->arguments[2]);
  if (arity->max_arguments > 2)
    {
      if (add_settings (intent, ctl->arguments + 3, ctl->count - 3) == 0)
        return intent;
      json_decref (intent);
      return NULL;
    }
  if (ctl->count > 3)
    json_object_set_new (intent, "name", json_string (ctl->arguments[3]));
  if (ctl->count > 4)
    json_object_set_new (intent, "value", value_json (ctl->arguments[4]));
  return intent;
}

static json_t *
toml_json (const KqTomlValue *value)
{
  switch (value->type)
    {
    case KQ_TOML_STRING:
      return json_string (value->text);
    case KQ_TOML_INTEGER:
      return json_integer (value->integer);
    case KQ_TOML_TABLE:
      return json_object ();
    default:
      return NULL;
    }
}

static json_t *
toml_file_json (const char *path)
{
  KqError error = { 0 };
  KqTomlFile *file = kq_toml_read (NULL, path, &error);
  json_t *root = json_pack ("{s:{}}", "services");
  for (unsigned i = 0; file != NULL && i < file->count; i++)
    {
      const KqTomlValue *value = &file->values[i];
      json_t *json = toml_json (value);
      if (strncmp (value->key, "services.", strlen ("services.")) != 0 || json == NULL)
        {
          kq_error_set (&error, KQ_ERROR_INVALID,
                        "%s:%u: %s: unknown key or type; write settings under [services.NAME]",
                        path, value->line, value->key);
          json_decref (json);
          break;
        }
      kq_ctl_set_setting (root, value->key, json);
    }
  talloc_free (file);
  if (error.kind == KQ_ERROR_NONE)
    return root;
  fprintf (stderr, "%s\n", error.message);
  json_decref (root);
  return NULL;
}

char *
kq_ctl_plan_request (const KqCtl *ctl)
{
  json_t *root;
  if (ctl->toml_file != NULL)
    root = toml_file_json (ctl->toml_file);
  else
    {
      json_t *intent = intent_json (ctl);
      root = intent == NULL ? NULL : json_pack ("{s:[o]}", "intents", intent);
    }
  char *text = root == NULL ? NULL : json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}
