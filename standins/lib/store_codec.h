/* JSON encoding of etcd's gateway as the store's stand-in reads and writes it: strings as base64,
 * integers as decimal strings. */
#pragma once

#include <jansson.h>

#include "store_data.h"

json_t *store_integer_json (uint64_t value);
uint64_t store_read_integer (const json_t *object, const char *key);
json_t *store_bytes_json (const void *bytes, size_t size);
char *store_read_bytes (const void *parent, const json_t *object, const char *key, size_t *size);
json_t *store_entry_json (const StoreEntry *entry);
bool store_key_in_range (const char *key, const char *start, const char *end);
