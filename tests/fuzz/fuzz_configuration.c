/* Seeded mutations of a request for a plan, of a store response and of a service document: no
 * parser reads outside its input, and the fields of accepted documents are within their ranges. */

#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "fuzz.h"
#include "kumquat/internal/store_message.h"
#include "kumquat/plan.h"
#include "kumquat/service_document.h"

#define MUTATIONS 20000
#define SEED      41

static const char request[] =
    "{\"intents\":[{\"kind\":\"create\",\"service\":\"scoring\",\"settings\":{\"port\":5683,"
    "\"worth\":{\"marks\":10},\"denied\":{\"bole\":60000}}},{\"kind\":\"drain\",\"service\":"
    "\"scoring\",\"name\":\"kality\",\"value\":5000}]}";
static const char store_response[] =
    "{\"header\":{\"cluster_id\":\"1\",\"revision\":\"7\"},\"kvs\":[{\"key\":\"YQ==\",\"value\":"
    "\"b25l\",\"mod_revision\":\"3\"}],\"more\":true}";

/* Copies the input to a buffer of exactly its size, so that reads past its end are detected. */
static void
check (const uint8_t *bytes, size_t size)
{
  void *scope = talloc_new (NULL);
  char *copy = talloc_size (scope, size > 0 ? size : 1);
  KqError error = { 0 };
  KqService service;
  KqPlanBase *base = talloc_zero (scope, KqPlanBase);
  memcpy (copy, bytes, size);
  const uint8_t *document = (const uint8_t *)copy;
  if (kq_service_parse (document, size, (KqRevision){ 0 }, &service, NULL) == 0 &&
      kq_service_check (&service, &error) < 0)
    {
      fprintf (stderr, "fuzz_configuration: accepted %s\n", error.message);
      exit (1);
    }
  kq_plan_base_parse (document, size, 1, base, NULL);
  kq_plan_document_has_operation (document, size, "x");
  kq_plan_difference (scope, NULL, document, size);
  kq_plan_parse (scope, copy, size, NULL);
  kq_store_etcd_protocol ()->decode (scope, 200, copy, size, NULL);
  KqIntentList *list = kq_intents_parse (scope, copy, size, NULL);
  if (list != NULL)
    {
      KqPlanInput input = { .operation = "00112233445566778899aabbccddeeff", .number = 1 };
      kq_plan_new (scope, &input, list, NULL);
    }
  talloc_free (scope);
}

static void
mutate_all (KqRandom *random, const char *text)
{
  uint8_t bytes[KQ_FUZZ_BYTES] = { 0 };
  size_t size = strlen (text) + 1; /* includes the NUL, which is not mutated */
  for (size_t i = 0; i < size; i++)
    check ((const uint8_t *)text, i);
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      memcpy (bytes, text, size);
      check (bytes, kq_fuzz_mutate (random, bytes, size - 1));
    }
}

int
main (void)
{
  KqRandom random;
  KqError error = { 0 };
  void *scope = talloc_new (NULL);
  KqPlanInput input = { .operation = "00112233445566778899aabbccddeeff", .number = 1 };
  kq_random_seed (&random, SEED);
  KqIntentList *list = kq_intents_parse (scope, request, sizeof request - 1, &error);
  char *plan = list == NULL ? NULL : kq_plan_new (scope, &input, list, &error);
  KqPlanWrites *writes = plan == NULL ? NULL : kq_plan_parse (scope, plan, strlen (plan), &error);
  if (writes == NULL)
    {
      fprintf (stderr, "fuzz_configuration: %s\n", error.message);
      return 1;
    }
  mutate_all (&random, request);
  mutate_all (&random, store_response);
  mutate_all (&random, writes->writes[0].value);
  printf ("fuzz_configuration: %d mutations of 3 texts\n", MUTATIONS);
  talloc_free (scope);
  return 0;
}
