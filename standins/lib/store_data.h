/* Key-value data of the platform store's stand-in: revisions, history, snapshot. */
#pragma once

#include "kumquat/types.h"

/**
 * struct StoreEntry - a key as it is, or one change of it in the history
 * @key: the key
 * @bytes: (array): the value
 * @size: bytes at @bytes
 * @create_revision: revision of the key's creation
 * @mod_revision: revision of this change
 * @version: changes since the creation
 * @lease: lease that the key is bound to, or 0
 * @deleted: in the history: the key was deleted
 */
typedef struct
{
  char *key;
  uint8_t *bytes;
  size_t size;
  uint64_t create_revision;
  uint64_t mod_revision;
  uint64_t version;
  uint64_t lease;
  bool deleted;
} StoreEntry;

/**
 * struct StoreList - a growing list of entries
 */
typedef struct
{
  StoreEntry *entries;
  unsigned count;
} StoreList;

/**
 * struct StoreData - everything the stand-in holds
 * @revision: grows by one with each transaction that writes
 * @compact_revision: history up to here is gone
 * @cluster_id: changes when a snapshot is restored
 * @keys: the keys, in order
 * @history: changes, oldest first
 * @snapshot: (nullable): keys at the time of the snapshot
 * @snapshot_revision: revision at that time
 */
typedef struct
{
  uint64_t revision;
  uint64_t compact_revision;
  uint64_t cluster_id;
  StoreList *keys;
  StoreList *history;
  StoreList *snapshot;
  uint64_t snapshot_revision;
} StoreData;

StoreData *store_data_new (const void *parent);

/** store_data_find - Return: (borrowed) the entry, or NULL */
const StoreEntry *store_data_find (const StoreData *data, const char *key);

/** store_data_put - changes a key at revision + 1; the caller raises the revision afterwards */
void store_data_put (StoreData *data, const char *key, const uint8_t *bytes, size_t size,
                     uint64_t lease);

/** store_data_delete - as store_data_put(); Return: whether the key existed */
bool store_data_delete (StoreData *data, const char *key);

void store_data_snapshot (StoreData *data);

/** store_data_restore - Return: false when there is no snapshot */
bool store_data_restore (StoreData *data);
