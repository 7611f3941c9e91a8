#include <CUnit/Basic.h>
#include <assert.h>
#include <jansson.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/plan.h"
#include "kumquat/service_document.h"
#include "unit.h"

#define OPERATION "00112233445566778899aabbccddeeff"

/**
 * struct Fixture - plan input with the stored service "scoring" and its four targets
 */
typedef struct
{
  KqPlanBase bases[2];
  KqMember members[4];
  KqTargetWorkload workload[4];
  KqPlanInput input;
} Fixture;

static void
add_target (Fixture *fixture, unsigned index, const char *failure_domain)
{
  KqMember *member = &fixture->members[index];
  KqTargetWorkload *workload = &fixture->workload[index];
  memset (member, 0, sizeof *member);
  member->role = KQ_ROLE_AGENT;
  member->phase = KQ_PHASE_SERVING;
  member->service = 1;
  member->weight = 100;
  snprintf (member->name, sizeof member->name, "scoring-%u", index + 1);
  snprintf (member->failure_domain, sizeof member->failure_domain, "%s", failure_domain);
  member->peer.id = kq_hash_name (member->name);
  snprintf (workload->name, sizeof workload->name, "scoring-%u", index + 1);
  workload->flows = 10;
  workload->running = 2;
  workload->waiting = 0;
}

static Fixture *
set_up (void)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);
  KqService *service = &fixture->bases[0].service;
  *service = (KqService){ .number = 1,
                          .revision = { KQ_EPOCH_FIRST, 7 },
                          .name = "scoring",
                          .port = 5683,
                          .slots = 5,
                          .connections = 2000,
                          .deadline_ms = 2000,
                          .slo_permille = 990,
                          .slo_latency_ms = 500 };
  add_target (fixture, 0, "bole");
  add_target (fixture, 1, "bole");
  add_target (fixture, 2, "kality");
  add_target (fixture, 3, "akaki");
  fixture->input = (KqPlanInput){ .bases = fixture->bases,
                                  .base_count = 1,
                                  .members = fixture->members,
                                  .member_count = 4,
                                  .workload = fixture->workload,
                                  .workload_count = 4,
                                  .operation = OPERATION,
                                  .number = 500 };
  return fixture;
}

static char *
plan (Fixture *fixture, const char *request, KqError *error)
{
  KqIntentList *list = kq_intents_parse (fixture, request, strlen (request), error);
  return list == NULL ? NULL : kq_plan_new (fixture, &fixture->input, list, error);
}

static json_t *
plan_json (Fixture *fixture, const char *request)
{
  KqError error = { 0 };
  char *text = plan (fixture, request, &error);
  assert (text != NULL);
  return json_loads (text, 0, NULL);
}

static const char *
json_text (const json_t *item, const char *key)
{
  const char *text = json_string_value (json_object_get (item, key));
  return text == NULL ? "" : text;
}

static const char *
text_at (json_t *root, const char *list, unsigned index, const char *key)
{
  json_t *item = json_array_get (json_object_get (root, list), index);
  return json_text (item, key);
}

static json_int_t
effect (json_t *root, const char *key)
{
  json_t *item = json_array_get (json_object_get (root, "effects"), 0);
  return json_integer_value (json_object_get (item, key));
}

static void
test_drain_names_targets_buckets_and_capacity (void)
{
  Fixture *fixture = set_up ();
  json_t *root = plan_json (fixture, "{\"intents\":[{\"kind\":\"drain\",\"service\":\"scoring\","
                                     "\"name\":\"bole\",\"value\":60000}]}");
  json_t *effects = json_array_get (json_object_get (root, "effects"), 0);
  json_t *target = json_array_get (json_object_get (effects, "targets"), 0);
  json_t *domain = json_array_get (json_object_get (effects, "capacity"), 0);
  CU_ASSERT_STRING_EQUAL (json_text (target, "effect"), "drains");
  CU_ASSERT (json_integer_value (json_object_get (target, "buckets_before")) > 0);
  CU_ASSERT (json_integer_value (json_object_get (target, "buckets_after")) == 0);
  CU_ASSERT (json_integer_value (json_object_get (domain, "slots_before")) == 10);
  CU_ASSERT (json_integer_value (json_object_get (domain, "slots_after")) == 0);
  CU_ASSERT (effect (root, "flows_open") == 40 && effect (root, "requests_in_progress") == 8);
  CU_ASSERT (effect (root, "drain_within_ms") == 60000);
  CU_ASSERT (effect (root, "buckets_moved") > 60 && effect (root, "buckets_moved") < 200);
  CU_ASSERT (json_array_size (json_object_get (root, "refusals")) == 0);
  CU_ASSERT (json_array_size (json_object_get (root, "warnings")) == 3);
  json_decref (root);
  talloc_free (fixture);
}

