/* Benchmark of the control plane with real sockets: many instances on one event loop join, receive
 * a document and then stay idle. Writes build/measured/control.txt. */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "kumquat/control.h"
#include "kumquat/internal/clock.h"
#include "kumquat/log.h"
#include "measured.h"

#define INSTANCES      100
#define BALANCERS      10
#define PORT           8400
#define MEASUREMENT_US (10 * KQ_SECOND)
#define WAIT_LIMIT_US  (60 * KQ_SECOND)

static KqControl *controls[INSTANCES];
static uint8_t document_text[600];

static KqAddress
address_of (unsigned index)
{
  char address_text[KQ_ADDRESS_TEXT_BYTES];
  KqAddress address;
  snprintf (address_text, sizeof address_text, "127.0.8.%u:%u", 1 + index, PORT);
  kq_address_parse (address_text, &address, NULL);
  return address;
}

static bool
start_instance (struct tevent_context *ev, unsigned index)
{
  static const KqControlOps ops = { 0 };
  KqError error = { 0 };
  KqControlParams params = { .seed_count = 2 };
  snprintf (params.self.name, KQ_NAME_BYTES, "instance-%u", index);
  snprintf (params.self.failure_domain, KQ_NAME_BYTES, "domain-%u", index % 3);
  params.self.role = index < BALANCERS ? KQ_ROLE_BALANCER : KQ_ROLE_AGENT;
  params.self.service = index < BALANCERS ? 0 : 1;
  params.self.weight = 100;
  params.self.control = address_of (index);
  params.seeds[0] = address_of (0);
  params.seeds[1] = address_of (1);
  params.probe_interval_us = 200 * KQ_MS;
  params.suspicion_us = 2500 * KQ_MS;
  params.budget_bytes_per_s = 21000;
  controls[index] = kq_control_new (ev, ev, &params, &ops, NULL, &error);
  if (controls[index] == NULL)
    fprintf (stderr, "%s\n", error.message);
  return controls[index] != NULL;
}

static double
read_metric (const KqControl *control, const char *name)
{
  char line[128];
  char *metrics = kq_control_metrics (NULL, control);
  snprintf (line, sizeof line, "\n%s ", name);
  const char *found = strstr (metrics, line);
  double value = found == NULL ? 0 : strtod (found + strlen (line), NULL);
  talloc_free (metrics);
  return value;
}

static double
sum_metric (const char *name)
{
  double sum = 0;
  for (unsigned i = 0; i < INSTANCES; i++)
    sum += read_metric (controls[i], name);
  return sum;
}

static double
bytes_sent (void)
{
  return sum_metric ("kumquat_control_sent_bytes_total") +
         sum_metric ("kumquat_control_bulk_sent_bytes_total");
}

static double
cpu_seconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
run_loop (struct tevent_context *ev, KqTime duration)
{
  KqTime end = kq_clock_now () + duration;
  while (kq_clock_now () < end)
    tevent_loop_once (ev);
}

static bool
all_joined (void)
{
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      unsigned count;
      kq_control_members (controls[i], &count);
      if (count != INSTANCES)
        return false;
    }
  return true;
}

static double
join_seconds (struct tevent_context *ev)
{
  KqTime begin = kq_clock_now ();
  while (!all_joined () && kq_clock_now () - begin < WAIT_LIMIT_US)
    run_loop (ev, 100 * KQ_MS);
  return (double)(kq_clock_now () - begin) / (double)KQ_SECOND;
}

static double
in_force_seconds (struct tevent_context *ev)
{
  KqDocumentStatus status = { 0 };
  KqDocument document = {
    .service = 1, .revision = { 1, 1 }, .bytes = document_text, .size = sizeof document_text
  };
  KqTime begin = kq_clock_now ();
  kq_control_publish (controls[0], &document, NULL);
  while ((status.balancers != BALANCERS || status.balancers_in_force != BALANCERS ||
          status.agents != status.agents_in_force) &&
         kq_clock_now () - begin < WAIT_LIMIT_US)
    {
      run_loop (ev, 20 * KQ_MS);
      kq_control_in_force (controls[1], 1, &status);
    }
  return (double)(kq_clock_now () - begin) / (double)KQ_SECOND;
}

static void
line (FILE *file, const char *name, double value, const char *unit)
{
  printf ("  %-40s %12.2f %s\n", name, value, unit);
  measured_write (file, name, value, unit);
}

int
main (void)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  const double seconds = (double)MEASUREMENT_US / (double)KQ_SECOND;
  kq_log_open ("control_slope", "-", LOG_ERR);
  FILE *file = measured_open ("control");
  if (file == NULL)
    return 1;
  size_t before = mallinfo2 ().uordblks;
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      if (!start_instance (ev, i))
        return 1;
    }
  printf ("%u instances with real sockets on one event loop, loopback, no loss\n", INSTANCES);
  line (file, "control_join_s_100", join_seconds (ev), "s");
  line (file, "control_in_force_s_100", in_force_seconds (ev), "s");
  run_loop (ev, 5 * KQ_SECOND);
  line (file, "control_heap_bytes", (double)(mallinfo2 ().uordblks - before) / INSTANCES, "B");
  double bytes = bytes_sent ();
  double datagrams = sum_metric ("kumquat_control_datagrams_total");
  double cpu = cpu_seconds ();
  run_loop (ev, MEASUREMENT_US);
  cpu = cpu_seconds () - cpu;
  bytes = bytes_sent () - bytes;
  datagrams = sum_metric ("kumquat_control_datagrams_total") - datagrams;
  line (file, "control_idle_bytes_per_s_100", bytes / INSTANCES / seconds, "B/s");
  line (file, "control_idle_datagrams_per_s", datagrams / INSTANCES / seconds, "1/s");
  line (file, "control_cpu_us_per_s_100", cpu * 1e6 / INSTANCES / seconds, "us/s");
  line (file, "control_cpu_ns_per_datagram", cpu * 1e9 / datagrams, "ns");
  line (file, "control_deaths", sum_metric ("kumquat_member_deaths_total"), "deaths");
  fclose (file);
  talloc_free (ev);
  return 0;
}
