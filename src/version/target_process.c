#include <string.h>

#include "kumquat/internal/target_process.h"

/* Usual time between the reports of a process; also the least that is assumed, since a change of
 * state is reported at once. */
#define REPORT_INTERVAL_US (770 * KQ_MS)

/* Longest time between reports that is assumed: a few lost reports must not delay a takeover. */
#define REPORT_INTERVAL_MAX_US (2 * KQ_SECOND)

/* Intervals without a report after which the process in force counts as silent. */
#define SILENT_INTERVALS 2

/* Start times ahead of this machine's time of day by more than this are in the future. The time of
 * day steps by seconds. */
#define START_AHEAD_MAX_US (10 * KQ_SECOND)

static bool
is_process (const KqTargetIdentity *identity, const KqTargetReport *report)
{
  return identity->started_ms == report->started_ms && strcmp (identity->id, report->id) == 0;
}

/* A process is identified by its start time and id; a process that reports no start time, by its id
 * alone. */
static bool
same_process (const KqTargetReport *a, const KqTargetReport *b)
{
  return a->started_ms == b->started_ms && strcmp (a->id, b->id) == 0;
}

static bool
was_replaced (const KqTargetProcess *target_process, const KqTargetReport *report)
{
  for (unsigned i = 0; i < KQ_TARGET_REPLACED_MAX; i++)
    if (target_process->replaced[i].id[0] != 0 && is_process (&target_process->replaced[i], report))
      return true;
  return false;
}

static void
set_identity (KqTargetIdentity *identity, const KqTargetReport *report)
{
  memcpy (identity->id, report->id, sizeof identity->id);
  identity->started_ms = report->started_ms;
}

static KqTargetChange
apply_report (KqTargetProcess *target_process, const KqTargetReport *report, KqTime now)
{
  KqTargetReport merged = *report;
  bool changed = report->state != target_process->report.state;
  /* The report of a stop carries only the id. */
  if (merged.slots == 0)
    merged.slots = target_process->report.slots;
  if (merged.service == 0)
    merged.service = target_process->report.service;
  target_process->report = merged;
  target_process->at = now;
  return changed ? KQ_TARGET_CHANGED : KQ_TARGET_SAME;
}

static void
measure_interval (KqTargetProcess *target_process, KqTime now)
{
  KqTime interval = now - target_process->at;
  if (interval < REPORT_INTERVAL_US)
    interval = REPORT_INTERVAL_US;
  target_process->interval_us =
      interval < REPORT_INTERVAL_MAX_US ? interval : REPORT_INTERVAL_MAX_US;
}

static KqTargetChange
replace (KqTargetProcess *target_process, const KqTargetReport *report, KqTime now)
{
  /* Without a start time, a later process with the same id looks the same: it is not remembered. */
  if (target_process->report.started_ms != 0)
    set_identity (
        &target_process->replaced[target_process->replaced_count++ % KQ_TARGET_REPLACED_MAX],
        &target_process->report);
  memset (&target_process->report, 0, sizeof target_process->report);
  memset (&target_process->pending, 0, sizeof target_process->pending);
  target_process->interval_us = 0;
  apply_report (target_process, report, now);
  return KQ_TARGET_RESTARTED;
}

static bool
is_silent (const KqTargetProcess *target_process, KqTime now)
{
  KqTime interval = target_process->interval_us;
  if (interval == 0)
    interval = REPORT_INTERVAL_US;
  return target_process->report.state == KQ_TARGET_GONE ||
         now - target_process->at >= SILENT_INTERVALS * interval;
}

static KqReportDoubt
doubt_start (const KqTargetReport *report, KqTime uptime_us)
{
  if (report->started_ms == 0)
    return KQ_REPORT_NO_START;
  return uptime_us < -START_AHEAD_MAX_US ? KQ_REPORT_FUTURE : KQ_REPORT_PLAIN;
}

