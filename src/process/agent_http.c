#include <string.h>
#include <talloc.h>

#include "kumquat/internal/agent_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/metrics.h"

#define TEXT_TYPE "text/plain; version=0.0.4"

static void
set_counter (KqAgent *agent, const char *name, const char *help, uint64_t value)
{
  KqMetric *metric =
      kq_metrics_counter (agent->metrics, name, help, "service", agent->params.service, "target",
                          agent->params.name, "failure_domain", agent->params.failure_domain, NULL);
  kq_metric_set (metric, (int64_t)value);
}

static void
set_gauge (KqAgent *agent, const char *name, const char *help, uint64_t value)
{
  KqMetric *metric =
      kq_metrics_gauge (agent->metrics, name, help, "service", agent->params.service, "target",
                        agent->params.name, "failure_domain", agent->params.failure_domain, NULL);
  kq_metric_set (metric, (int64_t)value);
}

static void
set_placement (KqAgent *agent, const KqPlacementStats *stats)
{
  set_gauge (agent, "kumquat_flows_open", "Open flows of the target.", stats->flows_open);
  set_counter (agent, "kumquat_flows_admitted_total", "Flows admitted by this target.",
               stats->flows_admitted);
  set_counter (agent, "kumquat_flows_refused_total", "Flows that no target admitted.",
               stats->flows_refused);
  set_counter (agent, "kumquat_flows_lost_total", "Flows recorded here whose target failed.",
               stats->flows_lost);
  set_counter (agent, "kumquat_flows_expired_total", "Flows closed as idle.", stats->flows_expired);
  set_counter (agent, "kumquat_flows_placed_elsewhere_total",
               "Flows that this agent, as home, placed on another target.",
               stats->flows_placed_elsewhere);
  set_gauge (agent, "kumquat_directory_entries",
             "Flows of other targets recorded as home of their buckets.", stats->directory_entries);
  set_counter (agent, "kumquat_datagrams_forwarded_total", "Datagrams forwarded to another agent.",
               stats->forwarded);
  set_counter (agent, "kumquat_placement_messages_sent_total",
               "Placement messages sent to other agents.", stats->messages_sent);
  set_counter (agent, "kumquat_placement_messages_bad_total",
               "Placement messages refused as malformed.", stats->messages_bad);
  set_gauge (agent, "kumquat_buckets_home", "Buckets whose home is this agent.",
             stats->buckets_home);
  set_gauge (agent, "kumquat_buckets_syncing",
             "Buckets waiting for the flow lists of other agents.", stats->buckets_syncing);
}

static void
set_guard (KqAgent *agent, const KqRequestGuardStats *stats)
{
  set_counter (agent, "kumquat_requests_total", "Requests that reached this agent.",
               stats->requests);
  set_counter (agent, "kumquat_requests_answered_total", "Requests answered.", stats->answered);
  set_counter (agent, "kumquat_requests_answered_in_time_total",
               "Requests answered within their deadline.", stats->answered_in_time);
  set_counter (agent, "kumquat_requests_refused_total",
               "Requests refused before they reached the target.", stats->refused_not_run);
  set_counter (agent, "kumquat_requests_unknown_total", "Requests whose outcome is unknown.",
               stats->outcome_unknown);
  set_counter (agent, "kumquat_repeats_answered_total",
               "Duplicate requests answered from the stored answer.", stats->duplicates_answered);
  set_counter (agent, "kumquat_repeats_running_total",
               "Duplicates of requests that were still running.", stats->duplicates_running);
  set_counter (agent, "kumquat_requests_challenged_total",
               "Requests answered with a fresh Echo value.", stats->challenged);
  set_counter (agent, "kumquat_late_answers_total", "Answers of the target dropped as late.",
               stats->late_answers_dropped);
  set_counter (agent, "kumquat_requests_malformed_total", "Datagrams that are not CoAP messages.",
               stats->malformed);
  set_counter (agent, "kumquat_requests_cancelled_total", "Requests cancelled by their caller.",
               stats->cancelled);
  set_counter (agent, "kumquat_requests_expired_total", "Requests whose deadline passed.",
               stats->deadline_expired);
  set_counter (agent, "kumquat_worth_answered_total", "Worth of the requests answered.",
               stats->worth_answered);
  set_gauge (agent, "kumquat_requests_running", "Requests running in the target.", stats->running);
  set_gauge (agent, "kumquat_requests_waiting", "Requests waiting for a slot.", stats->waiting);
  set_gauge (agent, "kumquat_observers", "Observations open at the target.", stats->observers);
  set_counter (agent, "kumquat_refused_by_target_total", "Requests that the target refused.",
               stats->refused_by_target);
  set_gauge (agent, "kumquat_slots_usable", "Slots after ramp-up and shedding.",
             stats->slots_usable);
  set_gauge (agent, "kumquat_slots_stuck",
             "Slots of expired requests for which the target has not answered since.",
             stats->slots_stuck);
  set_gauge (agent, "kumquat_kept_answers", "Outcomes stored for duplicate requests.",
             stats->dedup_entries);
  set_gauge (agent, "kumquat_kept_bytes",
             "Bytes of stored answers and of memory reserved for them.", stats->dedup_bytes);
}

static void
set_window (KqAgent *agent, const char *name, const char *help, KqBurnWindow window, uint64_t value)
{
  KqMetric *metric = kq_metrics_gauge (
      agent->metrics, name, help, "service", agent->params.service, "target", agent->params.name,
      "failure_domain", agent->params.failure_domain, "window", kq_burn_window_name (window), NULL);
  kq_metric_set (metric, (int64_t)value);
}

