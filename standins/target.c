/* Stand-in target: a CoAP server of one service with execution slots, a queue, a cold start and
 * feeds (CoAP observations).
 *
 * It does not deduplicate: every request that arrives is executed and recorded, so that the journal
 * shows duplicates that the system failed to suppress. Journal events: "flow" (first request of a
 * flow at this target), "run" and "done" (start and end of a non-idempotent request), "wrong"
 * (request for another service).
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "content.h"
#include "journal.h"
#include "kumquat/coap_message.h"
#include "net.h"
#include "standin.h"

#define JOBS_MAX         256
#define FEEDS_MAX        4096
#define RECEIVE_BATCH    64
#define FEED_LIFETIME_US (10 * KQ_SECOND) /* removed unless the caller renews it */
#define FAULT_INTERVAL   10
#define OPERATION_MAX    48

/**
 * struct Job - one queued or running request
 */
typedef struct
{
  struct Target *target;
  struct sockaddr_in peer;
  KqCoapMessage request;
  char operation[OPERATION_MAX];
  ContentHead head;
  KqTime arrived;
  KqTime expires;
  bool running;
} Job;

/**
 * struct Feed - one CoAP observation of the scoreboard
 */
typedef struct
{
  bool used;
  struct sockaddr_in peer;
  uint8_t token[KQ_COAP_TOKEN_BYTES];
  uint8_t token_size;
  ContentHead head;
  uint32_t number;
  uint16_t last_id;
  KqTime renewed;
} Feed;

/**
 * struct Counts - counters reported in the summary
 */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t operations;
  uint64_t shed;
  uint64_t expired;
  uint64_t cancelled;
  uint64_t malformed;
  uint64_t wrong_service;
  uint64_t notifications;
  uint64_t busy_us;
  uint64_t worth;
} Counts;

typedef struct Target
{
  Standin *standin;
  int fd;
  const char *service;
  const char *name;
  int slots;
  int limit;
  double mean_ms;
  int cold_ms;
  double cold_factor;
  int feed_ms;
  int report_zero_load;
  const char *misbehave;
  unsigned answers;
  KqTime started;
  Job *jobs[JOBS_MAX]; /* in order of arrival */
  int job_count;
  int running;
  Feed feeds[FEEDS_MAX];
  int feed_count;
  uint16_t next_id;
  json_t *flows;
  Journal journal;
  Counts counts;
} Target;

static void
send_message (Target *target, const struct sockaddr_in *to, const KqCoapMessage *message)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  int size = kq_coap_message_format (message, bytes, sizeof bytes);
  if (size > 0)
    net_send (target->fd, bytes, (size_t)size, to, NULL);
}

static KqCoapMessage
make_answer (Target *target, const KqCoapMessage *request, uint8_t code)
{
  KqCoapMessage answer = { .code = code, .token_size = request->token_size };
  memcpy (answer.token, request->token, request->token_size);
  answer.type = request->type == KQ_COAP_CON ? KQ_COAP_ACK : KQ_COAP_NON;
  answer.message_id = request->type == KQ_COAP_CON ? request->message_id : target->next_id++;
  return answer;
}

static void
send_empty_answer (Target *target, const struct sockaddr_in *to, const KqCoapMessage *request,
                   uint8_t code)
{
  KqCoapMessage answer = make_answer (target, request, code);
  answer.max_age_present = code == KQ_COAP_SERVICE_UNAVAILABLE;
  answer.max_age = 1;
  send_message (target, to, &answer);
}

static void
notify (Target *target, Feed *feed, const KqCoapMessage *request)
{
  uint8_t payload[CONTENT_HEAD_BYTES];
  KqCoapMessage message = { .type = KQ_COAP_NON, .code = KQ_COAP_CONTENT };
  if (request != NULL)
    message = make_answer (target, request, KQ_COAP_CONTENT);
  else
    message.message_id = target->next_id++;
  message.token_size = feed->token_size;
  memcpy (message.token, feed->token, feed->token_size);
  message.observe_present = true;
  message.observe = ++feed->number;
  content_write_head (&feed->head, payload);
  message.payload = payload;
  message.payload_size = sizeof payload;
  feed->last_id = message.message_id;
  target->counts.notifications++;
  send_message (target, &feed->peer, &message);
}

