/* Counters, gauges and histograms of one process, written as Prometheus text. */
#pragma once

#include "kumquat/types.h"

#define KQ_METRIC_BOUNDS_MAX 16

typedef struct KqMetrics KqMetrics; /* registry of one process */
typedef struct KqMetric KqMetric;   /* one series: a name and its label values */

/** kq_metrics_new - Return: (owned by @parent) an empty registry, or NULL without memory */
KqMetrics *kq_metrics_new (const void *parent);

/**
 * kq_metrics_counter - finds or creates a counter
 * @name: (borrowed): static string with the unit, such as "kumquat_requests_total"
 * @help: (borrowed): static string, one line
 * @...: pairs of label name and label value, copied, then NULL
 *
 * Any thread may call it. The registry keeps what a process counted since it started; a new process
 * starts at 0.
 *
 * Return: (owned by @metrics) the series, which lives as long as the registry.
 */
KqMetric *kq_metrics_counter (KqMetrics *metrics, const char *name, const char *help, ...)
    __attribute__ ((sentinel));

/** kq_metrics_gauge - as kq_metrics_counter(), for a value that goes up and down */
KqMetric *kq_metrics_gauge (KqMetrics *metrics, const char *name, const char *help, ...)
    __attribute__ ((sentinel));

/**
 * kq_metrics_histogram - as kq_metrics_counter(), for durations
 * @bounds: (borrowed) (array): static upper bounds in microseconds, ascending; written in seconds
 * @bound_count: length of @bounds, at most KQ_METRIC_BOUNDS_MAX
 */
KqMetric *kq_metrics_histogram (KqMetrics *metrics, const char *name, const char *help,
                                const KqTime *bounds, unsigned bound_count, ...)
    __attribute__ ((sentinel));

/** kq_metric_add - adds to a counter or gauge; any thread may call it */
void kq_metric_add (KqMetric *metric, int64_t amount);

/** kq_metric_set - sets a gauge, or a counter that is kept elsewhere; any thread may call it */
void kq_metric_set (KqMetric *metric, int64_t value);

/** kq_metric_value - Return: value of a counter or gauge */
int64_t kq_metric_value (const KqMetric *metric);

/** kq_metric_observe - counts a duration in a histogram; any thread may call it */
void kq_metric_observe (KqMetric *metric, KqTime duration_us);

/** kq_metrics_format - Return: (owned by @parent) Prometheus text, series of one name together */
char *kq_metrics_format (const void *parent, KqMetrics *metrics);
