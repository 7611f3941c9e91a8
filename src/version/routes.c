#include <stdlib.h>
#include <talloc.h>

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
add_route (KqRoutes *routes, const KqService *service, const KqMember *members, unsigned count)
{
  KqServiceView view;
  void *scratch = talloc_new (routes);
  if (kq_service_view_collect (scratch, service, members, count, &view) < 0)
    return -1;
  KqRoute *route = &routes->routes[routes->count];
  route->number = service->number;
  route->revision = service->revision;
  route->port = service->port;
  route->routing = kq_routing_new (routes, &view);
  talloc_free (scratch);
  if (route->routing == NULL)
    return -1;
  routes->count++;
  return 0;
}

KqRoutes *
kq_routes_new (const void *parent, const KqServiceCatalog *catalog, const KqMember *members,
               unsigned count)
{
  unsigned services = kq_service_catalog_count (catalog);
  KqRoutes *routes = talloc_zero (parent, KqRoutes);
  if (routes == NULL)
    return NULL;
  routes->routes = talloc_array (routes, KqRoute, services == 0 ? 1 : services);
  if (routes->routes == NULL || collect_live (routes, members, count) < 0)
    goto error;
  for (unsigned i = 0; i < services; i++)
    {
      const KqService *service = kq_service_catalog_at (catalog, i);
      if (!service->removed && add_route (routes, service, members, count) < 0)
        goto error;
    }
  return routes;

error:
  talloc_free (routes);
  return NULL;
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
