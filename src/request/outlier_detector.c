/* A limit needs evidence: the lower bound of the confidence interval of the failure ratio, over all
 * outcomes of 2 s or over those of the last half second alone, must exceed a threshold. The short
 * period finds a target that stops answering: its earlier good answers would hide that for 2 s. */

#include <math.h>

#include "kumquat/internal/outlier_detector.h"

#define WINDOW_US       (2 * KQ_SECOND)
#define SHORT_WINDOW_US (500 * KQ_MS)

/* Records of one caller address: an eighth of all, so that one caller is no majority. */
#define CALLER_RECORDS_MAX 4

/* A target with 3 slots or more runs 4 requests, so one that hangs reaches this number. */
#define FAILURES_MIN 4

/* Two callers that provoke failures cannot limit a target. */
#define FAILED_CALLERS_MIN 3

/* Standard deviations of a one-sided confidence of 99%. */
#define CONFIDENCE_Z 2.326

/* Ratios that the lower bound has to exceed. In the long period, 8 failures of 32 do, or 4 of 13: a
 * target that fails one in four reaches that within a second, one that fails 2% has 4 of 13 in one
 * of ten thousand periods. In the short one, 4 of 4 do, or 6 of 8. */
#define RATIO_MIN       0.10
#define SHORT_RATIO_MIN 0.35

/* A limit is lifted after as many successes in a row as a target with the former failure ratio
 * would have with this probability, within the bounds. */
#define LUCK          0.01
#define SUCCESSES_MIN 3
#define SUCCESSES_MAX 32

/* Outcomes and ratio with which a limit is lifted without such a run. */
#define HEALTHY_TOTAL 16
#define HEALTHY_RATIO 0.05

/* Interval of new streams to a target that fails all requests: four times the usual one, so that a
 * fifth of its streams fails at the most, within the bounds. A run of successes halves it up to
 * this number of times. */
#define PROBE_INTERVAL_FACTOR 4
#define PROBE_INTERVAL_MIN_US (250 * KQ_MS)
#define PROBE_INTERVAL_MAX_US (1 * KQ_SECOND)
#define PROBE_HALVINGS_MAX    4

/* The least interval after a request that was not answered in time: it costs its caller the whole
 * attempt, and its successor is not to be sent before its outcome is known. */
#define OVERDUE_PROBE_INTERVAL_US (500 * KQ_MS)

/* Weight of an interval of new streams in the usual one, which must not become that of the many
 * streams that a failing target attracts until it is limited; and the longest that counts. */
#define INTERVAL_WEIGHT 32
#define INTERVAL_MAX_US (2 * KQ_SECOND)

/* Answers that make up the usual answer, and judged ones that show how many are short by nature. */
#define ANSWERS_MIN 16
#define JUDGED_MIN  32

/* Weights of a new sample in the moving averages. Errors have a small one: while a target fails,
 * its usual answer must not become the error, but after a change of the service it must adapt. */
#define ANSWER_WEIGHT (1.0 / 32)
#define ERROR_WEIGHT  (1.0 / 64)
#define SHORT_WEIGHT  (1.0 / 256)

/* An error is shorter and sooner than the usual answer divided by this. */
#define ERROR_DIVISOR 3

/* With more short answers than this by nature, short answers say nothing. */
#define SHORT_NATURE_MAX 0.25

/* Failures by nature that are tolerated for each short answer by nature. */
#define SHORT_MARGIN 1.5

/* A request that takes longer than this multiple of the usual time is overdue, within the bounds.
 */
#define OVERDUE_FACTOR 8
#define OVERDUE_MIN_US (500 * KQ_MS)
#define OVERDUE_MAX_US (3 * KQ_SECOND)

static bool
is_recent (const KqOutcomeRecord *record, KqTime period_us, KqTime now)
{
  return record->at != 0 && now - record->at < period_us;
}

static bool
caller_failed_before (const KqOutlierDetector *detector, unsigned end, uint32_t caller_ip,
                      KqTime period_us, KqTime now)
{
  for (unsigned i = 0; i < end; i++)
    if (detector->records[i].failed && detector->records[i].caller_ip == caller_ip &&
        is_recent (&detector->records[i], period_us, now))
      return true;
  return false;
}

static KqOutcomeCount
count_outcomes (const KqOutlierDetector *detector, KqTime period_us, KqTime now)
{
  KqOutcomeCount count = { 0 };
  for (unsigned i = 0; i < KQ_OUTCOMES_MAX; i++)
    {
      const KqOutcomeRecord *record = &detector->records[i];
      if (!is_recent (record, period_us, now))
        continue;
      count.total++;
      if (!record->failed)
        continue;
      count.failed++;
      count.failed_callers +=
          !caller_failed_before (detector, i, record->caller_ip, period_us, now);
    }
  return count;
}

KqOutcomeCount
kq_outlier_detector_count (const KqOutlierDetector *detector, KqTime now)
{
  return count_outcomes (detector, WINDOW_US, now);
}

static double
failure_ratio (const KqOutcomeCount *count)
{
  return count->total == 0 ? 0 : (double)count->failed / count->total;
}

