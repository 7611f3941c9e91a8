/* At-most-once execution and correct refusals under random faults, additional load from retries,
 * and cost of the request guard. The required results are in issue 4, items 5 and 6, and in the
 * sizing requirements. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "kumquat/retry_budget.h"
#include "model_faults.h"
#include "measured.h"

#define FAULT_SEED_FIRST 10001
#define FAULT_SCHEDULES  400

#define RETRY_SEEDS     3
#define RETRY_RATE      100 /* requests a second */
#define RETRY_LENGTH_US (30 * KQ_SECOND)
#define RETRY_DEADLINE  (4 * KQ_SECOND)
#define RETRY_ATTEMPTS  3 /* retries per request in the baseline */
#define FAST_SERVICE    (20 * KQ_MS)
#define SLOW_SERVICE    (80 * KQ_MS) /* with one worker: 2.7 times a target's capacity */
#define RETRY_TARGET    1.10         /* maximum load on a failing service / offered load */

#define CACHED_ANSWERS 20000
#define GUARD_CALLS    100000

static void
report_at_most_once (void)
{
  static const struct
  {
    const char *name;
    unsigned disable;
  } rows[] = {
    { "guard", 0 },
    { "baseline: no Echo", KQ_DISABLE_ECHO },
    { "baseline: answers not cached", KQ_DISABLE_ANSWER_DEDUP },
    { "baseline: refusals not cached", KQ_DISABLE_REFUSAL_DEDUP },
  };
  printf (
      "at most once: %d schedules a row, 24 requests each, 15%% loss, 20%% duplicates, copies up "
      "to 30 s\nlate, 5%% at a wrong agent, crashes, freezes, drains and moved flows; target: "
      "no violation\n\n",
      FAULT_SCHEDULES);
  printf ("%-28s %8s %8s %9s %9s %8s %8s %9s\n", "", "answered", "not run", "unknown", "timed out",
          "executed", "false", "wrong");
  printf ("%-28s %8s %8s %9s %9s %8s %8s %9s\n", "", "", "", "", "", "twice", "not run", "answers");
  for (unsigned i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      KqModelCheck sum = { 0 };
      for (uint64_t seed = 0; seed < FAULT_SCHEDULES; seed++)
        {
          KqModelCheck check = kq_model_faults_run (FAULT_SEED_FIRST + seed, rows[i].disable);
          kq_model_check_add (&sum, &check);
        }
      unsigned broken =
          sum.duplicate_runs + sum.false_not_run + sum.wrong_answers + sum.false_answers;
      printf ("%-28s %8u %8u %9u %9u %8u %8u %9u  %s\n", rows[i].name,
              sum.outcomes[KQ_MODEL_ANSWERED], sum.outcomes[KQ_MODEL_NOT_RUN],
              sum.outcomes[KQ_MODEL_UNKNOWN], sum.outcomes[KQ_MODEL_TIMED_OUT], sum.duplicate_runs,
              sum.false_not_run, sum.wrong_answers + sum.false_answers,
              broken == 0 ? "met" : "MISSED");
    }
}

/* Retry policy of the agents and the callers. */
typedef enum
{
  POLICY_NONE,
  POLICY_UNBOUNDED,
  POLICY_BUDGET
} Policy;

/* One simulation: the agents' side retries immediately, callers retry after a delay. */
typedef struct
{
  Policy policy;
  KqRetryBudget caller;
  KqRetryBudget agent;
  uint64_t offered;
  uint64_t attempts;
  uint64_t answered;
} RetryRun;

static void
count_first_attempt (KqModel *world, void *data)
{
  RetryRun *run = data;
  kq_retry_budget_count_request (&run->caller, kq_model_now (world));
  kq_retry_budget_count_request (&run->agent, kq_model_now (world));
}

static void
count_retry (KqModel *world, void *data)
{
  kq_retry_budget_count_request (&((RetryRun *)data)->agent, kq_model_now (world));
}

