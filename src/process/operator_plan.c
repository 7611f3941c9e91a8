/* Plans are computed from the documents in the store, not from the configuration in force in this
 * process. First the claims on the names and ports of the intents are read. Claims and the local
 * catalogue give the numbers of the services, whose documents are read next. Finally the agents of
 * these services are asked for their flows and requests. */

#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/operator_impl.h"
#include "kumquat/internal/scrape.h"
#include "kumquat/log.h"
#include "kumquat/plan.h"
#include "kumquat/service_document.h"

#define NUMBER_FIRST 1000 /* smaller numbers are reserved for configurations written by hand */
#define NUMBER_RANGE 2000000000u

/**
 * struct PlanRequest - a plan request in progress
 * @api: (borrowed): the interface
 * @request: the HTTP request to respond to
 * @list: the intents
 * @bases: (array): stored services
 * @base_count: length of @bases
 * @claims: (array): stored claims
 * @claim_count: length of @claims
 * @numbers: (array): numbers of the services to read
 * @number_count: length of @numbers
 * @workload: (array): load of the targets whose agent answered
 * @workload_count: length of @workload
 */
typedef struct
{
  KqOperatorApi *api;
  KqHttpRequest *request;
  KqIntentList *list;
  KqPlanBase *bases;
  unsigned base_count;
  KqPlanClaim *claims;
  unsigned claim_count;
  uint32_t *numbers;
  unsigned number_count;
  KqTargetWorkload *workload;
  unsigned workload_count;
} PlanRequest;

static void
fail (PlanRequest *plan_request, const KqError *error)
{
  kq_operator_respond_error (plan_request->request, error);
  talloc_free (plan_request);
}

static void
add_number (PlanRequest *plan_request, uint32_t number)
{
  for (unsigned i = 0; i < plan_request->number_count; i++)
    if (plan_request->numbers[i] == number)
      return;
  plan_request->numbers = talloc_realloc (plan_request, plan_request->numbers, uint32_t,
                                          plan_request->number_count + 1);
  plan_request->numbers[plan_request->number_count++] = number;
}

static int
add_base (PlanRequest *plan_request, const KqStoreValue *value, KqError *error)
{
  plan_request->bases =
      talloc_realloc (plan_request, plan_request->bases, KqPlanBase, plan_request->base_count + 1);
  KqError parse_error = { 0 };
  if (kq_plan_base_parse (value->bytes, value->size, value->mod_revision,
                          &plan_request->bases[plan_request->base_count], &parse_error) < 0)
    return kq_error_set (error, KQ_ERROR_SYSTEM, "key %.60s of the store: %.150s", value->key,
                         parse_error.message);
  plan_request->base_count++;
  return 0;
}

static void
add_claim (PlanRequest *plan_request, const KqStoreValue *value)
{
  plan_request->claims = talloc_realloc (plan_request, plan_request->claims, KqPlanClaim,
                                         plan_request->claim_count + 1);
  KqPlanClaim *claim = &plan_request->claims[plan_request->claim_count++];
  claim->key = talloc_strdup (plan_request, value->key);
  claim->mod_revision = value->mod_revision;
  json_t *root = json_loadb ((const char *)value->bytes, value->size, 0, NULL);
  uint32_t number = (uint32_t)json_integer_value (json_object_get (root, "number"));
  if (number > 0 &&
      strncmp (value->key, KQ_STORE_CLAIMS "name/", strlen (KQ_STORE_CLAIMS "name/")) == 0)
    add_number (plan_request, number);
  json_decref (root);
}

static int
add_values (PlanRequest *plan_request, const KqStoreReply *reply, KqError *error)
{
  for (unsigned i = 0; i < reply->count; i++)
    {
      const KqStoreValue *value = &reply->values[i];
      if (kq_operator_service_number (value->key) > 0 && add_base (plan_request, value, error) < 0)
        return -1;
      if (strncmp (value->key, KQ_STORE_CLAIMS, strlen (KQ_STORE_CLAIMS)) == 0)
        add_claim (plan_request, value);
    }
  return 0;
}

static void
respond_plan (PlanRequest *plan_request)
{
  KqOperatorApi *api = plan_request->api;
  const KqServiceCatalog *catalog = api->params.catalog;
  unsigned service_count = kq_service_catalog_count (catalog);
  const KqService **in_force = talloc_array (plan_request, const KqService *, service_count + 1);
  for (unsigned i = 0; i < service_count; i++)
    in_force[i] = kq_service_catalog_at (catalog, i);
  uint8_t random[16];
  char operation[KQ_OPERATION_BYTES];
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (operation, sizeof operation, random, sizeof random);
  KqPlanInput input = { .bases = plan_request->bases,
                        .base_count = plan_request->base_count,
                        .claims = plan_request->claims,
                        .claim_count = plan_request->claim_count,
                        .workload = plan_request->workload,
                        .workload_count = plan_request->workload_count,
                        .services_in_force = in_force,
                        .services_in_force_count = service_count,
                        .operation = operation };
  input.number = NUMBER_FIRST + (uint32_t)kq_random_below (&api->random, NUMBER_RANGE);
  input.members = api->ops.members (&input.member_count, api->data);
  KqError error = { 0 };
  char *text = kq_plan_new (plan_request, &input, plan_request->list, &error);
  if (text == NULL)
    {
      fail (plan_request, &error);
      return;
    }
  kq_log (LOG_INFO, "plan-made", "operation=%s", operation);
  text = talloc_strdup_append (text, "\n");
  kq_http_respond (plan_request->request, 200, "application/json", text, strlen (text));
  talloc_free (plan_request);
}

