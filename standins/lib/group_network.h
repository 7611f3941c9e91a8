/* Many instances of the control plane's decisions in one thread, over a network with seeded loss,
 * delay, freezes and cuts. Time is the time of the next event. */
#pragma once

#include "kumquat/internal/group.h"

/**
 * struct GroupNetworkParams - size and faults
 * @nodes: instances at the start; they know each other
 * @balancers: the first of them are balancers, the others agents
 * @domains: failure domains, assigned in turn
 * @services: services, assigned to the agents in turn, numbered from 1
 * @loss: share of the datagrams that are lost
 * @delay_us: least one-way delay; up to twice as much is drawn
 * @probe_interval_us: see KqGroupParams
 * @suspicion_us: see KqGroupParams
 * @budget_bytes_per_s: see KqGroupParams
 * @no_refutation: see KqGroupParams
 * @no_suspicion: see KqGroupParams
 * @seed: seed of all that is drawn
 */
typedef struct
{
  unsigned nodes;
  unsigned balancers;
  unsigned domains;
  unsigned services;
  double loss;
  KqTime delay_us;
  KqTime probe_interval_us;
  KqTime suspicion_us;
  unsigned budget_bytes_per_s;
  bool no_refutation;
  bool no_suspicion;
  uint64_t seed;
} GroupNetworkParams;

typedef struct GroupNetwork GroupNetwork;

/** group_network_defaults - Return: one region of @nodes at the settings' defaults, without faults
 */
GroupNetworkParams group_network_defaults (unsigned nodes, uint64_t seed);

/** group_network_new - Return: (owned by @parent) instances that all know each other */
GroupNetwork *group_network_new (const void *parent, const GroupNetworkParams *params);

/** group_network_run - lets @duration pass */
void group_network_run (GroupNetwork *network, KqTime duration);
KqTime group_network_now (const GroupNetwork *network);

/** group_network_node - Return: (borrowed) an instance's group, NULL when it is stopped */
KqGroup *group_network_node (const GroupNetwork *network, unsigned index);
uint64_t group_network_id (const GroupNetwork *network, unsigned index);
unsigned group_network_domain (const GroupNetwork *network, unsigned index);

/** group_network_stop - the instance is gone without a word */
void group_network_stop (GroupNetwork *network, unsigned index);

/** group_network_start - a stopped instance starts again knowing nobody but the seeds */
void group_network_start (GroupNetwork *network, unsigned index);

/** group_network_freeze - the instance does nothing for @duration; its datagrams wait */
void group_network_freeze (GroupNetwork *network, unsigned index, KqTime duration);

/** group_network_set_side - datagrams pass only between instances of the same side */
void group_network_set_side (GroupNetwork *network, unsigned index, unsigned side);
void group_network_set_loss (GroupNetwork *network, double loss);

/** group_network_count - Return: how many running instances believe @state of instance @index */
unsigned group_network_count (const GroupNetwork *network, unsigned index, KqMemberState state);

/** group_network_running - Return: how many instances run */
unsigned group_network_running (const GroupNetwork *network);

/** group_network_sum - Return: the sum of all running instances' counters, and of stopped ones */
KqGroupStats group_network_sum (const GroupNetwork *network);

/** group_network_received - Return: bytes that reached instance @index */
uint64_t group_network_received (const GroupNetwork *network, unsigned index);

/** group_network_reverts - Return: how often an instance's document went back */
unsigned group_network_reverts (const GroupNetwork *network);