static void
schedule_retry (RetryRun *run, KqModel *world, const KqModelOp *failed, KqTime delay_us)
{
  KqModelOp next = { .method = failed->method,
                     .service_us = failed->service_us,
                     .deadline_us =
                         failed->started + failed->deadline_us - failed->ended - delay_us,
                     .flow = failed->flow + 1,
                     .attempt = failed->attempt + 1 };
  if (next.deadline_us <= 0)
    return;
  run->attempts++;
  kq_model_at (world, kq_model_now (world) + delay_us, count_retry, run);
  kq_model_request (world, kq_model_now (world) + delay_us, &next);
}

static uint8_t
answer_code (const KqModelOp *op)
{
  if (op->outcome == KQ_MODEL_NOT_RUN)
    return KQ_COAP_SERVICE_UNAVAILABLE;
  return op->outcome == KQ_MODEL_UNKNOWN ? KQ_COAP_GATEWAY_TIMEOUT : 0;
}

static void
ended (KqModel *world, KqModelOp *op, void *data)
{
  RetryRun *run = data;
  KqTime now = kq_model_now (world);
  run->answered += op->outcome == KQ_MODEL_ANSWERED;
  if (op->outcome == KQ_MODEL_ANSWERED || run->policy == POLICY_NONE ||
      kq_retry_decide (op->method, answer_code (op)) == KQ_RETRY_NEVER)
    return;
  KqTime left_us = op->started + op->deadline_us - now;
  double random_value = kq_random_double (kq_model_random (world));
  KqTime delay_us = kq_retry_delay_us (0, op->attempt + 1, random_value, left_us);
  if (delay_us == KQ_NEVER)
    return;
  if (run->policy == POLICY_UNBOUNDED && op->attempt < RETRY_ATTEMPTS)
    schedule_retry (run, world, op, delay_us);
  else if (run->policy == POLICY_BUDGET && op->outcome == KQ_MODEL_NOT_RUN &&
           kq_retry_budget_try_acquire (&run->agent, now))
    schedule_retry (run, world, op, KQ_MS);
  else if (run->policy == POLICY_BUDGET && kq_retry_budget_try_acquire (&run->caller, now))
    schedule_retry (run, world, op, delay_us);
}

/* The service answers no request, or refuses most of them, or one of three targets freezes for
 * 10 s. */
typedef enum
{
  FAILURE_SILENT,
  FAILURE_SHEDDING,
  FAILURE_ONE_TARGET
} Failure;

static void
schedule_requests (KqModel *world, RetryRun *run, KqTime service_us)
{
  KqRandom *random = kq_model_random (world);
  KqTime at = 0;
  for (unsigned i = 0; i < RETRY_RATE * (RETRY_LENGTH_US / KQ_SECOND); i++)
    {
      at += (KqTime)kq_random_below (random, 2 * KQ_SECOND / RETRY_RATE);
      KqModelOp op = { .method = i % 2 == 0 ? KQ_COAP_POST : KQ_COAP_GET,
                       .service_us = service_us,
                       .deadline_us = RETRY_DEADLINE,
                       .flow = 3 * i };
      op.flow = (op.flow + i % 3) % 60000;
      kq_model_at (world, at, count_first_attempt, run);
      kq_model_request (world, at, &op);
      run->offered++;
    }
}

static void
freeze_one (KqModel *world, void *data)
{
  (void)data;
  kq_model_freeze_target (world, 0, 10 * KQ_SECOND);
}

