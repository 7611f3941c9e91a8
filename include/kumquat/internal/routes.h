/* Immutable snapshot of the data that a balancer's workers need to forward a datagram. */
#pragma once

#include "kumquat/routing.h"
#include "kumquat/service_catalog.h"

/**
 * struct KqRoute - one service of a snapshot
 * @number: the service
 * @revision: revision of its configuration
 * @port: port that its datagrams arrive on
 * @targets: hash of the identity, address, weight, phase and state of each of its targets
 * @routing: candidates of each bucket; reused by the next snapshot if neither @revision nor
 *   @targets changed
 */
typedef struct
{
  uint32_t number;
  KqRevision revision;
  uint16_t port;
  uint64_t targets;
  KqRouting *routing;
} KqRoute;

/**
 * struct KqRoutes - one snapshot
 * @routes: (array): services that are not removed, ordered by number
 * @count: length of @routes
 * @live: (array): live agents, ordered by id
 * @live_count: length of @live
 */
typedef struct
{
  KqRoute *routes;
  unsigned count;
  KqPeer *live;
  unsigned live_count;
} KqRoutes;

/**
 * kq_routes_new - creates a snapshot of the catalogue and the members
 * @previous: (nullable): the previous snapshot. The new one takes ownership of the tables of
 *   services whose configuration and targets are unchanged; @previous may be read until the new
 *   snapshot is freed
 *
 * Return: (owned by @parent) the snapshot, or NULL if out of memory.
 */
KqRoutes *kq_routes_new (const void *parent, const KqServiceCatalog *catalog,
                         const KqMember *members, unsigned count, const KqRoutes *previous);

/** kq_routes_find - Return: (borrowed) the service's route, or NULL */
const KqRoute *kq_routes_find (const KqRoutes *routes, uint32_t service);

/** kq_routes_is_live - Return: whether the agent is live with the same incarnation as @peer */
bool kq_routes_is_live (const KqRoutes *routes, const KqPeer *peer);
