/* Requests queue at targets that a policy chooses; measures their waits and the worth answered. */
#pragma once

#include "kumquat/types.h"

#define KQ_CHOICE_TARGETS 7
#define KQ_CHOICE_SLOTS   5
#define KQ_SERVICE_TIME   (50 * KQ_MS) /* mean */

/**
 * enum KqChoicePolicy - who chooses the target of a request or flow
 * @KQ_POLICY_HASH: the first candidate of the bucket
 * @KQ_POLICY_RANDOM: a random target
 * @KQ_POLICY_TWO_LATE: the less loaded of two random ones, by the load 2 service times ago that the
 *   target's own endpoint reports
 * @KQ_POLICY_PLACEMENT: the real placements, with their messages on a network
 * @KQ_POLICY_FULL: the least loaded target at this moment
 * @KQ_POLICY_FULL_RATES: for flows that stay: the target with the least sum of request rates
 */
typedef enum
{
  KQ_POLICY_HASH,
  KQ_POLICY_RANDOM,
  KQ_POLICY_TWO_LATE,
  KQ_POLICY_PLACEMENT,
  KQ_POLICY_FULL,
  KQ_POLICY_FULL_RATES
} KqChoicePolicy;

/**
 * struct KqChoiceParams - one run
 * @load: offered work as a share of what the targets can do
 * @slow: target 0 works at half speed
 * @cold: target 0 restarts every 20 s and takes 5 s to come from a fifth to full speed
 * @unequal: a tenth of the requests cost eleven times the others
 * @lying: the load endpoint of target 0 reports 0
 * @worth: requests are worth 1 or, one in five, 10; a request not begun in 5 service times is
 * dropped, and a full queue drops what is worth least
 * @flow_requests: mean number of requests of a flow, which all go to its target; 1 for single
 * requests
 * @admit_load: threshold of the placements
 * @query_max: how many others they ask
 */
typedef struct
{
  uint64_t seed;
  KqChoicePolicy policy;
  double load;
  double seconds;
  bool slow;
  bool cold;
  bool unequal;
  bool lying;
  bool worth;
  unsigned flow_requests;
  unsigned admit_load;
  unsigned query_max;
} KqChoiceParams;

/**
 * struct KqChoiceResult - waits are from the balancer to the start of the work, in mean service
 * times
 * @messages: placement messages a request
 * @bytes: of those, without the datagrams' headers
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
} KqChoiceResult;

KqChoiceResult kq_choice_run (const KqChoiceParams *params);
