/* Admission control at one target: load shedding by worth and deadline under overload, ramp-up
 * after a cold start, a target that sheds load, and a target that freezes. The required results are
 * in issue 4, items 2 and 7. */
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "model_world.h"

#define SEEDS            3
#define SLOTS            5
#define LENGTH_US        (60 * KQ_SECOND)
#define DEADLINE_US      (500 * KQ_MS)
#define COLD_FACTOR      4
#define COLD_US          (16 * KQ_SECOND)
#define FLOOD_LOAD       2.0
#define BACKGROUND_SHARE 0.25
#define BACKGROUND_FLOWS 10
#define OVERLOAD         1.3
#define WORTH_TARGET     0.97 /* minimum share of the worth under full knowledge */

typedef struct
{
  const char *name;
  double share;
  double worth;
  KqTime service_us;
  uint8_t method;
} ClassSpec;

static const ClassSpec classes[] = {
  { "mark", 0.3, 10, 60 * KQ_MS, KQ_COAP_POST },
  { "board", 0.4, 1, 20 * KQ_MS, KQ_COAP_GET },
  { "photo", 0.3, 1, 50 * KQ_MS, KQ_COAP_GET },
};
#define CLASSES (sizeof classes / sizeof classes[0])

/* Totals of one table row over all seeds. */
typedef struct
{
  unsigned ops;
  unsigned outcomes[KQ_MODEL_TIMED_OUT + 1];
  double worth;
  KqTime *latencies;
  unsigned answered;
  uint64_t refused_by_target;
} Result;

static const ClassSpec *
class_of (const KqModelOp *op)
{
  for (unsigned i = 0; i + 1 < CLASSES; i++)
    if (op->class_name == classes[i].name)
      return &classes[i];
  return &classes[CLASSES - 1];
}

static int
compare_times (const void *a, const void *b)
{
  KqTime x = *(const KqTime *)a;
  KqTime y = *(const KqTime *)b;
  return (x > y) - (x < y);
}

static double
percentile_ms (Result *result, double share)
{
  if (result->answered == 0)
    return 0;
  qsort (result->latencies, result->answered, sizeof (KqTime), compare_times);
  return (double)result->latencies[(unsigned)(share * (result->answered - 1))] / KQ_MS;
}

static void
collect (Result *result, const KqModel *world)
{
  unsigned count = kq_model_op_count (world);
  result->latencies = realloc (result->latencies, (result->ops + count) * sizeof (KqTime));
  for (unsigned i = 0; i < count; i++)
    {
      const KqModelOp *op = kq_model_op (world, i);
      result->outcomes[op->outcome]++;
      if (op->outcome != KQ_MODEL_ANSWERED)
        continue;
      result->worth += class_of (op)->worth;
      result->latencies[result->answered++] = op->ended - op->started;
    }
  result->ops += count;
  result->refused_by_target += kq_model_stats (world, 0).refused_by_target;
}

static KqModelParams
base_params (uint64_t seed, unsigned disable, unsigned queue_max)
{
  KqModelParams params = { .seed = seed,
                           .agents = 1,
                           .delay_us = 3 * KQ_MS,
                           .workers = SLOTS,
                           .guard = { .slots = SLOTS,
                                      .queue_max = queue_max,
                                      .deadline_us = DEADLINE_US,
                                      .dedup_entries_max = 100000,
                                      .dedup_lifetime_us = 247 * KQ_SECOND,
                                      .dedup_bytes_max = (size_t)64 << 20,
                                      .echo_us = 30 * KQ_SECOND,
                                      .ramp_us = KQ_MS,
                                      .disable = disable,
                                      .class_count = CLASSES } };
  for (unsigned i = 0; i < CLASSES; i++)
    {
      snprintf (params.guard.classes[i].name, KQ_NAME_BYTES, "%s", classes[i].name);
      params.guard.classes[i].worth = (uint32_t)classes[i].worth;
    }
  return params;
}

