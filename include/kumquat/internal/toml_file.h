/* Reads a TOML file into a flat list of values with dotted keys and line numbers. */
#pragma once

#include "kumquat/types.h"

typedef enum
{
  KQ_TOML_TEXT,
  KQ_TOML_INTEGER,
  KQ_TOML_BOOLEAN,
  KQ_TOML_TEXT_LIST,
  KQ_TOML_TABLE,
  KQ_TOML_OTHER
} KqTomlType;

/**
 * struct KqTomlValue - one value of the file
 * @key: dotted path
 * @line: line of the file, from 1
 * @type: which of the fields below holds the value; KQ_TOML_TABLE stands for an empty table
 * @text: a text
 * @integer: an integer
 * @boolean: a boolean
 * @texts: (array): a list of texts
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
 * struct KqTomlFile - all values of one file, in no particular order
 * @values: (array): the values
 * @count: length of @values
 */
typedef struct
{
  KqTomlValue *values;
  unsigned count;
} KqTomlFile;

/** kq_toml_read - Return: (owned by @parent) the file, or NULL with @error set to one line with
 * file and line */
KqTomlFile *kq_toml_read (const void *parent, const char *path, KqError *error);

/** kq_toml_find - Return: (borrowed) the value with this key, or NULL */
const KqTomlValue *kq_toml_find (const KqTomlFile *file, const char *key);
