/* Simulates requests that queue at targets chosen by a load-balancing policy; measures the waiting
 * times and the total worth of the answered requests. */
#pragma once

#include "kumquat/types.h"

#define KQ_BALANCING_TARGETS 7
#define KQ_BALANCING_SLOTS   5
#define KQ_SERVICE_TIME      (50 * KQ_MS) /* mean service time of a request */

/**
 * enum KqBalancingPolicy - how the target of a request or flow is chosen
 * @KQ_POLICY_HASH: the first candidate of the hash bucket
 * @KQ_POLICY_RANDOM: a random target
 * @KQ_POLICY_TWO_CHOICES: the less loaded of two random targets, by the load that each target
 * reported 2 service times ago
 * @KQ_POLICY_PLACEMENT: the agents' placement code, with its messages over a simulated network
 * @KQ_POLICY_LEAST_LOADED: the least loaded target, with full and current knowledge
 * @KQ_POLICY_LEAST_RATE: for flows of several requests: the target with the lowest total request
 *   rate
 */
typedef enum
{
  KQ_POLICY_HASH,
  KQ_POLICY_RANDOM,
  KQ_POLICY_TWO_CHOICES,
  KQ_POLICY_PLACEMENT,
  KQ_POLICY_LEAST_LOADED,
  KQ_POLICY_LEAST_RATE
} KqBalancingPolicy;

/**
 * struct KqBalancingParams - parameters of one simulation run
 * @load: offered load as a share of the capacity of all targets
 * @slow: target 0 runs at half speed
 * @cold: target 0 restarts every 20 s and warms up from a fifth to full speed within 5 s
 * @unequal: a tenth of the requests take eleven times as long as the others
 * @reports_no_load: target 0 always reports a load of 0
 * @worth: one request in five has a worth of 10, the others 1; a request not started within 5
 *   service times is dropped, and a full queue drops its request of the lowest worth
 * @flow_requests: mean number of requests of a flow, all sent to the same target; 1 for independent
 *   requests
 * @admit_load: load up to which the placement code admits flows
 * @query_max: number of other agents that the placement code queries
 */
typedef struct
{
  uint64_t seed;
  KqBalancingPolicy policy;
  double load;
  double seconds;
  bool slow;
  bool cold;
  bool unequal;
  bool reports_no_load;
  bool worth;
  unsigned flow_requests;
  unsigned admit_load;
  unsigned query_max;
} KqBalancingParams;

/**
 * struct KqBalancingResult - results; waiting times run from sending to the start of processing, in
 * mean service times
 * @mean: mean waiting time
 * @p99: 99th percentile of the waiting time
 * @worth: total worth of the answered requests
 * @messages: placement messages per request
 * @bytes: bytes of those messages per request, without datagram headers
 * @lost: requests that reached no target
 */
typedef struct
{
  double mean;
  double p99;
  double worth;
  double messages;
  double bytes;
  uint64_t requests;
  uint64_t lost;
} KqBalancingResult;

KqBalancingResult kq_balancing_run (const KqBalancingParams *params);
