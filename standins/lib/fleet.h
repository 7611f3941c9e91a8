/* Simulates the network, the membership views and the balancers around the placement code of many
 * agents, in one process and in simulated time. Equal seeds give equal runs. */
#pragma once

#include "kumquat/placement.h"

#define KQ_FLEET_AGENTS_MAX 64

typedef struct KqFleet KqFleet;

/**
 * enum KqFleetMode - how datagrams of a flow reach its target
 * @KQ_FLEET_PLACEMENT: by the placement code of the agents
 * @KQ_FLEET_FLOW_TABLES: baseline: only the balancers' flow tables; agents accept every datagram
 * @KQ_FLEET_PREVIOUS_HOME: baseline: the home of a bucket forwards datagrams of unknown flows to
 * the bucket's previous home
 */
typedef enum
{
  KQ_FLEET_PLACEMENT,
  KQ_FLEET_FLOW_TABLES,
  KQ_FLEET_PREVIOUS_HOME
} KqFleetMode;

/**
 * struct KqFleetParams - parameters of one simulation run
 * @delay: mean one-way delay; half of it is fixed, half exponentially distributed
 * @loss: probability that a datagram is lost
 * @duplicate: probability that a datagram arrives twice
 * @view_delay_max: upper bound of the uniformly distributed time until a view contains a change
 * @placement: parameters of every agent; self and seed are filled in
 * @deliver: called when a target receives a datagram; the fleet sends the answer via the balancer
 * @load: Return: load of a target
 * @refused: (nullable): called when an agent refuses a datagram and notifies the balancer
 */
typedef struct
{
  uint64_t seed;
  KqFleetMode mode;
  unsigned balancers;
  KqTime delay;
  double loss;
  double duplicate;
  KqTime view_delay_max;
  KqPlacementParams placement;
  void (*deliver) (unsigned agent, const KqPacket *packet, void *data);
  unsigned (*load) (unsigned agent, void *data);
  void (*refused) (unsigned agent, const KqPacket *packet, KqErrorKind reason, void *data);
  void *data;
} KqFleetParams;

KqFleet *kq_fleet_new (const void *parent, const KqFleetParams *params);
KqTime kq_fleet_now (const KqFleet *fleet);

/** kq_fleet_join - starts an agent; agents that join at time 0 know each other at once; Return: its
 * number */
unsigned kq_fleet_join (KqFleet *fleet, unsigned weight);

/** kq_fleet_drain - stops an agent from accepting new flows and updates the views */
void kq_fleet_drain (KqFleet *fleet, unsigned agent);

/** kq_fleet_leave - marks an agent as left in the views; its process ends @linger later */
void kq_fleet_leave (KqFleet *fleet, unsigned agent, KqTime linger);

/** kq_fleet_crash - ends the process of an agent and marks it as dead in the views */
void kq_fleet_crash (KqFleet *fleet, unsigned agent);

/** kq_fleet_restart - restarts a crashed agent as a new incarnation without state */
void kq_fleet_restart (KqFleet *fleet, unsigned agent);

/** kq_fleet_send - sends a datagram of a caller through a random balancer */
void kq_fleet_send (KqFleet *fleet, const KqFlowKey *key, uint64_t payload);

/** kq_fleet_at - schedules a call of @run at @time */
void kq_fleet_at (KqFleet *fleet, KqTime time, void (*run) (void *data), void *data);

/** kq_fleet_run - advances simulated time to @until */
void kq_fleet_run (KqFleet *fleet, KqTime until);

/** kq_fleet_alive - Return: whether the agent's process is running */
bool kq_fleet_alive (const KqFleet *fleet, unsigned agent);

/** kq_fleet_stats - Return: the agent's placement counters; zeros if it has no placement */
KqPlacementStats kq_fleet_stats (const KqFleet *fleet, unsigned agent);

/** kq_fleet_message_bytes - Return: total bytes of the placement messages sent */
uint64_t kq_fleet_message_bytes (const KqFleet *fleet);