static void
set_burn_rate (KqAgent *agent)
{
  for (unsigned i = 0; i < KQ_BURN_WINDOWS; i++)
    {
      KqTime covered_us;
      KqBurnCounts counts = kq_burn_counts (agent->burn, (KqBurnWindow)i, &covered_us);
      set_window (agent, "kumquat_slo_window_requests", "Requests with an outcome in the window.",
                  (KqBurnWindow)i, counts.total);
      set_window (agent, "kumquat_slo_window_good_requests",
                  "Requests answered in time in the window.", (KqBurnWindow)i, counts.good);
      set_window (agent, "kumquat_slo_window_worth", "Worth answered in the window.",
                  (KqBurnWindow)i, counts.worth);
      set_window (agent, "kumquat_slo_window_covered_seconds",
                  "Part of the window during which this process ran.", (KqBurnWindow)i,
                  (uint64_t)(covered_us / KQ_SECOND));
    }
}

static void
set_agent (KqAgent *agent)
{
  set_counter (agent, "kumquat_datagrams_received_total", "Datagrams received on the data port.",
               agent->counters.datagrams_in);
  set_counter (agent, "kumquat_datagrams_malformed_total", "Datagrams dropped as malformed.",
               agent->counters.datagrams_malformed);
  set_counter (agent, "kumquat_wrong_service_total",
               "Datagrams for a service that this agent does not serve.",
               agent->counters.wrong_service);
  set_counter (agent, "kumquat_stale_incarnation_total",
               "Datagrams for another incarnation of this agent.",
               agent->counters.stale_incarnation);
  set_counter (agent, "kumquat_sent_to_target_total", "Datagrams sent to the target.",
               agent->counters.sent_to_target);
  set_counter (agent, "kumquat_target_unreachable_total",
               "Datagrams that the target's port refused.", agent->counters.target_unreachable);
  set_counter (agent, "kumquat_answers_sent_total", "Answers sent to balancers.",
               agent->counters.answers_sent);
  set_counter (agent, "kumquat_lives_total", "Incarnations of this process so far.",
               agent->counters.incarnations);
}

static void
respond_metrics (KqAgent *agent, KqHttpRequest *request)
{
  set_agent (agent);
  set_burn_rate (agent);
  if (agent->placement != NULL)
    {
      KqPlacementStats placement = kq_placement_stats (agent->placement);
      KqRequestGuardStats guard = kq_request_guard_stats (agent->guard);
      set_placement (agent, &placement);
      set_guard (agent, &guard);
    }
  void *scratch = talloc_new (agent);
  char *body = kq_metrics_format (scratch, agent->metrics);
  body = talloc_strdup_append (body, kq_control_metrics (scratch, agent->control));
  kq_http_respond (request, 200, TEXT_TYPE, body, strlen (body));
  talloc_free (scratch);
}

static void
respond_ready (KqAgent *agent, KqHttpRequest *request)
{
  if (agent->phase == KQ_PHASE_SERVING)
    kq_http_respond (request, 200, "text/plain", "serving\n", 8);
  else if (agent->phase == KQ_PHASE_DRAINING)
    kq_http_respond (request, 503, "text/plain", "draining\n", 9);
  else
    kq_http_respond (request, 503, "text/plain", "starting\n", 9);
}

static void
respond_target (KqAgent *agent, KqHttpRequest *request)
{
  static const char *const phases[] = { "starting", "serving", "draining", "empty" };
  KqPlacementStats placement = { 0 };
  KqRequestGuardStats guard = { 0 };
  if (agent->placement != NULL)
    {
      placement = kq_placement_stats (agent->placement);
      guard = kq_request_guard_stats (agent->guard);
    }
  char *body = talloc_asprintf (
      agent,
      "{\"name\":\"%s\",\"service\":\"%s\",\"failure_domain\":\"%s\",\"phase\":\"%s\","
      "\"answers\":%s,\"flows\":%llu,\"running\":%llu,\"waiting\":%llu,\"observers\":%llu,"
      "\"revision\":%llu}\n",
      agent->params.name, agent->params.service, agent->params.failure_domain, phases[agent->phase],
      kq_target_probe_is_responsive (agent->probe) ? "true" : "false",
      (unsigned long long)placement.flows_open, (unsigned long long)guard.running,
      (unsigned long long)guard.waiting, (unsigned long long)guard.observers,
      (unsigned long long)agent->service.revision.revision);
  kq_http_respond (request, 200, "application/json", body, strlen (body));
  talloc_free (body);
}

static void
handle_request (KqHttpRequest *request, const char *method, const char *path, const char *body,
                size_t size, void *data)
{
  KqAgent *agent = data;
  (void)body;
  (void)size;
  if (strcmp (method, "GET") != 0)
    kq_http_respond (request, 405, "text/plain", "use GET\n", 8);
  else if (strcmp (path, "/metrics") == 0)
    respond_metrics (agent, request);
  else if (strcmp (path, "/healthz") == 0)
    kq_http_respond (request, 200, "text/plain", "alive\n", 6);
  else if (strcmp (path, "/readyz") == 0)
    respond_ready (agent, request);
  else if (strcmp (path, "/v1/target") == 0)
    respond_target (agent, request);
  else
    kq_http_respond (request, 404, "text/plain", "unknown path; see /metrics\n", 27);
}

int
kq_agent_http_open (KqAgent *agent, KqError *error)
{
  agent->metrics = kq_metrics_new (agent);
  if (agent->metrics == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for metrics; raise the memory limit");
  agent->http =
      kq_http_server_new (agent, agent->ev, &agent->params.http, handle_request, agent, error);
  return agent->http == NULL ? -1 : 0;
}
