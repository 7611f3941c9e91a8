#include <stdlib.h>

#include "kumquat/internal/route_table.h"

uint32_t
kq_service_number (const char *name)
{
  uint32_t number = (uint32_t)kq_hash_name (name);
  return number == 0 ? 1 : number;
}

static int
compare (uint32_t ip, uint16_t port, const KqStreamRoute *route)
{
  if (ip != route->ip)
    return ip < route->ip ? -1 : 1;
  return (int)port - (int)route->port;
}

static int
compare_routes (const void *a, const void *b)
{
  const KqStreamRoute *route = a;
  return compare (route->ip, route->port, b);
}

void
kq_route_table_sort (KqRouteTable *table)
{
  if (table->count > 0)
    qsort (table->routes, table->count, sizeof table->routes[0], compare_routes);
}

static int
compare_key (const void *key, const void *route)
{
  const KqStreamKey *stream = key;
  return compare (stream->service_ip, stream->service_port, route);
}

const KqStreamRoute *
kq_route_table_find (const KqRouteTable *table, const KqStreamKey *key)
{
  if (table->count == 0)
    return NULL;
  return bsearch (key, table->routes, table->count, sizeof table->routes[0], compare_key);
}

uint32_t
kq_stream_route_service (const KqStreamRoute *route, uint64_t hash)
{
  uint64_t sum = 0;
  for (unsigned i = 0; i < route->service_count; i++)
    sum += route->services[i].weight;
  if (sum == 0)
    return 0;
  /* The high bits select the service; the low bits are left for ranking the service's targets. */
  uint64_t point = (hash >> 32) * sum >> 32;
  for (unsigned i = 0; i < route->service_count; i++)
    {
      if (point < route->services[i].weight)
        return route->services[i].number;
      point -= route->services[i].weight;
    }
  return 0;
}