/**
 * struct RequestCase - a request and the expected refusal or error
 */
typedef struct
{
  const char *request;
  const char *what;
} RequestCase;

static void
test_guarantee_violations_are_refused_with_a_remedy (void)
{
  static const RequestCase refusals[] = {
    { "{\"intents\":[{\"kind\":\"remove\",\"service\":\"scoring\"}]}",
      "removing the service would break its open flows" },
    { "{\"services\":{}}", "removing the service would break its open flows" },
    { "{\"intents\":[{\"kind\":\"change\",\"service\":\"scoring\",\"settings\":{\"port\":1}}]}",
      "another port would break the service's open flows" },
    { "{\"intents\":[{\"kind\":\"change\",\"service\":\"scoring\",\"settings\":{\"protocol\":"
      "\"udp\"}}]}",
      "another protocol would change the promises of open flows" },
    { "{\"intents\":[{\"kind\":\"drain\",\"service\":\"scoring\",\"name\":\"bole\"},{\"kind\":"
      "\"drain\",\"service\":\"scoring\",\"name\":\"kality\"},{\"kind\":\"drain\",\"service\":"
      "\"scoring\",\"name\":\"akaki\"}]}",
      "no target would be left to take new flows" },
    { "{\"intents\":[{\"kind\":\"drain\",\"service\":\"scoring\",\"name\":\"bole\",\"value\":"
      "1999}]}",
      "the drain limit is shorter than the deadline of requests in progress" },
    { "{\"intents\":[{\"kind\":\"create\",\"service\":\"media\",\"settings\":{\"port\":5683}}]}",
      "port 5683 belongs to service 'scoring'" },
  };
  for (unsigned i = 0; i < sizeof refusals / sizeof refusals[0]; i++)
    {
      Fixture *fixture = set_up ();
      KqError error = { 0 };
      char *text = plan (fixture, refusals[i].request, &error);
      assert (text != NULL);
      json_t *root = json_loads (text, 0, NULL);
      CU_ASSERT_STRING_EQUAL (text_at (root, "refusals", 0, "what"), refusals[i].what);
      CU_ASSERT (strlen (text_at (root, "refusals", 0, "remedy")) > 0);
      CU_ASSERT (json_array_size (json_object_get (root, "writes")) == 0);
      CU_ASSERT (kq_plan_parse (fixture, text, strlen (text), &error) == NULL);
      CU_ASSERT (error.kind == KQ_ERROR_DENIED);
      json_decref (root);
      talloc_free (fixture);
    }
}

static void
test_invalid_requests_are_errors (void)
{
  static const RequestCase invalid_requests[] = {
    { "{", "request is not JSON" },
    { "{\"intents\":[]}", "a plan takes 1 to 64 intents" },
    { "{\"intents\":[{\"kind\":\"dance\",\"service\":\"scoring\"}]}", "intent 'dance' is unknown" },
    { "{\"intents\":[{\"kind\":\"remove\",\"service\":\"Media\"}]}",
      "name 'Media' is not allowed" },
    { "{\"intents\":[{\"kind\":\"remove\",\"service\":\"media\"}]}",
      "service 'media' does not exist" },
    { "{\"intents\":[{\"kind\":\"create\",\"service\":\"scoring\"}]}", "service 'scoring' exists" },
    { "{\"intents\":[{\"kind\":\"create\",\"service\":\"media\"}]}", "port is 0" },
    { "{\"intents\":[{\"kind\":\"join\",\"service\":\"scoring\",\"name\":\"bole\"}]}",
      "'bole' of service 'scoring' is not drained" },
    { "{\"intents\":[{\"kind\":\"undo\",\"service\":\"media\"}]}",
      "service 'media' has no change" },
    { "{\"services\":{\"scoring\":{\"colour\":1}}}", "setting 'colour' is unknown" },
    { "{\"services\":{\"scoring\":{\"slots\":-1}}}", "slots is not a whole number" },
    { "{\"intents\":[{\"kind\":\"move\",\"service\":\"scoring\",\"name\":\"x\",\"value\":5}]}",
      "no target of service 'scoring' runs in failure domain 'x'" },
  };
  for (unsigned i = 0; i < sizeof invalid_requests / sizeof invalid_requests[0]; i++)
    {
      Fixture *fixture = set_up ();
      KqError error = { 0 };
      CU_ASSERT (plan (fixture, invalid_requests[i].request, &error) == NULL);
      CU_ASSERT (strncmp (error.message, invalid_requests[i].what,
                          strlen (invalid_requests[i].what)) == 0);
      talloc_free (fixture);
    }
}

