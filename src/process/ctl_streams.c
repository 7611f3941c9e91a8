/* Prints the status of stream balancers and agents from their metrics. These processes have no
 * operators' interface; a configuration counts as confirmed once it is in the store. */

#include <stdlib.h>
#include <string.h>

#include "kumquat/ctl.h"
#include "kumquat/internal/ctl_impl.h"

#define METRICS_PATH "/metrics"
#define TIMEOUT_US   (2 * KQ_SECOND) /* a process that takes longer cannot serve streams either */
#define STATUS_OK    200

/**
 * struct MetricsResponse - metrics of one process
 * @done: the request has completed
 * @text: (owned) (nullable): Prometheus text
 */
typedef struct
{
  bool done;
  char *text;
} MetricsResponse;

/**
 * struct VersionRange - range of the configuration versions in use; -1 without any
 */
typedef struct
{
  double lowest;
  double highest;
} VersionRange;

static void
on_done (const KqHttpResult *result, void *data)
{
  MetricsResponse *response = data;
  response->done = true;
  if (result->answered && result->status == STATUS_OK)
    response->text = strndup (result->body, result->size);
}

/* Return: (owned by the caller) (nullable): the metrics text; errors are printed. */
static char *
fetch_metrics (const char *process_address)
{
  MetricsResponse response = { 0 };
  KqHttpParams params = { .method = "GET",
                          .path = METRICS_PATH,
                          .timeout_us = TIMEOUT_US,
                          .done = on_done,
                          .data = &response };
  if (kq_ctl_call (process_address, &params, &response.done) < 0)
    return NULL;
  if (response.text == NULL)
    fprintf (stderr, "%s did not answer; check the address, or look for the process's last line\n",
             process_address);
  return response.text;
}

/* Return: the value of the metric @name, which has no labels, or -1. */
static double
metric_value (const char *text, const char *name)
{
  size_t size = strlen (name);
  for (const char *line = text; line != NULL; line = strchr (line, '\n'))
    {
      line += *line == '\n';
      if (strncmp (line, name, size) == 0 && line[size] == ' ')
        return strtod (line + size, NULL);
    }
  return -1;
}

static void
print_agent (const char *process_address, const char *text)
{
  bool ready = metric_value (text, "kumquat_target_ready") > 0;
  printf (
      "%s agent: target %s, running %.0f of %.0f, waiting %.0f, request %.0f ms, streams %.0f\n",
      process_address, ready ? "ready" : "not ready", metric_value (text, "kumquat_target_running"),
      metric_value (text, "kumquat_target_slots"), metric_value (text, "kumquat_target_waiting"),
      metric_value (text, "kumquat_target_service_us") / 1000,
      metric_value (text, "kumquat_streams"));
}

static void
print_balancer (const char *process_address, const char *text, VersionRange *versions)
{
  double version = metric_value (text, "kumquat_config_version");
  bool store = metric_value (text, "kumquat_store_reachable") > 0;
  printf ("%s balancer: configuration %.0f, routes %.0f, store %s, targets %.0f, streams %.0f, "
          "refused %.0f, lost %.0f\n",
          process_address, version, metric_value (text, "kumquat_routes"),
          store ? "reachable" : "away", metric_value (text, "kumquat_targets_serving"),
          metric_value (text, "kumquat_streams"),
          metric_value (text, "kumquat_streams_refused_total"),
          metric_value (text, "kumquat_streams_lost_total"));
  if (versions->lowest < 0 || version < versions->lowest)
    versions->lowest = version;
  if (version > versions->highest)
    versions->highest = version;
}

int
kq_ctl_streams (const KqCtl *ctl)
{
  VersionRange versions = { .lowest = -1, .highest = -1 };
  int result = KQ_CTL_OK;
  if (ctl->count < 2)
    {
      fprintf (stderr, "usage: kumquatctl streams ADDRESS...\n");
      return KQ_CTL_USAGE;
    }
  for (unsigned i = 1; i < ctl->count; i++)
    {
      const char *process_address = ctl->arguments[i];
      char *text = fetch_metrics (process_address);
      if (text == NULL)
        result = KQ_CTL_UNAVAILABLE;
      else if (metric_value (text, "kumquat_target_ready") >= 0)
        print_agent (process_address, text);
      else
        print_balancer (process_address, text, &versions);
      free (text);
    }
  if (versions.lowest != versions.highest)
    {
      printf ("configurations differ: %.0f to %.0f; see kumquat_config_version in the list of "
              "alarms\n",
              versions.lowest, versions.highest);
      result = result == KQ_CTL_OK ? KQ_CTL_FAILED : result;
    }
  return result;
}
