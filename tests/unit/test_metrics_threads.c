#include <CUnit/Basic.h>
#include <pthread.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/metrics.h"
#include "unit.h"

#define THREADS   4L
#define ADDITIONS 1000

static const KqTime bounds[] = { 1000, 10000 };

static void *
count (void *data)
{
  KqMetrics *metrics = data;
  for (unsigned i = 0; i < ADDITIONS; i++)
    {
      KqMetric *metric =
          kq_metrics_counter (metrics, "x_total", "Events.", "service", "scoring", NULL);
      kq_metric_add (metric, 1);
    }
  return NULL;
}

static void
test_threads_share_a_counter (void)
{
  pthread_t threads[THREADS];
  KqMetrics *metrics = kq_metrics_new (NULL);
  for (long i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, count, metrics);
  for (long i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  KqMetric *metric = kq_metrics_counter (metrics, "x_total", "Events.", "service", "scoring", NULL);
  CU_ASSERT (kq_metric_value (metric) == THREADS * ADDITIONS);
  talloc_free (metrics);
}

static void
test_text_format (void)
{
  KqMetrics *metrics = kq_metrics_new (NULL);
  kq_metric_set (kq_metrics_gauge (metrics, "open", "Open flows.", "name", "a\"b\n", NULL), 3);
  KqMetric *latency =
      kq_metrics_histogram (metrics, "latency_seconds", "Latency.", bounds, 2, NULL);
  kq_metric_add (kq_metrics_gauge (metrics, "open", "Open flows.", NULL), 5);
  kq_metric_observe (latency, 1000);
  kq_metric_observe (latency, 500000);
  char *text = kq_metrics_format (metrics, metrics);
  CU_ASSERT_STRING_EQUAL (text, "# HELP open Open flows.\n# TYPE open gauge\n"
                                "open{name=\"a\\\"b\\n\"} 3\nopen 5\n"
                                "# HELP latency_seconds Latency.\n"
                                "# TYPE latency_seconds histogram\n"
                                "latency_seconds_bucket{le=\"0.001\"} 1\n"
                                "latency_seconds_bucket{le=\"0.01\"} 1\n"
                                "latency_seconds_bucket{le=\"+Inf\"} 2\n"
                                "latency_seconds_sum 0.501000\n"
                                "latency_seconds_count 2\n");
  talloc_free (metrics);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "threads share a counter", test_threads_share_a_counter },
    { "text format", test_text_format },
  };
  return kq_unit_run ("metrics", tests, sizeof tests / sizeof tests[0]);
}