static RetryRun
run_retries (Policy policy, Failure failure, uint64_t seed)
{
  RetryRun run = { .policy = policy };
  KqModelParams params = { .seed = seed,
                           .agents = 3,
                           .delay_us = 3 * KQ_MS,
                           .workers = failure == FAILURE_SHEDDING ? 1 : 5,
                           .shed_above = failure == FAILURE_SHEDDING ? 1 : 0,
                           .guard = { .slots = 5,
                                      .queue_max = 10,
                                      .deadline_us = KQ_SECOND,
                                      .dedup_entries_max = 100000,
                                      .dedup_lifetime_us = 247 * KQ_SECOND,
                                      .dedup_bytes_max = (size_t)64 << 20,
                                      .echo_us = 30 * KQ_SECOND,
                                      .ramp_us = KQ_SECOND } };
  KqModel *world = kq_model_new (NULL, &params);
  kq_retry_budget_init (&run.caller, KQ_RETRY_CALLER_PERMILLE);
  kq_retry_budget_init (&run.agent, KQ_RETRY_AGENT_PERMILLE);
  kq_model_on_end (world, ended, &run);
  for (unsigned i = 0; i < 3 && failure == FAILURE_SILENT; i++)
    kq_model_freeze_target (world, i, KQ_NEVER / 2);
  if (failure == FAILURE_ONE_TARGET)
    kq_model_at (world, 5 * KQ_SECOND, freeze_one, NULL);
  schedule_requests (world, &run, failure == FAILURE_SHEDDING ? SLOW_SERVICE : FAST_SERVICE);
  kq_model_run (world, RETRY_LENGTH_US + RETRY_DEADLINE);
  talloc_free (world);
  return run;
}

static void
report_retries (void)
{
  static const char *const failures[] = { "all targets silent", "all targets shed",
                                          "one of three silent for 10 s" };
  static const char *const policies[] = { "baseline: no retry", "baseline: 3 retries", "budget" };
  printf ("\nretries: %d requests a second for 30 s, half POST, deadline 4 s; sums of %d seeds;\n"
          "load: requests sent to the service by callers and agents / requests offered;\n"
          "target: at most %.2f with retries\n\n",
          RETRY_RATE, RETRY_SEEDS, RETRY_TARGET);
  printf ("%-30s %-22s %8s %10s\n", "", "", "load", "answered");
  for (unsigned f = 0; f < 3; f++)
    for (unsigned p = 0; p < 3; p++)
      {
        RetryRun sum = { 0 };
        for (uint64_t seed = 1; seed <= RETRY_SEEDS; seed++)
          {
            RetryRun run = run_retries ((Policy)p, (Failure)f, seed);
            sum.offered += run.offered;
            sum.attempts += run.attempts;
            sum.answered += run.answered;
          }
        double load = 1.0 + (double)sum.attempts / (double)sum.offered;
        printf ("%-30s %-22s %8.3f %9.1f%%  %s\n", failures[f], policies[p], load,
                100.0 * (double)sum.answered / (double)sum.offered,
                load <= RETRY_TARGET ? "met" : "MISSED");
      }
}

/* A caller and a target that respond immediately, to measure the guard alone. */
typedef struct
{
  KqCoapMessage challenge;
  uint8_t request[KQ_DATAGRAM_BYTES];
  size_t request_size;
} GuardHarness;

static void
on_target_datagram (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  GuardHarness *harness = data;
  (void)key;
  memcpy (harness->request, bytes, size);
  harness->request_size = size;
}

static void
on_caller_datagram (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  GuardHarness *harness = data;
  (void)key;
  if (bytes[1] == KQ_COAP_UNAUTHORIZED)
    kq_coap_message_parse (bytes, size, &harness->challenge, NULL);
}

static void
on_request_finished (const KqFlowKey *key, KqTime latency, bool answered, void *data)
{
  (void)key;
  (void)latency;
  (void)answered;
  (void)data;
}

static void
send_one (KqRequestGuard *guard, GuardHarness *harness, const KqFlowKey *key, uint8_t code,
          uint64_t number, bool with_echo, KqTime now)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqCoapMessage message = { .type = KQ_COAP_CON,
                            .code = code,
                            .message_id = (uint16_t)number,
                            .token_size = KQ_COAP_TOKEN_BYTES,
                            .path = "halls/addis/marks",
                            .query = "deadline=2000&class=mark",
                            .payload = (const uint8_t *)"{\"wall\":17,\"mark\":7.5}",
                            .payload_size = 22 };
  memcpy (message.token, &number, sizeof number);
  if (with_echo)
    {
      message.echo_size = harness->challenge.echo_size;
      memcpy (message.echo, harness->challenge.echo, sizeof message.echo);
    }
  int size = kq_coap_message_format (&message, bytes, sizeof bytes);
  kq_request_guard_from_caller (guard, key, bytes, (size_t)size, now);
}

