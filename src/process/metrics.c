#include <assert.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/metrics.h"

typedef enum
{
  TYPE_COUNTER,
  TYPE_GAUGE,
  TYPE_HISTOGRAM
} MetricType;

static const char *const type_names[] = {
  [TYPE_COUNTER] = "counter",
  [TYPE_GAUGE] = "gauge",
  [TYPE_HISTOGRAM] = "histogram",
};

/**
 * struct KqMetric - one time series
 * @next: the next series in order of creation
 * @type: metric type
 * @name: (borrowed): metric name
 * @help: (borrowed): help line
 * @labels: formatted labels without braces; empty if there are none
 * @value: value of a counter or gauge
 * @bounds: (borrowed) (array): upper bounds of the histogram buckets in microseconds
 * @bound_count: length of @bounds
 * @buckets: (array): number of observations in each bucket, not cumulative; the last is +Inf
 * @sum_us: sum of all observations in microseconds
 */
struct KqMetric
{
  KqMetric *next;
  MetricType type;
  const char *name;
  const char *help;
  char *labels;
  _Atomic int64_t value;
  const KqTime *bounds;
  unsigned bound_count;
  _Atomic uint64_t buckets[KQ_METRIC_BOUNDS_MAX + 1];
  _Atomic int64_t sum_us;
};

/**
 * struct KqMetrics - the metrics registry of a process
 * @lock: protects the list of series; the values are atomic
 * @first: the first series created
 * @last: the last series created
 */
struct KqMetrics
{
  pthread_mutex_t lock;
  KqMetric *first;
  KqMetric *last;
};

static int
destroy (KqMetrics *metrics)
{
  pthread_mutex_destroy (&metrics->lock);
  return 0;
}

KqMetrics *
kq_metrics_new (const void *parent)
{
  KqMetrics *metrics = talloc_zero (parent, KqMetrics);
  if (metrics == NULL)
    return NULL;
  pthread_mutex_init (&metrics->lock, NULL);
  talloc_set_destructor (metrics, destroy);
  return metrics;
}

static char *
append_escaped (char *text, const char *value)
{
  for (const char *c = value; *c != '\0'; c++)
    {
      if (*c == '\n')
        text = talloc_strdup_append_buffer (text, "\\n");
      else if (*c == '"' || *c == '\\')
        text = talloc_asprintf_append_buffer (text, "\\%c", *c);
      else
        text = talloc_strndup_append_buffer (text, c, 1);
    }
  return text;
}

static char *
format_labels (const void *parent, va_list pairs)
{
  char *text = talloc_strdup (parent, "");
  for (const char *name = va_arg (pairs, const char *); name != NULL;
       name = va_arg (pairs, const char *))
    {
      const char *value = va_arg (pairs, const char *);
      text = talloc_asprintf_append_buffer (text, "%s%s=\"", text[0] == '\0' ? "" : ",", name);
      text = append_escaped (text, value);
      text = talloc_strdup_append_buffer (text, "\"");
    }
  return text;
}

static KqMetric *
find_series (KqMetrics *metrics, const char *name, const char *labels)
{
  for (KqMetric *metric = metrics->first; metric != NULL; metric = metric->next)
    if (strcmp (metric->name, name) == 0 && strcmp (metric->labels, labels) == 0)
      return metric;
  return NULL;
}

static KqMetric *
append_series (KqMetrics *metrics, MetricType type, const char *name, const char *help)
{
  KqMetric *metric = talloc_zero (metrics, KqMetric);
  metric->type = type;
  metric->name = name;
  metric->help = help;
  if (metrics->last == NULL)
    metrics->first = metric;
  else
    metrics->last->next = metric;
  metrics->last = metric;
  return metric;
}

static KqMetric *
find_or_create_series (KqMetrics *metrics, MetricType type, const char *name, const char *help,
                       va_list pairs)
{
  pthread_mutex_lock (&metrics->lock);
  char *labels = format_labels (metrics, pairs);
  KqMetric *metric = find_series (metrics, name, labels);
  if (metric == NULL)
    {
      metric = append_series (metrics, type, name, help);
      metric->labels = talloc_steal (metric, labels);
    }
  else
    talloc_free (labels);
  pthread_mutex_unlock (&metrics->lock);
  assert (metric->type == type);
  return metric;
}

KqMetric *
kq_metrics_counter (KqMetrics *metrics, const char *name, const char *help, ...)
{
  va_list pairs;
  va_start (pairs, help);
  KqMetric *metric = find_or_create_series (metrics, TYPE_COUNTER, name, help, pairs);
  va_end (pairs);
  return metric;
}

