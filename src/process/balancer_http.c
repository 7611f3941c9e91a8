#include <string.h>
#include <talloc.h>

#include "kumquat/internal/balancer_impl.h"

#define TEXT_TYPE "text/plain; version=0.0.4"

static void
set_counter (KqBalancer *balancer, const char *name, const char *help, uint64_t value)
{
  KqMetric *metric =
      kq_metrics_counter (balancer->metrics, name, help, "balancer", balancer->params.name,
                          "failure_domain", balancer->params.failure_domain, NULL);
  kq_metric_set (metric, (int64_t)value);
}

static void
set_gauge (KqBalancer *balancer, const char *name, const char *help, uint64_t value)
{
  KqMetric *metric =
      kq_metrics_gauge (balancer->metrics, name, help, "balancer", balancer->params.name,
                        "failure_domain", balancer->params.failure_domain, NULL);
  kq_metric_set (metric, (int64_t)value);
}

static void
set_forwarder (KqBalancer *balancer)
{
  const KqBalancerCounters *counters = &balancer->forwarder.counters;
  set_counter (balancer, "kumquat_balancer_requests_total", "Datagrams received from callers.",
               counters->requests_in);
  set_counter (balancer, "kumquat_balancer_answers_total", "Answers received from agents.",
               counters->answers_in);
  set_counter (balancer, "kumquat_balancer_refusals_total", "Refusals received from agents.",
               counters->refusals_in);
  set_counter (balancer, "kumquat_balancer_malformed_total", "Datagrams dropped as malformed.",
               counters->malformed);
  set_counter (balancer, "kumquat_balancer_unknown_service_total",
               "Datagrams dropped because the service is unknown.", counters->unknown_service);
  set_counter (balancer, "kumquat_balancer_no_target_total",
               "Datagrams dropped because the service has no target.", counters->no_target);
  set_counter (balancer, "kumquat_balancer_resent_total",
               "Refused datagrams sent to another agent.", counters->resent);
  set_counter (balancer, "kumquat_balancer_hops_exhausted_total",
               "Refused datagrams dropped after too many hops.", counters->hops_exhausted);
  set_counter (balancer, "kumquat_balancer_send_failed_total",
               "Datagrams that the network did not take.", counters->send_failed);
}

static void
set_flows (KqBalancer *balancer)
{
  KqFlowTableStats stats = kq_flow_table_stats (balancer->forwarder.flows);
  set_gauge (balancer, "kumquat_flow_table_entries", "Flows whose owner is remembered.",
             stats.entries);
  set_gauge (balancer, "kumquat_flow_table_resident_bytes", "Memory of the flow table in bytes.",
             stats.resident_bytes);
  set_counter (balancer, "kumquat_flow_table_hits_total", "Datagrams whose owner was remembered.",
               stats.hits);
  set_counter (balancer, "kumquat_flow_table_misses_total",
               "Datagrams sent to the home of their bucket.", stats.misses);
  set_counter (balancer, "kumquat_flow_table_full_total",
               "Flows not remembered because the table was full.", stats.refused_full);
  set_counter (balancer, "kumquat_flow_table_expired_total", "Flows forgotten as unused.",
               stats.expired);
}

static void
respond_metrics (KqBalancer *balancer, KqHttpRequest *request)
{
  void *scratch = talloc_new (balancer);
  set_forwarder (balancer);
  set_flows (balancer);
  set_gauge (balancer, "kumquat_store_reachable", "1 when the store's last call was answered.",
             kq_store_reachable (balancer->store));
  char *body = kq_metrics_format (scratch, balancer->metrics);
  body = talloc_strdup_append (body, kq_control_metrics (scratch, balancer->control));
  kq_http_respond (request, 200, TEXT_TYPE, body, strlen (body));
  talloc_free (scratch);
}

static void
respond_ready (KqBalancer *balancer, KqHttpRequest *request)
{
  if (balancer->shutting_down)
    kq_http_respond (request, 503, "text/plain", "leaving\n", 8);
  else if (kq_service_catalog_count (balancer->catalog) == 0)
    kq_http_respond (request, 503, "text/plain", "no configuration yet\n", 21);
  else
    kq_http_respond (request, 200, "text/plain", "ready\n", 6);
}

static void
handle (KqHttpRequest *request, const char *method, const char *path, const char *body, size_t size,
        void *data)
{
  KqBalancer *balancer = data;
  (void)body;
  (void)size;
  if (strcmp (method, "GET") != 0)
    kq_http_respond (request, 405, "text/plain", "use GET\n", 8);
  else if (strcmp (path, "/metrics") == 0)
    respond_metrics (balancer, request);
  else if (strcmp (path, "/healthz") == 0)
    kq_http_respond (request, 200, "text/plain", "alive\n", 6);
  else if (strcmp (path, "/readyz") == 0)
    respond_ready (balancer, request);
  else
    kq_http_respond (request, 404, "text/plain", "unknown path; see /metrics\n", 27);
}

int
kq_balancer_http_open (KqBalancer *balancer, KqError *error)
{
  balancer->metrics = kq_metrics_new (balancer);
  if (balancer->metrics == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM, "no memory; raise the memory limit");
  balancer->http =
      kq_http_server_new (balancer, balancer->ev, &balancer->params.http, handle, balancer, error);
  return balancer->http == NULL ? -1 : 0;
}
