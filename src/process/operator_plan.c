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
#define NUMBER_SPAN  2000000000u

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
 * @work: (array): load of the targets whose agent answered
 * @work_count: length of @work
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
  KqTargetWork *work;
  unsigned work_count;
} PlanRequest;

static void
fail (PlanRequest *planning, const KqError *error)
{
  kq_operator_fail (planning->request, error);
  talloc_free (planning);
}

static void
add_number (PlanRequest *planning, uint32_t number)
{
  for (unsigned i = 0; i < planning->number_count; i++)
    if (planning->numbers[i] == number)
      return;
  planning->numbers =
      talloc_realloc (planning, planning->numbers, uint32_t, planning->number_count + 1);
  planning->numbers[planning->number_count++] = number;
}

static int
add_base (PlanRequest *planning, const KqStoreValue *value, KqError *error)
{
  planning->bases =
      talloc_realloc (planning, planning->bases, KqPlanBase, planning->base_count + 1);
  KqError why = { 0 };
  if (kq_plan_base_parse (value->bytes, value->size, value->mod_revision,
                          &planning->bases[planning->base_count], &why) < 0)
    return kq_error_set (error, KQ_ERROR_SYSTEM, "key %.60s of the store: %.150s", value->key,
                         why.message);
  planning->base_count++;
  return 0;
}

static void
add_claim (PlanRequest *planning, const KqStoreValue *value)
{
  planning->claims =
      talloc_realloc (planning, planning->claims, KqPlanClaim, planning->claim_count + 1);
  KqPlanClaim *claim = &planning->claims[planning->claim_count++];
  claim->key = talloc_strdup (planning, value->key);
  claim->mod_revision = value->mod_revision;
  json_t *root = json_loadb ((const char *)value->bytes, value->size, 0, NULL);
  uint32_t number = (uint32_t)json_integer_value (json_object_get (root, "number"));
  if (number > 0 &&
      strncmp (value->key, KQ_STORE_CLAIMS "name/", strlen (KQ_STORE_CLAIMS "name/")) == 0)
    add_number (planning, number);
  json_decref (root);
}

static int
add_values (PlanRequest *planning, const KqStoreReply *reply, KqError *error)
{
  for (unsigned i = 0; i < reply->count; i++)
    {
      const KqStoreValue *value = &reply->values[i];
      if (kq_operator_number (value->key) > 0 && add_base (planning, value, error) < 0)
        return -1;
      if (strncmp (value->key, KQ_STORE_CLAIMS, strlen (KQ_STORE_CLAIMS)) == 0)
        add_claim (planning, value);
    }
  return 0;
}

static void
respond_plan (PlanRequest *planning)
{
  KqOperatorApi *api = planning->api;
  const KqServiceCatalog *catalog = api->params.catalog;
  unsigned service_count = kq_service_catalog_count (catalog);
  const KqService **in_force = talloc_array (planning, const KqService *, service_count + 1);
  for (unsigned i = 0; i < service_count; i++)
    in_force[i] = kq_service_catalog_at (catalog, i);
  uint8_t random[16];
  char operation[KQ_OPERATION_BYTES];
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (operation, sizeof operation, random, sizeof random);
  KqPlanInput input = { .bases = planning->bases,
                        .base_count = planning->base_count,
                        .claims = planning->claims,
                        .claim_count = planning->claim_count,
                        .work = planning->work,
                        .work_count = planning->work_count,
                        .others = in_force,
                        .other_count = service_count,
                        .operation = operation };
  input.number = NUMBER_FIRST + (uint32_t)kq_random_below (&api->random, NUMBER_SPAN);
  input.members = api->ops.members (&input.member_count, api->data);
  KqError error = { 0 };
  char *text = kq_plan_new (planning, &input, planning->list, &error);
  if (text == NULL)
    {
      fail (planning, &error);
      return;
    }
  kq_log (LOG_INFO, "plan-made", "operation=%s", operation);
  text = talloc_strdup_append (text, "\n");
  kq_http_respond (planning->request, 200, "application/json", text, strlen (text));
  talloc_free (planning);
}

