#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/operator_impl.h"
#include "kumquat/internal/scrape.h"
#include "kumquat/internal/service_json.h"
#include "kumquat/plan.h"
#include "kumquat/service_document.h"

/**
 * struct StatusRequest - a status or operation request in progress
 * @api: (borrowed): the interface
 * @request: the HTTP request to respond to
 * @operation: id of the requested operation
 */
typedef struct
{
  KqOperatorApi *api;
  KqHttpRequest *request;
  char operation[KQ_OPERATION_BYTES];
} StatusRequest;

static json_t *
in_force_json (const KqOperatorApi *api, uint32_t number)
{
  KqDocumentStatus *in_force = talloc_zero (NULL, KqDocumentStatus);
  json_t *root = NULL;
  if (api->ops.in_force (number, in_force, api->data) == 0)
    {
      json_t *laggards = json_array ();
      for (unsigned i = 0; i < in_force->laggard_count; i++)
        json_array_append_new (laggards, json_string (in_force->laggards[i]));
      root = json_pack ("{s:I, s:I, s:i, s:i, s:i, s:i, s:o}", "epoch",
                        (json_int_t)in_force->revision.epoch, "revision",
                        (json_int_t)in_force->revision.revision, "balancers",
                        (int)in_force->balancers, "balancers_in_force",
                        (int)in_force->balancers_in_force, "agents", (int)in_force->agents,
                        "agents_in_force", (int)in_force->agents_in_force, "laggards", laggards);
    }
  talloc_free (in_force);
  return root == NULL ? json_null () : root;
}

static const char *
target_state (const KqService *service, const KqMember *target, bool answered)
{
  if (!kq_service_admits (service, target))
    return "drains: the configuration denies it or its failure domain";
  if (target->phase == KQ_PHASE_DRAINING)
    return "drains: its instance is stopping or its target asked for it";
  if (target->phase == KQ_PHASE_STARTING)
    return "starts: its agent waits for its target or the configuration";
  if (target->state == KQ_MEMBER_SUSPECT)
    return "suspected: it misses probes";
  return answered ? "takes new flows" : "takes new flows; its agent did not answer in time";
}

static void
add_number (json_t *item, const json_t *answer, const char *key)
{
  json_t *value = json_object_get (answer, key);
  json_object_set (item, key, json_is_integer (value) ? value : json_null ());
}

static json_t *
target_json (const KqService *service, const KqScrapeResult *result)
{
  const KqMember *target = &result->member;
  json_t *answer = result->answered ? json_loads (result->body, 0, NULL) : NULL;
  json_t *item =
      json_pack ("{s:s, s:s, s:i, s:b, s:s}", "name", target->name, "failure_domain",
                 target->failure_domain, "weight", (int)kq_service_weight (service, target),
                 "admits", kq_service_admits (service, target) && target->phase == KQ_PHASE_SERVING,
                 "why", target_state (service, target, result->answered));
  add_number (item, answer, "flows");
  add_number (item, answer, "running");
  add_number (item, answer, "waiting");
  add_number (item, answer, "revision");
  json_decref (answer);
  return item;
}

/* Lists the draining targets with their remaining flows and requests. */
static json_t *
drains_json (const json_t *targets)
{
  json_t *list = json_array ();
  size_t index;
  json_t *target;
  json_array_foreach (targets, index, target)
  {
    const char *why = json_string_value (json_object_get (target, "why"));
    if (strncmp (why, "drains", 6) != 0)
      continue;
    json_int_t flows = json_integer_value (json_object_get (target, "flows"));
    json_int_t requests = json_integer_value (json_object_get (target, "running")) +
                          json_integer_value (json_object_get (target, "waiting"));
    json_array_append_new (list, json_pack ("{s:O, s:I, s:I, s:b}", "name",
                                            json_object_get (target, "name"), "flows", flows,
                                            "requests", requests, "empty",
                                            json_is_integer (json_object_get (target, "flows")) &&
                                                flows == 0 && requests == 0));
  }
  return list;
}

static json_t *
service_json (const KqOperatorApi *api, const KqService *service, const KqScrapeResult *results,
              unsigned count)
{
  json_t *targets = json_array ();
  for (unsigned i = 0; i < count; i++)
    if (results[i].member.service == service->number)
      json_array_append_new (targets, target_json (service, &results[i]));
  json_t *drains = drains_json (targets);
  return json_pack ("{s:s, s:I, s:i, s:b, s:o, s:o, s:o}", "name", service->name, "number",
                    (json_int_t)service->number, "port", (int)service->port, "removed",
                    service->removed, "in_force", in_force_json (api, service->number), "targets",
                    targets, "drains", drains);
}

static void
on_scraped (const KqScrapeResult *results, unsigned count, void *data)
{
  StatusRequest *status_request = data;
  KqOperatorApi *api = status_request->api;
  const KqServiceCatalog *catalog = api->params.catalog;
  const char *not_ready = api->ops.not_ready (api->data);
  json_t *services = json_array ();
  for (unsigned i = 0; i < kq_service_catalog_count (catalog); i++)
    json_array_append_new (services,
                           service_json (api, kq_service_catalog_at (catalog, i), results, count));
  json_t *root =
      json_pack ("{s:b, s:s, s:o}", "store_reachable", kq_store_is_reachable (api->params.store),
                 "ready", not_ready == NULL ? "ready" : not_ready, "services", services);
  kq_operator_respond_json (status_request->request, 200, root);
  talloc_free (status_request);
}

