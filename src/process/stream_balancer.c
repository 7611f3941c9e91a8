/* The balancer process for streams: it receives callers' segments, forwards them to agents, and
 * follows membership and the configuration. Segments of targets do not pass through a balancer:
 * agents send them straight to the callers. */

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/control.h"
#include "kumquat/http_server.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/pause_monitor.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/internal/ready_checks.h"
#include "kumquat/internal/stream_configuration.h"
#include "kumquat/internal/stream_directory.h"
#include "kumquat/internal/stream_metrics.h"
#include "kumquat/internal/stream_process.h"
#include "kumquat/internal/stream_router.h"
#include "kumquat/log.h"
#include "kumquat/program.h"
#include "kumquat/store.h"

#define HTTP_OK        200
#define HTTP_NOT_FOUND 404
#define METRICS_PATH   "/metrics"
#define RESET_BYTES    64
#define SUMMARY_US     (1 * KQ_SECOND)

/* Time after the start from which a balancer with routes is ready even without targets: it refuses
 * new streams then, which callers at least get as an answer. */
#define READY_WITHOUT_TARGETS_US (3 * KQ_SECOND)

/* The platform checks readiness twice a second; a longer wait would overlap with the next check. */
#define READY_WAIT_US (400 * KQ_MS)

static const KqSettingSpec specs[] = {
  KQ_SETTING_SPEC_NAME,
  KQ_SETTING_SPEC_FAILURE_DOMAIN,
  { "callers.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address that the fabric sends callers' segments to" },
  { "data.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL, "address that agents answer to" },
  KQ_SETTING_SPECS_CONTROL,
  { "store.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL, "address of the platform's store" },
  { "store.timeout_ms", KQ_SETTING_INTEGER, false, 50, 60000, "1000",
    "time limit in milliseconds of one call to the store, not counting how long a watch waits" },
  KQ_SETTING_SPECS_STREAM_HTTP,
  KQ_SETTING_SPECS_FEATURES,
  { "shutdown.forward_ms", KQ_SETTING_INTEGER, false, 0, 600000, "4500",
    "milliseconds for which a process continues to forward after it was asked to stop" },
};

/**
 * struct StreamBalancer - state of the process
 * @last_summary: counters at the last summary line
 * @stopping: the process was asked to stop
 * @malformed: datagrams that could not be decoded
 */
typedef struct
{
  const KqStreamAdapter *adapter;
  KqProgram *program;
  struct tevent_context *ev;
  const KqSettings *settings;
  KqAgentHistory *agent_history;
  KqStreamRouter *router;
  KqControl *control;
  KqStore *store;
  KqStreamConfiguration *configuration;
  KqStreamDirectory *directory;
  KqHttpServer *http;
  KqReadyChecks *ready;
  KqPauseMonitor pause_monitor;
  KqMetrics *metrics;
  KqMetric *open_latency;
  KqStreamSocket callers;
  KqStreamSocket data;
  KqAddress callers_address;
  KqTimer *timer;
  KqTimer *stop_timer;
  KqTimer *summary_timer;
  KqStreamRouterStats last_summary;
  KqTime started_at;
  bool stopping;
  uint64_t malformed;
} StreamBalancer;

static void
set_timer (StreamBalancer *balancer)
{
  kq_timer_set (balancer->timer, kq_stream_router_next_tick (balancer->router));
}

static void
batch_done (void *data)
{
  set_timer (data);
}

/* Called before any event that could treat what the sockets kept during a pause as new. */
static void
check_pause (void *data)
{
  StreamBalancer *balancer = data;
  KqTime pause = kq_pause_monitor_event (&balancer->pause_monitor, kq_clock_now ());
  if (pause == 0)
    return;
  kq_log (LOG_NOTICE, "resumed", "paused_ms=%lld", (long long)(pause / KQ_MS));
  kq_stream_socket_mark_outdated (&balancer->callers);
  kq_stream_socket_mark_outdated (&balancer->data);
  kq_stream_router_resume (balancer->router);
}

static void
on_tick (void *data)
{
  StreamBalancer *balancer = data;
  check_pause (balancer);
  kq_stream_router_tick (balancer->router, kq_clock_now ());
  set_timer (balancer);
}

static void
reject_malformed (StreamBalancer *balancer, const KqAddress *from, const KqError *error)
{
  balancer->malformed++;
  kq_stream_log_malformed (from, error);
}

static void
receive_segment (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  StreamBalancer *balancer = data;
  KqSegment segment;
  KqError error = { 0 };
  if (balancer->adapter->codec->decode (bytes, size, false, &segment, &error) < 0)
    {
      reject_malformed (balancer, from, &error);
      return;
    }
  if (balancer->callers.outdated > 0)
    kq_stream_router_handle_outdated_segment (balancer->router, &segment, kq_clock_now ());
  else
    kq_stream_router_handle_segment (balancer->router, &segment, kq_clock_now ());
}

static void
receive_frame (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  StreamBalancer *balancer = data;
  KqStreamFrame frame;
  KqError error = { 0 };
  if (balancer->data.outdated > 0)
    return;
  if (kq_stream_frame_decode (bytes, size, &frame, &error) < 0)
    {
      reject_malformed (balancer, from, &error);
      return;
    }
  kq_stream_router_handle_frame (balancer->router, &frame, kq_clock_now ());
}

static void
send_frame (const KqAddress *to, const KqStreamFrame *frame, void *data)
{
  StreamBalancer *balancer = data;
  kq_stream_send_frame (&balancer->data, to, frame);
}

static void
send_reset (const KqStreamKey *key, uint32_t sequence, void *data)
{
  StreamBalancer *balancer = data;
  uint8_t bytes[RESET_BYTES];
  KqAddress to = kq_ipv4_address (key->caller_ip, balancer->callers_address.port);
  size_t size = balancer->adapter->codec->encode_reset (key, sequence, bytes);
  kq_stream_socket_send (&balancer->callers, &to, bytes, size);
}

static void
stream_opened (KqTime took_us, void *data)
{
  StreamBalancer *balancer = data;
  kq_metric_observe (balancer->open_latency, took_us);
}

static void
document_changed (const KqDocument *document, void *data)
{
  StreamBalancer *balancer = data;
  if (document->service == KQ_DIRECTORY_DOCUMENT && balancer->directory != NULL)
    kq_stream_directory_document_received (balancer->directory, document);
  else if (balancer->configuration != NULL)
    kq_stream_configuration_document_received (balancer->configuration, document);
}

static void
configuration_changed (void *data)
{
  StreamBalancer *balancer = data;
  kq_ready_checks_update (balancer->ready);
}

static void
store_answered (void *data)
{
  StreamBalancer *balancer = data;
  if (balancer->directory != NULL)
    kq_stream_directory_store_recovered (balancer->directory);
}

/* Advances the agent history also while the members do not change. */
static void
refreshed (void *data)
{
  StreamBalancer *balancer = data;
  kq_agent_history_advance (balancer->agent_history, kq_clock_now ());
}

static void
members_changed (void *data)
{
  StreamBalancer *balancer = data;
  unsigned count;
  if (balancer->control == NULL || balancer->store == NULL)
    return;
  const KqMember *members = kq_control_members (balancer->control, &count);
  unsigned ended_count;
  uint64_t *ended = kq_control_ended_agents (balancer, balancer->control, &ended_count);
  kq_agent_history_update (balancer->agent_history, members, count, kq_clock_now ());
  kq_agent_history_mark_ended (balancer->agent_history, ended, ended_count);
  talloc_free (ended);
  if (kq_control_bootstrapped (balancer->control))
    kq_agent_history_mark_joined (balancer->agent_history);
  kq_stream_router_set_members (balancer->router, members, count);
  if (balancer->configuration != NULL)
    kq_stream_configuration_members_changed (balancer->configuration);
  kq_ready_checks_update (balancer->ready);
  if (balancer->directory != NULL)
    kq_stream_directory_members_changed (balancer->directory);
}

static unsigned
serving_targets (const StreamBalancer *balancer)
{
  unsigned count;
  unsigned serving = 0;
  const KqMember *members = kq_control_members (balancer->control, &count);
  for (unsigned i = 0; i < count; i++)
    serving += members[i].role == KQ_ROLE_AGENT && members[i].phase == KQ_PHASE_SERVING;
  return serving;
}

static KqReadyState
ready_state (void *data)
{
  const StreamBalancer *balancer = data;
  if (balancer->stopping)
    return (KqReadyState){ 0 };
  bool started = kq_clock_now () - balancer->started_at >= READY_WITHOUT_TARGETS_US;
  bool routes = kq_stream_router_routes (balancer->router) != NULL;
  bool can_place = kq_agent_history_can_place (balancer->agent_history, kq_clock_now ());
  bool placing = can_place && serving_targets (balancer) > 0;
  return (KqReadyState){ .ready = routes && (started || placing), .may_become_ready = !started };
}

static void
handle_http (KqHttpRequest *request, const char *method, const char *path, const char *body,
             size_t size, void *data)
{
  StreamBalancer *balancer = data;
  (void)body;
  (void)size;
  if (strcmp (method, "GET") == 0 && strcmp (path, balancer->adapter->ready_path) == 0)
    kq_ready_checks_handle (balancer->ready, request);
  else if (strcmp (method, "GET") == 0 && strcmp (path, METRICS_PATH) == 0)
    {
      KqStreamRouterStats stats = kq_stream_router_stats (balancer->router);
      const KqRouteTable *routes = kq_stream_router_routes (balancer->router);
      kq_stream_metrics_update_balancer (balancer->metrics, &stats, routes,
                                         serving_targets (balancer),
                                         kq_store_is_reachable (balancer->store),
                                         kq_store_era (balancer->store), balancer->malformed);
      kq_stream_metrics_update_evacuation (
          balancer->metrics, kq_stream_configuration_evacuated_count (balancer->configuration));
      kq_stream_metrics_update_directory (
          balancer->metrics, kq_stream_directory_inconsistencies (balancer->directory));
      kq_stream_metrics_respond (request, balancer->metrics, balancer->control);
    }
  else
    kq_http_respond (request, HTTP_NOT_FOUND, "application/json", "{}", 2);
}

/* The log limits the rate of single events; this summary covers all of them. */
static void
on_summary (void *data)
{
  StreamBalancer *balancer = data;
  kq_stream_router_update_balance (balancer->router, kq_clock_now ());
  KqStreamRouterStats now = kq_stream_router_stats (balancer->router);
  kq_timer_set (balancer->summary_timer, kq_clock_now () + SUMMARY_US);
  if (now.segments != balancer->last_summary.segments)
    kq_stream_metrics_log_balancer (&now, &balancer->last_summary, (int)(SUMMARY_US / KQ_SECOND));
  balancer->last_summary = now;
}

static void
on_stop (void *data)
{
  StreamBalancer *balancer = data;
  if (!kq_stream_leave (balancer->control, balancer->stop_timer))
    kq_program_quit (balancer->program, KQ_EXIT_OK);
}

static int
start_control (StreamBalancer *balancer, KqError *error)
{
  static const KqControlOps ops = { .members_changed = members_changed,
                                    .document_changed = document_changed,
                                    .ticked = check_pause,
                                    .incarnation_changed = kq_stream_log_incarnation_changed };
  balancer->control = kq_stream_control_new (balancer, balancer->ev, balancer->settings,
                                             KQ_ROLE_BALANCER, 0, &ops, balancer, error);
  if (balancer->control == NULL)
    return -1;
  kq_agent_history_set_incarnation (balancer->agent_history,
                                    kq_control_self (balancer->control)->peer.incarnation);
  return 0;
}

static int
open_sockets (StreamBalancer *balancer, KqError *error)
{
  const KqSettings *settings = balancer->settings;
  KqAddress data = kq_settings_address (settings, "data.address");
  KqAddress http = kq_settings_address (settings, "http.address");
  balancer->callers_address = kq_settings_address (settings, "callers.address");
  balancer->callers = (KqStreamSocket){ .before_batch = check_pause,
                                        .receive = receive_segment,
                                        .batch_done = batch_done };
  balancer->data = (KqStreamSocket){ .before_batch = check_pause,
                                     .receive = receive_frame,
                                     .batch_done = batch_done };
  balancer->callers.data = balancer;
  balancer->data.data = balancer;
  if (kq_stream_socket_open (balancer, balancer->ev, &balancer->data, &data, NULL, error) < 0 ||
      kq_stream_socket_open (balancer, balancer->ev, &balancer->callers, &balancer->callers_address,
                             NULL, error) < 0)
    return -1;
  balancer->http = kq_http_server_new (balancer, balancer->ev, &http, handle_http, balancer, error);
  if (balancer->http == NULL)
    return -1;
  return kq_stream_metrics_listen (balancer, balancer->ev, settings, handle_http, balancer, error);
}

static int
start_store (StreamBalancer *balancer, KqError *error)
{
  KqAddress address = kq_settings_address (balancer->settings, "store.address");
  KqTime timeout = kq_settings_integer (balancer->settings, "store.timeout_ms") * KQ_MS;
  balancer->store =
      kq_store_new (balancer, balancer->ev, &address, 1, timeout, balancer->adapter->store, error);
  return balancer->store == NULL ? -1 : 0;
}

static int
start_router (StreamBalancer *balancer, KqError *error)
{
  static const KqStreamRouterOps ops = {
    .send = send_frame, .reset = send_reset, .event = kq_stream_log_event, .opened = stream_opened
  };
  const char *domain = kq_settings_text (balancer->settings, "failure_domain");
  balancer->agent_history = kq_agent_history_new (balancer, kq_clock_now ());
  if (balancer->agent_history == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for the agent history; raise the memory limit");
  balancer->router =
      kq_stream_router_new (balancer, domain, balancer->agent_history, &ops, balancer);
  balancer->metrics = kq_metrics_new (balancer);
  balancer->timer = kq_timer_new (balancer, balancer->ev, on_tick, balancer, error);
  balancer->stop_timer = kq_timer_new (balancer, balancer->ev, on_stop, balancer, error);
  if (balancer->router == NULL || balancer->metrics == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for the stream table; raise the memory limit");
  KqStreamFeatures features = kq_stream_features_log (balancer->settings, balancer->adapter);
  kq_stream_router_set_features (balancer->router, &features);
  balancer->open_latency = kq_stream_metrics_open_latency (balancer->metrics);
  balancer->summary_timer = kq_timer_new (balancer, balancer->ev, on_summary, balancer, error);
  if (balancer->timer == NULL || balancer->stop_timer == NULL || balancer->summary_timer == NULL)
    return -1;
  balancer->ready =
      kq_ready_checks_new (balancer, balancer->ev, READY_WAIT_US, ready_state, balancer, error);
  if (balancer->ready == NULL)
    return -1;
  kq_timer_set (balancer->summary_timer, kq_clock_now () + SUMMARY_US);
  return 0;
}

static KqStreamConfiguration *
start_configuration (StreamBalancer *balancer, KqError *error)
{
  const KqStreamConfigurationParams params = { .adapter = balancer->adapter,
                                               .router = balancer->router,
                                               .control = balancer->control,
                                               .store = balancer->store,
                                               .changed = configuration_changed,
                                               .store_answered = store_answered,
                                               .refreshed = refreshed,
                                               .data = balancer };
  return kq_stream_configuration_new (balancer, balancer->ev, &params, error);
}

static void *
start (KqProgram *program, struct tevent_context *ev, const KqSettings *settings, KqError *error)
{
  StreamBalancer *balancer = talloc_zero (program, StreamBalancer);
  balancer->adapter = kq_program_data (program);
  balancer->program = program;
  balancer->ev = ev;
  balancer->settings = settings;
  balancer->started_at = kq_clock_now ();
  if (start_router (balancer, error) < 0 || start_store (balancer, error) < 0 ||
      start_control (balancer, error) < 0 || open_sockets (balancer, error) < 0)
    goto error;
  balancer->configuration = start_configuration (balancer, error);
  if (balancer->configuration == NULL)
    goto error;
  balancer->directory = kq_stream_directory_new (balancer, ev, balancer->store, balancer->control,
                                                 balancer->agent_history, error);
  if (balancer->directory == NULL)
    goto error;
  return balancer;

error:
  talloc_free (balancer);
  return NULL;
}

static void
stop (void *state)
{
  StreamBalancer *balancer = state;
  KqTime forward = kq_settings_integer (balancer->settings, "shutdown.forward_ms") * KQ_MS;
  balancer->stopping = true;
  kq_ready_checks_update (balancer->ready);
  kq_stream_configuration_stop (balancer->configuration);
  kq_timer_set (balancer->stop_timer, kq_clock_now () + forward);
}

static void
reload (void *state, const KqSettings *settings)
{
  StreamBalancer *balancer = state;
  balancer->settings = settings;
  kq_stream_update_control (balancer->control, settings);
}

int
kq_stream_balancer_main (int argc, const char **argv, const KqStreamAdapter *adapter)
{
  KqProgramOps ops = {
    .name = "kumquat-balancer",
    .summary =
        "forwards callers' segments to agents and assigns each stream to a target of its service",
    .specs = specs,
    .spec_count = sizeof specs / sizeof specs[0],
    .check = kq_stream_check_settings,
    .start = start,
    .stop = stop,
    .reload = reload,
    .data = adapter,
  };
  return kq_program_run (&ops, argc, argv);
}
