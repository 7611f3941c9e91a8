/* Reads a program's TOML settings and checks them against a table of known keys. */
#pragma once

#include "kumquat/types.h"

typedef struct KqSettings KqSettings;

typedef enum
{
  KQ_SETTING_TEXT,
  KQ_SETTING_INTEGER,
  KQ_SETTING_BOOLEAN,
  KQ_SETTING_ADDRESS,
  KQ_SETTING_ADDRESS_LIST,
  KQ_SETTING_TEXT_LIST
} KqSettingType;

/**
 * struct KqSettingSpec - specification of a setting
 * @key: dotted path such as "control.seeds"
 * @type: type of its value
 * @required: the key must be present in the file
 * @min: minimum integer, string length or list length
 * @max: maximum integer, string length or list length
 * @default_text: default value in text form, used if the key is missing; NULL if required
 * @help: one-line description with the unit, also printed in the reference documentation
 */
typedef struct
{
  const char *key;
  KqSettingType type;
  bool required;
  int64_t min;
  int64_t max;
  const char *default_text;
  const char *help;
} KqSettingSpec;

/**
 * kq_settings_load - reads and validates a settings file
 * @parent: talloc parent of the result
 * @path: (borrowed): path of the file
 * @specs: (borrowed) (array): all known keys, which must outlive the result
 * @count: length of @specs
 * @error: set on failure to "FILE:LINE: KEY: what is wrong; remedy"
 *
 * Return: (owned by @parent) the settings, or NULL with @error set.
 */
KqSettings *kq_settings_load (const void *parent, const char *path, const KqSettingSpec *specs,
                              size_t count, KqError *error);

/** kq_settings_line - Return: line number of @key in the file, 1 if it is missing */
unsigned kq_settings_line (const KqSettings *settings, const char *key);

/* @key must be in the table of specs and have the requested type; this is checked by assert(). */
const char *kq_settings_text (const KqSettings *settings, const char *key);
int64_t kq_settings_integer (const KqSettings *settings, const char *key);
bool kq_settings_boolean (const KqSettings *settings, const char *key);
KqAddress kq_settings_address (const KqSettings *settings, const char *key);
unsigned kq_settings_address_list (const KqSettings *settings, const char *key, KqAddress *out,
                                   unsigned capacity);
unsigned kq_settings_text_list (const KqSettings *settings, const char *key, const char **out,
                                unsigned capacity);
