/* The agent process for streams: it receives the target's state reports, delivers to the target the
 * callers' segments that balancers forward, and sends the target's segments straight to the
 * callers. */

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/control.h"
#include "kumquat/http_server.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/pause_monitor.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/internal/stream_evacuation.h"
#include "kumquat/internal/stream_join.h"
#include "kumquat/internal/stream_table.h"
#include "kumquat/internal/stream_metrics.h"
#include "kumquat/internal/stream_process.h"
#include "kumquat/log.h"
#include "kumquat/program.h"

#define HTTP_OK          200
#define HTTP_INVALID     400
#define HTTP_NOT_FOUND   404
#define HTTP_CONFLICT    409
#define HTTP_UNAVAILABLE 503
#define METRICS_PATH     "/metrics"
#define STOP_TICK_US     (50 * KQ_MS)
#define SUMMARY_US       (1 * KQ_SECOND)
#define STORE_TIMEOUT_US (1 * KQ_SECOND)

static const KqSettingSpec specs[] = {
  KQ_SETTING_SPEC_NAME,
  KQ_SETTING_SPEC_FAILURE_DOMAIN,
  { "data.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address that balancers send to; callers receive their segments on the same port" },
  KQ_SETTING_SPECS_CONTROL,
  { "target.service", KQ_SETTING_TEXT, true, 1, 255, NULL,
    "name of the service that the target serves" },
  { "target.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address on which the target receives segments" },
  { "target.segments_address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address that the target sends its segments to" },
  { "target.reports_address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address that the target reports to" },
  { "store.address", KQ_SETTING_ADDRESS, false, 0, 0, "",
    "address of the platform's store, read to find members while this instance has none" },
  KQ_SETTING_SPECS_STREAM_HTTP,
  KQ_SETTING_SPECS_FEATURES,
  { "shutdown.drain_ms", KQ_SETTING_INTEGER, false, 0, 600000, "1500",
    "milliseconds for which a process that was asked to stop waits for running requests" },
};

/**
 * struct StreamAgent - state of the process
 * @join: (nullable): reads the directory of members; NULL without a store in the settings
 * @seed_port: control port of the instances that send frames; 0 if not set
 * @callers_port: UDP port on which callers receive segments
 * @last_summary: counters at the last summary line
 * @refused: the kernel reported that no socket listens at the target's address
 * @stop_at: deadline of the shutdown; 0 unless the process was asked to stop
 * @malformed: datagrams that could not be decoded
 */
typedef struct
{
  const KqStreamAdapter *adapter;
  KqProgram *program;
  struct tevent_context *ev;
  const KqSettings *settings;
  KqEvacuation *evacuation;
  KqStreamTable *holder;
  KqControl *control;
  KqStreamJoin *join;
  KqHttpServer *reports;
  KqHttpServer *http;
  KqMetrics *metrics;
  KqMetric *request_latency;
  KqStreamSocket data;
  KqStreamSocket target;
  KqStreamSocket segments;
  KqPauseMonitor pause_monitor;
  uint16_t seed_port;
  uint16_t callers_port;
  uint32_t service;
  KqTimer *timer;
  KqTimer *stop_timer;
  KqTimer *summary_timer;
  KqStreamTableStats last_summary;
  KqTime stop_at;
  bool refused;
  uint64_t malformed;
} StreamAgent;

static void
update_phase (StreamAgent *agent)
{
  KqTargetPhase phase = kq_stream_table_phase (agent->holder);
  if (phase != kq_control_self (agent->control)->phase)
    kq_control_set_phase (agent->control, phase);
}

static void
batch_done (void *data)
{
  StreamAgent *agent = data;
  if (agent->refused)
    kq_stream_table_target_unreachable (agent->holder, kq_clock_now ());
  agent->refused = false;
  kq_timer_set (agent->timer, kq_stream_table_next_tick (agent->holder));
}

/* Called before any event that could treat what the sockets kept during a pause as new. */
static void
check_pause (void *data)
{
  StreamAgent *agent = data;
  KqTime now = kq_clock_now ();
  KqTime pause = kq_pause_monitor_event (&agent->pause_monitor, now);
  if (pause == 0)
    return;
  kq_log (LOG_NOTICE, "resumed", "paused_ms=%lld", (long long)(pause / KQ_MS));
  kq_stream_socket_mark_outdated (&agent->data);
  kq_stream_table_resume (agent->holder, now);
}

