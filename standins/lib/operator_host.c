#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/service_document.h"
#include "operator_host.h"

#define AGENTS           4
#define BALANCERS        3
#define SERVICE          "scoring"
#define STORE_TIMEOUT_US (300 * KQ_MS)

static const char *const domains[AGENTS] = { "bole", "bole", "kality", "akaki" };

struct OperatorHost
{
  KqStore *store;
  KqServiceCatalog *catalog;
  KqMetrics *metrics;
  KqOperatorApi *api;
  KqHttpServer *agents[AGENTS];
  KqMember members[AGENTS];
};

static void
on_agent_request (KqHttpRequest *request, const char *method, const char *path, const char *body,
                  size_t size, void *data)
{
  static const char target[] =
      "{\"flows\":10,\"running\":2,\"waiting\":0,\"observers\":4,\"revision\":1}\n";
  static const char metrics[] =
      "kumquat_requests_answered_total{target=\"x\"} 990\n"
      "kumquat_requests_answered_in_time_total{target=\"x\"} 980\n"
      "kumquat_requests_refused_total{target=\"x\"} 8\n"
      "kumquat_requests_unknown_total{target=\"x\"} 2\n"
      "kumquat_worth_answered_total{target=\"x\"} 4900\n"
      "kumquat_flows_open{target=\"x\"} 10\n"
      "kumquat_flows_lost_total{target=\"x\"} 1\n"
      "kumquat_slo_window_requests{target=\"x\",window=\"5m\"} 1000\n"
      "kumquat_slo_window_good_requests{target=\"x\",window=\"5m\"} 980\n"
      "kumquat_slo_window_covered_seconds{target=\"x\",window=\"5m\"} 300\n"
      "kumquat_slo_window_requests{target=\"x\",window=\"3d\"} 10000\n"
      "kumquat_slo_window_good_requests{target=\"x\",window=\"3d\"} 9950\n"
      "kumquat_slo_window_covered_seconds{target=\"x\",window=\"3d\"} 3600\n";
  (void)method;
  (void)body;
  (void)size;
  (void)data;
  if (strcmp (path, "/metrics") == 0)
    kq_http_respond (request, 200, "text/plain", metrics, sizeof metrics - 1);
  else
    kq_http_respond (request, 200, "application/json", target, sizeof target - 1);
}

static void
set_service_numbers (OperatorHost *host)
{
  const KqService *service = kq_service_catalog_by_name (host->catalog, SERVICE);
  for (unsigned i = 0; i < AGENTS; i++)
    host->members[i].service = service == NULL ? 0 : service->number;
}

static void
on_store_changed (const KqStoreReply *reply, void *data)
{
  OperatorHost *host = data;
  for (unsigned i = 0; i < reply->count; i++)
    {
      KqService service;
      KqRevision revision = { 1, reply->values[i].mod_revision };
      if (kq_service_parse (reply->values[i].bytes, reply->values[i].size, revision, &service,
                            NULL) == 0)
        kq_service_catalog_store (host->catalog, &service);
    }
  set_service_numbers (host);
}

static const KqMember *
members (unsigned *count, void *data)
{
  OperatorHost *host = data;
  *count = AGENTS;
  return host->members;
}

static int
in_force (uint32_t service, KqDocumentStatus *out, void *data)
{
  OperatorHost *host = data;
  const KqService *known = kq_service_catalog_by_number (host->catalog, service);
  if (known == NULL)
    return -1;
  memset (out, 0, sizeof *out);
  out->revision = known->revision;
  out->balancers = BALANCERS;
  out->balancers_in_force = BALANCERS;
  out->agents = known->number == host->members[0].service ? AGENTS : 0;
  out->agents_in_force = out->agents;
  return 0;
}

static char *
format_metrics (const void *parent, void *data)
{
  OperatorHost *host = data;
  return kq_metrics_format (parent, host->metrics);
}

static const char *
not_ready (void *data)
{
  OperatorHost *host = data;
  return kq_service_catalog_count (host->catalog) == 0 ? "no configuration yet" : NULL;
}

static int
start_agents (OperatorHost *host, struct tevent_context *ev, KqError *error)
{
  for (unsigned i = 0; i < AGENTS; i++)
    {
      KqMember *member = &host->members[i];
      KqAddress address;
      kq_address_parse ("127.0.0.1:0", &address, NULL);
      host->agents[i] = kq_http_server_new (host, ev, &address, on_agent_request, host, error);
      if (host->agents[i] == NULL)
        return -1;
      address.port = (uint16_t)(kq_http_server_port (host->agents[i]) - 1);
      member->control = address;
      member->role = KQ_ROLE_AGENT;
      member->phase = KQ_PHASE_SERVING;
      member->weight = 100;
      snprintf (member->name, sizeof member->name, SERVICE "-%u", i + 1);
      snprintf (member->failure_domain, sizeof member->failure_domain, "%s", domains[i]);
      member->peer.id = kq_hash_name (member->name);
    }
  return 0;
}

OperatorHost *
operator_host_new (const void *parent, struct tevent_context *ev, const KqAddress *listen_address,
                   const KqAddress *store, const char *key, KqError *error)
{
  static const KqOperatorOps ops = { .members = members,
                                     .in_force = in_force,
                                     .format_metrics = format_metrics,
                                     .not_ready = not_ready };
  OperatorHost *host = talloc_zero (parent, OperatorHost);
  host->catalog = kq_service_catalog_new (host);
  host->metrics = kq_metrics_new (host);
  host->store = kq_store_new (host, ev, store, 1, STORE_TIMEOUT_US, NULL, error);
  if (host->store == NULL || start_agents (host, ev, error) < 0)
    goto error;
  KqOperatorParams params = { .listen = *listen_address,
                              .keys = { key },
                              .key_count = key == NULL ? 0 : 1,
                              .store = host->store,
                              .catalog = host->catalog,
                              .metrics = host->metrics };
  host->api = kq_operator_api_new (host, ev, &params, &ops, host, error);
  if (host->api == NULL)
    goto error;
  kq_store_watch (host->store, KQ_STORE_SERVICES, on_store_changed, host);
  return host;

error:
  talloc_free (host);
  return NULL;
}

uint16_t
operator_host_port (const OperatorHost *host)
{
  return kq_operator_api_port (host->api);
}