static void
test_complete_configuration_is_planned_as_the_difference (void)
{
  Fixture *fixture = set_up ();
  json_t *root = plan_json (fixture, "{\"services\":{\"scoring\":{\"port\":5683,\"slots\":6},"
                                     "\"media\":{\"port\":5684,\"worth\":{\"photos\":2}}}}");
  json_t *changes = json_object_get (root, "changes");
  json_t *fields = json_object_get (json_array_get (changes, 0), "fields");
  CU_ASSERT (json_array_size (changes) == 2 && json_array_size (fields) == 1);
  CU_ASSERT_STRING_EQUAL (json_text (json_array_get (fields, 0), "to"), "6");
  CU_ASSERT_STRING_EQUAL (text_at (root, "changes", 1, "what"), "create");
  CU_ASSERT_STRING_EQUAL (text_at (root, "writes", 1, "key"), "/kumquat/v1/services/500");
  CU_ASSERT_STRING_EQUAL (text_at (root, "writes", 2, "key"), "/kumquat/v1/claims/name/media");
  CU_ASSERT_STRING_EQUAL (text_at (root, "writes", 3, "key"), "/kumquat/v1/claims/port/5684");
  json_decref (root);
  talloc_free (fixture);
}

static void
test_confirmed_writes_and_undo (void)
{
  Fixture *fixture = set_up ();
  KqError error = { 0 };
  char *text = plan (fixture,
                     "{\"intents\":[{\"kind\":\"weight\",\"service\":\"scoring\",\"name\":"
                     "\"scoring-1\",\"value\":50}]}",
                     &error);
  KqPlanWrites *writes = kq_plan_parse (fixture, text, strlen (text), &error);
  CU_ASSERT_FATAL (writes != NULL && writes->count == 1);
  const uint8_t *value = (const uint8_t *)writes->writes[0].value;
  size_t size = strlen (writes->writes[0].value);
  CU_ASSERT (writes->writes[0].expected == 7);
  CU_ASSERT (kq_plan_document_has_operation (value, size, OPERATION) &&
             !kq_plan_document_has_operation (value, size, "other"));
  CU_ASSERT_STRING_EQUAL (kq_plan_difference (fixture, writes->writes[0].base, value, size),
                          "weight.scoring-1: '' -> '50'");
  CU_ASSERT (kq_plan_base_parse (value, size, 8, &fixture->bases[0], &error) == 0);
  CU_ASSERT (fixture->bases[0].has_previous && fixture->bases[0].service.weight_count == 1);
  json_t *root = plan_json (fixture, "{\"intents\":[{\"kind\":\"undo\",\"service\":\"scoring\"}]}");
  json_t *fields =
      json_object_get (json_array_get (json_object_get (root, "changes"), 0), "fields");
  CU_ASSERT_STRING_EQUAL (json_text (json_array_get (fields, 0), "from"), "50");
  json_decref (root);
  talloc_free (fixture);
}

/* Plans a change while revision @in_force is in force; Return: the revision of the document that
 * the plan would write. */
static KqRevision
revision_written (Fixture *fixture, KqRevision in_force, size_t *warnings)
{
  static const char request[] =
      "{\"intents\":[{\"kind\":\"weight\",\"service\":\"scoring\",\"name\":"
      "\"scoring-1\",\"value\":50}]}";
  KqError error = { 0 };
  KqService service = fixture->bases[0].service;
  const KqService *services_in_force[] = { &service };
  service.revision = in_force;
  fixture->input.services_in_force = services_in_force;
  fixture->input.services_in_force_count = 1;
  char *text = plan (fixture, request, &error);
  json_t *root = json_loads (text, 0, NULL);
  *warnings = json_array_size (json_object_get (root, "warnings"));
  json_decref (root);
  KqPlanWrites *writes = kq_plan_parse (fixture, text, strlen (text), &error);
  KqPlanBase written;
  const char *value = writes->writes[0].value;
  CU_ASSERT_FATAL (
      kq_plan_base_parse ((const uint8_t *)value, strlen (value), 8, &written, &error) == 0);
  return written.service.revision;
}

