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
  MetricsResponse *answer = data;
  answer->done = true;
  if (result->answered && result->status == STATUS_OK)
    answer->text = strndup (result->body, result->size);
}

/* Return: (owned by the caller) (nullable): the metrics text; errors are printed. */
static char *
fetch (const char *where)
{
  MetricsResponse answer = { 0 };
  KqHttpParams params = { .method = "GET",
                          .path = METRICS_PATH,
                          .timeout_us = TIMEOUT_US,
                          .done = on_done,
                          .data = &answer };
  if (kq_ctl_call (where, &params, &answer.done) < 0)
    return NULL;
  if (answer.text == NULL)
    fprintf (stderr, "%s did not answer; check the address, or look for the process's last line\n",
             where);
  return answer.text;
}

/* Return: the value of the metric @name, which has no labels, or -1. */
static double
value_of (const char *text, const char *name)
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
print_agent (const char *where, const char *text)
{
  bool ready = value_of (text, "kumquat_target_ready") > 0;
  printf (
      "%s agent: target %s, running %.0f of %.0f, waiting %.0f, request %.0f ms, streams %.0f\n",
      where, ready ? "ready" : "not ready", value_of (text, "kumquat_target_running"),
      value_of (text, "kumquat_target_slots"), value_of (text, "kumquat_target_waiting"),
      value_of (text, "kumquat_target_service_us") / 1000, value_of (text, "kumquat_streams"));
}

static void
print_balancer (const char *where, const char *text, VersionRange *versions)
{
  double version = value_of (text, "kumquat_config_version");
  bool store = value_of (text, "kumquat_store_reachable") > 0;
  printf ("%s balancer: configuration %.0f, routes %.0f, store %s, targets %.0f, streams %.0f, "
          "refused %.0f, lost %.0f\n",
          where, version, value_of (text, "kumquat_routes"), store ? "reachable" : "away",
          value_of (text, "kumquat_targets_serving"), value_of (text, "kumquat_streams"),
          value_of (text, "kumquat_streams_refused_total"),
          value_of (text, "kumquat_streams_lost_total"));
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
      const char *where = ctl->arguments[i];
      char *text = fetch (where);
      if (text == NULL)
        result = KQ_CTL_UNAVAILABLE;
      else if (value_of (text, "kumquat_target_ready") >= 0)
        print_agent (where, text);
      else
        print_balancer (where, text, &versions);
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
