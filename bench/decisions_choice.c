/* Target selection under load: the placement code, with its messages on a network with 0.5 ms
 * delay, compared with hashing, random selection, the better of two random targets by outdated
 * loads, and full knowledge. */

#include <stdio.h>

#include "choice_run.h"

#define SEEDS   3
#define SECONDS 100

typedef struct
{
  const char *name;
  KqBalancingParams params;
  double p99_limit;   /* multiple of the p99 wait under full knowledge; 0: no limit */
  double worth_limit; /* share of the worth under full knowledge; 0: no limit */
} Case;

static const char *const policy_names[] = {
  "one hash",  "random",         "two choices, late loads",
  "placement", "full knowledge", "full knowledge of rates"
};

static KqBalancingResult
mean_of_seeds (KqBalancingParams params, KqBalancingPolicy policy)
{
  KqBalancingResult mean = { 0 };
  params.policy = policy;
  params.seconds = SECONDS;
  params.admit_load = 800;
  for (params.seed = 1; params.seed <= SEEDS; params.seed++)
    {
      KqBalancingResult one = kq_balancing_run (&params);
      mean.mean += one.mean / SEEDS;
      mean.p99 += one.p99 / SEEDS;
      mean.worth += one.worth / SEEDS;
      mean.messages += one.messages / SEEDS;
      mean.bytes += one.bytes / SEEDS;
      mean.requests += one.requests;
      mean.lost += one.lost;
    }
  return mean;
}

static void
print_row (const char *name, const KqBalancingResult *result, const KqBalancingResult *full)
{
  printf ("  %-25s %8.3f %8.2f %7.2f %9.3f %9.2f %7.0f %9llu %5llu\n", name, result->mean,
          result->p99, result->p99 / full->p99, result->worth / full->worth, result->messages,
          result->bytes, (unsigned long long)result->requests, (unsigned long long)result->lost);
}

static void
print_verdict (const Case *one, const KqBalancingResult *placement, const KqBalancingResult *full)
{
  double p99 = placement->p99 / full->p99;
  double worth = placement->worth / full->worth;
  if (one->p99_limit > 0)
    printf ("  target: p99 wait at most %.2f times full knowledge: %.2f, %s\n", one->p99_limit, p99,
            p99 <= one->p99_limit ? "met" : "missed");
  if (one->worth_limit > 0)
    printf ("  target: worth answered at least %.2f of full knowledge: %.3f, %s\n",
            one->worth_limit, worth, worth >= one->worth_limit ? "met" : "missed");
}

static void
run_case (const Case *one)
{
  bool flows = one->params.flow_requests > 1;
  KqBalancingResult full = mean_of_seeds (one->params, KQ_POLICY_LEAST_LOADED);
  KqBalancingResult placement = { 0 };
  printf ("\n%s\n", one->name);
  for (KqBalancingPolicy policy = KQ_POLICY_HASH; policy < KQ_POLICY_LEAST_LOADED; policy++)
    {
      KqBalancingResult result = mean_of_seeds (one->params, policy);
      print_row (policy_names[policy], &result, &full);
      if (policy == KQ_POLICY_PLACEMENT)
        placement = result;
    }
  print_row (policy_names[KQ_POLICY_LEAST_LOADED], &full, &full);
  if (flows)
    {
      KqBalancingResult rates = mean_of_seeds (one->params, KQ_POLICY_LEAST_RATE);
      print_row (policy_names[KQ_POLICY_LEAST_RATE], &rates, &full);
    }
  print_verdict (one, &placement, &full);
}

static void
run_false_reports (void)
{
  KqBalancingParams truth = { .load = 0.85, .flow_requests = 1 };
  KqBalancingParams misreported = truth;
  misreported.reports_no_load = true;
  KqBalancingResult full = mean_of_seeds (truth, KQ_POLICY_LEAST_LOADED);
  KqBalancingResult two_true = mean_of_seeds (truth, KQ_POLICY_TWO_CHOICES);
  KqBalancingResult two_misreported = mean_of_seeds (misreported, KQ_POLICY_TWO_CHOICES);
  KqBalancingResult placement_true = mean_of_seeds (truth, KQ_POLICY_PLACEMENT);
  KqBalancingResult placement_misreported = mean_of_seeds (misreported, KQ_POLICY_PLACEMENT);
  printf ("\n85 %% load, the load endpoint of one target reports 0 (agents count requests "
          "themselves)\n");
  print_row ("two choices, true report", &two_true, &full);
  print_row ("two choices, false report", &two_misreported, &full);
  print_row ("placement, true report", &placement_true, &full);
  print_row ("placement, false report", &placement_misreported, &full);
  printf ("  target: p99 wait no higher with the false report: %.2f and %.2f, %s\n",
          placement_misreported.p99, placement_true.p99,
          placement_misreported.p99 <= placement_true.p99 ? "met" : "missed");
}

int
main (void)
{
  static const Case cases[] = {
    { "85 % load, equal targets", { .load = 0.85, .flow_requests = 1 }, 1.25, 0 },
    { "85 % load, one target at half speed",
      { .load = 0.85, .slow = true, .flow_requests = 1 },
      1.25,
      0 },
    { "85 % load, one target starts cold every 20 s",
      { .load = 0.85, .cold = true, .flow_requests = 1 },
      1.25,
      0 },
    { "85 % load, a tenth of the requests cost 11 times the others",
      { .load = 0.85, .unequal = true, .flow_requests = 1 },
      1.25,
      0 },
    { "1.3 times overload, worths 1 and 10, deadline 5 service times",
      { .load = 1.3, .worth = true, .flow_requests = 1 },
      0,
      0.97 },
    { "85 % load, flows of 40 requests that stay with their target (no target set)",
      { .load = 0.85, .flow_requests = 40 },
      0,
      0 },
  };
  printf ("choice of target: 7 targets of 5 slots, means of seeds 1 to %d over %d s each;\n"
          "waits from the balancer to the start of execution, in mean service times of 50 ms\n\n",
          SEEDS, SECONDS);
  printf ("  %-25s %8s %8s %7s %9s %9s %9s %5s\n", "", "mean", "p99", "p99 /", "worth /",
          "messages", "requests", "lost");
  printf ("  %-25s %8s %8s %7s %9s %9s %7s\n", "", "wait", "wait", "full", "full", "/ request",
          "request");
  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (&cases[i]);
  run_false_reports ();
  return 0;
}
