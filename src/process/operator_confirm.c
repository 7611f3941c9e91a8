/* Confirms a plan: reads its keys, then writes them in one transaction. After an unknown outcome or
 * a conflict it reads again to find out whether the plan is written, still applicable or outdated.
 * docs/design/intents.md explains why the steps are safe. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/operator_impl.h"
#include "kumquat/log.h"
#include "kumquat/plan.h"

#define ATTEMPTS_MAX 3

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

static void read_keys (ConfirmRequest *confirm_request);

static void
respond (ConfirmRequest *confirm_request, unsigned status, const char *outcome, json_t *root)
{
  KqOperatorApi *api = confirm_request->api;
  json_object_set_new (root, "outcome", json_string (outcome));
  json_object_set_new (root, "operation", json_string (confirm_request->plan->operation));
  kq_metric_add (kq_metrics_counter (api->params.metrics, "kumquat_operator_confirms_total",
                                     "Confirmed plans by outcome.", "outcome", outcome, NULL),
                 1);
  kq_log (LOG_NOTICE, "plan-confirmed", "operation=%s outcome=%s", confirm_request->plan->operation,
          outcome);
  kq_operator_respond_json (confirm_request->request, status, root);
  talloc_free (confirm_request);
}

static void
respond_written (ConfirmRequest *confirm_request, bool written_before)
{
  respond (confirm_request, 200, "yes",
           json_pack ("{s:s}", "message",
                      written_before ? "the plan was confirmed before; it is one change"
                                     : "the plan is written; follow it with kumquatctl watch"));
}

static void
respond_store_failure (ConfirmRequest *confirm_request, const char *reason)
{
  if (confirm_request->maybe_written)
    respond (confirm_request, 503, "unknown",
             json_pack ("{s:s, s:s}", "error", "unknown-outcome", "message",
                        "a write was sent and the store does not tell whether it took effect; "
                        "confirm the same plan again, which is one change"));
  else
    respond (confirm_request, 503, "no",
             json_pack ("{s:s, s:s}", "error", "unavailable", "message", reason));
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
is_written (const ConfirmRequest *confirm_request, const KqStoreReply *reply)
{
  const KqStoreValue *value = find_value (reply, confirm_request->plan->writes[0].key);
  return value != NULL && kq_plan_document_has_operation (value->bytes, value->size,
                                                          confirm_request->plan->operation);
}

static json_t *
differences (const ConfirmRequest *confirm_request, const KqStoreReply *reply)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < confirm_request->plan->count; i++)
    {
      const KqPlanWrite *write = &confirm_request->plan->writes[i];
      const KqStoreValue *value = find_value (reply, write->key);
      uint64_t revision = value == NULL ? 0 : value->mod_revision;
      if (revision == write->expected)
        continue;
      char *text = NULL;
      if (value == NULL)
        text = talloc_strdup (NULL, "the document is gone; the store holds an older state");
      else if (kq_operator_service_number (write->key) > 0)
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
  ConfirmRequest *confirm_request = data;
  switch (reply->error.kind)
    {
    case KQ_ERROR_NONE:
      respond_written (confirm_request, false);
      return;
    case KQ_ERROR_UNKNOWN_OUTCOME:
      confirm_request->maybe_written = true;
      break;
    case KQ_ERROR_CONFLICT:
      break;
    default:
      respond_store_failure (confirm_request, reply->error.message);
      return;
    }
  if (confirm_request->attempts < ATTEMPTS_MAX)
    read_keys (confirm_request);
  else
    respond_store_failure (confirm_request, reply->error.message);
}

static void
write_plan (ConfirmRequest *confirm_request)
{
  const KqPlanWrites *plan = confirm_request->plan;
  KqStoreWrite *writes = talloc_zero_array (confirm_request, KqStoreWrite, plan->count);
  for (unsigned i = 0; i < plan->count; i++)
    {
      writes[i].key = plan->writes[i].key;
      writes[i].bytes = (const uint8_t *)plan->writes[i].value;
      writes[i].size = strlen (plan->writes[i].value);
      writes[i].expected_mod_revision = plan->writes[i].expected;
    }
  kq_store_write (confirm_request->api->params.store, writes, plan->count, on_written,
                  confirm_request);
  talloc_free (writes);
}

static void
on_read (const KqStoreReply *reply, void *data)
{
  ConfirmRequest *confirm_request = data;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      respond_store_failure (confirm_request, reply->error.message);
      return;
    }
  if (is_written (confirm_request, reply))
    {
      respond_written (confirm_request, !confirm_request->maybe_written);
      return;
    }
  json_t *changed = differences (confirm_request, reply);
  if (json_array_size (changed) > 0)
    {
      respond (confirm_request, 409, "no",
               json_pack ("{s:s, s:s, s:o}", "error", "conflict", "message",
                          "the configuration changed after the plan was made; plan again",
                          "difference", changed));
      return;
    }
  json_decref (changed);
  write_plan (confirm_request);
}

static void
read_keys (ConfirmRequest *confirm_request)
{
  const KqPlanWrites *plan = confirm_request->plan;
  const char **keys = talloc_array (confirm_request, const char *, plan->count);
  confirm_request->attempts++;
  for (unsigned i = 0; i < plan->count; i++)
    keys[i] = plan->writes[i].key;
  kq_store_read_keys (confirm_request->api->params.store, keys, plan->count, on_read,
                      confirm_request);
  talloc_free (keys);
}

void
kq_operator_confirm (KqOperatorApi *api, KqHttpRequest *request, const char *body, size_t size)
{
  KqError error = { 0 };
  ConfirmRequest *confirm_request = talloc_zero (api, ConfirmRequest);
  confirm_request->api = api;
  confirm_request->request = request;
  confirm_request->plan = kq_plan_parse (confirm_request, body, size, &error);
  if (confirm_request->plan == NULL || confirm_request->plan->count > KQ_STORE_READ_KEYS_MAX)
    {
      if (error.kind == KQ_ERROR_RANGE)
        kq_metric_add (kq_metrics_counter (api->params.metrics, "kumquat_operator_too_large_total",
                                           "Plans refused because a document is too large.", NULL),
                       1);
      /* A denied error would yield the HTTP status of a wrong operator key. */
      if (error.kind == KQ_ERROR_DENIED)
        error.kind = KQ_ERROR_CONFLICT;
      kq_error_set (&error, KQ_ERROR_RANGE, "the plan writes too many keys; split it");
      kq_operator_respond_error (request, &error);
      talloc_free (confirm_request);
      return;
    }
  read_keys (confirm_request);
}
