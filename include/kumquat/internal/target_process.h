/* The target of an agent, as known from its reports: which process runs, and whether it accepts new
 * streams. */
#pragma once

#include "kumquat/types.h"

#define KQ_TARGET_ID_BYTES 128

/**
 * enum KqTargetState - state that a target reports
 * @KQ_TARGET_UNKNOWN: it has not reported to this agent yet
 * @KQ_TARGET_READY: accepts new streams
 * @KQ_TARGET_DRAINING: keeps its streams and accepts no new ones
 * @KQ_TARGET_GONE: has ended
 */
typedef enum
{
  KQ_TARGET_UNKNOWN,
  KQ_TARGET_READY,
  KQ_TARGET_DRAINING,
  KQ_TARGET_GONE
} KqTargetState;

/**
 * struct KqTargetReport - one status report of a target
 * @id: id that the target has chosen
 * @service: number of the service that it serves; 0 when the report names none
 * @started_ms: start of the process, in milliseconds since 1970; 0 when not reported
 * @sequence: increases with each report of a process
 * @state: see KqTargetState
 * @slots: requests that it runs at once; 0 when not reported
 * @cold_ms: remaining warm-up time, during which it is slow
 */
typedef struct
{
  char id[KQ_TARGET_ID_BYTES];
  uint32_t service;
  uint64_t started_ms;
  uint64_t sequence;
  KqTargetState state;
  unsigned slots;
  unsigned cold_ms;
} KqTargetReport;

/* Replaced processes that are remembered. A report waits for seconds at most, and a target that
 * restarts all the time does so about once a second. */
#define KQ_TARGET_REPLACED_MAX 16

/**
 * struct KqTargetIdentity - identity of a process of the target
 * @id: id that the target has chosen
 * @started_ms: start of the process, in milliseconds since 1970; 0 when not reported
 */
typedef struct
{
  char id[KQ_TARGET_ID_BYTES];
  uint64_t started_ms;
} KqTargetIdentity;

/**
 * struct KqTargetProcess - the process of a target whose reports are in force
 * @report: its last report
 * @at: when that report arrived
 * @interval_us: time between its last two reports, within bounds; 0 before the second
 * @replaced: ring of processes that were replaced
 * @replaced_count: processes that were replaced so far
 * @pending: process that has reported and does not replace the one in force yet; an empty id for
 *   none
 * @pending_sequence: sequence number of its first report
 */
typedef struct
{
  KqTargetReport report;
  KqTime at;
  KqTime interval_us;
  KqTargetIdentity replaced[KQ_TARGET_REPLACED_MAX];
  unsigned replaced_count;
  KqTargetIdentity pending;
  uint64_t pending_sequence;
} KqTargetProcess;

/**
 * enum KqTargetChange - effect of a report
 * @KQ_TARGET_SAME: no change; the reported state is in force
 * @KQ_TARGET_CHANGED: the state of the same process changed
 * @KQ_TARGET_RESTARTED: the target was restarted; the streams of the earlier process are lost
 * @KQ_TARGET_OUTDATED: outdated, of an earlier process or reordered; it is ignored
 * @KQ_TARGET_DEFERRED: of a process that cannot be ordered yet; it is ignored and has to be sent
 *   again
 */
typedef enum
{
  KQ_TARGET_SAME,
  KQ_TARGET_CHANGED,
  KQ_TARGET_RESTARTED,
  KQ_TARGET_OUTDATED,
  KQ_TARGET_DEFERRED
} KqTargetChange;

/**
 * enum KqReportDoubt - what is unusual about a report
 * @KQ_REPORT_PLAIN: nothing
 * @KQ_REPORT_REPLACED: its process was replaced
 * @KQ_REPORT_SEQUENCE: its sequence number is not higher than that in force
 * @KQ_REPORT_ENDED: its process has ended, or drains and does not become ready again
 * @KQ_REPORT_NOT_IN_FORCE: end of a process that is not in force
 * @KQ_REPORT_EARLIER: its process is unknown and does not have a later start time
 * @KQ_REPORT_NO_START: it states no start time
 * @KQ_REPORT_FUTURE: its start time is in the future
 */
typedef enum
{
  KQ_REPORT_PLAIN,
  KQ_REPORT_REPLACED,
  KQ_REPORT_SEQUENCE,
  KQ_REPORT_ENDED,
  KQ_REPORT_NOT_IN_FORCE,
  KQ_REPORT_EARLIER,
  KQ_REPORT_NO_START,
  KQ_REPORT_FUTURE
} KqReportDoubt;

#define KQ_REPORT_DOUBT_MAX KQ_REPORT_FUTURE

/**
 * kq_target_process_report - applies a report
 * @uptime_us: how long the process has run by this machine's time of day; negative for a start in
 *   the future; ignored for a report without a start time
 * @doubt: (out): what is unusual about the report, also if it is applied
 *
 * Start times come from a clock that can step back, so they alone order no processes. A process
 * that was replaced stays replaced. An unknown one with a later start time replaces the one in
 * force at once. Any other unknown one replaces it when the one in force has ended or has been
 * silent for two report intervals, and only with its second report.
 *
 * Return: the effect. Only KQ_TARGET_OUTDATED and KQ_TARGET_DEFERRED leave the report without
 * effect; only the other values may be acknowledged.
 */
KqTargetChange kq_target_process_report (KqTargetProcess *target_process,
                                         const KqTargetReport *report, KqTime uptime_us, KqTime now,
                                         KqReportDoubt *doubt);

/** kq_target_state_name - Return: (static) the state in lower case */
const char *kq_target_state_name (KqTargetState state);

/** kq_report_doubt_name - Return: (static) the doubt in lower case with hyphens */
const char *kq_report_doubt_name (KqReportDoubt doubt);
