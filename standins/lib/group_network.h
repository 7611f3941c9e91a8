/* Discrete-event simulation of the group membership protocol: many instances in one thread, over a
 * network with seeded loss, delay, process freezes and partitions. */
#pragma once

#include "kumquat/internal/group.h"

/**
 * struct GroupNetworkParams - size and faults of the simulated network
 * @nodes: instances at the start; all of them know each other
 * @balancers: number of balancers, which come first; the other instances are agents
 * @domains: failure domains, assigned round-robin
 * @services: services, numbered from 1 and assigned to the agents round-robin
 * @loss: share of lost datagrams
 * @delay_us: minimum one-way delay; delays are uniform between it and twice as much
 * @link_bytes_per_s: speed of the link of an instance, in each direction; 0 for no limit
 * @common_document: number of a document that the agents receive as well; 0 for none
 * @probe_interval_us: see KqGroupParams
 * @suspicion_us: see KqGroupParams
 * @budget_bytes_per_s: see KqGroupParams
 * @no_refutation: see KqGroupParams
 * @no_suspicion: see KqGroupParams
 * @seed: seed of all random numbers
 */
typedef struct
{
  unsigned nodes;
  unsigned balancers;
  unsigned domains;
  unsigned services;
  double loss;
  KqTime delay_us;
  unsigned link_bytes_per_s;
  uint32_t common_document;
  KqTime probe_interval_us;
  KqTime suspicion_us;
  unsigned budget_bytes_per_s;
  bool no_refutation;
  bool no_suspicion;
  uint64_t seed;
} GroupNetworkParams;

typedef struct GroupNetwork GroupNetwork;

/** group_network_defaults - Return: one region of @nodes with the default settings, without
 * faults */
GroupNetworkParams group_network_defaults (unsigned nodes, uint64_t seed);

/** group_network_new - Return: (owned by @parent) instances that all know each other */
GroupNetwork *group_network_new (const void *parent, const GroupNetworkParams *params);

/** group_network_run - advances simulated time by @duration */
void group_network_run (GroupNetwork *network, KqTime duration);
KqTime group_network_now (const GroupNetwork *network);

/** group_network_node - Return: (borrowed) (nullable) the group of an instance, NULL if stopped */
KqGroup *group_network_node (const GroupNetwork *network, unsigned index);
uint64_t group_network_id (const GroupNetwork *network, unsigned index);
unsigned group_network_domain (const GroupNetwork *network, unsigned index);

/** group_network_stop - stops an instance without notifying the others */
void group_network_stop (GroupNetwork *network, unsigned index);

/** group_network_start - restarts a stopped instance, which knows only the seeds */
void group_network_start (GroupNetwork *network, unsigned index);

/** group_network_freeze - suspends an instance for @duration; its datagrams are queued */
void group_network_freeze (GroupNetwork *network, unsigned index, KqTime duration);

/** group_network_set_partition - puts an instance into a partition; datagrams do not cross
 * partitions */
void group_network_set_partition (GroupNetwork *network, unsigned index, unsigned partition_id);
void group_network_set_loss (GroupNetwork *network, double loss);

/** group_network_count - Return: number of running instances that see instance @index in @state */
unsigned group_network_count (const GroupNetwork *network, unsigned index, KqMemberState state);

/** group_network_running - Return: number of running instances */
unsigned group_network_running (const GroupNetwork *network);

/** group_network_sum - Return: sum of the counters of all instances, stopped ones included */
KqGroupStats group_network_sum (const GroupNetwork *network);

/** group_network_received - Return: bytes received by instance @index, headers included */
uint64_t group_network_received (const GroupNetwork *network, unsigned index);

/** group_network_peak_memory - Return: most memory of instance @index in bytes, measured when it
 * accepts a document */
size_t group_network_peak_memory (const GroupNetwork *network, unsigned index);

/** group_network_reverts - Return: how often an instance replaced a document by an older
 * revision */
unsigned group_network_reverts (const GroupNetwork *network);
