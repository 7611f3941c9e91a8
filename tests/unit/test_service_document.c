#include <CUnit/Basic.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/service_document.h"
#include "unit.h"

static KqService
sample (void)
{
  KqService service = { .number = 3,
                        .name = "scoring",
                        .port = 5683,
                        .slots = 5,
                        .connections = 2000,
                        .deadline_ms = 2000,
                        .slo_permille = 995,
                        .slo_latency_ms = 250,
                        .denied = { "bole" },
                        .weights = { { "scoring-1", 50 } },
                        .worths = { { "marks", 10 } } };
  service.denied_limit_ms[0] = 60000;
  service.denied_count = 1;
  service.weight_count = 1;
  service.worth_count = 1;
  return service;
}

static void
test_round_trip (void)
{
  KqService sent = sample ();
  KqService got;
  KqError error = { 0 };
  char *text = kq_service_format (NULL, &sent, "op-1");
  sent.revision = (KqRevision){ 1, 9 };
  CU_ASSERT (kq_service_parse ((uint8_t *)text, strlen (text), sent.revision, &got, &error) == 0);
  char *again = kq_service_format (text, &got, "op-1");
  CU_ASSERT_STRING_EQUAL (again, text);
  CU_ASSERT (kq_revision_compare (got.revision, sent.revision) == 0);
  CU_ASSERT (strstr (text, "\"operation\":\"op-1\"") != NULL);
  talloc_free (text);
}

static void
test_malformed_documents_are_rejected (void)
{
  KqService service = sample ();
  char *text = kq_service_format (NULL, &service, "op-1");
  size_t size = strlen (text);
  for (size_t i = 0; i < size; i++)
    {
      KqService got;
      KqError error = { 0 };
      CU_ASSERT (kq_service_parse ((uint8_t *)text, i, service.revision, &got, &error) == -1);
      CU_ASSERT (error.kind == KQ_ERROR_INVALID);
    }
  talloc_free (text);
}

static void
test_fields_out_of_range_are_rejected (void)
{
  KqService service = sample ();
  KqError error = { 0 };
  service.slots = 0;
  CU_ASSERT (kq_service_check (&service, &error) == -1);
  CU_ASSERT_STRING_EQUAL (error.message, "slots is 0; set it from 1 to 100000");
  service = sample ();
  service.denied[0][0] = 'B';
  CU_ASSERT (kq_service_check (&service, NULL) == -1);
  service = sample ();
  service.slo_permille = 1000;
  CU_ASSERT (kq_service_check (&service, NULL) == -1);
}

static void
test_drain_limit_weight_and_worth (void)
{
  KqService service = sample ();
  KqMember target = { .weight = 100, .name = "scoring-1", .failure_domain = "bole" };
  CU_ASSERT (!kq_service_admits (&service, &target));
  CU_ASSERT (kq_service_drain_limit_ms (&service, &target) == 60000);
  CU_ASSERT (kq_service_weight (&service, &target) == 50);
  CU_ASSERT (kq_service_worth (&service, "marks") == 10);
  CU_ASSERT (kq_service_worth (&service, "board") == 1);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "round trip", test_round_trip },
    { "malformed documents are rejected", test_malformed_documents_are_rejected },
    { "fields out of range are rejected", test_fields_out_of_range_are_rejected },
    { "drain limit, weight and worth", test_drain_limit_weight_and_worth },
  };
  return kq_unit_run ("service_document", tests, sizeof tests / sizeof tests[0]);
}