/* Return: mean service time of a request in seconds. */
static double
mean_service_s (void)
{
  double sum = 0;
  for (unsigned i = 0; i < CLASSES; i++)
    sum += classes[i].share * (double)classes[i].service_us / KQ_SECOND;
  return sum;
}

/* Slowdown @at microseconds after a cold start; falls linearly from COLD_FACTOR to 1. */
static double
cold_factor (KqTime at)
{
  return at >= COLD_US ? 1 : COLD_FACTOR - (COLD_FACTOR - 1) * (double)at / COLD_US;
}

/* Schedules requests with random interarrival times at @load times the capacity of the slots. */
static void
schedule_requests (KqModel *world, double load, KqTime length_us, bool cold)
{
  KqRandom *random = kq_model_random (world);
  double interval_us = mean_service_s () / SLOTS / load * KQ_SECOND;
  double at = 0;
  for (unsigned i = 0;; i++)
    {
      at += 2 * interval_us * kq_random_double (random);
      if (at > (double)length_us)
        return;
      double random_value = kq_random_double (random);
      unsigned class = random_value < classes[0].share                      ? 0
                       : random_value < classes[0].share + classes[1].share ? 1
                                                                            : 2;
      double size = 0.5 + kq_random_double (random);
      if (cold)
        size *= cold_factor ((KqTime)at);
      KqModelOp op = { .method = classes[class].method,
                       .class_name = classes[class].name,
                       .service_us = (KqTime)(size * (double)classes[class].service_us),
                       .deadline_us = DEADLINE_US,
                       .flow = i % 60000 };
      kq_model_request (world, (KqTime)at, &op);
    }
}

/* A request as known to a scheduler with full knowledge. */
typedef struct
{
  double worth;
  double service_us;
} KnownRequest;

static int
compare_density (const void *a, const void *b)
{
  const KnownRequest *x = a;
  const KnownRequest *y = b;
  double dx = x->worth / x->service_us;
  double dy = y->worth / y->service_us;
  return (dx < dy) - (dx > dy);
}

/* Return: upper bound of the worth that any scheduler can answer: the greedy solution of the
 * fractional knapsack problem, with the time of all slots as the capacity. */
static double
worth_upper_bound (const KqModel *world, KqTime length_us)
{
  unsigned count = kq_model_op_count (world);
  double capacity_us = (double)SLOTS * (double)length_us;
  double worth = 0;
  KnownRequest *known_requests = talloc_array (world, KnownRequest, count);
  for (unsigned i = 0; i < count; i++)
    {
      const KqModelOp *op = kq_model_op (world, i);
      known_requests[i] = (KnownRequest){ class_of (op)->worth, (double)op->service_us };
    }
  qsort (known_requests, count, sizeof *known_requests, compare_density);
  for (unsigned i = 0; i < count && capacity_us > 0; i++)
    {
      capacity_us -= known_requests[i].service_us;
      worth += known_requests[i].worth;
    }
  talloc_free (known_requests);
  return worth;
}

