/* A balancer's routing snapshot at the size of one region: memory per service, and the time to
 * apply the change of one member. The baseline rebuilds the tables of all services. */

#include <malloc.h>
#include <stdio.h>
#include <talloc.h>
#include <time.h>

#include "kumquat/internal/routes.h"
#include "measured.h"

#define SERVICES        14000
#define AGENTS          5857 /* 41,000 endpoints in seven regions */
#define CHANGES         20
#define CHANGES_A_DAY   ((94 + 2 * 2800) / 7.0) /* deaths and replacements in one region */
#define DAY_S           86400.0
#define PROCESSOR_LIMIT 0.038 /* share of one core */

static double
seconds_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static KqServiceCatalog *
make_catalog (void)
{
  KqServiceCatalog *catalog = kq_service_catalog_new (NULL);
  for (uint32_t number = 1; number <= SERVICES; number++)
    {
      KqService service = { .number = number, .revision = { 1, 1 }, .port = (uint16_t)number };
      kq_service_catalog_store (catalog, &service);
    }
  return catalog;
}

static KqMember *
make_agents (const void *parent)
{
  KqMember *agents = talloc_zero_array (parent, KqMember, AGENTS);
  for (unsigned i = 0; i < AGENTS; i++)
    {
      agents[i].role = KQ_ROLE_AGENT;
      agents[i].phase = KQ_PHASE_SERVING;
      agents[i].weight = 100;
      agents[i].service = 1 + i % SERVICES;
      agents[i].peer.id = i + 1;
      agents[i].peer.incarnation = 1;
    }
  return agents;
}

/* Return: seconds per change, with unchanged tables reused if @reuse_tables, else all tables
 * rebuilt. */
static double
time_change (KqServiceCatalog *catalog, KqMember *agents, KqRoutes **routes, bool reuse_tables)
{
  double start = seconds_now ();
  for (unsigned i = 0; i < CHANGES; i++)
    {
      agents[i].peer.incarnation++;
      KqRoutes *fresh =
          kq_routes_new (NULL, catalog, agents, AGENTS, reuse_tables ? *routes : NULL);
      talloc_free (*routes);
      *routes = fresh;
    }
  return (seconds_now () - start) / CHANGES;
}

int
main (void)
{
  size_t heap_empty = mallinfo2 ().uordblks;
  KqServiceCatalog *catalog = make_catalog ();
  double catalog_bytes = (double)(mallinfo2 ().uordblks - heap_empty) / SERVICES;
  KqMember *agents = make_agents (catalog);
  size_t before = mallinfo2 ().uordblks;
  KqRoutes *routes = kq_routes_new (NULL, catalog, agents, AGENTS, NULL);
  double routes_bytes = (double)(mallinfo2 ().uordblks - before) / SERVICES;
  double rebuilt_s = time_change (catalog, agents, &routes, false);
  double incremental_s = time_change (catalog, agents, &routes, true);
  double load = incremental_s * CHANGES_A_DAY / DAY_S;
  printf ("snapshot of %d services and %d agents\n\n", SERVICES, AGENTS);
  printf ("  configuration: %.0f bytes a service; routes: %.0f bytes a service\n", catalog_bytes,
          routes_bytes);
  printf ("  one change of a member: %.2f ms; baseline, all services rebuilt: %.2f ms\n",
          1e3 * incremental_s, 1e3 * rebuilt_s);
  printf ("  target: at most %.3f of a core for one day's changes in a region: %.5f, %s\n",
          PROCESSOR_LIMIT, load, load <= PROCESSOR_LIMIT ? "met" : "missed");
  FILE *file = measured_open ("snapshot");
  if (file != NULL)
    {
      measured_write (file, "catalog_bytes_per_service", catalog_bytes, "B");
      measured_write (file, "routes_bytes_per_service", routes_bytes, "B");
      measured_write (file, "routes_change_ms", 1e3 * incremental_s, "ms");
      fclose (file);
    }
  talloc_free (routes);
  talloc_free (catalog);
  return file == NULL ? 1 : 0;
}
