/* Outcomes of the requests of an agent's target, and the limit of its new streams, see
 * outlier_detector.h. What a caller ends or resets itself is no outcome. */

#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/stream_table_state.h"

#define DETAIL_BYTES 160

/* The size of an answer is known when the target has sent nothing for this time. */
#define ANSWER_END_US (50 * KQ_MS)

static void
record (KqStreamTable *stream_table, KqOwnedStream *owned, KqRequestOutcome outcome, KqTime now)
{
  KqOutlierDetector *detector = &stream_table->outlier_detector;
  owned->outcome_known = true;
  stream_table->stats.outcomes[outcome]++;
  if (kq_outlier_detector_record (detector, outcome, owned->key.caller_ip, now))
    stream_table->limit_changed = true;
  stream_table->failed_permille = kq_outlier_detector_failed_permille (detector, now);
}

static void
check_at (KqStreamTable *stream_table, KqTime when)
{
  if (when < stream_table->next_tick)
    stream_table->next_tick = when;
}

static void
complete_answer (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  if (!owned->answer_incomplete)
    return;
  owned->answer_incomplete = false;
  KqRequestOutcome outcome = kq_outlier_detector_judge_answer (
      &stream_table->outlier_detector, owned->answer_took_us, owned->answer_bytes);
  if (!owned->outcome_known)
    record (stream_table, owned, outcome, now);
}

void
kq_stream_outcome_request (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  if (!stream_table->params.features.outlier_detection)
    return;
  complete_answer (stream_table, owned, now);
  owned->outcome_known = false;
  check_at (stream_table, now + kq_outlier_detector_overdue_us (&stream_table->outlier_detector,
                                                                owned->entry.need.timeout_ms));
}

KqTime
kq_stream_outcome_answer (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  KqTime took_us = now - owned->in_service_since;
  if (!stream_table->params.features.outlier_detection)
    return took_us;
  bool quick = kq_outlier_detector_is_quick (&stream_table->outlier_detector, took_us);
  owned->answer_incomplete = true;
  owned->answer_took_us = took_us;
  owned->answer_bytes = 0;
  if (quick)
    check_at (stream_table, now + ANSWER_END_US);
  else if (!owned->outcome_known)
    record (stream_table, owned, KQ_OUTCOME_GOOD, now);
  return quick ? -1 : took_us;
}

void
kq_stream_outcome_answer_data (KqStreamTable *stream_table, KqOwnedStream *owned, size_t bytes,
                               KqTime now)
{
  if (!owned->answer_incomplete)
    return;
  owned->answer_bytes += bytes;
  if (!owned->outcome_known &&
      !kq_outlier_detector_is_short (&stream_table->outlier_detector, owned->answer_bytes))
    record (stream_table, owned, KQ_OUTCOME_GOOD, now);
}

void
kq_stream_outcome_ended (KqStreamTable *stream_table, KqOwnedStream *owned,
                         KqRequestOutcome outcome, KqTime now)
{
  if (!stream_table->params.features.outlier_detection)
    return;
  /* A FIN can arrive before the data of the answer. */
  if (outcome != KQ_OUTCOME_CLOSED || owned->answer_bytes > 0)
    complete_answer (stream_table, owned, now);
  if (owned->in_service && !owned->caller_ended && !owned->outcome_known)
    record (stream_table, owned, outcome, now);
}

void
kq_stream_outcome_check (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now,
                         KqTime *next)
{
  const KqOutlierDetector *detector = &stream_table->outlier_detector;
  if (!stream_table->params.features.outlier_detection)
    return;
  KqTime due = owned->used_at + ANSWER_END_US;
  if (owned->answer_incomplete && now >= due)
    complete_answer (stream_table, owned, now);
  else if (owned->answer_incomplete && !owned->outcome_known && due < *next)
    *next = due;
  if (!owned->in_service || !owned->request_pending || owned->caller_ended || owned->superseded)
    return;
  due = owned->in_service_since +
        kq_outlier_detector_overdue_us (detector, owned->entry.need.timeout_ms);
  if (!owned->outcome_known && now >= due)
    record (stream_table, owned, KQ_OUTCOME_OVERDUE, now);
  else if (!owned->outcome_known && due < *next)
    *next = due;
  /* Streams that find out whether the target has recovered need the slots of requests that hang. */
  if (detector->limited && owned->outcome_known)
    kq_owned_stream_release_slot (stream_table, owned, -1);
}

void
kq_stream_outcome_apply (KqStreamTable *stream_table, KqTime now)
{
  const KqOutlierDetector *detector = &stream_table->outlier_detector;
  char details[DETAIL_BYTES];
  if (!stream_table->limit_changed)
    return;
  stream_table->limit_changed = false;
  if (!detector->limited)
    {
      snprintf (details, sizeof details, "successes=%u", detector->successes);
      stream_table->ops.event (LOG_NOTICE, "target-restored", details, stream_table->data);
      return;
    }
  KqOutcomeCount count = kq_outlier_detector_count (detector, now);
  snprintf (details, sizeof details,
            "failed=%u requests=%u callers=%u failed_permille=%u running=%u waiting=%u",
            count.failed, count.total, count.failed_callers, stream_table->failed_permille,
            stream_table->admission.running, stream_table->admission.waiting_count);
  stream_table->ops.event (LOG_WARNING, "target-limited", details, stream_table->data);
  kq_stream_table_decline_queued (stream_table, KQ_REFUSAL_LIMITED);
}

KqStreamRefusal
kq_stream_outcome_refusal (KqStreamTable *stream_table, const KqStreamNeed *need,
                           bool has_free_slot, KqTime now)
{
  KqOutlierDetector *detector = &stream_table->outlier_detector;
  const KqAdmission *admission = &stream_table->admission;
  if (!stream_table->params.features.outlier_detection || need->ignore_limit)
    return KQ_REFUSAL_NONE;
  /* The queue is for targets that are not limited. */
  if (!has_free_slot)
    return detector->limited ? KQ_REFUSAL_LIMITED : KQ_REFUSAL_NONE;
  KqTime capacity_us = admission->service_us / admission->slots;
  return kq_outlier_detector_admit (detector, capacity_us, now) ? KQ_REFUSAL_NONE
                                                                : KQ_REFUSAL_LIMITED;
}

void
kq_stream_outcome_reset (KqStreamTable *stream_table)
{
  stream_table->limit_changed = stream_table->outlier_detector.limited;
  stream_table->failed_permille = 0;
  memset (&stream_table->outlier_detector, 0, sizeof stream_table->outlier_detector);
}