static void
report_overload (double load)
{
  static const struct
  {
    const char *name;
    unsigned disable;
    unsigned queue_max;
  } rows[] = {
    { "guard", 0, 20 },
    { "baseline: no worth", KQ_DISABLE_WORTH, 20 },
    { "baseline: FIFO, queue of 20", KQ_DISABLE_DEADLINE_QUEUE | KQ_DISABLE_WORTH, 20 },
    { "baseline: FIFO, queue of 1000", KQ_DISABLE_DEADLINE_QUEUE | KQ_DISABLE_WORTH, 1000 },
  };
  printf ("\nload %.2f of one target's slots for 60 s; marks worth 10 take 60 ms, boards worth 1\n"
          "20 ms, photos worth 1 50 ms, each times 0.5 to 1.5; deadline 500 ms; sums of %d seeds;\n"
          "target: worth answered in time at least %.2f of full knowledge\n\n",
          load, SEEDS, WORTH_TARGET);
  printf ("%-28s %7s %9s %9s %9s %9s %8s\n", "", "worth", "answered", "not run", "unknown",
          "timed out", "p99 ms");
  for (unsigned i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      Result result = { 0 };
      double upper_bound = 0;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          KqModelParams params = base_params (seed, rows[i].disable, rows[i].queue_max);
          KqModel *world = kq_model_new (NULL, &params);
          schedule_requests (world, load, LENGTH_US, false);
          kq_model_run (world, LENGTH_US + KQ_SECOND);
          collect (&result, world);
          upper_bound += worth_upper_bound (world, LENGTH_US);
          talloc_free (world);
        }
      printf ("%-28s %7.3f %9u %9u %9u %9u %8.0f  %s\n", rows[i].name, result.worth / upper_bound,
              result.outcomes[KQ_MODEL_ANSWERED], result.outcomes[KQ_MODEL_NOT_RUN],
              result.outcomes[KQ_MODEL_UNKNOWN], result.outcomes[KQ_MODEL_TIMED_OUT],
              percentile_ms (&result, 0.99),
              result.worth >= WORTH_TARGET * upper_bound ? "met" : "MISSED");
      free (result.latencies);
    }
}

static void
warm_up (KqModel *world, void *data)
{
  kq_model_set_workers (world, 0, *(const unsigned *)data);
}

static void
freeze_target (KqModel *world, void *data)
{
  (void)data;
  kq_model_freeze_target (world, 0, 10 * KQ_SECOND);
}

/* Reasons why a target has less capacity than its number of slots. */
typedef enum
{
  CASE_COLD,
  CASE_SLOW,
  CASE_SHEDS,
  CASE_FREEZES
} TargetCase;

static Result
run_case (TargetCase target, unsigned disable, KqTime ramp_us)
{
  static unsigned workers[] = { 1, 2, 3, 4, 5 };
  Result result = { 0 };
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      KqModelParams params = base_params (seed, disable, 20);
      params.guard.ramp_us = ramp_us;
      if (target == CASE_COLD || target == CASE_SLOW)
        params.workers = 1;
      if (target == CASE_SHEDS)
        {
          params.workers = 2;
          params.shed_above = 2;
        }
      KqModel *world = kq_model_new (NULL, &params);
      for (unsigned i = 1; target <= CASE_SLOW && i < SLOTS; i++)
        kq_model_at (world, (KqTime)i * 4 * KQ_SECOND, warm_up, &workers[i]);
      if (target == CASE_FREEZES)
        kq_model_at (world, 5 * KQ_SECOND, freeze_target, NULL);
      schedule_requests (world, 0.85, 20 * KQ_SECOND, target == CASE_SLOW);
      kq_model_run (world, 22 * KQ_SECOND);
      collect (&result, world);
      talloc_free (world);
    }
  return result;
}

