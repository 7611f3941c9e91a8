#include <string.h>

#include "kumquat/internal/outlier_detector.h"
#include "kumquat/internal/stream_target_limit.h"

/* Age at which a report says nothing about a limit. Limited targets get offers all the time; with
 * a shorter time, the others would count less often in a service with few streams. */
#define REPORT_MAX_AGE_US (6 * KQ_SECOND)

/* The limits are ignored when more than one of this many candidates is limited. */
#define IGNORED_DIVISOR 3

/* A limited target gets at least this share of its usual streams; its agent admits fewer if it
 * fails all of them. */
#define SHARE_MIN 0.2

/* Interval of offers to a limited target if its share brings fewer. It grows when the agent
 * declines, which it does when many balancers offer. */
#define PROBE_INTERVAL_US     (500 * KQ_MS)
#define PROBE_INTERVAL_MAX_US (1 * KQ_SECOND)
#define DECLINED_FACTOR       4
#define CHOSEN_DIVISOR        2

#define PERMILLE 1000

/* Credit of one stream; each choice adds a share of it, divided by the number of candidates. */
#define STREAM_CREDIT 1000000u

static bool
has_report (const KqStreamTarget *target, KqTime now)
{
  return target->load_at != 0 && now - target->load_at < REPORT_MAX_AGE_US;
}

KqLimitedCandidates
kq_limited_candidates_count (const KqStreamFeatures *features, KqStreamTarget *const *candidates,
                             unsigned count, KqTime now)
{
  KqLimitedCandidates result = { .enabled = features->outlier_detection, .count = count };
  if (!result.enabled)
    return result;
  for (unsigned i = 0; i < count; i++)
    {
      if (!candidates[i]->serving || candidates[i]->evacuated || !has_report (candidates[i], now))
        continue;
      result.reported++;
      result.limited += candidates[i]->load.limited;
    }
  result.ignored = result.limited * IGNORED_DIVISOR > result.reported;
  return result;
}

bool
kq_stream_target_is_limited (const KqStreamTarget *target, const KqLimitedCandidates *candidates,
                             KqTime now)
{
  return candidates->enabled && !candidates->ignored && target->load.limited &&
         has_report (target, now);
}

static void
set_interval (KqStreamTarget *target, KqTime interval, KqTime from)
{
  if (interval < PROBE_INTERVAL_US)
    interval = PROBE_INTERVAL_US;
  target->limit.interval_us = interval < PROBE_INTERVAL_MAX_US ? interval : PROBE_INTERVAL_MAX_US;
  target->limit.probe_at = from + target->limit.interval_us;
}

bool
kq_stream_target_is_avoided (KqStreamTarget *target, const KqLimitedCandidates *candidates,
                             KqTime now, bool *is_due)
{
  KqTargetLimit *limit = &target->limit;
  *is_due = false;
  if (!candidates->enabled || !target->load.limited || !has_report (target, now))
    {
      memset (limit, 0, sizeof *limit);
      return false;
    }
  if (candidates->ignored)
    {
      limit->interval_us = 0;
      return false;
    }
  if (limit->interval_us == 0)
    set_interval (target, 0, target->load_at);
  double share = kq_limit_share ((double)target->load.failed_permille / PERMILLE);
  if (share < SHARE_MIN)
    share = SHARE_MIN;
  limit->credit += (unsigned)(share * STREAM_CREDIT) / candidates->count;
  if (limit->credit > STREAM_CREDIT)
    limit->credit = STREAM_CREDIT;
  *is_due = limit->credit >= STREAM_CREDIT || now >= limit->probe_at;
  return !*is_due;
}

KqStreamTarget *
kq_stream_target_limit_chosen (KqStreamTarget *target, const KqLimitedCandidates *candidates,
                               bool last_resort, KqTime now)
{
  if (target == NULL || !candidates->enabled)
    return target;
  target->limit.ignored = candidates->ignored || last_resort;
  if (target->limit.interval_us == 0)
    return target;
  target->limit.credit = 0;
  set_interval (target, target->limit.interval_us / CHOSEN_DIVISOR, now);
  return target;
}

void
kq_stream_target_limit_declined (KqStreamTarget *target, KqTime now)
{
  set_interval (target, target->limit.interval_us * DECLINED_FACTOR, now);
}
