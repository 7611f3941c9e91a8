/* Key-value data of the stand-in for the platform's store: revisions, history and a snapshot. */
#pragma once

#include "kumquat/types.h"

/**
 * struct StoreEntry - the current state of a key, or one change of it in the history
 * @key: the key
 * @bytes: (array): the value
 * @size: size of @bytes
 * @create_revision: revision that created the key
 * @mod_revision: revision of this change
 * @version: number of changes since the creation
 * @lease: ID of the lease attached to the key, or 0
 * @deleted: this change deleted the key; history only
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
 * struct StoreList - a dynamic array of entries
 */
typedef struct
{
  StoreEntry *entries;
  unsigned count;
} StoreList;

/**
 * struct StoreData - state of the store
 * @revision: incremented by each transaction that writes
 * @compact_revision: the history up to this revision was discarded
 * @cluster_id: incremented when a snapshot is restored
 * @keys: current keys in ascending order
 * @history: changes in chronological order
 * @snapshot: (nullable): keys at the time of the snapshot
 * @snapshot_revision: revision at the time of the snapshot
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

/** store_data_put - sets a key at revision + 1; the caller increments the revision afterwards */
void store_data_put (StoreData *data, const char *key, const uint8_t *bytes, size_t size,
                     uint64_t lease);

/** store_data_delete - deletes a key, as store_data_put() sets it; Return: whether it existed */
bool store_data_delete (StoreData *data, const char *key);

void store_data_snapshot (StoreData *data);

/** store_data_restore - replaces the keys by the snapshot; Return: false if there is none */
bool store_data_restore (StoreData *data);