void
kq_operator_status (KqOperatorApi *api, KqHttpRequest *request)
{
  unsigned count;
  unsigned used = 0;
  StatusRequest *status_request = talloc_zero (api, StatusRequest);
  status_request->api = api;
  status_request->request = request;
  const KqMember *members = api->ops.members (&count, api->data);
  KqMember *agents = talloc_array (status_request, KqMember, count + 1);
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT)
      agents[used++] = members[i];
  kq_scrape (status_request, api->ev, api->http, agents, used, "/v1/target", on_scraped,
             status_request);
}

void
kq_operator_services (KqOperatorApi *api, KqHttpRequest *request)
{
  const KqServiceCatalog *catalog = api->params.catalog;
  json_t *list = json_array ();
  for (unsigned i = 0; i < kq_service_catalog_count (catalog); i++)
    {
      const KqService *service = kq_service_catalog_at (catalog, i);
      json_t *item = kq_service_to_json (service);
      json_object_set_new (item, "epoch", json_integer (service->revision.epoch));
      json_object_set_new (item, "revision", json_integer ((json_int_t)service->revision.revision));
      json_array_append_new (list, item);
    }
  kq_operator_respond_json (request, 200, json_pack ("{s:o}", "services", list));
}

static json_t *
written_json (const StatusRequest *status_request, const KqStoreValue *value, bool *complete)
{
  KqOperatorApi *api = status_request->api;
  uint32_t number = kq_operator_service_number (value->key);
  const KqService *known = kq_service_catalog_by_number (api->params.catalog, number);
  json_t *in_force = in_force_json (api, number);
  KqRevision revision_in_force = {
    .epoch = (uint32_t)json_integer_value (json_object_get (in_force, "epoch")),
    .revision = (uint64_t)json_integer_value (json_object_get (in_force, "revision")),
  };
  KqRevision written = { 1, value->mod_revision };
  KqService service;
  if (kq_service_parse (value->bytes, value->size, written, &service, NULL) == 0)
    written = service.revision;
  json_int_t balancers = json_integer_value (json_object_get (in_force, "balancers"));
  json_int_t in_force_balancers =
      json_integer_value (json_object_get (in_force, "balancers_in_force"));
  json_int_t agents = json_integer_value (json_object_get (in_force, "agents"));
  json_int_t in_force_agents = json_integer_value (json_object_get (in_force, "agents_in_force"));
  if (kq_revision_compare (revision_in_force, written) < 0 || in_force_balancers < balancers ||
      in_force_agents < agents)
    *complete = false;
  return json_pack ("{s:s, s:I, s:I, s:o}", "service", known == NULL ? "?" : known->name, "number",
                    (json_int_t)number, "revision", (json_int_t)value->mod_revision, "in_force",
                    in_force);
}

static void
on_documents (const KqStoreReply *reply, void *data)
{
  StatusRequest *status_request = data;
  json_t *list = json_array ();
  bool complete = true;
  for (unsigned i = 0; i < reply->count; i++)
    {
      const KqStoreValue *value = &reply->values[i];
      if (kq_operator_service_number (value->key) > 0 &&
          kq_plan_document_has_operation (value->bytes, value->size, status_request->operation))
        json_array_append_new (list, written_json (status_request, value, &complete));
    }
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      json_decref (list);
      kq_operator_respond_error (status_request->request, &reply->error);
    }
  else
    {
      bool found = json_array_size (list) > 0;
      kq_operator_respond_json (status_request->request, 200,
                                json_pack ("{s:s, s:b, s:b, s:o}", "operation",
                                           status_request->operation, "written", found, "in_force",
                                           found && complete, "services", list));
    }
  talloc_free (status_request);
}

/* The request lists the service numbers, because reading all documents is too expensive. */
static unsigned
parse_numbers (const char *text, const void *parent, const char **keys)
{
  unsigned count = 0;
  while (text != NULL && *text != '\0' && count < KQ_PLAN_SERVICES_MAX)
    {
      char *end;
      unsigned long number = strtoul (text, &end, 10);
      if (end == text)
        break;
      keys[count++] = talloc_asprintf (parent, KQ_STORE_SERVICES "%lu", number);
      text = *end == ',' ? end + 1 : end;
    }
  return count;
}

void
kq_operator_operation (KqOperatorApi *api, KqHttpRequest *request, const char *operation)
{
  KqError error = { 0 };
  const char *keys[KQ_PLAN_SERVICES_MAX];
  StatusRequest *status_request = talloc_zero (api, StatusRequest);
  status_request->api = api;
  status_request->request = request;
  snprintf (status_request->operation, sizeof status_request->operation, "%s", operation);
  unsigned count =
      parse_numbers (kq_http_query_parameter (request, "services"), status_request, keys);
  if (count == 0)
    {
      kq_error_set (&error, KQ_ERROR_INVALID,
                    "no services; add ?services=NUMBER,NUMBER with the numbers of the plan");
      kq_operator_respond_error (request, &error);
      talloc_free (status_request);
      return;
    }
  kq_store_read_keys (api->params.store, keys, count, on_documents, status_request);
}