static bool
same_peer (const struct sockaddr_in *a, const struct sockaddr_in *b)
{
  return a->sin_port == b->sin_port && a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static void
register_feed (Target *target, const Job *job, KqTime now)
{
  Feed *free_feed = NULL;
  Feed *found = NULL;
  for (int i = 0; i < FEEDS_MAX && found == NULL; i++)
    {
      Feed *feed = &target->feeds[i];
      if (!feed->used)
        free_feed = free_feed != NULL ? free_feed : feed;
      else if (same_peer (&feed->peer, &job->peer) && feed->token_size == job->request.token_size &&
               memcmp (feed->token, job->request.token, feed->token_size) == 0)
        found = feed;
    }
  if (found == NULL && free_feed == NULL)
    {
      send_empty_answer (target, &job->peer, &job->request, KQ_COAP_SERVICE_UNAVAILABLE);
      return;
    }
  if (found == NULL)
    {
      found = free_feed;
      *found = (Feed){ .used = true, .peer = job->peer, .token_size = job->request.token_size };
      memcpy (found->token, job->request.token, found->token_size);
      target->feed_count++;
    }
  found->head = job->head;
  found->renewed = now;
  notify (target, found, &job->request);
}

static void
remove_feed (Target *target, Feed *feed)
{
  feed->used = false;
  target->feed_count--;
}

static void
send_notifications (KqTime now, void *data)
{
  Target *target = data;
  for (int i = 0; i < FEEDS_MAX && target->feed_count > 0; i++)
    {
      Feed *feed = &target->feeds[i];
      if (!feed->used)
        continue;
      if (now - feed->renewed > FEED_LIFETIME_US)
        remove_feed (target, feed);
      else
        notify (target, feed, NULL);
    }
}

/* Writes the body that follows the head. Return: its size, or -1 if the resource does not exist. */
static int
write_body (const Job *job, uint8_t *bytes, size_t capacity, KqCoapMessage *answer)
{
  const char *path = job->request.path;
  unsigned file;
  if (sscanf (path, "files/%u", &file) == 1)
    {
      uint32_t block = job->request.block2.present ? job->request.block2.num : 0;
      if (block >= CONTENT_FILE_BLOCKS)
        return -1;
      size_t size = CONTENT_BLOCK - CONTENT_HEAD_BYTES;
      content_write_file (file, block * CONTENT_BLOCK + CONTENT_HEAD_BYTES, bytes, size);
      answer->block2 = (KqCoapBlock){ true, block + 1 < CONTENT_FILE_BLOCKS, CONTENT_SZX, block };
      return (int)size;
    }
  if (job->request.code == KQ_COAP_POST)
    return snprintf ((char *)bytes, capacity, "done %s", job->operation);
  if (strncmp (path, "marks/", 6) == 0 || strcmp (path, "availability") == 0 ||
      strcmp (path, "board") == 0)
    return snprintf ((char *)bytes, capacity, "state of %s", path);
  return -1;
}

/* Selects every tenth answer for the fault @fault_name, so that tests can check that callers detect
 * it. */
static bool
should_inject_fault (Target *target, const char *fault_name)
{
  if (target->misbehave == NULL || strcmp (target->misbehave, fault_name) != 0)
    return false;
  return ++target->answers % FAULT_INTERVAL == 0;
}

static void
answer_job (Job *job)
{
  Target *target = job->target;
  uint8_t payload[CONTENT_BLOCK];
  KqCoapMessage answer = make_answer (
      target, &job->request, job->request.code == KQ_COAP_POST ? KQ_COAP_CREATED : KQ_COAP_CONTENT);
  int size =
      write_body (job, payload + CONTENT_HEAD_BYTES, sizeof payload - CONTENT_HEAD_BYTES, &answer);
  if (size < 0)
    {
      send_empty_answer (target, &job->peer, &job->request, KQ_COAP_NOT_FOUND);
      return;
    }
  if (should_inject_fault (target, "refuse"))
    {
      send_empty_answer (target, &job->peer, &job->request, KQ_COAP_SERVICE_UNAVAILABLE);
      return;
    }
  if (should_inject_fault (target, "half"))
    size /= 2;
  content_write_head (&job->head, payload);
  answer.payload = payload;
  answer.payload_size = CONTENT_HEAD_BYTES + (size_t)size;
  send_message (target, &job->peer, &answer);
}

static void start_queued_jobs (Target *target);

static void
remove_job (Target *target, Job *job)
{
  for (int i = 0; i < target->job_count; i++)
    if (target->jobs[i] == job)
      {
        target->job_count--;
        memmove (&target->jobs[i], &target->jobs[i + 1],
                 (size_t)(target->job_count - i) * sizeof (Job *));
        break;
      }
  talloc_free (job);
}

static void
on_job_done (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  Job *job = data;
  Target *target = job->target;
  if (job->operation[0] != '\0')
    journal_write (&target->journal, "done", job->operation);
  if (job->request.observe_present && job->request.observe == 0)
    register_feed (target, job, standin_now ());
  else
    answer_job (job);
  target->counts.answered++;
  target->running--;
  remove_job (target, job);
  start_queued_jobs (target);
}

/* Relative service time of a request: a lookup takes half as long as a mark. */
static double
relative_service_time (const Job *job)
{
  if (job->request.code == KQ_COAP_POST)
    return 1.0;
  return 0.5;
}

static void
start_job (Target *target, Job *job, KqTime now)
{
  double ms = target->mean_ms * relative_service_time (job) *
              (0.5 + kq_random_double (&target->standin->random));
  if (now - target->started < target->cold_ms * KQ_MS)
    ms *= target->cold_factor;
  job->running = true;
  target->running++;
  target->counts.busy_us += (uint64_t)(ms * 1000);
  target->counts.worth += job->request.code == KQ_COAP_POST ? 10 : 1;
  if (job->operation[0] != '\0')
    {
      target->counts.operations++;
      journal_write (&target->journal, "run", job->operation);
    }
  tevent_add_timer (target->standin->ev, job,
                    tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                                (uint32_t)((uint64_t)(ms * 1000) % KQ_SECOND)),
                    on_job_done, job);
}

