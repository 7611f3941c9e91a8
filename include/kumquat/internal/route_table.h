/* Maps the address that a caller connects to onto the service of the stream. */
#pragma once

#include "kumquat/internal/segment.h"

#define KQ_ROUTE_SERVICES_MAX 8

/**
 * enum KqRouteKind - kind of the requests of a route
 * @KQ_ROUTE_IDEMPOTENT: may be retried after any failure
 * @KQ_ROUTE_ONCE: may be executed at most once
 * @KQ_ROUTE_DOWNLOAD: may be retried; answers are long
 */
typedef enum
{
  KQ_ROUTE_IDEMPOTENT,
  KQ_ROUTE_ONCE,
  KQ_ROUTE_DOWNLOAD
} KqRouteKind;

/**
 * struct KqStreamRouteService - a service that streams of a route are assigned to
 * @number: the service, see kq_service_number()
 * @weight: relative share of the route's streams
 */
typedef struct
{
  uint32_t number;
  uint32_t weight;
} KqStreamRouteService;

/**
 * struct KqStreamRoute - an address and port with the properties of its requests
 * @ip: IPv4 address in host byte order
 * @port: port
 * @kind: kind of its requests
 * @priority: 0 is the highest
 * @objective_ms: latency objective, counted from the caller's first attempt
 * @timeout_ms: an answer that arrives later is useless
 * @services: (array): services that its streams are assigned to
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
 * @version: version number assigned by the operators, which only increases
 * @idle_timeout_ms: a stream that had no segment for this time may be dropped
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

/** kq_route_table_sort - sorts the routes as required by kq_route_table_find() */
void kq_route_table_sort (KqRouteTable *table);

/** kq_route_table_find - Return: (borrowed) the route of the service address in @key, or NULL */
const KqStreamRoute *kq_route_table_find (const KqRouteTable *table, const KqStreamKey *key);

/** kq_stream_route_service - Return: the service that the route's weights assign to a stream with
 * @hash, the same on every instance; 0 if the route has none */
uint32_t kq_stream_route_service (const KqStreamRoute *route, uint64_t hash);
