#include <string.h>
#include <talloc.h>

#include "store_data.h"

StoreData *
store_data_new (const void *parent)
{
  StoreData *data = talloc_zero (parent, StoreData);
  data->revision = 1;
  data->cluster_id = 1001;
  data->keys = talloc_zero (data, StoreList);
  data->history = talloc_zero (data, StoreList);
  return data;
}

static StoreEntry
copy_entry (const void *parent, const StoreEntry *entry)
{
  StoreEntry copy = *entry;
  copy.key = talloc_strdup (parent, entry->key);
  copy.bytes = talloc_memdup (parent, entry->bytes, entry->size + 1);
  return copy;
}

static StoreEntry *
insert (StoreList *list, unsigned at, const StoreEntry *entry)
{
  list->entries = talloc_realloc (list, list->entries, StoreEntry, list->count + 1);
  memmove (&list->entries[at + 1], &list->entries[at],
           (list->count - at) * sizeof list->entries[0]);
  list->entries[at] = copy_entry (list, entry);
  list->count++;
  return &list->entries[at];
}

static unsigned
position (const StoreList *list, const char *key)
{
  unsigned i = 0;
  while (i < list->count && strcmp (list->entries[i].key, key) < 0)
    i++;
  return i;
}

static StoreEntry *
find (const StoreData *data, const char *key)
{
  unsigned at = position (data->keys, key);
  if (at < data->keys->count && strcmp (data->keys->entries[at].key, key) == 0)
    return &data->keys->entries[at];
  return NULL;
}

const StoreEntry *
store_data_find (const StoreData *data, const char *key)
{
  return find (data, key);
}

void
store_data_put (StoreData *data, const char *key, const uint8_t *bytes, size_t size, uint64_t lease)
{
  uint64_t revision = data->revision + 1;
  StoreEntry *entry = find (data, key);
  if (entry == NULL)
    {
      StoreEntry created = { .key = (char *)(uintptr_t)key,
                             .bytes = (uint8_t *)(uintptr_t) "",
                             .create_revision = revision };
      entry = insert (data->keys, position (data->keys, key), &created);
    }
  talloc_free (entry->bytes);
  entry->bytes = talloc_zero_array (data->keys, uint8_t, size + 1);
  if (size > 0)
    memcpy (entry->bytes, bytes, size);
  entry->size = size;
  entry->mod_revision = revision;
  entry->version++;
  entry->lease = lease;
  insert (data->history, data->history->count, entry);
}

bool
store_data_delete (StoreData *data, const char *key)
{
  StoreEntry *entry = find (data, key);
  if (entry == NULL)
    return false;
  StoreEntry change = { .key = entry->key,
                        .bytes = (uint8_t *)(uintptr_t) "",
                        .mod_revision = data->revision + 1,
                        .deleted = true };
  insert (data->history, data->history->count, &change);
  unsigned at = (unsigned)(entry - data->keys->entries);
  talloc_free (entry->key);
  talloc_free (entry->bytes);
  data->keys->count--;
  memmove (entry, entry + 1, (data->keys->count - at) * sizeof *entry);
  return true;
}

static StoreList *
copy_list (const void *parent, const StoreList *list)
{
  StoreList *copy = talloc_zero (parent, StoreList);
  for (unsigned i = 0; i < list->count; i++)
    insert (copy, i, &list->entries[i]);
  return copy;
}

void
store_data_snapshot (StoreData *data)
{
  talloc_free (data->snapshot);
  data->snapshot = copy_list (data, data->keys);
  data->snapshot_revision = data->revision;
}

bool
store_data_restore (StoreData *data)
{
  if (data->snapshot == NULL)
    return false;
  talloc_free (data->keys);
  talloc_free (data->history);
  data->keys = copy_list (data, data->snapshot);
  data->history = talloc_zero (data, StoreList);
  data->revision = data->snapshot_revision;
  data->compact_revision = data->snapshot_revision;
  data->cluster_id++;
  return true;
}
