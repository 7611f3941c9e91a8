/* Confirms a plan: reads its keys, then writes them in one transaction. After an unknown outcome or
 * a conflict it reads again to find out whether the plan is written, still applicable or outdated.
 * docs/design/intents.md explains why the steps are safe. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/operator_impl.h"
#include "kumquat/log.h"
#include "kumquat/plan.h"

#define ATTEMPTS 3

/**
 * struct ConfirmRequest - a confirm request in progress
 * @api: (borrowed): the interface
 * @request: the HTTP request to respond to
 * @plan: the writes of the plan
 * @attempts: number of reads so far
 * @maybe_written: the outcome of a write is unknown
 */
typedef struct
{
  KqOperatorApi *api;
  KqHttpRequest *request;
  KqPlanWrites *plan;
  unsigned attempts;
  bool maybe_written;
} ConfirmRequest;

static void read_keys (ConfirmRequest *confirming);

static void
respond (ConfirmRequest *confirming, unsigned status, const char *outcome, json_t *root)
{
  KqOperatorApi *api = confirming->api;
  json_object_set_new (root, "outcome", json_string (outcome));
  json_object_set_new (root, "operation", json_string (confirming->plan->operation));
  kq_metric_add (kq_metrics_counter (api->params.metrics, "kumquat_operator_confirms_total",
                                     "Confirmed plans by outcome.", "outcome", outcome, NULL),
                 1);
  kq_log (LOG_NOTICE, "plan-confirmed", "operation=%s outcome=%s", confirming->plan->operation,
          outcome);
  kq_operator_respond (confirming->request, status, root);
  talloc_free (confirming);
}

static void
respond_yes (ConfirmRequest *confirming, bool again)
{
  respond (confirming, 200, "yes",
           json_pack ("{s:s}", "message",
                      again ? "the plan was confirmed before; it is one change"
                            : "the plan is written; follow it with kumquatctl watch"));
}

static void
respond_silent (ConfirmRequest *confirming, const char *why)
{
  if (confirming->maybe_written)
    respond (confirming, 503, "unknown",
             json_pack ("{s:s, s:s}", "error", "unknown-outcome", "message",
                        "a write was sent and the store does not tell whether it took effect; "
                        "confirm the same plan again, which is one change"));
  else
    respond (confirming, 503, "no",
             json_pack ("{s:s, s:s}", "error", "unavailable", "message", why));
}

static const KqStoreValue *
find_value (const KqStoreReply *reply, const char *key)
{
  for (unsigned i = 0; i < reply->count; i++)
    if (strcmp (reply->values[i].key, key) == 0)
      return &reply->values[i];
  return NULL;
}

static bool
is_written (const ConfirmRequest *confirming, const KqStoreReply *reply)
{
  const KqStoreValue *value = find_value (reply, confirming->plan->writes[0].key);
  return value != NULL && kq_plan_wrote (value->bytes, value->size, confirming->plan->operation);
}

static json_t *
differences (const ConfirmRequest *confirming, const KqStoreReply *reply)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < confirming->plan->count; i++)
    {
      const KqPlanWrite *write = &confirming->plan->writes[i];
      const KqStoreValue *value = find_value (reply, write->key);
      uint64_t revision = value == NULL ? 0 : value->mod_revision;
      if (revision == write->expected)
        continue;
      char *text = NULL;
      if (value == NULL)
        text = talloc_strdup (NULL, "the document is gone; the store holds an older state");
      else if (kq_operator_number (write->key) > 0)
        text = kq_plan_difference (NULL, write->base, value->bytes, value->size);
      else
        text = talloc_asprintf (NULL, "%s was taken by another service", write->key);
      json_array_append_new (list,
                             json_pack ("{s:s, s:I, s:I, s:s}", "service", write->service,
                                        "base_revision", (json_int_t)write->expected,
                                        "present_revision", (json_int_t)revision, "changed", text));
      talloc_free (text);
    }
  return list;
}

static void
on_written (const KqStoreReply *reply, void *data)
{
  ConfirmRequest *confirming = data;
  switch (reply->error.kind)
    {
    case KQ_ERROR_NONE:
      respond_yes (confirming, false);
      return;
    case KQ_ERROR_UNKNOWN_OUTCOME:
      confirming->maybe_written = true;
      break;
    case KQ_ERROR_CONFLICT:
      break;
    default:
      respond_silent (confirming, reply->error.message);
      return;
    }
  if (confirming->attempts < ATTEMPTS)
    read_keys (confirming);
  else
    respond_silent (confirming, reply->error.message);
}

static void
write_plan (ConfirmRequest *confirming)
{
  const KqPlanWrites *plan = confirming->plan;
  KqStoreWrite *writes = talloc_zero_array (confirming, KqStoreWrite, plan->count);
  for (unsigned i = 0; i < plan->count; i++)
    {
      writes[i].key = plan->writes[i].key;
      writes[i].bytes = (const uint8_t *)plan->writes[i].value;
      writes[i].size = strlen (plan->writes[i].value);
      writes[i].expected_mod_revision = plan->writes[i].expected;
    }
  kq_store_write (confirming->api->params.store, writes, plan->count, on_written, confirming);
  talloc_free (writes);
}

static void
on_read (const KqStoreReply *reply, void *data)
{
  ConfirmRequest *confirming = data;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      respond_silent (confirming, reply->error.message);
      return;
    }
  if (is_written (confirming, reply))
    {
      respond_yes (confirming, !confirming->maybe_written);
      return;
    }
  json_t *changed = differences (confirming, reply);
  if (json_array_size (changed) > 0)
    {
      respond (confirming, 409, "no",
               json_pack ("{s:s, s:s, s:o}", "error", "conflict", "message",
                          "the configuration changed after the plan was made; plan again",
                          "difference", changed));
      return;
    }
  json_decref (changed);
  write_plan (confirming);
}

static void
read_keys (ConfirmRequest *confirming)
{
  const KqPlanWrites *plan = confirming->plan;
  const char **keys = talloc_array (confirming, const char *, plan->count);
  confirming->attempts++;
  for (unsigned i = 0; i < plan->count; i++)
    keys[i] = plan->writes[i].key;
  kq_store_read_keys (confirming->api->params.store, keys, plan->count, on_read, confirming);
  talloc_free (keys);
}

void
kq_operator_confirm (KqOperatorApi *api, KqHttpRequest *request, const char *body, size_t size)
{
  KqError error = { 0 };
  ConfirmRequest *confirming = talloc_zero (api, ConfirmRequest);
  confirming->api = api;
  confirming->request = request;
  confirming->plan = kq_plan_read (confirming, body, size, &error);
  if (confirming->plan == NULL || confirming->plan->count > KQ_STORE_KEYS_MAX)
    {
      /* A denied error would yield the HTTP status of a wrong operator key. */
      if (error.kind == KQ_ERROR_DENIED)
        error.kind = KQ_ERROR_CONFLICT;
      kq_error_set (&error, KQ_ERROR_RANGE, "the plan writes too many keys; split it");
      kq_operator_fail (request, &error);
      talloc_free (confirming);
      return;
    }
  read_keys (confirming);
}