static void
add_work (PlanRequest *planning, const KqScrapeResult *result)
{
  if (!result->answered)
    return;
  json_t *root = json_loads (result->body, 0, NULL);
  planning->work =
      talloc_realloc (planning, planning->work, KqTargetWork, planning->work_count + 1);
  KqTargetWork *work = &planning->work[planning->work_count++];
  memcpy (work->name, result->member.name, sizeof work->name);
  work->flows = (uint64_t)json_integer_value (json_object_get (root, "flows"));
  work->running = (uint64_t)json_integer_value (json_object_get (root, "running"));
  work->waiting = (uint64_t)json_integer_value (json_object_get (root, "waiting"));
  json_decref (root);
}

static void
on_scraped (const KqScrapeResult *results, unsigned count, void *data)
{
  PlanRequest *planning = data;
  for (unsigned i = 0; i < count; i++)
    add_work (planning, &results[i]);
  respond_plan (planning);
}

static bool
is_touched (const PlanRequest *planning, const KqMember *member)
{
  for (unsigned i = 0; i < planning->base_count; i++)
    if (planning->bases[i].service.number == member->service)
      return member->role == KQ_ROLE_AGENT;
  return false;
}

static void
ask_agents (PlanRequest *planning)
{
  KqOperatorApi *api = planning->api;
  unsigned count;
  unsigned used = 0;
  const KqMember *members = api->ops.members (&count, api->data);
  KqMember *agents = talloc_array (planning, KqMember, count + 1);
  for (unsigned i = 0; i < count; i++)
    if (is_touched (planning, &members[i]))
      agents[used++] = members[i];
  kq_scrape (planning, api->ev, api->http, agents, used, "/v1/target", on_scraped, planning);
}

static void
on_documents (const KqStoreReply *reply, void *data)
{
  PlanRequest *planning = data;
  KqError error = reply->error;
  if (error.kind != KQ_ERROR_NONE || add_values (planning, reply, &error) < 0)
    fail (planning, &error);
  else
    ask_agents (planning);
}

static void
read_documents (PlanRequest *planning)
{
  const char **keys = talloc_array (planning, const char *, planning->number_count + 1);
  for (unsigned i = 0; i < planning->number_count; i++)
    keys[i] = talloc_asprintf (planning, KQ_STORE_SERVICES "%" PRIu32, planning->numbers[i]);
  unsigned count =
      planning->number_count < KQ_STORE_KEYS_MAX ? planning->number_count : KQ_STORE_KEYS_MAX;
  kq_store_read_keys (planning->api->params.store, keys, count, on_documents, planning);
}

static void
on_claims (const KqStoreReply *reply, void *data)
{
  PlanRequest *planning = data;
  KqError error = reply->error;
  if (error.kind != KQ_ERROR_NONE || add_values (planning, reply, &error) < 0)
    fail (planning, &error);
  else
    read_documents (planning);
}

static void
read_claims (PlanRequest *planning)
{
  const KqIntentList *list = planning->list;
  const char **keys = talloc_array (planning, const char *, 2 * list->count);
  unsigned count = 0;
  for (unsigned i = 0; i < list->count && count + 2 <= KQ_STORE_KEYS_MAX; i++)
    {
      const KqIntent *intent = &list->intents[i];
      const KqService *known =
          kq_service_catalog_by_name (planning->api->params.catalog, intent->service);
      if (known != NULL)
        add_number (planning, known->number);
      keys[count++] = talloc_asprintf (planning, KQ_STORE_CLAIMS "name/%s", intent->service);
      if (intent->fields & KQ_FIELD_PORT)
        keys[count++] =
            talloc_asprintf (planning, KQ_STORE_CLAIMS "port/%u", intent->settings.port);
    }
  kq_store_read_keys (planning->api->params.store, keys, count, on_claims, planning);
}

void
kq_operator_plan (KqOperatorApi *api, KqHttpRequest *request, const char *body, size_t size)
{
  KqError error = { 0 };
  PlanRequest *planning = talloc_zero (api, PlanRequest);
  planning->api = api;
  planning->request = request;
  planning->list = kq_intents_parse (planning, body, size, &error);
  if (planning->list == NULL)
    fail (planning, &error);
  else if (planning->list->whole)
    kq_store_read (api->params.store, KQ_STORE_PREFIX, on_documents, planning);
  else
    read_claims (planning);
}