static void
on_tick (void *data)
{
  StreamAgent *agent = data;
  check_pause (agent);
  kq_stream_table_tick (agent->holder, kq_clock_now ());
  batch_done (agent);
}

static void
reject_malformed (StreamAgent *agent, const KqAddress *from, const KqError *error)
{
  agent->malformed++;
  kq_stream_log_malformed (from, error);
}

/* A balancer that sends frames is a live member, which helps when the seeds are gone. */
static void
note_balancer (StreamAgent *agent, const KqAddress *from)
{
  KqAddress control = *from;
  if (agent->seed_port == 0)
    return;
  control.port = agent->seed_port;
  kq_control_peer_heard (agent->control, &control);
}

static void
receive_frame (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  StreamAgent *agent = data;
  KqStreamFrame frame;
  KqSegment segment = { 0 };
  KqError error = { 0 };
  if (kq_stream_frame_decode (bytes, size, &frame, &error) < 0 ||
      (frame.segment != NULL && agent->adapter->codec->decode (frame.segment, frame.segment_size,
                                                               false, &segment, &error) < 0))
    {
      reject_malformed (agent, from, &error);
      return;
    }
  note_balancer (agent, from);
  if (frame.segment != NULL)
    frame.key = segment.key;
  if (agent->data.outdated > 0)
    kq_stream_table_handle_outdated_frame (agent->holder, from, &frame, &segment, kq_clock_now ());
  else
    kq_stream_table_handle_frame (agent->holder, from, &frame, &segment, kq_clock_now ());
}

static void
receive_segment (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  StreamAgent *agent = data;
  KqSegment segment;
  KqError error = { 0 };
  if (agent->adapter->codec->decode (bytes, size, true, &segment, &error) < 0)
    {
      reject_malformed (agent, from, &error);
      return;
    }
  kq_stream_table_handle_target_segment (agent->holder, &segment, kq_clock_now ());
  update_phase (agent);
}

/* The target receives segments on this connection and sends its own to target.segments_address, so
 * a datagram from it here is counted as malformed. */
static void
reject_datagram (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  StreamAgent *agent = data;
  (void)from;
  (void)bytes;
  (void)size;
  agent->malformed++;
}

static void
on_target_refused (void *data)
{
  StreamAgent *agent = data;
  agent->refused = true;
}

static void
send_to_balancer (const KqAddress *to, const KqStreamFrame *frame, void *data)
{
  StreamAgent *agent = data;
  kq_stream_send_frame (&agent->data, to, frame);
}

static void
deliver (const uint8_t *bytes, size_t size, uint32_t tag, void *data)
{
  StreamAgent *agent = data;
  uint8_t copy[KQ_SEGMENT_BYTES];
  if (tag != 0 && size <= sizeof copy)
    {
      memcpy (copy, bytes, size);
      agent->adapter->codec->set_tag (copy, tag);
      bytes = copy;
    }
  kq_stream_socket_send (&agent->target, NULL, bytes, size);
}

static void
send_to_caller (const KqStreamKey *key, const uint8_t *bytes, size_t size, void *data)
{
  StreamAgent *agent = data;
  KqAddress to = kq_ipv4_address (key->caller_ip, agent->callers_port);
  kq_stream_socket_send (&agent->data, &to, bytes, size);
}

static void
request_answered (KqTime took_us, void *data)
{
  StreamAgent *agent = data;
  kq_metric_observe (agent->request_latency, took_us);
}

/* Return: age of the target process by its report, or -1 when the report does not state it. */
static KqTime
target_process_age (const KqTargetReport *report)
{
  KqTime now_ms = (KqTime)(kq_clock_wall_us () / 1000);
  if (report->started_ms == 0)
    return -1;
  return (now_ms - (KqTime)report->started_ms) * KQ_MS;
}

