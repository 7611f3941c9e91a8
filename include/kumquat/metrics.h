/* Counters, gauges and histograms in the Prometheus text format. */
#pragma once

#include "kumquat/types.h"

#define KQ_METRIC_BOUNDS_MAX 16

typedef struct KqMetrics KqMetrics; /* metrics registry of a process */
typedef struct KqMetric KqMetric;   /* one time series: a name and label values */

/** kq_metrics_new - Return: (owned by @parent) an empty registry, or NULL if out of memory */
KqMetrics *kq_metrics_new (const void *parent);

/**
 * kq_metrics_counter - finds or creates a counter
 * @name: (borrowed): static string with unit or "total" suffix, such as "kumquat_requests_total"
 * @help: (borrowed): static string, one line
 * @...: pairs of label name and label value, copied, then NULL
 *
 * This function is thread-safe. Counters are not persistent: they start at 0 in each process.
 *
 * Return: (owned by @metrics) the series, valid as long as the registry.
 */
KqMetric *kq_metrics_counter (KqMetrics *metrics, const char *name, const char *help, ...)
    __attribute__ ((sentinel));

/** kq_metrics_gauge - like kq_metrics_counter(), for a value that can decrease */
KqMetric *kq_metrics_gauge (KqMetrics *metrics, const char *name, const char *help, ...)
    __attribute__ ((sentinel));

/**
 * kq_metrics_histogram - like kq_metrics_counter(), for durations
 * @bounds: (borrowed) (array): static upper bounds in microseconds, ascending; exported in seconds
 * @bound_count: length of @bounds, at most KQ_METRIC_BOUNDS_MAX
 */
KqMetric *kq_metrics_histogram (KqMetrics *metrics, const char *name, const char *help,
                                const KqTime *bounds, unsigned bound_count, ...)
    __attribute__ ((sentinel));

/** kq_metric_add - adds to a counter or gauge; thread-safe */
void kq_metric_add (KqMetric *metric, int64_t amount);

/** kq_metric_set - sets a gauge, or a counter that is maintained elsewhere; thread-safe */
void kq_metric_set (KqMetric *metric, int64_t value);

/** kq_metric_value - Return: value of a counter or gauge */
int64_t kq_metric_value (const KqMetric *metric);

/** kq_metric_observe - adds an observation to a histogram; thread-safe */
void kq_metric_observe (KqMetric *metric, KqTime duration_us);

/** kq_metrics_format - Return: (owned by @parent) Prometheus text, grouped by metric name */
char *kq_metrics_format (const void *parent, KqMetrics *metrics);
