#include <CUnit/Basic.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/service_catalog.h"
#include "unit.h"

static KqService
make_service (uint32_t number, uint64_t revision, const char *name)
{
  KqService service = { .number = number, .revision = { 1, revision } };
  snprintf (service.name, sizeof service.name, "%s", name);
  return service;
}

static void
test_older_document_does_not_replace_newer (void)
{
  KqServiceCatalog *catalog = kq_service_catalog_new (NULL);
  KqService newer = make_service (3, 9, "new");
  KqService older = make_service (3, 8, "old");
  KqService restored = make_service (3, 1, "restored");
  restored.revision.epoch = 2;
  CU_ASSERT (kq_service_catalog_store (catalog, &newer) == 1);
  CU_ASSERT (kq_service_catalog_store (catalog, &older) == 0);
  CU_ASSERT (kq_service_catalog_store (catalog, &newer) == 0);
  CU_ASSERT_STRING_EQUAL (kq_service_catalog_by_number (catalog, 3)->name, "new");
  CU_ASSERT (kq_service_catalog_store (catalog, &restored) == 1);
  CU_ASSERT_STRING_EQUAL (kq_service_catalog_by_number (catalog, 3)->name, "restored");
  talloc_free (catalog);
}

static void
test_order_and_removal (void)
{
  KqServiceCatalog *catalog = kq_service_catalog_new (NULL);
  const uint32_t numbers[] = { 5, 1, 9, 3 };
  for (unsigned i = 0; i < 4; i++)
    {
      KqService service = make_service (numbers[i], 1, "s");
      service.removed = numbers[i] != 9;
      kq_service_catalog_store (catalog, &service);
    }
  CU_ASSERT (kq_service_catalog_count (catalog) == 4);
  for (unsigned i = 1; i < 4; i++)
    CU_ASSERT (kq_service_catalog_at (catalog, i - 1)->number <
               kq_service_catalog_at (catalog, i)->number);
  CU_ASSERT (kq_service_catalog_by_name (catalog, "s")->number == 9);
  CU_ASSERT_PTR_NULL (kq_service_catalog_by_number (catalog, 4));
  talloc_free (catalog);
}

static void
test_view_contains_only_agents_of_service (void)
{
  KqMember members[3] = { { .role = KQ_ROLE_AGENT, .service = 1 },
                          { .role = KQ_ROLE_BALANCER, .service = 1 },
                          { .role = KQ_ROLE_AGENT, .service = 2 } };
  KqService service = make_service (1, 1, "s");
  KqServiceView view;
  void *context = talloc_new (NULL);
  CU_ASSERT (kq_service_view_collect (context, &service, members, 3, &view) == 0);
  CU_ASSERT (view.count == 1 && view.targets[0].service == 1);
  talloc_free (context);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "an older document does not replace a newer one",
      test_older_document_does_not_replace_newer },
    { "order and removal", test_order_and_removal },
    { "a view contains only agents of its service", test_view_contains_only_agents_of_service },
  };
  return kq_unit_run ("service catalog", tests, sizeof tests / sizeof tests[0]);
}
