/* A balancer's part of outlier detection: new streams avoid targets whose agents limit them. */
#pragma once

#include "kumquat/internal/stream_targets.h"

/**
 * struct KqLimitedCandidates - what the candidates of a stream report
 * @enabled: outlier detection is in use
 * @count: candidates
 * @reported: those with a recent report
 * @limited: those whose recent report says that new streams are limited
 * @ignored: so many are limited that the limits are ignored: a fault of most targets, or of the
 *   callers' requests, must not take a service away
 */
typedef struct
{
  bool enabled;
  unsigned count;
  unsigned reported;
  unsigned limited;
  bool ignored;
} KqLimitedCandidates;

/** kq_limited_candidates_count - Return: what the reports of @candidates say at @now */
KqLimitedCandidates kq_limited_candidates_count (const KqStreamFeatures *features,
                                                 KqStreamTarget *const *candidates, unsigned count,
                                                 KqTime now);

/** kq_stream_target_is_limited - Return: whether a recent report says that new streams to the
 * target are limited, and the limit is not ignored */
bool kq_stream_target_is_limited (const KqStreamTarget *target,
                                  const KqLimitedCandidates *candidates, KqTime now);

/**
 * kq_stream_target_is_avoided - decides whether a new stream avoids a limited target. Is called
 * once for each choice that the target is a candidate of: this is what its share is counted by.
 * @is_due: (out): the target is limited and gets this stream
 */
bool kq_stream_target_is_avoided (KqStreamTarget *target, const KqLimitedCandidates *candidates,
                                  KqTime now, bool *is_due);

/** kq_stream_target_limit_chosen - counts that a target was chosen; the offer ignores its limit if
 * @candidates do, or if it is the @last_resort
 *
 * Return: (nullable) @target */
KqStreamTarget *kq_stream_target_limit_chosen (KqStreamTarget *target,
                                               const KqLimitedCandidates *candidates,
                                               bool last_resort, KqTime now);

/** kq_stream_target_limit_declined - an agent declined an offer because of its limit, so other
 * balancers offer enough streams to it */
void kq_stream_target_limit_declined (KqStreamTarget *target, KqTime now);