/* Return: lower bound of the Wilson score interval of the failure ratio. */
static double
ratio_lower_bound (const KqOutcomeCount *count)
{
  double total = count->total;
  double ratio = failure_ratio (count);
  double z2 = CONFIDENCE_Z * CONFIDENCE_Z;
  double spread = sqrt (ratio * (1 - ratio) / total + z2 / (4 * total * total));
  return (ratio + z2 / (2 * total) - CONFIDENCE_Z * spread) / (1 + z2 / total);
}

static bool
is_evidence (const KqOutcomeCount *count, double threshold)
{
  return count->failed >= FAILURES_MIN && count->failed_callers >= FAILED_CALLERS_MIN &&
         ratio_lower_bound (count) >= threshold;
}

static bool
is_failing (const KqOutlierDetector *detector, KqTime now)
{
  KqOutcomeCount all = count_outcomes (detector, WINDOW_US, now);
  KqOutcomeCount last = count_outcomes (detector, SHORT_WINDOW_US, now);
  double nature = SHORT_MARGIN * detector->short_ratio;
  return is_evidence (&all, RATIO_MIN + nature) || is_evidence (&last, SHORT_RATIO_MIN + nature);
}

/* The record to overwrite: the oldest of this caller if it has its share, else the oldest. */
static KqOutcomeRecord *
select_record (KqOutlierDetector *detector, uint32_t caller_ip, KqTime now)
{
  KqOutcomeRecord *oldest = &detector->records[0];
  KqOutcomeRecord *own_oldest = NULL;
  unsigned own = 0;
  for (unsigned i = 0; i < KQ_OUTCOMES_MAX; i++)
    {
      KqOutcomeRecord *record = &detector->records[i];
      if (record->at < oldest->at)
        oldest = record;
      if (record->caller_ip != caller_ip || !is_recent (record, WINDOW_US, now))
        continue;
      own++;
      if (own_oldest == NULL || record->at < own_oldest->at)
        own_oldest = record;
    }
  return own >= CALLER_RECORDS_MAX ? own_oldest : oldest;
}

static unsigned
needed_successes (const KqOutlierDetector *detector)
{
  if (detector->ratio >= 1)
    return SUCCESSES_MIN;
  if (detector->ratio <= 0)
    return SUCCESSES_MAX;
  double needed = ceil (log (LUCK) / log (1 - detector->ratio));
  return needed < SUCCESSES_MIN   ? SUCCESSES_MIN
         : needed > SUCCESSES_MAX ? SUCCESSES_MAX
                                  : (unsigned)needed;
}

static void
set_limited (KqOutlierDetector *detector, KqTime now)
{
  KqOutcomeCount count = kq_outlier_detector_count (detector, now);
  KqOutcomeCount last = count_outcomes (detector, SHORT_WINDOW_US, now);
  detector->limited = true;
  detector->successes = 0;
  detector->ratio = fmax (failure_ratio (&count), failure_ratio (&last));
  detector->admitted_at = now;
}

/* The outcomes before the recovery say nothing about the target from now on. */
static void
lift_limit (KqOutlierDetector *detector)
{
  detector->limited = false;
  detector->ratio = 0;
  for (unsigned i = 0; i < KQ_OUTCOMES_MAX; i++)
    detector->records[i] = (KqOutcomeRecord){ 0 };
}

static bool
has_recovered (const KqOutlierDetector *detector, KqTime now)
{
  KqOutcomeCount count = kq_outlier_detector_count (detector, now);
  return detector->successes >= needed_successes (detector) ||
         (count.total >= HEALTHY_TOTAL && failure_ratio (&count) <= HEALTHY_RATIO);
}

bool
kq_outlier_detector_record (KqOutlierDetector *detector, KqRequestOutcome outcome,
                            uint32_t caller_ip, KqTime now)
{
  bool failed = outcome != KQ_OUTCOME_GOOD;
  if (failed)
    detector->overdue = outcome == KQ_OUTCOME_OVERDUE;
  bool repeated = caller_failed_before (detector, KQ_OUTCOMES_MAX, caller_ip, WINDOW_US, now);
  *select_record (detector, caller_ip, now) =
      (KqOutcomeRecord){ .at = now, .caller_ip = caller_ip, .failed = failed };
  if (!detector->limited)
    {
      if (!failed || !is_failing (detector, now))
        return false;
      set_limited (detector, now);
      return true;
    }
  if (!failed)
    {
      detector->successes++;
      if (!has_recovered (detector, now))
        return false;
      lift_limit (detector);
      return true;
    }
  KqOutcomeCount count = kq_outlier_detector_count (detector, now);
  detector->ratio = failure_ratio (&count);
  /* A caller address ends a run of successes once in the period: one that provokes failures must
   * not keep the limit. */
  if (!repeated)
    detector->successes = 0;
  return false;
}

bool
kq_outlier_detector_is_quick (const KqOutlierDetector *detector, KqTime took_us)
{
  return detector->answers >= ANSWERS_MIN && (double)took_us * ERROR_DIVISOR < detector->usual_us;
}

