#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/toml_file.h"
#include "kumquat/settings.h"

/* Separates the elements of a list in a default value: "127.0.0.1:1,127.0.0.1:2". */
#define DEFAULT_LIST_SEPARATOR ','

/**
 * struct KqSettings - validated settings of a file
 * @specs: (borrowed) (array): all known keys
 * @count: length of @specs
 * @values: (array): one value for each of @specs, from the file or the default
 */
struct KqSettings
{
  const KqSettingSpec *specs;
  size_t count;
  KqTomlValue *values;
};

static const char *const type_names[] = {
  [KQ_SETTING_TEXT] = "a quoted string",
  [KQ_SETTING_INTEGER] = "an integer",
  [KQ_SETTING_BOOLEAN] = "true or false",
  [KQ_SETTING_ADDRESS] = "a quoted address such as \"127.0.0.1:5683\"",
  [KQ_SETTING_ADDRESS_LIST] = "a list of addresses such as [\"127.0.0.1:5683\"]",
  [KQ_SETTING_TEXT_LIST] = "a list of quoted strings",
};

static KqTomlType
toml_type (KqSettingType type)
{
  switch (type)
    {
    case KQ_SETTING_INTEGER:
      return KQ_TOML_INTEGER;
    case KQ_SETTING_BOOLEAN:
      return KQ_TOML_BOOLEAN;
    case KQ_SETTING_ADDRESS_LIST:
    case KQ_SETTING_TEXT_LIST:
      return KQ_TOML_STRING_LIST;
    case KQ_SETTING_TEXT:
    case KQ_SETTING_ADDRESS:
      break;
    }
  return KQ_TOML_STRING;
}

static const KqSettingSpec *
find_spec (const KqSettingSpec *specs, size_t count, const char *key)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (specs[i].key, key) == 0)
      return &specs[i];
  return NULL;
}

static int
check_range (const char *path, const KqSettingSpec *spec, const KqTomlValue *value, KqError *error)
{
  int64_t size = value->integer;
  const char *what = "is";
  if (value->type == KQ_TOML_BOOLEAN || spec->type == KQ_SETTING_ADDRESS)
    return 0;
  if (value->type == KQ_TOML_STRING)
    {
      size = (int64_t)strlen (value->text);
      what = "has length";
    }
  else if (value->type == KQ_TOML_STRING_LIST)
    {
      size = value->text_count;
      what = "has length";
    }
  if (size >= spec->min && size <= spec->max)
    return 0;
  return kq_error_set (error, KQ_ERROR_RANGE, "%s:%u: %s: %s %lld; set it from %lld to %lld", path,
                       value->line, spec->key, what, (long long)size, (long long)spec->min,
                       (long long)spec->max);
}

static int
check_addresses (const char *path, const KqSettingSpec *spec, const KqTomlValue *value,
                 KqError *error)
{
  bool single = spec->type == KQ_SETTING_ADDRESS;
  if (!single && spec->type != KQ_SETTING_ADDRESS_LIST)
    return 0;
  unsigned count = single ? 1 : value->text_count;
  for (unsigned i = 0; i < count; i++)
    {
      KqAddress address;
      KqError address_error = { 0 };
      if (kq_address_parse (single ? value->text : value->texts[i], &address, &address_error) < 0)
        return kq_error_set (error, KQ_ERROR_INVALID, "%s:%u: %s: %s", path, value->line, spec->key,
                             address_error.message);
    }
  return 0;
}

static int
check_value (const char *path, const KqSettingSpec *spec, const KqTomlValue *value, KqError *error)
{
  if (value->type != toml_type (spec->type))
    return kq_error_set (error, KQ_ERROR_INVALID, "%s:%u: %s: wrong type; write %s", path,
                         value->line, spec->key, type_names[spec->type]);
  if (check_range (path, spec, value, error) < 0)
    return -1;
  return check_addresses (path, spec, value, error);
}

static int
check_known_keys (const char *path, const KqTomlFile *file, const KqSettingSpec *specs,
                  size_t count, KqError *error)
{
  for (unsigned i = 0; i < file->count; i++)
    {
      const KqTomlValue *value = &file->values[i];
      if (value->type != KQ_TOML_TABLE && find_spec (specs, count, value->key) == NULL)
        return kq_error_set (error, KQ_ERROR_INVALID,
                             "%s:%u: %s: unknown key; remove it or correct its name, see "
                             "docs/reference/settings.md",
                             path, value->line, value->key);
    }
  return 0;
}

