#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/routes.h"

static int
compare_ids (const void *a, const void *b)
{
  const KqPeer *left = a;
  const KqPeer *right = b;
  return (left->id > right->id) - (left->id < right->id);
}

static int
collect_live (KqRoutes *routes, const KqMember *members, unsigned count)
{
  routes->live = talloc_array (routes, KqPeer, count == 0 ? 1 : count);
  if (routes->live == NULL)
    return -1;
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT)
      routes->live[routes->live_count++] = members[i].peer;
  qsort (routes->live, routes->live_count, sizeof (KqPeer), compare_ids);
  return 0;
}

static int
compare_services (const void *a, const void *b)
{
  const KqMember *left = a;
  const KqMember *right = b;
  if (left->service != right->service)
    return left->service < right->service ? -1 : 1;
  return (left->peer.id > right->peer.id) - (left->peer.id < right->peer.id);
}

/* Return: (owned by @parent) the agents ordered by service, or NULL if out of memory. */
static KqMember *
sort_agents (const void *parent, const KqMember *members, unsigned count, unsigned *agents)
{
  KqMember *sorted = talloc_array (parent, KqMember, count + 1);
  *agents = 0;
  if (sorted == NULL)
    return NULL;
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT)
      sorted[(*agents)++] = members[i];
  qsort (sorted, *agents, sizeof (KqMember), compare_services);
  return sorted;
}

static uint64_t
hash_targets (const KqMember *targets, unsigned count)
{
  uint64_t hash = count;
  for (unsigned i = 0; i < count; i++)
    {
      const KqMember *target = &targets[i];
      const uint64_t words[] = { hash,
                                 target->peer.id,
                                 target->peer.incarnation,
                                 target->peer.data.port,
                                 target->weight,
                                 target->phase,
                                 target->state };
      hash = XXH3_64bits_withSeed (target->peer.data.ip, sizeof target->peer.data.ip,
                                   XXH3_64bits (words, sizeof words));
    }
  return hash;
}

/* Return: the table of @previous if nothing that it depends on has changed, otherwise a new one
 * owned by @routes, or NULL if out of memory. */
static KqRouting *
reuse_or_compute (KqRoutes *routes, const KqService *service, const KqMember *targets,
                  unsigned count, const KqRoute *previous, uint64_t hash)
{
  bool same = previous != NULL && previous->targets == hash &&
              kq_revision_compare (previous->revision, service->revision) == 0;
  if (same)
    return previous->routing;
  KqServiceView view;
  KqRouting *routing = NULL;
  void *scratch = talloc_new (routes);
  if (kq_service_view_collect (scratch, service, targets, count, &view) == 0)
    routing = kq_routing_new (routes, &view);
  talloc_free (scratch);
  return routing;
}

static int
add_route (KqRoutes *routes, const KqService *service, const KqMember *targets, unsigned count,
           const KqRoutes *previous)
{
  KqRoute *route = &routes->routes[routes->count];
  const KqRoute *before = previous == NULL ? NULL : kq_routes_find (previous, service->number);
  route->number = service->number;
  route->revision = service->revision;
  route->port = service->port;
  route->targets = hash_targets (targets, count);
  route->routing = reuse_or_compute (routes, service, targets, count, before, route->targets);
  if (route->routing == NULL)
    return -1;
  routes->count++;
  return 0;
}

/* Services and agents are both ordered by the service's number, so one pass joins them. */
static int
add_routes (KqRoutes *routes, const KqServiceCatalog *catalog, const KqMember *agents,
            unsigned count, const KqRoutes *previous)
{
  unsigned first = 0;
  for (unsigned i = 0; i < kq_service_catalog_count (catalog); i++)
    {
      const KqService *service = kq_service_catalog_at (catalog, i);
      while (first < count && agents[first].service < service->number)
        first++;
      unsigned end = first;
      while (end < count && agents[end].service == service->number)
        end++;
      if (!service->removed &&
          add_route (routes, service, agents + first, end - first, previous) < 0)
        return -1;
      first = end;
    }
  return 0;
}

/* Takes ownership of the reused tables once the snapshot can no longer fail. talloc references
 * would avoid this step, but freeing thousands of them takes seconds. */
static void
take_table_ownership (KqRoutes *routes)
{
  for (unsigned i = 0; i < routes->count; i++)
    talloc_steal (routes, routes->routes[i].routing);
}

KqRoutes *
kq_routes_new (const void *parent, const KqServiceCatalog *catalog, const KqMember *members,
               unsigned count, const KqRoutes *previous)
{
  unsigned services = kq_service_catalog_count (catalog);
  unsigned agents;
  KqRoutes *routes = talloc_zero (parent, KqRoutes);
  if (routes == NULL)
    return NULL;
  routes->routes = talloc_array (routes, KqRoute, services + 1);
  KqMember *sorted = sort_agents (routes, members, count, &agents);
  if (routes->routes == NULL || sorted == NULL || collect_live (routes, members, count) < 0 ||
      add_routes (routes, catalog, sorted, agents, previous) < 0)
    {
      talloc_free (routes);
      return NULL;
    }
  talloc_free (sorted);
  take_table_ownership (routes);
  return routes;
}

const KqRoute *
kq_routes_find (const KqRoutes *routes, uint32_t service)
{
  unsigned low = 0;
  unsigned high = routes->count;
  while (low < high)
    {
      unsigned middle = (low + high) / 2;
      if (routes->routes[middle].number < service)
        low = middle + 1;
      else
        high = middle;
    }
  if (low == routes->count || routes->routes[low].number != service)
    return NULL;
  return &routes->routes[low];
}

bool
kq_routes_is_live (const KqRoutes *routes, const KqPeer *peer)
{
  const KqPeer *found =
      bsearch (peer, routes->live, routes->live_count, sizeof (KqPeer), compare_ids);
  return found != NULL && found->incarnation == peer->incarnation;
}
