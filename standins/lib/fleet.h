/* A stand-in for the network, the views and the balancers around many placements in one process,
 * run by an event queue with simulated time. Equal seeds give equal runs. */
#pragma once

#include "kumquat/placement.h"

#define KQ_FLEET_AGENTS_MAX 64

typedef struct KqFleet KqFleet;

/**
 * enum KqFleetMode - how flows find their target
 * @KQ_FLEET_PLACEMENT: as the agents' placements decide
 * @KQ_FLEET_TABLES: baseline: balancers remember owners, and agents take what arrives
 * @KQ_FLEET_PREVIOUS: baseline: the home asks the bucket's previous home for unknown flows
 */
typedef enum
{
  KQ_FLEET_PLACEMENT,
  KQ_FLEET_TABLES,
  KQ_FLEET_PREVIOUS
} KqFleetMode;

/**
 * struct KqFleetParams - one run
 * @delay: mean one-way delay; half of it is fixed, half is exponential
 * @loss: probability that a datagram is lost
 * @duplicate: probability that it arrives twice
 * @lag_max: views learn of a change after a uniform time up to this
 * @placement: parameters of every agent but self and seed
 * @deliver: a target took a datagram; the fleet answers through the balancer
 * @load: Return: load of a target
 * @refused: a datagram was refused and the balancer was told
 */
typedef struct
{
  uint64_t seed;
  KqFleetMode mode;
  unsigned balancers;
  KqTime delay;
  double loss;
  double duplicate;
  KqTime lag_max;
  KqPlacementParams placement;
  void (*deliver) (unsigned agent, const KqPacket *packet, void *data);
  unsigned (*load) (unsigned agent, void *data);
  void (*refused) (unsigned agent, const KqPacket *packet, KqErrorKind reason, void *data);
  void *data;
} KqFleetParams;

KqFleet *kq_fleet_new (const void *parent, const KqFleetParams *params);
KqTime kq_fleet_now (const KqFleet *fleet);

/** kq_fleet_join - starts an agent; Return: its number; the first agents see each other at once */
unsigned kq_fleet_join (KqFleet *fleet, unsigned weight);

/** kq_fleet_drain - the agent takes no new flow; the views learn of it */
void kq_fleet_drain (KqFleet *fleet, unsigned agent);

/** kq_fleet_leave - the views learn that the agent left; its process ends @linger later */
void kq_fleet_leave (KqFleet *fleet, unsigned agent, KqTime linger);

/** kq_fleet_crash - the process ends; the views learn of it */
void kq_fleet_crash (KqFleet *fleet, unsigned agent);

/** kq_fleet_restart - starts a crashed agent as a new life without memory */
void kq_fleet_restart (KqFleet *fleet, unsigned agent);

/** kq_fleet_send - a caller's datagram reaches a random balancer */
void kq_fleet_send (KqFleet *fleet, const KqFlowKey *key, uint64_t payload);

/** kq_fleet_at - calls @run at @time */
void kq_fleet_at (KqFleet *fleet, KqTime time, void (*run) (void *data), void *data);

/** kq_fleet_run - runs all events up to @until */
void kq_fleet_run (KqFleet *fleet, KqTime until);

/** kq_fleet_alive - Return: whether the agent's process runs */
bool kq_fleet_alive (const KqFleet *fleet, unsigned agent);

/** kq_fleet_stats - Return: counters of the agent's placement; zeros when it does not run */
KqPlacementStats kq_fleet_stats (const KqFleet *fleet, unsigned agent);

/** kq_fleet_message_bytes - Return: bytes of all placement messages sent so far */
uint64_t kq_fleet_message_bytes (const KqFleet *fleet);