bool
kq_outlier_detector_is_short (const KqOutlierDetector *detector, size_t bytes)
{
  return detector->answers >= ANSWERS_MIN && (double)bytes * ERROR_DIVISOR < detector->usual_bytes;
}

KqRequestOutcome
kq_outlier_detector_judge_answer (KqOutlierDetector *detector, KqTime took_us, size_t bytes)
{
  bool is_error = kq_outlier_detector_is_quick (detector, took_us) &&
                  kq_outlier_detector_is_short (detector, bytes);
  double weight = is_error ? ERROR_WEIGHT : ANSWER_WEIGHT;
  bool known = detector->answers >= ANSWERS_MIN;
  if (!known)
    weight = 1.0 / ++detector->answers;
  detector->usual_us += ((double)took_us - detector->usual_us) * weight;
  detector->usual_bytes += ((double)bytes - detector->usual_bytes) * weight;
  if (!known)
    return KQ_OUTCOME_GOOD;
  bool nature_known = detector->judged >= JUDGED_MIN;
  double short_weight = nature_known ? SHORT_WEIGHT : 1.0 / ++detector->judged;
  detector->short_ratio += (is_error - detector->short_ratio) * short_weight;
  return is_error && nature_known && detector->short_ratio < SHORT_NATURE_MAX ? KQ_OUTCOME_ERROR
                                                                              : KQ_OUTCOME_GOOD;
}

KqTime
kq_outlier_detector_overdue_us (const KqOutlierDetector *detector, uint32_t timeout_ms)
{
  KqTime overdue = OVERDUE_MAX_US;
  if (detector->answers >= ANSWERS_MIN)
    overdue = (KqTime)(OVERDUE_FACTOR * detector->usual_us);
  if (overdue < OVERDUE_MIN_US)
    overdue = OVERDUE_MIN_US;
  if (timeout_ms > 0 && overdue > timeout_ms * KQ_MS)
    overdue = timeout_ms * KQ_MS;
  return overdue < OVERDUE_MAX_US ? overdue : OVERDUE_MAX_US;
}

/* Return: the failure ratio that the limit assumes; it falls to 0 with the run of successes, so
 * that the streams increase early in the run. */
static double
assumed_ratio (const KqOutlierDetector *detector)
{
  double left = 1 - (double)detector->successes / needed_successes (detector);
  return left > 0 ? detector->ratio * left * left : 0;
}

/* A failed request costs its caller an attempt and a round trip, a stream that goes elsewhere only
 * the latter. So the share falls faster than the successes: a third of the streams at one failure
 * in four, a sixteenth at one in two. */
double
kq_limit_share (double failed)
{
  double good = 1 - failed;
  return good * good * good * good;
}

static KqTime
probe_interval (const KqOutlierDetector *detector)
{
  KqTime interval = PROBE_INTERVAL_FACTOR * detector->usual_interval_us;
  if (interval < PROBE_INTERVAL_MIN_US)
    interval = PROBE_INTERVAL_MIN_US;
  if (detector->overdue && interval < OVERDUE_PROBE_INTERVAL_US)
    interval = OVERDUE_PROBE_INTERVAL_US;
  return interval < PROBE_INTERVAL_MAX_US ? interval : PROBE_INTERVAL_MAX_US;
}

static KqTime
admission_interval (const KqOutlierDetector *detector, KqTime capacity_us)
{
  unsigned needed = needed_successes (detector);
  unsigned halvings = (PROBE_HALVINGS_MAX * detector->successes + needed - 1) / needed;
  KqTime probe =
      probe_interval (detector) >> (halvings < PROBE_HALVINGS_MAX ? halvings : PROBE_HALVINGS_MAX);
  double share = kq_limit_share (assumed_ratio (detector));
  return share * (double)probe > (double)capacity_us ? (KqTime)((double)capacity_us / share)
                                                     : probe;
}

bool
kq_outlier_detector_admit (KqOutlierDetector *detector, KqTime capacity_us, KqTime now)
{
  KqTime interval = now - detector->admitted_at;
  if (detector->limited && interval < admission_interval (detector, capacity_us))
    return false;
  detector->admitted_at = now;
  if (detector->limited)
    return true;
  if (interval > INTERVAL_MAX_US)
    interval = INTERVAL_MAX_US;
  detector->usual_interval_us += (interval - detector->usual_interval_us) / INTERVAL_WEIGHT;
  return true;
}

unsigned
kq_outlier_detector_failed_permille (const KqOutlierDetector *detector, KqTime now)
{
  KqOutcomeCount count = kq_outlier_detector_count (detector, now);
  double ratio = detector->limited ? assumed_ratio (detector) : failure_ratio (&count);
  return (unsigned)lround (1000 * ratio);
}

const char *
kq_request_outcome_name (KqRequestOutcome outcome)
{
  static const char *const names[] = { [KQ_OUTCOME_GOOD] = "good",
                                       [KQ_OUTCOME_RESET] = "reset",
                                       [KQ_OUTCOME_CLOSED] = "closed",
                                       [KQ_OUTCOME_OVERDUE] = "overdue",
                                       [KQ_OUTCOME_ERROR] = "error" };
  return names[outcome];
}
