/* Detection of a target that fails requests although it reports that it is healthy. The detector
 * counts the outcomes of recent requests and limits the new streams of its target in proportion to
 * the failures; streams that succeed lift the limit step by step. */
#pragma once

#include "kumquat/types.h"

/**
 * enum KqRequestOutcome - how a request ended
 * @KQ_OUTCOME_GOOD: it was answered
 * @KQ_OUTCOME_RESET: the target reset the stream before an answer
 * @KQ_OUTCOME_CLOSED: the target ended the stream before an answer
 * @KQ_OUTCOME_OVERDUE: no answer came in time
 * @KQ_OUTCOME_ERROR: the answer was much shorter and came much sooner than usual
 */
typedef enum
{
  KQ_OUTCOME_GOOD,
  KQ_OUTCOME_RESET,
  KQ_OUTCOME_CLOSED,
  KQ_OUTCOME_OVERDUE,
  KQ_OUTCOME_ERROR
} KqRequestOutcome;

#define KQ_OUTCOME_MAX KQ_OUTCOME_ERROR

/* Requests that are judged. */
#define KQ_OUTCOMES_MAX 32

/**
 * struct KqOutcomeRecord - outcome of one request
 * @at: when it was known; 0 for an unused record
 * @caller_ip: address of the caller
 * @failed: it counts as failed
 */
typedef struct
{
  KqTime at;
  uint32_t caller_ip;
  bool failed;
} KqOutcomeRecord;

/**
 * struct KqOutcomeCount - outcomes of a period
 * @total: requests
 * @failed: those that failed
 * @failed_callers: caller addresses of those
 */
typedef struct
{
  unsigned total;
  unsigned failed;
  unsigned failed_callers;
} KqOutcomeCount;

/**
 * struct KqOutlierDetector - recent outcomes of one target and its limit; all zero at first
 * @records: recent outcomes, in no order
 * @limited: new streams are limited
 * @overdue: the last failure was a request that was not answered in time
 * @ratio: share of failures when a request failed last while limited
 * @successes: requests in a row that succeeded while limited
 * @admitted_at: when the last stream was admitted
 * @usual_interval_us: smoothed interval of new streams while it is not limited
 * @usual_us: smoothed time of an answer
 * @usual_bytes: smoothed size of an answer
 * @answers: answers in these, up to the number that is needed to judge others
 * @short_ratio: smoothed share of answers that are much shorter and sooner than usual
 * @judged: answers in @short_ratio, up to the number that is needed
 */
typedef struct
{
  KqOutcomeRecord records[KQ_OUTCOMES_MAX];
  bool limited;
  bool overdue;
  double ratio;
  unsigned successes;
  KqTime admitted_at;
  KqTime usual_interval_us;
  double usual_us;
  double usual_bytes;
  unsigned answers;
  double short_ratio;
  unsigned judged;
} KqOutlierDetector;

/**
 * kq_outlier_detector_record - records the outcome of a request
 * @caller_ip: address of the caller; one address fills at most 4 of the 32 records, and a limit
 *   needs failures of at least 3 addresses
 *
 * Return: whether this limited the target, or lifted its limit.
 */
bool kq_outlier_detector_record (KqOutlierDetector *detector, KqRequestOutcome outcome,
                                 uint32_t caller_ip, KqTime now);

/** kq_outlier_detector_is_quick - Return: whether an answer after @took_us is so quick that it can
 * be an error, depending on its size */
bool kq_outlier_detector_is_quick (const KqOutlierDetector *detector, KqTime took_us);

/** kq_outlier_detector_is_short - Return: whether an answer of @bytes is so short that it can be an
 * error, depending on its time */
bool kq_outlier_detector_is_short (const KqOutlierDetector *detector, size_t bytes);

/** kq_outlier_detector_judge_answer - learns from a complete answer. Return: KQ_OUTCOME_GOOD or
 * KQ_OUTCOME_ERROR */
KqRequestOutcome kq_outlier_detector_judge_answer (KqOutlierDetector *detector, KqTime took_us,
                                                   size_t bytes);

/** kq_outlier_detector_overdue_us - Return: time after which a request that is useful to its caller
 * for @timeout_ms (0: not known) counts as not answered in time */
KqTime kq_outlier_detector_overdue_us (const KqOutlierDetector *detector, uint32_t timeout_ms);

/**
 * kq_outlier_detector_admit - decides about a new stream, load aside
 * @capacity_us: time in which the target can answer one more request, on average
 *
 * Return: whether it is admitted, which counts it; always while the target is not limited.
 */
bool kq_outlier_detector_admit (KqOutlierDetector *detector, KqTime capacity_us, KqTime now);

/** kq_outlier_detector_count - Return: the outcomes that are judged at @now */
KqOutcomeCount kq_outlier_detector_count (const KqOutlierDetector *detector, KqTime now);

/** kq_outlier_detector_failed_permille - Return: share of failures; while limited, it falls with
 * each request that succeeds */
unsigned kq_outlier_detector_failed_permille (const KqOutlierDetector *detector, KqTime now);

/** kq_limit_share - Return: part of its usual new streams that a limited target gets, from 0 to 1;
 * @failed is its share of failures */
double kq_limit_share (double failed);

/** kq_request_outcome_name - Return: (static) the outcome in lower case */
const char *kq_request_outcome_name (KqRequestOutcome outcome);
