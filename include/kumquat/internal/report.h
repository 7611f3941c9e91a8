/* Aggregates the counters of agents into a report for each service. */
#pragma once

#include <jansson.h>

#include "kumquat/burn_history.h"
#include "kumquat/view.h"

/**
 * struct KqTargetCounters - counters of one agent
 * @member: the agent
 * @answered: requests answered since the agent started
 * @in_time: requests answered within the latency objective
 * @refused: requests refused without running them
 * @unknown: requests whose outcome is unknown
 * @worth: worth of the requests answered
 * @flows_open: open flows of the target
 * @flows_lost: broken flows: known to the agent, but lost with their target process
 * @windows: (array): counts by KqBurnWindow
 * @covered_s: (array): part of each window that the agent has recorded, in seconds
 */
typedef struct
{
  KqMember member;
  uint64_t answered;
  uint64_t in_time;
  uint64_t refused;
  uint64_t unknown;
  uint64_t worth;
  uint64_t flows_open;
  uint64_t flows_lost;
  KqBurnCounts windows[KQ_BURN_WINDOWS];
  uint64_t covered_s[KQ_BURN_WINDOWS];
} KqTargetCounters;

/** kq_report_parse - parses an agent's Prometheus text; counters missing from it stay 0 */
void kq_report_parse (const char *text, KqTargetCounters *target);

/** kq_report_service - Return: (owned by the caller) the report of one service; entries of @targets
 * that belong to other services are ignored */
json_t *kq_report_service (const KqService *service, const KqTargetCounters *targets,
                           unsigned count);