static void
answer_one (KqRequestGuard *guard, const GuardHarness *harness, const KqFlowKey *key, KqTime now)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqCoapMessage message;
  kq_coap_message_parse (harness->request, harness->request_size, &message, NULL);
  KqCoapMessage answer = { .type = KQ_COAP_ACK,
                           .code = KQ_COAP_CHANGED,
                           .message_id = message.message_id,
                           .token_size = message.token_size,
                           .payload = (const uint8_t *)"{\"place\":3}",
                           .payload_size = 11 };
  memcpy (answer.token, message.token, sizeof answer.token);
  int size = kq_coap_message_format (&answer, bytes, sizeof bytes);
  kq_request_guard_from_target (guard, key, bytes, (size_t)size, now);
}

static double
seconds_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + 1e-9 * (double)now.tv_nsec;
}

static void
run_requests (KqRequestGuard *guard, GuardHarness *harness, uint8_t code, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      KqFlowKey key = { .service = 1 };
      KqTime now = (KqTime)i * 10;
      key.caller.port = (uint16_t)(i % 2000);
      if (code == KQ_COAP_POST)
        send_one (guard, harness, &key, code, 2 * (uint64_t)i, false, now);
      send_one (guard, harness, &key, code, 2 * (uint64_t)i + 1, code == KQ_COAP_POST, now);
      answer_one (guard, harness, &key, now);
    }
}

static void
report_costs (void)
{
  static const KqRequestGuardOps ops = { on_target_datagram, on_caller_datagram,
                                         on_request_finished };
  KqRequestGuardParams params = { .slots = 5,
                                  .queue_max = 10,
                                  .deadline_us = KQ_SECOND,
                                  .dedup_entries_max = 1000000,
                                  .dedup_lifetime_us = 247 * KQ_SECOND,
                                  .dedup_bytes_max = (size_t)256 << 20,
                                  .echo_us = 30 * KQ_SECOND };
  GuardHarness harness = { 0 };
  printf ("\ncost of the guard, including the benchmark's encoding and parsing of messages\n\n");
  KqRequestGuard *guard = kq_request_guard_new (NULL, &params, &ops, &harness);
  size_t before = mallinfo2 ().uordblks;
  run_requests (guard, &harness, KQ_COAP_POST, CACHED_ANSWERS);
  KqRequestGuardStats stats = kq_request_guard_stats (guard);
  double bytes = (double)(mallinfo2 ().uordblks - before) / (double)stats.dedup_entries;
  printf ("cached answer: %.0f bytes each (%u cached, 11 bytes of payload)\n", bytes,
          (unsigned)stats.dedup_entries);
  FILE *file = measured_open ("requests");
  if (file != NULL)
    {
      measured_write (file, "guard_bytes_per_answer", bytes, "B");
      fclose (file);
    }
  talloc_free (guard);
  static const struct
  {
    const char *name;
    uint8_t code;
  } rows[] = { { "GET", KQ_COAP_GET }, { "POST with Echo challenge", KQ_COAP_POST } };
  for (unsigned i = 0; i < 2; i++)
    {
      guard = kq_request_guard_new (NULL, &params, &ops, &harness);
      double start = seconds_now ();
      run_requests (guard, &harness, rows[i].code, GUARD_CALLS);
      printf ("%s: %.0f ns each\n", rows[i].name, 1e9 * (seconds_now () - start) / GUARD_CALLS);
      talloc_free (guard);
    }
}

int
main (void)
{
  report_at_most_once ();
  report_retries ();
  report_costs ();
  return 0;
}