static void
log_doubt (const KqTargetReport *report, KqTargetChange change, KqReportDoubt doubt)
{
  kq_log (LOG_INFO,
          change == KQ_TARGET_OUTDATED   ? "report-late"
          : change == KQ_TARGET_DEFERRED ? "report-deferred"
                                         : "report-doubtful",
          "target=%s state=%s born_ms=%llu sequence=%llu reason=%s", report->id,
          kq_target_state_name (report->state), (unsigned long long)report->started_ms,
          (unsigned long long)report->sequence, kq_report_doubt_name (doubt));
}

/* Only a report that is in force is acknowledged; after 503 the target sends it again. */
static unsigned
report_status (KqTargetChange change)
{
  if (change == KQ_TARGET_OUTDATED)
    return HTTP_CONFLICT;
  return change == KQ_TARGET_DEFERRED ? HTTP_UNAVAILABLE : HTTP_OK;
}

/* Return: HTTP status of the response. */
static unsigned
apply_report (StreamAgent *agent, const KqTargetReport *report)
{
  if (report->service != agent->service && report->state != KQ_TARGET_GONE)
    {
      kq_log (LOG_WARNING, "report-refused",
              "target=%s reason=\"the target serves another service\"", report->id);
      return HTTP_CONFLICT;
    }
  KqReportDoubt doubt;
  KqTargetChange change = kq_stream_table_target_report (
      agent->holder, report, target_process_age (report), kq_clock_now (), &doubt);
  if (change == KQ_TARGET_CHANGED || change == KQ_TARGET_RESTARTED)
    kq_log (LOG_NOTICE, "target-state", "target=%s state=%s life=%s born_ms=%llu sequence=%llu",
            report->id, kq_target_state_name (report->state),
            change == KQ_TARGET_RESTARTED ? "new" : "same", (unsigned long long)report->started_ms,
            (unsigned long long)report->sequence);
  if (change == KQ_TARGET_OUTDATED || change == KQ_TARGET_DEFERRED ||
      (change != KQ_TARGET_SAME && doubt != KQ_REPORT_PLAIN))
    log_doubt (report, change, doubt);
  update_phase (agent);
  batch_done (agent);
  return report_status (change);
}

static void
handle_report_request (KqHttpRequest *request, const char *method, const char *path,
                       const char *body, size_t size, void *data)
{
  StreamAgent *agent = data;
  KqTargetReport report;
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  unsigned status;
  if (agent->adapter->decode_report (method, path, body, size, &report, &error) == 0)
    status = apply_report (agent, &report);
  else
    {
      kq_log (LOG_WARNING, "report-refused", "error=%s", kq_log_quote (error.message, quoted));
      status = error.kind == KQ_ERROR_NOT_FOUND ? HTTP_NOT_FOUND : HTTP_INVALID;
    }
  kq_http_respond (request, status, "application/json", "{}", 2);
}

static void
handle_http (KqHttpRequest *request, const char *method, const char *path, const char *body,
             size_t size, void *data)
{
  StreamAgent *agent = data;
  bool get = strcmp (method, "GET") == 0;
  (void)body;
  (void)size;
  if (get && strcmp (path, agent->adapter->ready_path) == 0)
    kq_http_respond (request, agent->stop_at == 0 ? HTTP_OK : HTTP_UNAVAILABLE, "application/json",
                     "{}", 2);
  else if (get && strcmp (path, METRICS_PATH) == 0)
    {
      KqStreamTableStats stats = kq_stream_table_stats (agent->holder);
      KqTargetLoad load = kq_stream_table_load (agent->holder);
      kq_stream_metrics_update_agent (agent->metrics, &stats, &load,
                                      kq_stream_table_target (agent->holder), agent->malformed);
      kq_stream_metrics_respond (request, agent->metrics, agent->control);
    }
  else
    kq_http_respond (request, HTTP_NOT_FOUND, "application/json", "{}", 2);
}

static void
members_changed (void *data)
{
  StreamAgent *agent = data;
  if (agent->join != NULL)
    kq_stream_join_members_changed (agent->join);
}

static void
evacuation_changed (StreamAgent *agent, const char *source)
{
  kq_stream_evacuation_log (agent->evacuation, source);
  kq_stream_table_set_evacuated (
      agent->holder, kq_evacuation_contains (agent->evacuation,
                                             kq_settings_text (agent->settings, "failure_domain")));
}

