#include <talloc.h>

#include "kumquat/internal/balancer_impl.h"

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
  set_counter (balancer, "kumquat_balancer_send_failed_total", "Datagrams that could not be sent.",
               counters->send_failed);
}

static void
set_flows (KqBalancer *balancer)
{
  KqFlowTableStats stats = kq_flow_table_stats (balancer->forwarder.flows);
  set_gauge (balancer, "kumquat_flow_table_entries", "Entries of the flow table.", stats.entries);
  set_gauge (balancer, "kumquat_flow_table_resident_bytes", "Memory of the flow table in bytes.",
             stats.resident_bytes);
  set_counter (balancer, "kumquat_flow_table_hits_total",
               "Datagrams whose owner was found in the flow table.", stats.hits);
  set_counter (balancer, "kumquat_flow_table_misses_total",
               "Datagrams sent to the home of their bucket.", stats.misses);
  set_counter (balancer, "kumquat_flow_table_full_total",
               "Flows not stored because the flow table was full.", stats.refused_full);
  set_counter (balancer, "kumquat_flow_table_expired_total",
               "Entries removed from the flow table as idle.", stats.expired);
}

static char *
format_metrics (const void *parent, void *data)
{
  KqBalancer *balancer = data;
  set_forwarder (balancer);
  set_flows (balancer);
  set_gauge (balancer, "kumquat_store_reachable", "Whether the store answered the last call.",
             kq_store_is_reachable (balancer->store));
  char *text = kq_metrics_format (parent, balancer->metrics);
  char *control = kq_control_metrics (parent, balancer->control);
  text = talloc_strdup_append (text, control);
  talloc_free (control);
  return text;
}

static const char *
not_ready (void *data)
{
  const KqBalancer *balancer = data;
  if (balancer->shutting_down)
    return "leaving";
  return kq_service_catalog_count (balancer->catalog) == 0 ? "no configuration yet" : NULL;
}

static const KqMember *
members (unsigned *count, void *data)
{
  const KqBalancer *balancer = data;
  return kq_control_members (balancer->control, count);
}

static int
in_force (uint32_t service, KqDocumentStatus *out, void *data)
{
  const KqBalancer *balancer = data;
  return kq_control_in_force (balancer->control, service, out);
}

int
kq_balancer_http_open (KqBalancer *balancer, KqError *error)
{
  static const KqOperatorOps ops = { .members = members,
                                     .in_force = in_force,
                                     .format_metrics = format_metrics,
                                     .not_ready = not_ready };
  const KqBalancerParams *params = &balancer->params;
  balancer->metrics = kq_metrics_new (balancer);
  if (balancer->metrics == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for metrics; raise the memory limit");
  KqOperatorParams operators = { .listen = params->http,
                                 .keys = { params->operator_key, params->operator_key_old },
                                 .key_count = 2,
                                 .store = balancer->store,
                                 .catalog = balancer->catalog,
                                 .metrics = balancer->metrics };
  balancer->operators =
      kq_operator_api_new (balancer, balancer->ev, &operators, &ops, balancer, error);
  return balancer->operators == NULL ? -1 : 0;
}