KqMetric *
kq_metrics_gauge (KqMetrics *metrics, const char *name, const char *help, ...)
{
  va_list pairs;
  va_start (pairs, help);
  KqMetric *metric = find_or_create_series (metrics, TYPE_GAUGE, name, help, pairs);
  va_end (pairs);
  return metric;
}

KqMetric *
kq_metrics_histogram (KqMetrics *metrics, const char *name, const char *help, const KqTime *bounds,
                      unsigned bound_count, ...)
{
  va_list pairs;
  assert (bound_count <= KQ_METRIC_BOUNDS_MAX);
  va_start (pairs, bound_count);
  KqMetric *metric = find_or_create_series (metrics, TYPE_HISTOGRAM, name, help, pairs);
  va_end (pairs);
  pthread_mutex_lock (&metrics->lock);
  metric->bounds = bounds;
  metric->bound_count = bound_count;
  pthread_mutex_unlock (&metrics->lock);
  return metric;
}

void
kq_metric_add (KqMetric *metric, int64_t amount)
{
  atomic_fetch_add_explicit (&metric->value, amount, memory_order_relaxed);
}

void
kq_metric_set (KqMetric *metric, int64_t value)
{
  atomic_store_explicit (&metric->value, value, memory_order_relaxed);
}

int64_t
kq_metric_value (const KqMetric *metric)
{
  return atomic_load_explicit (&metric->value, memory_order_relaxed);
}

void
kq_metric_observe (KqMetric *metric, KqTime duration_us)
{
  unsigned i = 0;
  while (i < metric->bound_count && duration_us > metric->bounds[i])
    i++;
  atomic_fetch_add_explicit (&metric->buckets[i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&metric->sum_us, duration_us, memory_order_relaxed);
}

static char *
format_sample (char *text, const KqMetric *metric, const char *suffix, const char *bound,
               const char *value)
{
  text = talloc_asprintf_append_buffer (text, "%s%s", metric->name, suffix);
  if (metric->labels[0] != '\0' || bound != NULL)
    {
      text = talloc_asprintf_append_buffer (text, "{%s", metric->labels);
      if (bound != NULL)
        text = talloc_asprintf_append_buffer (text, "%sle=\"%s\"",
                                              metric->labels[0] == '\0' ? "" : ",", bound);
      text = talloc_strdup_append_buffer (text, "}");
    }
  return talloc_asprintf_append_buffer (text, " %s\n", value);
}

static char *
format_histogram (char *text, const KqMetric *metric)
{
  uint64_t total = 0;
  char bound[32];
  char value[32];
  for (unsigned i = 0; i <= metric->bound_count; i++)
    {
      total += atomic_load_explicit (&metric->buckets[i], memory_order_relaxed);
      if (i < metric->bound_count)
        snprintf (bound, sizeof bound, "%g", (double)metric->bounds[i] / KQ_SECOND);
      else
        strcpy (bound, "+Inf");
      snprintf (value, sizeof value, "%llu", (unsigned long long)total);
      text = format_sample (text, metric, "_bucket", bound, value);
    }
  int64_t sum_us = atomic_load_explicit (&metric->sum_us, memory_order_relaxed);
  snprintf (value, sizeof value, "%.6f", (double)sum_us / KQ_SECOND);
  text = format_sample (text, metric, "_sum", NULL, value);
  snprintf (value, sizeof value, "%llu", (unsigned long long)total);
  return format_sample (text, metric, "_count", NULL, value);
}

static char *
format_series (char *text, const KqMetric *metric)
{
  char value[32];
  if (metric->type == TYPE_HISTOGRAM)
    return format_histogram (text, metric);
  snprintf (value, sizeof value, "%lld", (long long)kq_metric_value (metric));
  return format_sample (text, metric, "", NULL, value);
}

static bool
is_first_series_of_metric (const KqMetrics *metrics, const KqMetric *metric)
{
  const KqMetric *other = metrics->first;
  while (strcmp (other->name, metric->name) != 0)
    other = other->next;
  return other == metric;
}

char *
kq_metrics_format (const void *parent, KqMetrics *metrics)
{
  char *text = talloc_strdup (parent, "");
  pthread_mutex_lock (&metrics->lock);
  for (KqMetric *metric = metrics->first; metric != NULL; metric = metric->next)
    {
      if (!is_first_series_of_metric (metrics, metric))
        continue;
      text = talloc_asprintf_append_buffer (text, "# HELP %s %s\n# TYPE %s %s\n", metric->name,
                                            metric->help, metric->name, type_names[metric->type]);
      for (KqMetric *series = metric; series != NULL; series = series->next)
        if (strcmp (series->name, metric->name) == 0)
          text = format_series (text, series);
    }
  pthread_mutex_unlock (&metrics->lock);
  return text;
}