static void
document_changed (const KqDocument *document, void *data)
{
  StreamAgent *agent = data;
  if (document->service != KQ_EVACUATION_DOCUMENT ||
      !kq_stream_evacuation_receive (agent->evacuation, document, kq_clock_now ()))
    return;
  evacuation_changed (agent, "peer");
}

static int
start_join (StreamAgent *agent, KqError *error)
{
  KqAddress address = kq_settings_address (agent->settings, "store.address");
  if (address.port == 0)
    return 0;
  KqStore *store =
      kq_store_new (agent, agent->ev, &address, 1, STORE_TIMEOUT_US, agent->adapter->store, error);
  if (store == NULL)
    return -1;
  agent->join = kq_stream_join_new (agent, agent->ev, store, agent->control, error);
  return agent->join == NULL ? -1 : 0;
}

static int
start_control (StreamAgent *agent, KqError *error)
{
  static const KqControlOps ops = { .members_changed = members_changed,
                                    .document_changed = document_changed,
                                    .ticked = check_pause,
                                    .incarnation_changed = kq_stream_log_incarnation_changed };
  agent->control = kq_stream_control_new (agent, agent->ev, agent->settings, KQ_ROLE_AGENT,
                                          agent->service, &ops, agent, error);
  return agent->control == NULL ? -1 : start_join (agent, error);
}

static int
open_servers (StreamAgent *agent, KqError *error)
{
  KqAddress reports = kq_settings_address (agent->settings, "target.reports_address");
  KqAddress http = kq_settings_address (agent->settings, "http.address");
  agent->reports =
      kq_http_server_new (agent, agent->ev, &reports, handle_report_request, agent, error);
  if (agent->reports == NULL)
    return -1;
  agent->http = kq_http_server_new (agent, agent->ev, &http, handle_http, agent, error);
  if (agent->http == NULL)
    return -1;
  return kq_stream_metrics_listen (agent, agent->ev, agent->settings, handle_http, agent, error);
}

static int
open_sockets (StreamAgent *agent, KqError *error)
{
  KqAddress data = kq_settings_address (agent->settings, "data.address");
  KqAddress target = kq_settings_address (agent->settings, "target.address");
  KqAddress segments = kq_settings_address (agent->settings, "target.segments_address");
  agent->data = (KqStreamSocket){ .before_batch = check_pause,
                                  .receive = receive_frame,
                                  .batch_done = batch_done };
  agent->segments = (KqStreamSocket){ .before_batch = check_pause,
                                      .receive = receive_segment,
                                      .batch_done = batch_done };
  agent->target = (KqStreamSocket){ .receive = reject_datagram,
                                    .connection_refused = on_target_refused,
                                    .batch_done = batch_done };
  agent->data.data = agent;
  agent->segments.data = agent;
  agent->target.data = agent;
  if (kq_stream_socket_open (agent, agent->ev, &agent->target, NULL, &target, error) < 0 ||
      kq_stream_socket_open (agent, agent->ev, &agent->segments, &segments, NULL, error) < 0)
    return -1;
  return kq_stream_socket_open (agent, agent->ev, &agent->data, &data, NULL, error);
}

/* The log limits the rate of single events; this summary covers all of them. */
static void
on_summary (void *data)
{
  StreamAgent *agent = data;
  KqStreamTableStats now = kq_stream_table_stats (agent->holder);
  KqTargetLoad load = kq_stream_table_load (agent->holder);
  const KqStreamTableStats *before = &agent->last_summary;
  kq_timer_set (agent->summary_timer, kq_clock_now () + SUMMARY_US);
  if (kq_evacuation_expire (agent->evacuation, kq_clock_now ()))
    evacuation_changed (agent, "not-written-again");
  if (now.to_target != before->to_target || load.waiting > 0)
    kq_log (LOG_INFO, "target-summary",
            "seconds=%d opened=%llu requests=%llu waited=%llu busy=%llu overload=%llu gone=%llu "
            "bounced=%llu running=%u slots=%u waiting=%u service_us=%u streams=%llu "
            "expected_permille=%u",
            (int)(SUMMARY_US / KQ_SECOND), (unsigned long long)(now.opened - before->opened),
            (unsigned long long)(now.requests - before->requests),
            (unsigned long long)(now.waited - before->waited),
            (unsigned long long)(now.declined[KQ_REFUSAL_BUSY] - before->declined[KQ_REFUSAL_BUSY]),
            (unsigned long long)(now.declined[KQ_REFUSAL_OVERLOAD] -
                                 before->declined[KQ_REFUSAL_OVERLOAD]),
            (unsigned long long)(now.gone - before->gone),
            (unsigned long long)(now.bounced - before->bounced), load.running, load.slots,
            load.waiting, load.service_us, (unsigned long long)now.streams, load.expected_permille);
  agent->last_summary = now;
}

