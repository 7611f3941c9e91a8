#include <CUnit/Basic.h>
#include <stdio.h>
#include <talloc.h>

#include "kumquat/internal/routes.h"
#include "unit.h"

#define SERVICES 3
#define TARGETS  4 /* per service */

typedef struct
{
  KqServiceCatalog *catalog;
  KqMember members[SERVICES * TARGETS];
} Fixture;

static Fixture *
set_up (void)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);
  fixture->catalog = kq_service_catalog_new (fixture);
  for (uint32_t number = 1; number <= SERVICES; number++)
    {
      KqService service = { .number = number, .revision = { 1, 1 }, .port = (uint16_t)number };
      snprintf (service.name, sizeof service.name, "s%u", number);
      kq_service_catalog_store (fixture->catalog, &service);
    }
  for (unsigned i = 0; i < SERVICES * TARGETS; i++)
    {
      KqMember *member = &fixture->members[i];
      member->role = KQ_ROLE_AGENT;
      member->phase = KQ_PHASE_SERVING;
      member->weight = 100;
      member->service = 1 + i % SERVICES;
      member->peer.id = 100 - i;
      member->peer.incarnation = 1;
    }
  return fixture;
}

static KqRoutes *
snapshot (Fixture *fixture, const KqRoutes *previous)
{
  KqRoutes *routes =
      kq_routes_new (fixture, fixture->catalog, fixture->members, SERVICES * TARGETS, previous);
  CU_ASSERT_FATAL (routes != NULL);
  return routes;
}

static bool
has_only_own_targets (const KqRoutes *routes, uint32_t service)
{
  KqPeer candidates[KQ_CANDIDATES_MAX];
  const KqRoute *route = kq_routes_find (routes, service);
  for (unsigned bucket = 0; bucket < KQ_BUCKETS; bucket++)
    {
      unsigned count = kq_routing_candidates (route->routing, bucket, candidates);
      if (count != KQ_CANDIDATES_MAX)
        return false;
      for (unsigned i = 0; i < count; i++)
        if (1 + (100 - candidates[i].id) % SERVICES != service)
          return false;
    }
  return true;
}

static void
test_each_service_has_its_own_targets (void)
{
  Fixture *fixture = set_up ();
  KqRoutes *routes = snapshot (fixture, NULL);
  CU_ASSERT (routes->count == SERVICES && routes->live_count == SERVICES * TARGETS);
  for (uint32_t service = 1; service <= SERVICES; service++)
    CU_ASSERT (has_only_own_targets (routes, service));
  CU_ASSERT_PTR_NULL (kq_routes_find (routes, SERVICES + 1));
  talloc_free (fixture);
}

static void
test_only_changed_services_are_recomputed (void)
{
  Fixture *fixture = set_up ();
  KqRoutes *first = snapshot (fixture, NULL);
  fixture->members[1].phase = KQ_PHASE_DRAINING; /* of service 2 */
  KqRoutes *second = snapshot (fixture, first);
  CU_ASSERT (kq_routes_find (first, 1)->routing == kq_routes_find (second, 1)->routing);
  CU_ASSERT (kq_routes_find (first, 2)->routing != kq_routes_find (second, 2)->routing);
  CU_ASSERT (kq_routes_find (first, 3)->routing == kq_routes_find (second, 3)->routing);
  KqService changed = *kq_service_catalog_by_number (fixture->catalog, 3);
  changed.revision.revision++;
  kq_service_catalog_store (fixture->catalog, &changed);
  KqRoutes *third = snapshot (fixture, second);
  CU_ASSERT (kq_routes_find (second, 3)->routing != kq_routes_find (third, 3)->routing);
  talloc_free (first);
  talloc_free (second);
  for (uint32_t service = 1; service <= SERVICES; service++)
    CU_ASSERT (has_only_own_targets (third, service));
  talloc_free (fixture);
}

static void
test_earlier_incarnation_is_not_live (void)
{
  Fixture *fixture = set_up ();
  KqRoutes *first = snapshot (fixture, NULL);
  KqPeer old = fixture->members[0].peer;
  fixture->members[0].peer.incarnation++;
  KqRoutes *second = snapshot (fixture, first);
  CU_ASSERT (kq_routes_is_live (first, &old));
  CU_ASSERT_FALSE (kq_routes_is_live (second, &old));
  CU_ASSERT (kq_routes_is_live (second, &fixture->members[0].peer));
  CU_ASSERT (kq_routes_find (first, 1)->routing != kq_routes_find (second, 1)->routing);
  talloc_free (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "each service has its own targets", test_each_service_has_its_own_targets },
    { "only changed services are recomputed", test_only_changed_services_are_recomputed },
    { "an earlier incarnation is not live", test_earlier_incarnation_is_not_live },
  };
  return kq_unit_run ("routes", tests, sizeof tests / sizeof tests[0]);
}
