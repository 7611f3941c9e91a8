#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/route_check.h"

/* A caller abandons a connection attempt after this time. */
#define CALLER_ATTEMPT_MS 1400

typedef struct
{
  void (*found) (const KqRouteFinding *finding, void *data);
  void *data;
} Report;

static void __attribute__ ((format (printf, 4, 5)))
add (const Report *report, KqRouteFindingKind kind, const KqStreamRoute *route, const char *format,
     ...)
{
  KqRouteFinding finding = { .kind = kind };
  va_list args;
  if (route != NULL)
    {
      finding.ip = route->ip;
      finding.port = route->port;
    }
  va_start (args, format);
  vsnprintf (finding.text, sizeof finding.text, format, args);
  va_end (args);
  report->found (&finding, report->data);
}

static bool
same_address (const KqStreamRoute *a, const KqStreamRoute *b)
{
  return a->ip == b->ip && a->port == b->port;
}

static bool
is_repeated (const KqRouteTable *table, unsigned i)
{
  return (i > 0 && same_address (&table->routes[i], &table->routes[i - 1])) ||
         (i + 1 < table->count && same_address (&table->routes[i], &table->routes[i + 1]));
}

static void
check_services (const Report *report, const KqStreamRoute *route)
{
  if (route->service_count == 0)
    add (report, KQ_ROUTE_FINDING_ERROR, route,
         "names no service with a weight above 0, so its callers are refused; name one");
  for (unsigned i = 0; i < route->service_count; i++)
    for (unsigned j = 0; j < i; j++)
      if (route->services[i].number == route->services[j].number)
        add (report, KQ_ROUTE_FINDING_CONTRADICTION, route,
             "names the same service twice, with weights %u and %u; add them up",
             route->services[j].weight, route->services[i].weight);
}

static void
check_limits (const Report *report, const KqRouteTable *table, const KqStreamRoute *route)
{
  if (route->timeout_ms == 0)
    add (report, KQ_ROUTE_FINDING_CONTRADICTION, route,
         "has no time-out, so no stream of it is ever refused as too late; set one");
  else if (route->objective_ms > route->timeout_ms)
    add (report, KQ_ROUTE_FINDING_CONTRADICTION, route,
         "has a latency objective of %u ms above its time-out of %u ms; lower the objective",
         route->objective_ms, route->timeout_ms);
  if (route->timeout_ms > table->idle_timeout_ms)
    add (report, KQ_ROUTE_FINDING_CONTRADICTION, route,
         "has a time-out of %u ms above the idle time-out of streams, %u ms, after which a stream "
         "that still waits may be dropped",
         route->timeout_ms, table->idle_timeout_ms);
}

static void
check_routes (const Report *report, const KqRouteTable *table)
{
  for (unsigned i = 0; i < table->count; i++)
    {
      const KqStreamRoute *route = &table->routes[i];
      if (i > 0 && same_address (route, route - 1))
        add (report, KQ_ROUTE_FINDING_UNREACHABLE, route,
             "is there more than once, and only one of them is used; remove the others");
      check_services (report, route);
      check_limits (report, table, route);
    }
}

static const KqStreamRoute *
find (const KqRouteTable *table, const KqStreamRoute *route)
{
  KqStreamKey key = { .service_ip = route->ip, .service_port = route->port };
  return kq_route_table_find (table, &key);
}

static void
add_number_change (const Report *report, const KqStreamRoute *route, const char *what,
                   uint32_t before, uint32_t after)
{
  if (before != after)
    add (report, KQ_ROUTE_FINDING_CHANGE, route, "%s changes from %" PRIu32 " to %" PRIu32, what,
         before, after);
}

static bool
same_services (const KqStreamRoute *a, const KqStreamRoute *b)
{
  bool same = a->service_count == b->service_count;
  for (unsigned i = 0; same && i < a->service_count; i++)
    same = a->services[i].number == b->services[i].number &&
           a->services[i].weight == b->services[i].weight;
  return same;
}

static void
compare_route (const Report *report, const KqStreamRoute *before, const KqStreamRoute *after)
{
  if (!same_services (before, after))
    add (report, KQ_ROUTE_FINDING_CHANGE, after,
         "changes its services or their weights; open streams stay with their targets");
  if (before->kind != after->kind)
    add (report, KQ_ROUTE_FINDING_CHANGE, after, "changes the kind of its requests");
  add_number_change (report, after, "priority", before->priority, after->priority);
  add_number_change (report, after, "latency objective in ms", before->objective_ms,
                     after->objective_ms);
  add_number_change (report, after, "time-out in ms", before->timeout_ms, after->timeout_ms);
}

static void
compare (const Report *report, const KqRouteTable *before, const KqRouteTable *after)
{
  if (after->version <= before->version)
    add (report, KQ_ROUTE_FINDING_ERROR, NULL,
         "version %" PRIu64 " is not above version %" PRIu64
         " in force, so no balancer would use it; raise it",
         after->version, before->version);
  add_number_change (report, NULL, "idle time-out of streams in ms", before->idle_timeout_ms,
                     after->idle_timeout_ms);
  for (unsigned i = 0; i < after->count; i++)
    {
      const KqStreamRoute *known = find (before, &after->routes[i]);
      if (known == NULL)
        add (report, KQ_ROUTE_FINDING_CHANGE, &after->routes[i], "is added");
      else if (!is_repeated (after, i) && !is_repeated (before, (unsigned)(known - before->routes)))
        compare_route (report, known, &after->routes[i]);
    }
  for (unsigned i = 0; i < before->count; i++)
    if (find (after, &before->routes[i]) == NULL)
      add (report, KQ_ROUTE_FINDING_CHANGE, &before->routes[i],
           "is removed; its open streams may be ended");
}

void
kq_route_check (const KqRouteTable *table, const KqRouteTable *in_force,
                void (*found) (const KqRouteFinding *finding, void *data), void *data)
{
  const Report report = { found, data };
  if (table->count == 0)
    add (&report, KQ_ROUTE_FINDING_ERROR, NULL, "there are no routes, so all callers are refused");
  if (table->idle_timeout_ms < CALLER_ATTEMPT_MS)
    add (&report, KQ_ROUTE_FINDING_CONTRADICTION, NULL,
         "the idle time-out of streams is %u ms, less than the %u ms for which a caller tries to "
         "open one",
         table->idle_timeout_ms, CALLER_ATTEMPT_MS);
  check_routes (&report, table);
  if (in_force != NULL)
    compare (&report, in_force, table);
}

const char *
kq_route_finding_kind_name (KqRouteFindingKind kind)
{
  static const char *const names[] = { [KQ_ROUTE_FINDING_ERROR] = "error",
                                       [KQ_ROUTE_FINDING_UNREACHABLE] = "unreachable",
                                       [KQ_ROUTE_FINDING_CONTRADICTION] = "contradiction",
                                       [KQ_ROUTE_FINDING_CHANGE] = "change" };
  return names[kind];
}