static void
report_reduced_targets (void)
{
  static const struct
  {
    const char *name;
    TargetCase target;
    unsigned disable;
    KqTime ramp_us;
  } rows[] = {
    { "cold start, ramp of 20 s", CASE_COLD, 0, 20 * KQ_SECOND },
    { "cold start, ramp of 5 s", CASE_COLD, 0, 5 * KQ_SECOND },
    { "baseline: no ramp", CASE_COLD, 0, KQ_MS },
    { "cold and slow, ramp of 20 s", CASE_SLOW, 0, 20 * KQ_SECOND },
    { "cold and slow, ramp of 5 s", CASE_SLOW, 0, 5 * KQ_SECOND },
    { "baseline: no ramp", CASE_SLOW, 0, KQ_MS },
    { "sheds above 2, slots reduced", CASE_SHEDS, 0, 5 * KQ_SECOND },
    { "baseline: slots not reduced", CASE_SHEDS, KQ_DISABLE_LOAD_SHEDDING, 5 * KQ_SECOND },
    { "freezes 10 s, slots held", CASE_FREEZES, 0, KQ_MS },
    { "baseline: slots freed", CASE_FREEZES, KQ_DISABLE_STUCK_SLOTS, KQ_MS },
  };
  printf (
      "\na target with less capacity than its %d slots: cold (1 worker, one more every 4 s), cold\n"
      "and slow (also %d times the service time, less until %d s), shedding, or frozen for 10 of\n"
      "20 s; load 0.85 of the slots; sums of %d seeds. Unknown and timed out are failures.\n\n",
      SLOTS, COLD_FACTOR, (int)(COLD_US / KQ_SECOND), SEEDS);
  printf ("%-28s %8s %9s %9s %9s %9s %10s %7s\n", "", "worth", "answered", "not run", "unknown",
          "timed out", "by target", "p99 ms");
  for (unsigned i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      Result result = run_case (rows[i].target, rows[i].disable, rows[i].ramp_us);
      printf ("%-28s %8.0f %9u %9u %9u %9u %10llu %7.0f\n", rows[i].name, result.worth,
              result.outcomes[KQ_MODEL_ANSWERED], result.outcomes[KQ_MODEL_NOT_RUN],
              result.outcomes[KQ_MODEL_UNKNOWN], result.outcomes[KQ_MODEL_TIMED_OUT],
              (unsigned long long)result.refused_by_target, percentile_ms (&result, 0.99));
      free (result.latencies);
    }
}

/* Flow 0 alone exceeds the capacity of the slots; the others together send a third of its rate. */
static void
schedule_flood (KqModel *world)
{
  KqRandom *random = kq_model_random (world);
  double interval_us = (double)classes[1].service_us / SLOTS / FLOOD_LOAD;
  double at = 0;
  while (at < 20 * KQ_SECOND)
    {
      at += 2 * interval_us * kq_random_double (random);
      bool background = kq_random_double (random) < BACKGROUND_SHARE;
      KqModelOp op = { .method = KQ_COAP_GET,
                       .class_name = classes[1].name,
                       .service_us = classes[1].service_us,
                       .deadline_us = DEADLINE_US,
                       .flow = background ? 1 + (unsigned)kq_random_below (random, BACKGROUND_FLOWS)
                                          : 0 };
      kq_model_request (world, (KqTime)at, &op);
    }
}

static void
report_flood (void)
{
  static const struct
  {
    const char *name;
    unsigned disable;
  } rows[] = {
    { "guard", 0 },
    { "baseline: FIFO, queue of 20", KQ_DISABLE_DEADLINE_QUEUE | KQ_DISABLE_WORTH },
  };
  printf (
      "\none flow offers %.2f times the slots, %d others together %.2f times; share answered\n\n",
      FLOOD_LOAD * (1 - BACKGROUND_SHARE), BACKGROUND_FLOWS, FLOOD_LOAD * BACKGROUND_SHARE);
  printf ("%-28s %8s %9s\n", "", "others", "the flow");
  for (unsigned i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      unsigned offered[2] = { 0 };
      unsigned answered[2] = { 0 };
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          KqModelParams params = base_params (seed, rows[i].disable, 20);
          KqModel *world = kq_model_new (NULL, &params);
          schedule_flood (world);
          kq_model_run (world, 21 * KQ_SECOND);
          for (unsigned k = 0; k < kq_model_op_count (world); k++)
            {
              const KqModelOp *op = kq_model_op (world, k);
              offered[op->flow == 0]++;
              answered[op->flow == 0] += op->outcome == KQ_MODEL_ANSWERED;
            }
          talloc_free (world);
        }
      printf ("%-28s %7.1f%% %8.1f%%\n", rows[i].name, 100.0 * answered[0] / offered[0],
              100.0 * answered[1] / offered[1]);
    }
}

int
main (void)
{
  report_overload (0.85);
  report_overload (OVERLOAD);
  report_reduced_targets ();
  report_flood ();
  return 0;
}