static void
split_default_list (const void *parent, const char *default_text, KqTomlValue *value)
{
  const char *start = default_text;
  value->texts = talloc_zero_array (parent, char *, strlen (default_text) + 1);
  while (*start != '\0')
    {
      const char *end = strchrnul (start, DEFAULT_LIST_SEPARATOR);
      value->texts[value->text_count++] = talloc_strndup (parent, start, (size_t)(end - start));
      start = *end == '\0' ? end : end + 1;
    }
}

static KqTomlValue
parse_default (const void *parent, const KqSettingSpec *spec)
{
  KqTomlValue value = { .type = toml_type (spec->type) };
  const char *default_text = spec->default_text == NULL ? "" : spec->default_text;
  if (value.type == KQ_TOML_STRING)
    value.text = talloc_strdup (parent, default_text);
  else if (value.type == KQ_TOML_INTEGER)
    value.integer = strtoll (default_text, NULL, 10);
  else if (value.type == KQ_TOML_BOOLEAN)
    value.boolean = strcmp (default_text, "true") == 0;
  else
    split_default_list (parent, default_text, &value);
  return value;
}

static int
load_value (KqSettings *settings, size_t index, const char *path, const KqTomlFile *file,
            KqError *error)
{
  const KqSettingSpec *spec = &settings->specs[index];
  const KqTomlValue *value = kq_toml_find (file, spec->key);
  if (value == NULL && spec->required)
    return kq_error_set (error, KQ_ERROR_NOT_FOUND, "%s:1: %s: missing key; add %s, %s", path,
                         spec->key, type_names[spec->type], spec->help);
  if (value == NULL)
    {
      settings->values[index] = parse_default (settings, spec);
      return 0;
    }
  settings->values[index] = *value;
  return check_value (path, spec, value, error);
}

KqSettings *
kq_settings_load (const void *parent, const char *path, const KqSettingSpec *specs, size_t count,
                  KqError *error)
{
  KqSettings *settings = talloc_zero (parent, KqSettings);
  settings->specs = specs;
  settings->count = count;
  settings->values = talloc_zero_array (settings, KqTomlValue, count);
  KqTomlFile *file = kq_toml_read (settings, path, error);
  if (file == NULL || check_known_keys (path, file, specs, count, error) < 0)
    goto error;
  for (size_t i = 0; i < count; i++)
    if (load_value (settings, i, path, file, error) < 0)
      goto error;
  return settings;

error:
  talloc_free (settings);
  return NULL;
}

unsigned
kq_settings_line (const KqSettings *settings, const char *key)
{
  const KqSettingSpec *spec = find_spec (settings->specs, settings->count, key);
  assert (spec != NULL);
  unsigned line = settings->values[spec - settings->specs].line;
  return line == 0 ? 1 : line;
}

static const KqTomlValue *
find_value (const KqSettings *settings, const char *key, KqSettingType type)
{
  const KqSettingSpec *spec = find_spec (settings->specs, settings->count, key);
  assert (spec != NULL && spec->type == type);
  (void)type;
  return &settings->values[spec - settings->specs];
}

const char *
kq_settings_text (const KqSettings *settings, const char *key)
{
  return find_value (settings, key, KQ_SETTING_TEXT)->text;
}

int64_t
kq_settings_integer (const KqSettings *settings, const char *key)
{
  return find_value (settings, key, KQ_SETTING_INTEGER)->integer;
}

bool
kq_settings_boolean (const KqSettings *settings, const char *key)
{
  return find_value (settings, key, KQ_SETTING_BOOLEAN)->boolean;
}

KqAddress
kq_settings_address (const KqSettings *settings, const char *key)
{
  KqAddress address = { 0 };
  kq_address_parse (find_value (settings, key, KQ_SETTING_ADDRESS)->text, &address, NULL);
  return address;
}

unsigned
kq_settings_address_list (const KqSettings *settings, const char *key, KqAddress *out,
                          unsigned capacity)
{
  const KqTomlValue *value = find_value (settings, key, KQ_SETTING_ADDRESS_LIST);
  unsigned count = value->text_count < capacity ? value->text_count : capacity;
  for (unsigned i = 0; i < count; i++)
    kq_address_parse (value->texts[i], &out[i], NULL);
  return count;
}

unsigned
kq_settings_text_list (const KqSettings *settings, const char *key, const char **out,
                       unsigned capacity)
{
  const KqTomlValue *value = find_value (settings, key, KQ_SETTING_TEXT_LIST);
  unsigned count = value->text_count < capacity ? value->text_count : capacity;
  for (unsigned i = 0; i < count; i++)
    out[i] = value->texts[i];
  return count;
}