static void
test_change_after_a_store_restore_starts_an_epoch (void)
{
  Fixture *fixture = set_up ();
  size_t warnings;
  KqRevision before = { KQ_EPOCH_FIRST, 7 };
  KqRevision written = revision_written (fixture, before, &warnings);
  CU_ASSERT (written.epoch == KQ_EPOCH_FIRST && warnings == 0);
  KqRevision newer = { KQ_EPOCH_FIRST, 50 };
  written = revision_written (fixture, newer, &warnings);
  CU_ASSERT (written.epoch == KQ_EPOCH_FIRST + 1 && warnings == 1);
  CU_ASSERT (kq_revision_compare (written, newer) > 0);
  KqRevision later = { 4, 3 };
  written = revision_written (fixture, later, &warnings);
  CU_ASSERT (written.epoch == 5 && kq_revision_compare (written, later) > 0);
  talloc_free (fixture);
}

static void
test_altered_plan_is_refused (void)
{
  Fixture *fixture = set_up ();
  KqError error = { 0 };
  char *text = plan (fixture,
                     "{\"intents\":[{\"kind\":\"worth\",\"service\":\"scoring\",\"name\":"
                     "\"marks\",\"value\":50}]}",
                     &error);
  char *value = strstr (text, "\"marks\":50");
  assert (value != NULL);
  value[strlen ("\"marks\":")] = '6';
  CU_ASSERT (kq_plan_parse (fixture, text, strlen (text), &error) == NULL);
  CU_ASSERT_STRING_EQUAL (error.message, "the plan was altered after it was made; plan again");
  talloc_free (fixture);
}

static void
test_name_of_a_removed_service_gets_a_new_number (void)
{
  Fixture *fixture = set_up ();
  fixture->bases[0].service.removed = true;
  json_t *root = plan_json (fixture, "{\"intents\":[{\"kind\":\"create\",\"service\":\"scoring\","
                                     "\"settings\":{\"port\":5683}}]}");
  CU_ASSERT_STRING_EQUAL (text_at (root, "writes", 0, "key"), "/kumquat/v1/services/500");
  json_decref (root);
  talloc_free (fixture);
}

static void
test_target_drained_by_configuration_joins_again (void)
{
  Fixture *fixture = set_up ();
  KqService *service = &fixture->bases[0].service;
  snprintf (service->denied[0], KQ_NAME_BYTES, "akaki");
  service->denied_count = 1;
  fixture->members[3].phase = KQ_PHASE_DRAINING;
  json_t *root = plan_json (fixture, "{\"intents\":[{\"kind\":\"join\",\"service\":\"scoring\","
                                     "\"name\":\"akaki\"}]}");
  json_t *effects = json_array_get (json_object_get (root, "effects"), 0);
  json_t *target = json_array_get (json_object_get (effects, "targets"), 3);
  CU_ASSERT_STRING_EQUAL (json_text (target, "effect"), "joins");
  CU_ASSERT (effect (root, "buckets_moved") > 0);
  json_decref (root);
  talloc_free (fixture);
}

static void
test_partial_and_complete_moves (void)
{
  Fixture *fixture = set_up ();
  json_t *half = plan_json (fixture, "{\"intents\":[{\"kind\":\"move\",\"service\":\"scoring\","
                                     "\"name\":\"bole\",\"value\":50}]}");
  json_t *all = plan_json (fixture, "{\"intents\":[{\"kind\":\"move\",\"service\":\"scoring\","
                                    "\"name\":\"bole\",\"value\":100}]}");
  CU_ASSERT (effect (half, "buckets_moved") > 0);
  CU_ASSERT (effect (half, "buckets_moved") < effect (all, "buckets_moved"));
  json_decref (half);
  json_decref (all);
  talloc_free (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "drain names targets, buckets and capacity", test_drain_names_targets_buckets_and_capacity },
    { "changes that violate a guarantee are refused with a remedy",
      test_guarantee_violations_are_refused_with_a_remedy },
    { "invalid requests are errors", test_invalid_requests_are_errors },
    { "a complete configuration is planned as the difference",
      test_complete_configuration_is_planned_as_the_difference },
    { "confirmed writes and undo", test_confirmed_writes_and_undo },
    { "a change after a store restore starts a new epoch",
      test_change_after_a_store_restore_starts_an_epoch },
    { "altered plan is refused", test_altered_plan_is_refused },
    { "name of a removed service gets a new number",
      test_name_of_a_removed_service_gets_a_new_number },
    { "a target drained by configuration joins again",
      test_target_drained_by_configuration_joins_again },
    { "partial and complete moves of a failure domain", test_partial_and_complete_moves },
  };
  return kq_unit_run ("plan", tests, sizeof tests / sizeof tests[0]);
}
