#include <string.h>
#include <talloc.h>

#include "kumquat/internal/stream_metrics.h"
#include "kumquat/log.h"

#define HTTP_OK   200
#define TEXT_TYPE "text/plain; version=0.0.4"

/* Upper bounds of the histograms' buckets in microseconds; the resolution of a value is the width
 * of its bucket. */
static const KqTime bounds[] = { 1000,   2000,   5000,   10000,   20000,   50000,
                                 100000, 200000, 500000, 1000000, 2000000, 5000000 };

#define BOUNDS (sizeof bounds / sizeof bounds[0])

KqMetric *
kq_stream_metrics_open_latency (KqMetrics *metrics)
{
  return kq_metrics_histogram (metrics, "kumquat_stream_open_seconds",
                               "Time from a stream's first segment until a target accepted it.",
                               bounds, BOUNDS, NULL);
}

KqMetric *
kq_stream_metrics_request_latency (KqMetrics *metrics)
{
  return kq_metrics_histogram (metrics, "kumquat_target_answer_seconds",
                               "Time from a request until the target's answer began.", bounds,
                               BOUNDS, NULL);
}

static void
set_counter (KqMetrics *metrics, const char *name, const char *help, uint64_t value)
{
  kq_metric_set (kq_metrics_counter (metrics, name, help, NULL), (int64_t)value);
}

static void
set_gauge (KqMetrics *metrics, const char *name, const char *help, uint64_t value)
{
  kq_metric_set (kq_metrics_gauge (metrics, name, help, NULL), (int64_t)value);
}

static void
set_expected_waits (KqMetrics *metrics, const KqStreamRouterStats *stats)
{
  static const char *const priorities[KQ_WAIT_CLASSES] = { "0", "1", "2" };
  for (unsigned i = 0; i < KQ_WAIT_CLASSES; i++)
    kq_metric_set (kq_metrics_gauge (metrics, "kumquat_expected_wait_us",
                                     "Wait that new streams expect, by priority.", "priority",
                                     priorities[i], NULL),
                   stats->expected_wait_us[i]);
}

void
kq_stream_metrics_update_balancer (KqMetrics *metrics, const KqStreamRouterStats *stats,
                                   const KqRouteTable *routes, unsigned serving_targets,
                                   bool store_reachable, uint32_t store_era, uint64_t malformed)
{
  set_gauge (metrics, "kumquat_store_reachable", "Whether the store answered the last call.",
             store_reachable);
  set_gauge (metrics, "kumquat_store_era",
             "How often the store came back from an older copy, as it states.", store_era);
  set_gauge (metrics, "kumquat_targets_serving",
             "Targets that announce that they accept new streams.", serving_targets);
  set_gauge (metrics, "kumquat_config_version", "Version of the configuration in use; 0 for none.",
             routes == NULL ? 0 : routes->version);
  set_gauge (metrics, "kumquat_routes", "Routes of the configuration in use.",
             routes == NULL ? 0 : routes->count);
  set_gauge (metrics, "kumquat_streams", "Streams in the stream table.", stats->streams);
  set_counter (metrics, "kumquat_segments_total", "Segments received from callers.",
               stats->segments);
  set_counter (metrics, "kumquat_segments_malformed_total", "Datagrams that could not be decoded.",
               malformed);
  set_counter (metrics, "kumquat_segments_dropped_total", "Segments dropped without a receiver.",
               stats->dropped);
  set_counter (metrics, "kumquat_segments_outdated_total",
               "Segments dropped because they waited while the process was paused.",
               stats->outdated);
  set_counter (metrics, "kumquat_streams_opened_total", "Streams that a target accepted.",
               stats->opened);
  set_counter (metrics, "kumquat_offers_total", "Offers of new streams to agents.", stats->offers);
  set_counter (metrics, "kumquat_offers_declined_total", "Offers that an agent declined.",
               stats->declined);
  set_gauge (metrics, "kumquat_targets_busiest_permille",
             "Load of the busiest target relative to the mean of its service, in thousandths.",
             stats->busiest_permille);
  set_counter (metrics, "kumquat_offers_unanswered_total",
               "Offers without an answer before the timeout.", stats->unanswered);
  set_counter (metrics, "kumquat_streams_refused_total",
               "New streams refused before a target accepted them.", stats->refused);
  set_counter (metrics, "kumquat_streams_refused_early_total",
               "New streams refused because they were expected to be late at every agent.",
               stats->refused_early);
  set_expected_waits (metrics, stats);
  set_counter (metrics, "kumquat_segments_without_route_total",
               "Segments to addresses without a route.", stats->no_route);
  set_counter (metrics, "kumquat_streams_unowned_total",
               "Streams whose segments no agent accepted for 500 ms or longer.", stats->unowned);
  set_counter (metrics, "kumquat_searches_total", "Searches for the agent that owns a stream.",
               stats->searches);
  set_counter (metrics, "kumquat_search_questions_total",
               "Queries to agents whether they own a stream.", stats->questions);
  set_counter (metrics, "kumquat_search_late_total",
               "Query rounds not answered before the timeout.", stats->late);
  set_gauge (metrics, "kumquat_searches_queued", "Streams waiting for a search to start.",
             stats->queued);
  set_gauge (metrics, "kumquat_search_limit", "Limit of concurrent searches.", stats->search_limit);
  set_counter (metrics, "kumquat_streams_found_total", "Streams whose owner was found.",
               stats->found);
  set_counter (metrics, "kumquat_streams_lost_total", "Orphaned streams: no agent owned them.",
               stats->lost);
}

