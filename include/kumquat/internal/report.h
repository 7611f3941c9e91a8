/* Adds up what agents count into a report for each service. */
#pragma once

#include <jansson.h>

#include "kumquat/burn.h"
#include "kumquat/view.h"

/**
 * struct KqReportTarget - what one agent counts
 * @member: who it is
 * @answered: requests answered since the agent started
 * @in_time: those of them that were in time
 * @refused: requests refused, not run
 * @unknown: requests whose outcome is unknown
 * @worth: worth of the requests answered
 * @flows_open: flows that the target holds
 * @flows_lost: flows known here whose target died: broken flows
 * @windows: (array): counts by KqBurnWindow
 * @covered_s: (array): how much of each window the agent has seen
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
} KqReportTarget;

/** kq_report_parse - reads an agent's Prometheus text; what it does not name stays 0 */
void kq_report_parse (const char *text, KqReportTarget *target);

/** kq_report_service - Return: (owned by the caller) the report of one service; entries of @targets
 * that belong to other services are left out */
json_t *kq_report_service (const KqService *service, const KqReportTarget *targets, unsigned count);
