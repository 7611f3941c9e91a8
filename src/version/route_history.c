#include <talloc.h>

#include "kumquat/internal/route_history.h"

/**
 * struct EarlierService - a service that a route named until some time ago
 * @ip: address of the route
 * @port: port of the route
 * @service: number of the service
 * @until: when it was last in force in this process
 */
typedef struct
{
  uint32_t ip;
  uint16_t port;
  uint32_t service;
  KqTime until;
} EarlierService;

/**
 * struct KqRouteHistory - see route_history.h
 * @earlier: (array) (owned): services that are not in force any more, at most one entry for each
 * route and service
 * @count: length of @earlier
 * @complete_at: when all streams that configurations unknown here may have placed have ended
 */
struct KqRouteHistory
{
  EarlierService *earlier;
  unsigned count;
  KqTime complete_at;
};

KqRouteHistory *
kq_route_history_new (const void *parent)
{
  KqRouteHistory *route_history = talloc_zero (parent, KqRouteHistory);
  if (route_history != NULL)
    route_history->complete_at = KQ_NEVER;
  return route_history;
}

static void
drop_expired (KqRouteHistory *route_history, KqTime now)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < route_history->count; i++)
    if (now - route_history->earlier[i].until < KQ_ROUTE_HISTORY_US)
      route_history->earlier[kept++] = route_history->earlier[i];
  route_history->count = kept;
}

/* Return: 0, or -1 if out of memory. */
static int
add_earlier (KqRouteHistory *route_history, const KqStreamRoute *route, uint32_t service,
             KqTime now)
{
  for (unsigned i = 0; i < route_history->count; i++)
    {
      EarlierService *earlier = &route_history->earlier[i];
      if (earlier->ip == route->ip && earlier->port == route->port && earlier->service == service)
        {
          earlier->until = now;
          return 0;
        }
    }
  EarlierService *list = talloc_realloc (route_history, route_history->earlier, EarlierService,
                                         route_history->count + 1);
  if (list == NULL)
    return -1;
  route_history->earlier = list;
  list[route_history->count++] =
      (EarlierService){ .ip = route->ip, .port = route->port, .service = service, .until = now };
  return 0;
}

static bool
names_service (const KqStreamRoute *route, uint32_t service)
{
  for (unsigned i = 0; route != NULL && i < route->service_count; i++)
    if (route->services[i].number == service)
      return true;
  return false;
}

void
kq_route_history_replace (KqRouteHistory *route_history, const KqRouteTable *before,
                          const KqRouteTable *after, KqTime now)
{
  route_history->complete_at = now + KQ_ROUTE_HISTORY_US;
  drop_expired (route_history, now);
  for (unsigned i = 0; before != NULL && i < before->count; i++)
    {
      const KqStreamRoute *route = &before->routes[i];
      const KqStreamKey key = { .service_ip = route->ip, .service_port = route->port };
      const KqStreamRoute *successor = kq_route_table_find (after, &key);
      for (unsigned j = 0; j < route->service_count; j++)
        {
          uint32_t service = route->services[j].number;
          if (!names_service (successor, service) &&
              add_earlier (route_history, route, service, now) < 0)
            route_history->complete_at = KQ_NEVER;
        }
    }
}

bool
kq_route_history_is_complete (const KqRouteHistory *route_history, KqTime now)
{
  return now >= route_history->complete_at;
}

unsigned
kq_add_service (uint32_t *services, unsigned count, unsigned capacity, uint32_t service)
{
  for (unsigned i = 0; i < count && i < capacity; i++)
    if (services[i] == service)
      return count;
  if (count < capacity)
    services[count] = service;
  return count + 1;
}

unsigned
kq_route_history_services (const KqRouteHistory *route_history, const KqRouteTable *routes,
                           const KqStreamKey *key, KqTime now, uint32_t *services,
                           unsigned capacity)
{
  const KqStreamRoute *route = routes == NULL ? NULL : kq_route_table_find (routes, key);
  unsigned count = 0;
  for (unsigned i = 0; route != NULL && i < route->service_count && count < capacity; i++)
    count = kq_add_service (services, count, capacity, route->services[i].number);
  for (unsigned i = 0; i < route_history->count && count < capacity; i++)
    {
      const EarlierService *earlier = &route_history->earlier[i];
      if (earlier->ip == key->service_ip && earlier->port == key->service_port &&
          now - earlier->until < KQ_ROUTE_HISTORY_US)
        count = kq_add_service (services, count, capacity, earlier->service);
    }
  return count;
}
