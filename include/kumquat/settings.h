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
 * struct KqSettingSpec - one known key
 * @key: dotted path such as "control.seeds"
 * @type: type of its value
 * @required: the file must have it
 * @min: least integer, least text length, or least length of a list
 * @max: greatest integer, text length, or length of a list
 * @fallback: text form of the value when the key is missing; NULL when required
 * @help: one line with the unit, printed in the reference page
 */
typedef struct
{
  const char *key;
  KqSettingType type;
  bool required;
  int64_t min;
  int64_t max;
  const char *fallback;
  const char *help;
} KqSettingSpec;

/**
 * kq_settings_load - reads and checks a file
 * @parent: talloc parent of the result
 * @path: (borrowed): the file
 * @specs: (borrowed) (array): all known keys, which must outlive the result
 * @count: length of @specs
 * @error: set on failure to "FILE:LINE: KEY: what is wrong; remedy"
 *
 * Return: (owned by @parent) the settings, or NULL with @error set.
 */
KqSettings *kq_settings_load (const void *parent, const char *path, const KqSettingSpec *specs,
                              size_t count, KqError *error);

/** kq_settings_line - Return: line of the file on which @key stands, 1 when it is missing there */
unsigned kq_settings_line (const KqSettings *settings, const char *key);

/* Getters take a key of the table; asking for another key or type is a programming error. */
const char *kq_settings_text (const KqSettings *settings, const char *key);
int64_t kq_settings_integer (const KqSettings *settings, const char *key);
bool kq_settings_boolean (const KqSettings *settings, const char *key);
KqAddress kq_settings_address (const KqSettings *settings, const char *key);
unsigned kq_settings_address_list (const KqSettings *settings, const char *key, KqAddress *out,
                                   unsigned capacity);
unsigned kq_settings_text_list (const KqSettings *settings, const char *key, const char **out,
                                unsigned capacity);
