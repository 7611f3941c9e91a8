/* TOML reader that returns a flat list of values with dotted keys and line numbers. */
#pragma once

#include "kumquat/types.h"

typedef enum
{
  KQ_TOML_STRING,
  KQ_TOML_INTEGER,
  KQ_TOML_BOOLEAN,
  KQ_TOML_STRING_LIST,
  KQ_TOML_TABLE,
  KQ_TOML_OTHER
} KqTomlType;

/**
 * struct KqTomlValue - a value of the file
 * @key: dotted path
 * @line: line number, from 1
 * @type: selects the field below that is valid; KQ_TOML_TABLE is an empty table
 * @text: value of a string
 * @integer: value of an integer
 * @boolean: value of a boolean
 * @texts: (array): value of a list of strings
 * @text_count: length of @texts
 */
typedef struct
{
  char *key;
  unsigned line;
  KqTomlType type;
  char *text;
  int64_t integer;
  bool boolean;
  char **texts;
  unsigned text_count;
} KqTomlValue;

/**
 * struct KqTomlFile - all values of a file, in unspecified order
 * @values: (array): the values
 * @count: length of @values
 */
typedef struct
{
  KqTomlValue *values;
  unsigned count;
} KqTomlFile;

/** kq_toml_read - Return: (owned by @parent) the file, or NULL with @error set to a one-line
 * message with file name and line number */
KqTomlFile *kq_toml_read (const void *parent, const char *path, KqError *error);

/** kq_toml_find - Return: (borrowed) the value with this key, or NULL */
const KqTomlValue *kq_toml_find (const KqTomlFile *file, const char *key);