void
kq_stream_metrics_update_directory (KqMetrics *metrics, KqDirectoryInconsistencies inconsistencies)
{
  const struct
  {
    const char *reason;
    unsigned count;
  } kinds[] = { { "nameless", inconsistencies.unidentified },
                { "unknown-role", inconsistencies.unknown_role },
                { "repeated", inconsistencies.repeated } };
  for (unsigned i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    kq_metric_set (
        kq_metrics_counter (metrics, "kumquat_directory_doubtful_total",
                            "Directory entries that this version would not write, by reason.",
                            "reason", kinds[i].reason, NULL),
        kinds[i].count);
}

static void
set_declined (KqMetrics *metrics, const KqStreamTableStats *stats)
{
  for (unsigned i = KQ_REFUSAL_NONE + 1; i <= KQ_REFUSAL_MAX; i++)
    {
      KqMetric *metric = kq_metrics_counter (metrics, "kumquat_declined_total",
                                             "Declining answers to balancers, by reason.", "reason",
                                             kq_stream_refusal_name ((KqStreamRefusal)i), NULL);
      kq_metric_set (metric, (int64_t)stats->declined[i]);
    }
}

static void
set_doubtful_reports (KqMetrics *metrics, const KqStreamTableStats *stats)
{
  for (unsigned i = KQ_REPORT_PLAIN + 1; i <= KQ_REPORT_DOUBT_MAX; i++)
    {
      KqMetric *metric =
          kq_metrics_counter (metrics, "kumquat_target_reports_doubtful_total",
                              "Reports of the target with something unusual, by reason.", "reason",
                              kq_report_doubt_name ((KqReportDoubt)i), NULL);
      kq_metric_set (metric, (int64_t)stats->doubtful_reports[i]);
    }
}

static void
set_outcomes (KqMetrics *metrics, const KqStreamTableStats *stats)
{
  for (unsigned i = 0; i <= KQ_OUTCOME_MAX; i++)
    {
      KqMetric *metric = kq_metrics_counter (metrics, "kumquat_request_outcomes_total",
                                             "Outcomes of requests, by outcome.", "outcome",
                                             kq_request_outcome_name ((KqRequestOutcome)i), NULL);
      kq_metric_set (metric, (int64_t)stats->outcomes[i]);
    }
}

void
kq_stream_metrics_update_agent (KqMetrics *metrics, const KqStreamTableStats *stats,
                                const KqTargetLoad *load, const KqTargetProcess *life,
                                uint64_t malformed)
{
  set_declined (metrics, stats);
  set_doubtful_reports (metrics, stats);
  set_outcomes (metrics, stats);
  set_gauge (metrics, "kumquat_target_failed_permille",
             "Share of recent requests that the target failed, in thousandths.",
             load->failed_permille);
  set_gauge (metrics, "kumquat_target_limited",
             "Whether new streams are limited because the target fails requests.", load->limited);
  set_gauge (metrics, "kumquat_target_ready", "Whether the target accepts new streams.",
             life->report.state == KQ_TARGET_READY);
  set_gauge (metrics, "kumquat_target_running", "Requests running or about to start.",
             load->running);
  set_gauge (metrics, "kumquat_target_slots", "Limit of concurrent requests of the target.",
             load->slots);
  set_gauge (metrics, "kumquat_target_waiting", "New streams waiting for a slot.", load->waiting);
  set_gauge (metrics, "kumquat_target_expected_permille",
             "Requests that open streams keep running on average, in thousandths.",
             load->expected_permille);
  set_gauge (metrics, "kumquat_target_service_us",
             "Smoothed service time of a request in microseconds.", load->service_us);
  set_gauge (metrics, "kumquat_streams", "Streams in the stream table.", stats->streams);
  set_counter (metrics, "kumquat_streams_opened_total", "Streams that a target accepted.",
               stats->opened);
  set_counter (metrics, "kumquat_streams_waited_total", "Streams that waited for a slot.",
               stats->waited);
  set_counter (metrics, "kumquat_streams_learnt_total",
               "Streams that the target already served when this agent discovered them.",
               stats->learnt);
  set_counter (metrics, "kumquat_frames_outdated_total",
               "Frames dropped because they waited while the process was paused.", stats->outdated);
  set_counter (
      metrics, "kumquat_streams_superseded_total",
      "Streams that this target and another one accepted, and that continue with the other.",
      stats->superseded);
  set_counter (metrics, "kumquat_streams_gone_total", "Streams that the target no longer serves.",
               stats->gone);
  set_counter (metrics, "kumquat_requests_total", "Requests that the target answered.",
               stats->requests);
  set_counter (metrics, "kumquat_probes_total",
               "Segments sent to the target to probe for a stream.", stats->probed);
  set_counter (metrics, "kumquat_segments_bounced_total", "Segments that the target returned.",
               stats->bounced);
  set_counter (metrics, "kumquat_segments_to_target_total", "Segments sent to the target.",
               stats->to_target);
  set_counter (metrics, "kumquat_segments_to_callers_total", "Segments sent to callers.",
               stats->to_callers);
  set_counter (metrics, "kumquat_frames_misdirected_total", "Frames for another service or agent.",
               stats->misdirected);
  set_counter (metrics, "kumquat_segments_malformed_total", "Datagrams that could not be decoded.",
               malformed);
}

void
kq_stream_metrics_respond (KqHttpRequest *request, KqMetrics *metrics, const KqControl *control)
{
  char *own_text = kq_metrics_format (metrics, metrics);
  char *control_text = kq_control_metrics (metrics, control);
  char *text = talloc_asprintf (metrics, "%s%s", own_text, control_text);
  kq_http_respond (request, HTTP_OK, TEXT_TYPE, text, strlen (text));
  talloc_free (text);
  talloc_free (control_text);
  talloc_free (own_text);
}

int
kq_stream_metrics_listen (const void *parent, struct tevent_context *ev, const KqSettings *settings,
                          KqHttpHandler handler, void *data, KqError *error)
{
  KqAddress address;
  if (kq_settings_address_list (settings, "http.metrics_address", &address, 1) == 0)
    return 0;
  return kq_http_server_new (parent, ev, &address, handler, data, error) == NULL ? -1 : 0;
}

void
kq_stream_metrics_update_evacuation (KqMetrics *metrics, unsigned domains)
{
  set_gauge (metrics, "kumquat_evacuated_domains",
             "Failure domains that operators have taken out of service.", domains);
}

void
kq_stream_metrics_log_balancer (const KqStreamRouterStats *now, const KqStreamRouterStats *before,
                                int seconds)
{
  kq_log (LOG_INFO, "streams-summary",
          "seconds=%d segments=%llu opened=%llu offers=%llu declined=%llu unanswered=%llu "
          "refused=%llu searches=%llu questions=%llu late=%llu queued=%llu limit=%llu "
          "found=%llu lost=%llu dropped=%llu streams=%llu busiest_permille=%llu",
          seconds, (unsigned long long)(now->segments - before->segments),
          (unsigned long long)(now->opened - before->opened),
          (unsigned long long)(now->offers - before->offers),
          (unsigned long long)(now->declined - before->declined),
          (unsigned long long)(now->unanswered - before->unanswered),
          (unsigned long long)(now->refused - before->refused),
          (unsigned long long)(now->searches - before->searches),
          (unsigned long long)(now->questions - before->questions),
          (unsigned long long)(now->late - before->late), (unsigned long long)now->queued,
          (unsigned long long)now->search_limit, (unsigned long long)(now->found - before->found),
          (unsigned long long)(now->lost - before->lost),
          (unsigned long long)(now->dropped - before->dropped), (unsigned long long)now->streams,
          (unsigned long long)now->busiest_permille);
}
