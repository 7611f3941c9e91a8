#include <string.h>

#include "kumquat/internal/target_life.h"

/* A process is identified by its start time and id; a process that reports no start time, by its id
 * alone. */
static bool
same_life (const KqTargetReport *a, const KqTargetReport *b)
{
  return a->born_ms == b->born_ms && strcmp (a->id, b->id) == 0;
}

static KqTargetChange
apply (KqTargetLife *life, const KqTargetReport *report, KqTime now)
{
  KqTargetReport merged = *report;
  bool changed = report->state != life->report.state;
  /* The report of a stop carries only the id. */
  if (merged.slots == 0)
    merged.slots = life->report.slots;
  if (merged.service == 0)
    merged.service = life->report.service;
  life->report = merged;
  life->at = now;
  return changed ? KQ_TARGET_CHANGED : KQ_TARGET_SAME;
}

KqTargetChange
kq_target_life_report (KqTargetLife *life, const KqTargetReport *report, KqTime now)
{
  const KqTargetReport *known = &life->report;
  KqTargetReport named = *report;
  if (report->state == KQ_TARGET_GONE && strcmp (report->id, known->id) == 0)
    {
      /* It ends the process with this id, whichever fields are missing. */
      if (report->born_ms != 0 && report->born_ms < known->born_ms)
        return KQ_TARGET_LATE;
      named.born_ms = known->born_ms;
      named.sequence = known->sequence;
      return apply (life, &named, now);
    }
  if (report->state == KQ_TARGET_GONE)
    return KQ_TARGET_LATE;
  if (known->state == KQ_TARGET_UNKNOWN)
    {
      apply (life, report, now);
      return KQ_TARGET_CHANGED;
    }
  if (same_life (known, report))
    {
      bool late = report->sequence <= known->sequence || known->state == KQ_TARGET_GONE ||
                  (known->state == KQ_TARGET_DRAINING && report->state == KQ_TARGET_READY);
      return late ? KQ_TARGET_LATE : apply (life, report, now);
    }
  if (report->born_ms < known->born_ms)
    return KQ_TARGET_LATE;
  memset (life, 0, sizeof *life);
  apply (life, report, now);
  return KQ_TARGET_REBORN;
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