static void
start_queued_jobs (Target *target)
{
  KqTime now = standin_now ();
  for (int i = 0; i < target->job_count && target->running < target->slots;)
    {
      Job *job = target->jobs[i];
      if (!job->running && now > job->expires)
        {
          target->counts.expired++;
          send_empty_answer (target, &job->peer, &job->request, KQ_COAP_SERVICE_UNAVAILABLE);
          remove_job (target, job);
          continue;
        }
      if (!job->running)
        start_job (target, job, now);
      i++;
    }
}

/* Handles a CoAP reset: ends the feed whose last notification has this message ID, or cancels the
 * queued request with this message ID. */
static void
handle_reset (Target *target, const struct sockaddr_in *peer, uint16_t id)
{
  for (int i = 0; i < FEEDS_MAX && target->feed_count > 0; i++)
    if (target->feeds[i].used && target->feeds[i].last_id == id &&
        same_peer (&target->feeds[i].peer, peer))
      remove_feed (target, &target->feeds[i]);
  for (int i = 0; i < target->job_count; i++)
    {
      Job *job = target->jobs[i];
      if (!job->running && job->request.message_id == id && same_peer (&job->peer, peer))
        {
          target->counts.cancelled++;
          remove_job (target, job);
          return;
        }
    }
}

static void
record_flow (Target *target, const char *flow)
{
  if (json_object_get (target->flows, flow) != NULL)
    return;
  json_object_set_new (target->flows, flow, json_true ());
  journal_write (&target->journal, "flow", flow);
}

static void
read_operation (Job *job)
{
  size_t size = job->request.payload_size;
  if (job->request.code == KQ_COAP_POST && size > 0 && size < OPERATION_MAX)
    memcpy (job->operation, job->request.payload, size);
}

static bool
check_service (Target *target, const struct sockaddr_in *peer, const KqCoapMessage *request)
{
  char service[CONTENT_ID_BYTES] = "";
  kq_coap_query_text (request, "s", service, sizeof service);
  if (strcmp (service, target->service) == 0)
    return true;
  target->counts.wrong_service++;
  journal_write (&target->journal, "wrong", service);
  send_empty_answer (target, peer, request, KQ_COAP_NOT_FOUND);
  return false;
}

static void
handle_request (Target *target, const struct sockaddr_in *peer, const KqCoapMessage *request)
{
  target->counts.requests++;
  if (strcmp (request->path, "load") == 0)
    {
      char text[32];
      KqCoapMessage answer = make_answer (target, request, KQ_COAP_CONTENT);
      int load = target->report_zero_load ? 0 : target->job_count * 1000 / target->slots;
      answer.payload_size = (size_t)snprintf (text, sizeof text, "load=%d", load);
      answer.payload = (uint8_t *)text;
      send_message (target, peer, &answer);
      return;
    }
  if (!check_service (target, peer, request))
    return;
  if (target->job_count >= target->limit || target->job_count >= JOBS_MAX)
    {
      target->counts.shed++;
      send_empty_answer (target, peer, request, KQ_COAP_SERVICE_UNAVAILABLE);
      return;
    }
  Job *job = talloc_zero (target, Job);
  uint32_t deadline_ms = 60000;
  job->target = target;
  job->peer = *peer;
  job->request = *request;
  job->arrived = standin_now ();
  read_operation (job);
  job->request.payload = NULL;
  kq_coap_query_number (request, KQ_COAP_QUERY_DEADLINE, &deadline_ms);
  job->expires = job->arrived + deadline_ms * KQ_MS;
  job->head.incarnation = (uint32_t)getpid ();
  snprintf (job->head.service, sizeof job->head.service, "%s", target->service);
  snprintf (job->head.target, sizeof job->head.target, "%s", target->name);
  kq_coap_query_text (request, "f", job->head.flow, sizeof job->head.flow);
  kq_coap_query_number (request, "n", &job->head.request);
  record_flow (target, job->head.flow);
  target->jobs[target->job_count++] = job;
  start_queued_jobs (target);
}