static void
on_stop (void *data)
{
  StreamAgent *agent = data;
  KqTime now = kq_clock_now ();
  if (now < agent->stop_at && kq_stream_table_load (agent->holder).running > 0)
    kq_timer_set (agent->stop_timer, now + STOP_TICK_US);
  else if (!kq_stream_leave (agent->control, agent->stop_timer))
    kq_program_quit (agent->program, KQ_EXIT_OK);
}

static int
start_holder (StreamAgent *agent, KqError *error)
{
  static const KqStreamTableOps ops = { .answer = send_to_balancer,
                                        .deliver = deliver,
                                        .to_caller = send_to_caller,
                                        .event = kq_stream_log_event,
                                        .answered = request_answered };
  KqStreamTableParams params = { .agent = kq_hash_name (kq_settings_text (agent->settings, "name")),
                                 .service = agent->service,
                                 .features =
                                     kq_stream_features_log (agent->settings, agent->adapter) };
  agent->holder = kq_stream_table_new (agent, &params, &ops, agent, kq_clock_now ());
  agent->evacuation = kq_evacuation_new (agent);
  agent->metrics = kq_metrics_new (agent);
  agent->timer = kq_timer_new (agent, agent->ev, on_tick, agent, error);
  agent->stop_timer = kq_timer_new (agent, agent->ev, on_stop, agent, error);
  if (agent->holder == NULL || agent->evacuation == NULL || agent->metrics == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for the stream table; raise the memory limit");
  agent->request_latency = kq_stream_metrics_request_latency (agent->metrics);
  agent->summary_timer = kq_timer_new (agent, agent->ev, on_summary, agent, error);
  if (agent->timer == NULL || agent->stop_timer == NULL || agent->summary_timer == NULL)
    return -1;
  kq_timer_set (agent->summary_timer, kq_clock_now () + SUMMARY_US);
  return 0;
}

static void *
start (KqProgram *program, struct tevent_context *ev, const KqSettings *settings, KqError *error)
{
  StreamAgent *agent = talloc_zero (program, StreamAgent);
  agent->adapter = kq_program_data (program);
  agent->program = program;
  agent->ev = ev;
  agent->settings = settings;
  agent->seed_port = (uint16_t)kq_settings_integer (settings, "control.seed_port");
  agent->callers_port = kq_settings_address (settings, "data.address").port;
  agent->service = kq_service_number (kq_settings_text (settings, "target.service"));
  if (start_holder (agent, error) < 0 || start_control (agent, error) < 0 ||
      open_sockets (agent, error) < 0 || open_servers (agent, error) < 0)
    {
      talloc_free (agent);
      return NULL;
    }
  return agent;
}

static void
stop (void *state)
{
  StreamAgent *agent = state;
  KqTime now = kq_clock_now ();
  agent->stop_at = now + kq_settings_integer (agent->settings, "shutdown.drain_ms") * KQ_MS;
  kq_stream_table_stop_accepting (agent->holder);
  update_phase (agent);
  kq_timer_set (agent->stop_timer, now + STOP_TICK_US);
}

static void
reload (void *state, const KqSettings *settings)
{
  StreamAgent *agent = state;
  agent->settings = settings;
  agent->seed_port = (uint16_t)kq_settings_integer (settings, "control.seed_port");
  kq_stream_update_control (agent->control, settings);
}

int
kq_stream_agent_main (int argc, const char **argv, const KqStreamAdapter *adapter)
{
  KqProgramOps ops = {
    .name = "kumquat-agent",
    .summary =
        "runs beside a target: admits new streams and tracks the streams that the target serves",
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
