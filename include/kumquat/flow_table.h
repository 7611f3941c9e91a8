/* A balancer's bounded cache of flow owners; thread-safe. */
#pragma once

#include "kumquat/types.h"

typedef struct KqFlowTable KqFlowTable;

/**
 * struct KqFlowTableStats - counters and gauges of one table
 */
typedef struct
{
  uint64_t entries;
  uint64_t hits;
  uint64_t misses;
  uint64_t refused_full;
  uint64_t expired;
  uint64_t resident_bytes;
} KqFlowTableStats;

/**
 * kq_flow_table_new - creates an empty table
 * @capacity: maximum number of flows; memory is allocated as the table fills
 * @shards: number of independently locked parts, a power of two
 * @idle_us: an entry unused for this long may be dropped
 *
 * Return: (owned by @parent) the table, or NULL without memory.
 */
KqFlowTable *kq_flow_table_new (const void *parent, unsigned capacity, unsigned shards,
                                KqTime idle_us);

/**
 * kq_flow_table_lookup - Return: whether @key is known; then sets @owner and marks the entry as
 * used
 */
bool kq_flow_table_lookup (KqFlowTable *table, const KqFlowKey *key, KqTime now, KqPeer *owner);

/**
 * kq_flow_table_store - records or replaces the owner of a flow
 *
 * A full table keeps its entries: the new flow is not recorded, which costs its datagrams one more
 * hop.
 *
 * Return: 0, or -1 if the table is full.
 */
int kq_flow_table_store (KqFlowTable *table, const KqFlowKey *key, const KqPeer *owner, KqTime now);

/** kq_flow_table_remove - removes a flow if its owner is still @owner (any owner if NULL) */
void kq_flow_table_remove (KqFlowTable *table, const KqFlowKey *key, const KqPeer *owner);

/**
 * kq_flow_table_expire - drops idle entries of the next shard in turn; call it several times a
 * second
 */
void kq_flow_table_expire (KqFlowTable *table, KqTime now);

KqFlowTableStats kq_flow_table_stats (KqFlowTable *table);
