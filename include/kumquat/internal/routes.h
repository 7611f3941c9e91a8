/* Immutable snapshot of what a balancer's workers need for a datagram. */
#pragma once

#include "kumquat/routing.h"
#include "kumquat/service_catalog.h"

/**
 * struct KqRoute - one service of a snapshot
 * @number: the service
 * @revision: its configuration
 * @port: where its datagrams arrive
 * @targets: hash of what the service's targets say of themselves
 * @routing: candidates of each bucket, kept by the next snapshot when nothing of it changed
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
 * kq_routes_new - takes a snapshot of catalogue and members
 * @previous: (nullable): the snapshot before. Tables of services that neither changed nor lost or
 * won a target pass into the ownership of the new one; @previous may be read as long as that lives
 *
 * Return: (owned by @parent) the snapshot, or NULL without memory.
 */
KqRoutes *kq_routes_new (const void *parent, const KqServiceCatalog *catalog,
                         const KqMember *members, unsigned count, const KqRoutes *previous);

/** kq_routes_find - Return: (borrowed) the service's route, or NULL */
const KqRoute *kq_routes_find (const KqRoutes *routes, uint32_t service);

/** kq_routes_is_live - Return: whether this life of the agent is among the live members */
bool kq_routes_is_live (const KqRoutes *routes, const KqPeer *peer);
