/* Stand-in for callers: simulates many flows of one service in one process and checks every answer.
 *
 * Journal events: "answered", "refused", "unknown" and "unanswered" carry an operation (a mark or a
 * reservation); "broken", "half" (truncated answer), "wrong" (answer of another service) and
 * "crossed" (answer of another flow or request) carry a flow and the reason. */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"
#include "net.h"

#define FLOWS_MAX        16384
#define TICK_INTERVAL_US (2 * KQ_MS)

typedef struct
{
  Caller caller;
  CallerFlow *flows[FLOWS_MAX];
  unsigned count;
  KqTime traffic_ends;
} CallerRun;

static void
on_tick (KqTime now, void *data)
{
  CallerRun *run = data;
  bool open = false;
  if (now >= run->traffic_ends)
    run->caller.closing = true;
  for (unsigned i = 0; i < run->count; i++)
    {
      caller_flow_tick (run->flows[i], now);
      open |= run->flows[i]->state != FLOW_IDLE;
    }
  if (run->caller.closing && !open)
    run->caller.standin->ended = true;
}

/* Handles "stop": sends no new requests and exits when none is outstanding. */
static void
on_control_line (char *line, void *data)
{
  CallerRun *run = data;
  if (strcmp (line, "stop") == 0)
    run->caller.closing = true;
  else
    standin_fail (line, "send stop or quit");
}

static int
compare_latency (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static json_int_t
percentile (const Caller *caller, double quantile)
{
  if (caller->latency_count == 0)
    return 0;
  return caller->latency_us[(unsigned)(quantile * (caller->latency_count - 1))];
}

static Workload
work_of_service (const char *service)
{
  if (strcmp (service, "scoring") == 0)
    return WORKLOAD_MARKS;
  if (strcmp (service, "utleie") == 0)
    return WORKLOAD_RENTALS;
  return WORKLOAD_DOWNLOADS;
}

static void
add_counts (json_t *summary, const CallerCounts *c)
{
  const struct
  {
    const char *name;
    uint64_t value;
  } entries[] = { { "requests", c->requests },
                  { "marks", c->marks },
                  { "whole", c->whole },
                  { "refused", c->refused },
                  { "unknown", c->unknown },
                  { "unanswered", c->unanswered },
                  { "retries", c->retries },
                  { "repeats", c->repeats },
                  { "challenges", c->challenges },
                  { "late", c->late },
                  { "wrong_service", c->wrong_service },
                  { "crossed", c->crossed },
                  { "half", c->half },
                  { "failed", c->failed },
                  { "files", c->files },
                  { "notifications", c->notifications },
                  { "flows_opened", c->flows_opened },
                  { "flows_kept", c->flows_kept },
                  { "flows_broken", c->flows_broken },
                  { "moved", c->moved },
                  { "silent", c->silent },
                  { "feeds", c->feeds },
                  { "feeds_broken", c->feeds_broken } };
  for (size_t i = 0; i < sizeof entries / sizeof entries[0]; i++)
    json_object_set_new (summary, entries[i].name, json_integer ((json_int_t)entries[i].value));
}

static json_t *
summarize (CallerRun *run)
{
  Caller *caller = &run->caller;
  for (unsigned i = 0; i < run->count; i++)
    caller_flow_close (run->flows[i]);
  qsort (caller->latency_us, caller->latency_count, sizeof *caller->latency_us, compare_latency);
  json_t *summary =
      json_pack ("{s:s,s:s,s:I,s:I,s:I,s:I}", "name", caller->name, "service", caller->service,
                 "p50_us", percentile (caller, 0.5), "p90_us", percentile (caller, 0.9), "p99_us",
                 percentile (caller, 0.99), "max_us", percentile (caller, 1));
  add_counts (summary, &caller->counts);
  return summary;
}

int
main (int argc, const char **argv)
{
  CallerRun *run = talloc_zero (NULL, CallerRun);
  Caller *caller = &run->caller;
  static char *fabric = NULL;
  static char *service = NULL;
  static char *name = NULL;
  static char *ip = "127.0.9.1";
  static char *journal = NULL;
  static char *summary = NULL;
  int seed = 1;
  int seconds = 10;
  int flows = 20;
  int feeds = 0;
  int control = 0;
  caller->ack_ms = 200;
  caller->deadline_ms = 4000;
  caller->think_ms = 20;
  caller->budget_percent = 10;
  struct poptOption options[] = {
    { "fabric", 0, POPT_ARG_STRING, &fabric, 0, "destination of the requests", "IP:PORT" },
    { "ip", 0, POPT_ARG_STRING, &ip, 0, "address of the callers", "IP" },
    { "name", 0, POPT_ARG_STRING, &name, 0, "unique name, up to 8 letters", "NAME" },
    { "service", 0, POPT_ARG_STRING, &service, 0, "scoring, media...", "NAME" },
    { "flows", 0, POPT_ARG_INT, &flows, 0, "flows that send requests", "N" },
    { "feeds", 0, POPT_ARG_INT, &feeds, 0, "flows that observe the board", "N" },
    { "think-ms", 0, POPT_ARG_INT, &caller->think_ms, 0, "mean think time between requests", "MS" },
    { "ack-ms", 0, POPT_ARG_INT, &caller->ack_ms, 0, "initial retransmission timeout", "MS" },
    { "deadline-ms", 0, POPT_ARG_INT, &caller->deadline_ms, 0, "deadline of a request", "MS" },
    { "budget", 0, POPT_ARG_INT, &caller->budget_percent, 0, "retry budget, percent of requests",
      "PERCENT" },
    { "life-ms", 0, POPT_ARG_INT, &caller->flow_lifetime_ms, 0, "mean flow lifetime; 0: unlimited",
      "MS" },
    { "reuse-echo", 0, POPT_ARG_NONE, &caller->reuse_echo, 0, "reuse Echo values", NULL },
    { "non", 0, POPT_ARG_NONE, &caller->non_confirmable, 0, "do not retransmit", NULL },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the requests", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of the traffic", "S" },
    { "control", 0, POPT_ARG_NONE, &control, 0, "read control lines", NULL },
    { "journal", 0, POPT_ARG_STRING, &journal, 0, "write the journal to this file", "FILE" },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  if (poptGetNextOpt (context) < -1 || fabric == NULL || service == NULL || name == NULL ||
      strlen (name) > 8 || flows + feeds > FLOWS_MAX)
    standin_fail ("options", "give --fabric, --service and --name, see --help");
  caller->service = service;
  caller->name = name;
  caller->standin = standin_new ((uint64_t)seed, seconds + caller->deadline_ms / 1000 + 10);
  caller->fabric = net_address (fabric);
  caller->ip = net_ip (ip);
  caller->latency_us = talloc_array (run, uint32_t, LATENCIES_MAX);
  journal_open (&caller->journal, journal);
  run->traffic_ends = standin_now () + seconds * KQ_SECOND;
  for (int i = 0; i < flows + feeds; i++)
    {
      Workload workload = i < flows ? work_of_service (caller->service) : WORKLOAD_FEED;
      run->flows[run->count++] = caller_flow_new (caller, (unsigned)i, workload);
    }
  if (control)
    standin_lines (caller->standin, on_control_line, run);
  standin_tick (caller->standin, TICK_INTERVAL_US, on_tick, run);
  standin_ready (caller->name);
  standin_run (caller->standin);
  int status = standin_summary (summarize (run), summary);
  talloc_free (caller->standin);
  talloc_free (run);
  poptFreeContext (context);
  return status;
}
