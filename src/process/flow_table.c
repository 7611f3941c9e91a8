#include <pthread.h>
#include <talloc.h>

#include "kumquat/flow_table.h"
#include "kumquat/internal/flow_shard.h"

#define CALLER_SHARE     8 /* one caller may use 1/8 of a table that is half full */
#define CALLER_FLOWS_MIN 16
#define SLOTS_PER_EXPIRE 8192 /* limits how long one kq_flow_table_expire() call holds a lock */
#define HASH_SHARD_SHIFT 8    /* uses hash bits other than those that select the slot */

typedef struct
{
  pthread_mutex_t lock;
  KqFlowShard *flows;
  uint64_t hits;
  uint64_t misses;
  uint64_t refused_full;
  uint64_t expired;
} Shard;

struct KqFlowTable
{
  unsigned shards_count;
  unsigned next_shard;
  KqTime idle_us;
  Shard *shards;
};

static Shard *
shard_of (KqFlowTable *table, uint64_t hash)
{
  return &table->shards[(hash >> HASH_SHARD_SHIFT) & (table->shards_count - 1)];
}

static int
destroy (KqFlowTable *table)
{
  for (unsigned i = 0; i < table->shards_count; i++)
    pthread_mutex_destroy (&table->shards[i].lock);
  return 0;
}

KqFlowTable *
kq_flow_table_new (const void *parent, unsigned capacity, unsigned shards, KqTime idle_us)
{
  unsigned shard_capacity = (capacity + shards - 1) / shards;
  unsigned caller_max = shard_capacity / CALLER_SHARE < CALLER_FLOWS_MIN
                            ? CALLER_FLOWS_MIN
                            : shard_capacity / CALLER_SHARE;
  KqFlowTable *table = talloc_zero (parent, KqFlowTable);
  if (table == NULL)
    return NULL;
  table->idle_us = idle_us;
  table->shards = talloc_zero_array (table, Shard, shards);
  if (table->shards == NULL)
    goto error;
  talloc_set_destructor (table, destroy);
  for (unsigned i = 0; i < shards; i++)
    {
      Shard *shard = &table->shards[i];
      pthread_mutex_init (&shard->lock, NULL);
      table->shards_count++;
      shard->flows = kq_flow_shard_new (table, shard_capacity, caller_max);
      if (shard->flows == NULL)
        goto error;
    }
  return table;

error:
  talloc_free (table);
  return NULL;
}

bool
kq_flow_table_lookup (KqFlowTable *table, const KqFlowKey *key, KqTime now, KqPeer *owner)
{
  uint64_t hash = kq_flow_key_hash (key);
  Shard *shard = shard_of (table, hash);
  pthread_mutex_lock (&shard->lock);
  bool found = kq_flow_shard_touch (shard->flows, key, hash, now, owner);
  shard->hits += found;
  shard->misses += !found;
  pthread_mutex_unlock (&shard->lock);
  return found;
}

int
kq_flow_table_store (KqFlowTable *table, const KqFlowKey *key, const KqPeer *owner, KqTime now)
{
  uint64_t hash = kq_flow_key_hash (key);
  Shard *shard = shard_of (table, hash);
  pthread_mutex_lock (&shard->lock);
  int result = kq_flow_shard_store (shard->flows, key, hash, owner, now);
  shard->refused_full += result < 0;
  pthread_mutex_unlock (&shard->lock);
  return result;
}

void
kq_flow_table_remove (KqFlowTable *table, const KqFlowKey *key, const KqPeer *owner)
{
  uint64_t hash = kq_flow_key_hash (key);
  Shard *shard = shard_of (table, hash);
  pthread_mutex_lock (&shard->lock);
  kq_flow_shard_remove (shard->flows, key, hash, owner);
  pthread_mutex_unlock (&shard->lock);
}

void
kq_flow_table_expire (KqFlowTable *table, KqTime now)
{
  unsigned next_shard = __atomic_fetch_add (&table->next_shard, 1, __ATOMIC_RELAXED);
  Shard *shard = &table->shards[next_shard % table->shards_count];
  pthread_mutex_lock (&shard->lock);
  shard->expired +=
      kq_flow_shard_expire (shard->flows, now, table->idle_us, SLOTS_PER_EXPIRE, NULL, NULL);
  pthread_mutex_unlock (&shard->lock);
}

KqFlowTableStats
kq_flow_table_stats (KqFlowTable *table)
{
  KqFlowTableStats stats = { .resident_bytes = sizeof *table };
  for (unsigned i = 0; i < table->shards_count; i++)
    {
      Shard *shard = &table->shards[i];
      pthread_mutex_lock (&shard->lock);
      stats.entries += kq_flow_shard_count (shard->flows);
      stats.hits += shard->hits;
      stats.misses += shard->misses;
      stats.refused_full += shard->refused_full;
      stats.expired += shard->expired;
      stats.resident_bytes += sizeof *shard + kq_flow_shard_bytes (shard->flows);
      pthread_mutex_unlock (&shard->lock);
    }
  return stats;
}
