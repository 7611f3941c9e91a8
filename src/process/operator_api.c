#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/document.h"
#include "kumquat/internal/operator_impl.h"
#include "kumquat/log.h"
#include "kumquat/service_document.h"

#define JSON_TYPE        "application/json"
#define TEXT_TYPE        "text/plain; version=0.0.4"
#define BEARER           "Bearer "
#define OPERATIONS       "/v1/operations/"
#define STATUS_OK        200
#define STATUS_NOT_READY 503

/* A plan contains a document before and after the change, and its effects. */
#define PLAN_BYTES_MAX ((size_t)2 * KQ_DOCUMENT_BYTES + (size_t)1024 * 1024)

void
kq_operator_respond_json (KqHttpRequest *request, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (root);
  char *line = talloc_asprintf (NULL, "%s\n", text);
  free (text);
  kq_http_respond (request, status, JSON_TYPE, line, strlen (line));
  talloc_free (line);
}

static unsigned
http_status (KqErrorKind kind)
{
  switch (kind)
    {
    case KQ_ERROR_INVALID:
    case KQ_ERROR_RANGE:
      return 400;
    case KQ_ERROR_DENIED:
      return 401;
    case KQ_ERROR_NOT_FOUND:
      return 404;
    case KQ_ERROR_CONFLICT:
    case KQ_ERROR_STALE:
    case KQ_ERROR_FULL:
      return 409;
    case KQ_ERROR_UNAVAILABLE:
    case KQ_ERROR_UNKNOWN_OUTCOME:
      return 503;
    default:
      return 500;
    }
}

void
kq_operator_respond_error (KqHttpRequest *request, const KqError *error)
{
  kq_operator_respond_json (request, http_status (error->kind),
                            json_pack ("{s:s, s:s}", "error", kq_error_kind_name (error->kind),
                                       "message", error->message));
}

uint32_t
kq_operator_service_number (const char *key)
{
  size_t prefix = strlen (KQ_STORE_SERVICES);
  char *end;
  if (strncmp (key, KQ_STORE_SERVICES, prefix) != 0)
    return 0;
  unsigned long number = strtoul (key + prefix, &end, 10);
  return *end == '\0' && number <= UINT32_MAX ? (uint32_t)number : 0;
}

static bool
is_allowed (const KqOperatorApi *api, KqHttpRequest *request)
{
  const char *header = kq_http_request_header (request, "Authorization");
  if (api->params.key_count == 0)
    return true;
  if (header == NULL || strncmp (header, BEARER, strlen (BEARER)) != 0)
    return false;
  const char *given = header + strlen (BEARER);
  for (unsigned i = 0; i < api->params.key_count; i++)
    {
      const char *key = api->params.keys[i];
      size_t size = strlen (key);
      if (size > 0 && size == strlen (given) && sodium_memcmp (key, given, size) == 0)
        return true;
    }
  return false;
}

static void
respond_text (KqHttpRequest *request, unsigned status, const char *text)
{
  kq_http_respond (request, status, "text/plain", text, strlen (text));
}

static bool
respond_public (KqOperatorApi *api, KqHttpRequest *request, const char *path)
{
  if (strcmp (path, "/metrics") == 0)
    {
      char *text = api->ops.format_metrics (api, api->data);
      kq_http_respond (request, STATUS_OK, TEXT_TYPE, text, strlen (text));
      talloc_free (text);
      return true;
    }
  if (strcmp (path, "/healthz") == 0)
    {
      respond_text (request, STATUS_OK, "alive\n");
      return true;
    }
  if (strcmp (path, "/readyz") != 0)
    return false;
  const char *why = api->ops.not_ready (api->data);
  char *line = talloc_asprintf (api, "%s\n", why == NULL ? "ready" : why);
  respond_text (request, why == NULL ? STATUS_OK : STATUS_NOT_READY, line);
  talloc_free (line);
  return true;
}

static void
respond_denied (KqOperatorApi *api, KqHttpRequest *request)
{
  KqError error = { 0 };
  kq_metric_add (kq_metrics_counter (api->params.metrics, "kumquat_operator_denied_total",
                                     "Operators' requests refused for a wrong key.", NULL),
                 1);
  kq_log (LOG_WARNING, "operator-denied", "%s", "remedy=\"use the key of http.operator_key\"");
  kq_error_set (
      &error, KQ_ERROR_DENIED,
      "the operator key is missing or wrong; pass --key-file with the key of http.operator_key");
  kq_operator_respond_error (request, &error);
}

static void
route_get (KqOperatorApi *api, KqHttpRequest *request, const char *path)
{
  KqError error = { 0 };
  if (strcmp (path, "/v1/status") == 0)
    kq_operator_status (api, request);
  else if (strcmp (path, "/v1/services") == 0)
    kq_operator_services (api, request);
  else if (strcmp (path, "/v1/report") == 0)
    kq_operator_report (api, request);
  else if (strncmp (path, OPERATIONS, strlen (OPERATIONS)) == 0)
    kq_operator_operation (api, request, path + strlen (OPERATIONS));
  else
    {
      kq_error_set (&error, KQ_ERROR_NOT_FOUND,
                    "unknown path; see docs/reference/commands.md for those there are");
      kq_operator_respond_error (request, &error);
    }
}

static void
handle (KqHttpRequest *request, const char *method, const char *path, const char *body, size_t size,
        void *data)
{
  KqOperatorApi *api = data;
  KqError error = { 0 };
  bool get = strcmp (method, "GET") == 0;
  bool post = strcmp (method, "POST") == 0;
  if (get && respond_public (api, request, path))
    return;
  kq_metric_add (kq_metrics_counter (api->params.metrics, "kumquat_operator_requests_total",
                                     "Requests to the operators' interface.", NULL),
                 1);
  if (!is_allowed (api, request))
    respond_denied (api, request);
  else if (get)
    route_get (api, request, path);
  else if (post && strcmp (path, "/v1/plan") == 0)
    kq_operator_plan (api, request, body, size);
  else if (post && strcmp (path, "/v1/confirm") == 0)
    kq_operator_confirm (api, request, body, size);
  else
    {
      kq_error_set (&error, KQ_ERROR_NOT_FOUND,
                    "unknown method and path; see docs/reference/commands.md");
      kq_operator_respond_error (request, &error);
    }
}

KqOperatorApi *
kq_operator_api_new (const void *parent, struct tevent_context *ev, const KqOperatorParams *params,
                     const KqOperatorOps *ops, void *data, KqError *error)
{
  KqOperatorApi *api = talloc_zero (parent, KqOperatorApi);
  api->ev = ev;
  api->params = *params;
  api->ops = *ops;
  api->data = data;
  kq_random_seed_system (&api->random);
  api->http = kq_http_client_new (api, ev, error);
  if (api->http == NULL)
    goto error;
  api->server = kq_http_server_new (api, ev, &params->listen, handle, api, error);
  if (api->server == NULL)
    goto error;
  kq_http_server_set_body_limit (api->server, PLAN_BYTES_MAX);
  return api;

error:
  talloc_free (api);
  return NULL;
}

uint16_t
kq_operator_api_port (const KqOperatorApi *api)
{
  return kq_http_server_port (api->server);
}
