/* A bounded map from flow keys to the agents that own the flows; not thread-safe. */
#pragma once

#include "kumquat/types.h"

typedef struct KqFlowShard KqFlowShard;

/**
 * kq_flow_shard_new - creates an empty shard
 * @capacity: maximum number of flows
 * @caller_max: maximum flows of one caller's IP address once the shard is half full; 0 means no
 *   limit
 *
 * Return: (owned by @parent) the shard, or NULL without memory.
 */
KqFlowShard *kq_flow_shard_new (const void *parent, unsigned capacity, unsigned caller_max);

/** kq_flow_shard_lookup - Return: whether @key is known; @owner (nullable) is then set */
bool kq_flow_shard_lookup (const KqFlowShard *shard, const KqFlowKey *key, uint64_t hash,
                           KqPeer *owner);

/** kq_flow_shard_touch - marks @key as used at @now; Return: as kq_flow_shard_lookup */
bool kq_flow_shard_touch (KqFlowShard *shard, const KqFlowKey *key, uint64_t hash, KqTime now,
                          KqPeer *owner);

/**
 * kq_flow_shard_idle - Return: time since the last use of @key, with a resolution of one
 * millisecond; -1 if unknown
 */
KqTime kq_flow_shard_idle (const KqFlowShard *shard, const KqFlowKey *key, uint64_t hash,
                           KqTime now);

/** kq_flow_shard_store - adds @key or replaces its owner; Return: 0, or -1 when there is no room */
int kq_flow_shard_store (KqFlowShard *shard, const KqFlowKey *key, uint64_t hash,
                         const KqPeer *owner, KqTime now);

/**
 * kq_flow_shard_remove - drops @key if its owner is @owner (any if NULL); Return: whether it did
 */
bool kq_flow_shard_remove (KqFlowShard *shard, const KqFlowKey *key, uint64_t hash,
                           const KqPeer *owner);

/**
 * struct KqFlowEntry - one flow as returned by kq_flow_shard_next
 * @key: the flow
 * @owner: its owner
 * @idle: time since its last use, with a resolution of one millisecond
 */
typedef struct
{
  KqFlowKey key;
  KqPeer owner;
  KqTime idle;
} KqFlowEntry;

/**
 * kq_flow_shard_next - iterates over all flows
 * @cursor: 0 for the first call, then as the previous call left it
 *
 * If the shard changes between two calls, the iteration can skip flows or return them twice.
 *
 * Return: whether there was another flow, which is then in @entry.
 */
bool kq_flow_shard_next (const KqFlowShard *shard, unsigned *cursor, KqTime now,
                         KqFlowEntry *entry);

/**
 * kq_flow_shard_expire - scans some slots with a clock hand and drops idle flows
 * @idle_us: a flow unused for this long is dropped
 * @slots: maximum number of slots scanned
 * @dropped: (nullable): called for each flow after it was dropped
 *
 * Return: the number of flows dropped.
 */
unsigned kq_flow_shard_expire (KqFlowShard *shard, KqTime now, KqTime idle_us, unsigned slots,
                               void (*dropped) (const KqFlowKey *key, void *data), void *data);

unsigned kq_flow_shard_count (const KqFlowShard *shard);
size_t kq_flow_shard_bytes (const KqFlowShard *shard);