static void
add_workload (PlanRequest *plan_request, const KqScrapeResult *result)
{
  if (!result->answered)
    return;
  json_t *root = json_loads (result->body, 0, NULL);
  plan_request->workload = talloc_realloc (plan_request, plan_request->workload, KqTargetWorkload,
                                           plan_request->workload_count + 1);
  KqTargetWorkload *workload = &plan_request->workload[plan_request->workload_count++];
  memcpy (workload->name, result->member.name, sizeof workload->name);
  workload->flows = (uint64_t)json_integer_value (json_object_get (root, "flows"));
  workload->running = (uint64_t)json_integer_value (json_object_get (root, "running"));
  workload->waiting = (uint64_t)json_integer_value (json_object_get (root, "waiting"));
  json_decref (root);
}

static void
on_scraped (const KqScrapeResult *results, unsigned count, void *data)
{
  PlanRequest *plan_request = data;
  for (unsigned i = 0; i < count; i++)
    add_workload (plan_request, &results[i]);
  respond_plan (plan_request);
}

static bool
is_agent_of_base (const PlanRequest *plan_request, const KqMember *member)
{
  for (unsigned i = 0; i < plan_request->base_count; i++)
    if (plan_request->bases[i].service.number == member->service)
      return member->role == KQ_ROLE_AGENT;
  return false;
}

static void
scrape_agents (PlanRequest *plan_request)
{
  KqOperatorApi *api = plan_request->api;
  unsigned count;
  unsigned used = 0;
  const KqMember *members = api->ops.members (&count, api->data);
  KqMember *agents = talloc_array (plan_request, KqMember, count + 1);
  for (unsigned i = 0; i < count; i++)
    if (is_agent_of_base (plan_request, &members[i]))
      agents[used++] = members[i];
  kq_scrape (plan_request, api->ev, api->http, agents, used, "/v1/target", on_scraped,
             plan_request);
}

static void
on_documents (const KqStoreReply *reply, void *data)
{
  PlanRequest *plan_request = data;
  KqError error = reply->error;
  if (error.kind != KQ_ERROR_NONE || add_values (plan_request, reply, &error) < 0)
    fail (plan_request, &error);
  else
    scrape_agents (plan_request);
}

static void
read_documents (PlanRequest *plan_request)
{
  const char **keys = talloc_array (plan_request, const char *, plan_request->number_count + 1);
  for (unsigned i = 0; i < plan_request->number_count; i++)
    keys[i] =
        talloc_asprintf (plan_request, KQ_STORE_SERVICES "%" PRIu32, plan_request->numbers[i]);
  unsigned count = plan_request->number_count < KQ_STORE_READ_KEYS_MAX ? plan_request->number_count
                                                                       : KQ_STORE_READ_KEYS_MAX;
  kq_store_read_keys (plan_request->api->params.store, keys, count, on_documents, plan_request);
}

static void
on_claims (const KqStoreReply *reply, void *data)
{
  PlanRequest *plan_request = data;
  KqError error = reply->error;
  if (error.kind != KQ_ERROR_NONE || add_values (plan_request, reply, &error) < 0)
    fail (plan_request, &error);
  else
    read_documents (plan_request);
}

static void
read_claims (PlanRequest *plan_request)
{
  const KqIntentList *list = plan_request->list;
  const char **keys = talloc_array (plan_request, const char *, 2 * list->count);
  unsigned count = 0;
  for (unsigned i = 0; i < list->count && count + 2 <= KQ_STORE_READ_KEYS_MAX; i++)
    {
      const KqIntent *intent = &list->intents[i];
      const KqService *known =
          kq_service_catalog_by_name (plan_request->api->params.catalog, intent->service);
      if (known != NULL)
        add_number (plan_request, known->number);
      keys[count++] = talloc_asprintf (plan_request, KQ_STORE_CLAIMS "name/%s", intent->service);
      if (intent->fields & KQ_FIELD_PORT)
        keys[count++] =
            talloc_asprintf (plan_request, KQ_STORE_CLAIMS "port/%u", intent->settings.port);
    }
  kq_store_read_keys (plan_request->api->params.store, keys, count, on_claims, plan_request);
}

void
kq_operator_plan (KqOperatorApi *api, KqHttpRequest *request, const char *body, size_t size)
{
  KqError error = { 0 };
  PlanRequest *plan_request = talloc_zero (api, PlanRequest);
  plan_request->api = api;
  plan_request->request = request;
  plan_request->list = kq_intents_parse (plan_request, body, size, &error);
  if (plan_request->list == NULL)
    fail (plan_request, &error);
  else if (plan_request->list->is_complete)
    kq_store_read (api->params.store, KQ_STORE_PREFIX, on_documents, plan_request);
  else
    read_claims (plan_request);
}