/* A report of a process that has not been in force. */
static KqTargetChange
handle_unknown_process (KqTargetProcess *target_process, const KqTargetReport *report, KqTime now,
                        KqReportDoubt *doubt)
{
  bool pending =
      target_process->pending.id[0] != 0 && is_process (&target_process->pending, report);
  if (*doubt == KQ_REPORT_PLAIN && report->started_ms > target_process->report.started_ms)
    return replace (target_process, report, now);
  if (*doubt == KQ_REPORT_PLAIN)
    *doubt = KQ_REPORT_EARLIER;
  if (pending && report->sequence > target_process->pending_sequence &&
      is_silent (target_process, now))
    return replace (target_process, report, now);
  if (!pending)
    {
      set_identity (&target_process->pending, report);
      target_process->pending_sequence = report->sequence;
    }
  return KQ_TARGET_DEFERRED;
}

/* The report of an end can lack all fields but the id. */
static KqTargetChange
handle_end (KqTargetProcess *target_process, const KqTargetReport *report, KqTime now,
            KqReportDoubt *doubt)
{
  const KqTargetReport *known = &target_process->report;
  KqTargetReport end = *report;
  bool same_id = strcmp (report->id, known->id) == 0;
  bool pending =
      target_process->pending.id[0] != 0 && is_process (&target_process->pending, report);
  *doubt = KQ_REPORT_PLAIN;
  if (same_id && (report->started_ms == 0 || report->started_ms >= known->started_ms))
    {
      end.started_ms = known->started_ms;
      end.sequence = known->sequence;
      return apply_report (target_process, &end, now);
    }
  if (pending && is_silent (target_process, now))
    return replace (target_process, report, now);
  *doubt = pending ? KQ_REPORT_EARLIER : KQ_REPORT_NOT_IN_FORCE;
  return pending ? KQ_TARGET_DEFERRED : KQ_TARGET_OUTDATED;
}

static KqTargetChange
handle_known_process (KqTargetProcess *target_process, const KqTargetReport *report, KqTime now,
                      KqReportDoubt *doubt)
{
  const KqTargetReport *known = &target_process->report;
  /* A report whose acknowledgement was lost is sent again. */
  if (report->sequence == known->sequence && report->state == known->state)
    {
      target_process->at = now;
      return KQ_TARGET_SAME;
    }
  if (report->sequence <= known->sequence)
    *doubt = KQ_REPORT_SEQUENCE;
  else if (known->state == KQ_TARGET_GONE ||
           (known->state == KQ_TARGET_DRAINING && report->state == KQ_TARGET_READY))
    *doubt = KQ_REPORT_ENDED;
  else
    {
      measure_interval (target_process, now);
      return apply_report (target_process, report, now);
    }
  return KQ_TARGET_OUTDATED;
}

KqTargetChange
kq_target_process_report (KqTargetProcess *target_process, const KqTargetReport *report,
                          KqTime uptime_us, KqTime now, KqReportDoubt *doubt)
{
  const KqTargetReport *known = &target_process->report;
  *doubt = doubt_start (report, uptime_us);
  if (was_replaced (target_process, report))
    {
      *doubt = KQ_REPORT_REPLACED;
      return KQ_TARGET_OUTDATED;
    }
  if (report->state == KQ_TARGET_GONE)
    return handle_end (target_process, report, now, doubt);
  if (known->state == KQ_TARGET_UNKNOWN)
    {
      apply_report (target_process, report, now);
      return KQ_TARGET_CHANGED;
    }
  if (same_process (known, report))
    return handle_known_process (target_process, report, now, doubt);
  return handle_unknown_process (target_process, report, now, doubt);
}

const char *
kq_target_state_name (KqTargetState state)
{
  static const char *const names[] = { [KQ_TARGET_UNKNOWN] = "unknown",
                                       [KQ_TARGET_READY] = "ready",
                                       [KQ_TARGET_DRAINING] = "draining",
                                       [KQ_TARGET_GONE] = "gone" };
  return names[state];
}

const char *
kq_report_doubt_name (KqReportDoubt doubt)
{
  static const char *const names[] = { [KQ_REPORT_PLAIN] = "none",
                                       [KQ_REPORT_REPLACED] = "replaced",
                                       [KQ_REPORT_SEQUENCE] = "sequence",
                                       [KQ_REPORT_ENDED] = "ended",
                                       [KQ_REPORT_NOT_IN_FORCE] = "not-in-force",
                                       [KQ_REPORT_EARLIER] = "earlier-start",
                                       [KQ_REPORT_NO_START] = "no-start",
                                       [KQ_REPORT_FUTURE] = "future-start" };
  return names[doubt];
}
