/* Which service a stream is for, by the address that its caller dialled. */
#pragma once

#include "kumquat/internal/segment.h"

#define KQ_ROUTE_SERVICES_MAX 8

/**
 * enum KqRouteKind - what the requests of a route allow
 * @KQ_ROUTE_IDEMPOTENT: may be repeated after any failure
 * @KQ_ROUTE_ONCE: may run at most once
 * @KQ_ROUTE_DOWNLOAD: may be repeated; long answers
 */
typedef enum
{
  KQ_ROUTE_IDEMPOTENT,
  KQ_ROUTE_ONCE,
  KQ_ROUTE_DOWNLOAD
} KqRouteKind;

/**
 * struct KqStreamRouteService - a service that a route's streams may go to
 * @number: the service, see kq_service_number()
 * @weight: relative share of the route's streams
 */
typedef struct
{
  uint32_t number;
  uint32_t weight;
} KqStreamRouteService;

/**
 * struct KqStreamRoute - one address and port, and what its requests need
 * @ip: IPv4 address in host byte order
 * @port: port
 * @kind: what its requests allow
 * @priority: 0 is the most important
 * @objective_ms: an answer within it is in time, counted from the caller's first attempt
 * @timeout_ms: an answer after it is of no use
 * @services: (array): where its streams may go
 * @service_count: length of @services
 */
typedef struct
{
  uint32_t ip;
  uint16_t port;
  KqRouteKind kind;
  unsigned priority;
  uint32_t objective_ms;
  uint32_t timeout_ms;
  KqStreamRouteService services[KQ_ROUTE_SERVICES_MAX];
  unsigned service_count;
} KqStreamRoute;

/**
 * struct KqRouteTable - one version of the configuration; immutable once sorted
 * @version: the operators' number, which only grows
 * @idle_timeout_ms: a stream without a segment for so long may be forgotten
 * @routes: (array): ordered by address and port
 * @count: length of @routes
 */
typedef struct
{
  uint64_t version;
  uint32_t idle_timeout_ms;
  KqStreamRoute *routes;
  unsigned count;
} KqRouteTable;

/** kq_service_number - Return: the number of the service called @name, equal on every instance,
 * never 0 */
uint32_t kq_service_number (const char *name);

/** kq_route_table_sort - orders the routes, as kq_route_table_find() needs */
void kq_route_table_sort (KqRouteTable *table);

/** kq_route_table_find - Return: (borrowed) the route of @key's dialled address, or NULL */
const KqStreamRoute *kq_route_table_find (const KqRouteTable *table, const KqStreamKey *key);

/** kq_stream_route_service - Return: the service of a stream by the route's weights; the same hash
 * gives the same service on every instance; 0 when the route has none */
uint32_t kq_stream_route_service (const KqStreamRoute *route, uint64_t hash);