static void
answer_ping (Target *target, const struct sockaddr_in *peer, uint16_t id)
{
  KqCoapMessage reset = { .type = KQ_COAP_RST, .message_id = id };
  send_message (target, peer, &reset);
}

static void
on_datagram (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  Target *target = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in peer;
  ssize_t size;
  for (int i = 0; i < RECEIVE_BATCH &&
                  (size = net_receive (target->fd, bytes, sizeof bytes, &peer, NULL)) >= 0;
       i++)
    {
      KqCoapMessage message;
      if (kq_coap_message_parse (bytes, (size_t)size, &message, NULL) != 0)
        target->counts.malformed++;
      else if (message.type == KQ_COAP_RST)
        handle_reset (target, &peer, message.message_id);
      else if (message.type == KQ_COAP_CON && message.code == KQ_COAP_EMPTY)
        answer_ping (target, &peer, message.message_id);
      else if (message.code >= KQ_COAP_GET && message.code <= KQ_COAP_DELETE)
        handle_request (target, &peer, &message);
    }
}

static json_t *
summarize (const Target *target)
{
  const Counts *counts = &target->counts;
  return json_pack ("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:I}", "name",
                    target->name, "service", target->service, "requests",
                    (json_int_t)counts->requests, "answered", (json_int_t)counts->answered,
                    "operations", (json_int_t)counts->operations, "shed", (json_int_t)counts->shed,
                    "expired", (json_int_t)counts->expired, "cancelled",
                    (json_int_t)counts->cancelled, "malformed", (json_int_t)counts->malformed,
                    "wrong_service", (json_int_t)counts->wrong_service, "notifications",
                    (json_int_t)counts->notifications, "busy_us", (json_int_t)counts->busy_us,
                    "worth", (json_int_t)counts->worth, "cut", target->job_count, "feeds",
                    target->feed_count, "flows", (json_int_t)json_object_size (target->flows));
}

int
main (int argc, const char **argv)
{
  Target *target = talloc_zero (NULL, Target);
  static char *listen = NULL;
  static char *service = NULL;
  static char *name = NULL;
  static char *misbehave = NULL;
  static char *journal = NULL;
  static char *summary = NULL;
  int seed = 1;
  int seconds = 120;
  target->slots = 5;
  target->limit = 64;
  target->mean_ms = 4;
  target->cold_factor = 5;
  target->feed_ms = 200;
  struct poptOption options[] = {
    { "listen", 0, POPT_ARG_STRING, &listen, 0, "address of the CoAP server", "IP:PORT" },
    { "service", 0, POPT_ARG_STRING, &service, 0, "name of the service", "NAME" },
    { "name", 0, POPT_ARG_STRING, &name, 0, "name of the target", "NAME" },
    { "slots", 0, POPT_ARG_INT, &target->slots, 0, "maximum concurrent requests", "N" },
    { "limit", 0, POPT_ARG_INT, &target->limit, 0, "shed load above this many", "N" },
    { "mean-ms", 0, POPT_ARG_DOUBLE, &target->mean_ms, 0, "mean service time", "MS" },
    { "cold-ms", 0, POPT_ARG_INT, &target->cold_ms, 0, "duration of the cold start", "MS" },
    { "cold-factor", 0, POPT_ARG_DOUBLE, &target->cold_factor, 0, "slowdown during cold start",
      "X" },
    { "feed-ms", 0, POPT_ARG_INT, &target->feed_ms, 0, "notification interval", "MS" },
    { "lie", 0, POPT_ARG_NONE, &target->report_zero_load, 0, "report a load of 0 at /load", NULL },
    { "misbehave", 0, POPT_ARG_STRING, &misbehave, 0, "fault: half or refuse", "HOW" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the service times", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "run time limit", "S" },
    { "journal", 0, POPT_ARG_STRING, &journal, 0, "write the journal to this file", "FILE" },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  if (poptGetNextOpt (context) < -1 || listen == NULL || service == NULL || name == NULL ||
      target->slots < 1)
    standin_fail ("options", "give --listen, --service and --name, see --help");
  target->service = service;
  target->name = name;
  target->misbehave = misbehave;
  struct sockaddr_in address = net_address (listen);
  target->standin = standin_new ((uint64_t)seed, seconds);
  target->started = standin_now ();
  target->flows = json_object ();
  target->fd = net_udp_socket (&address);
  journal_open (&target->journal, journal);
  tevent_add_fd (target->standin->ev, target->standin, target->fd, TEVENT_FD_READ, on_datagram,
                 target);
  standin_tick (target->standin, target->feed_ms * KQ_MS, send_notifications, target);
  standin_ready (target->name);
  standin_run (target->standin);
  int status = standin_summary (summarize (target), summary);
  json_decref (target->flows);
  talloc_free (target->standin);
  talloc_free (target);
  poptFreeContext (context);
  return status;
}
