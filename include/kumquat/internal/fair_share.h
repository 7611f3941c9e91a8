/* Fair queueing of the streams of one target by caller address (start-time fair queueing). Every
 * stream costs the same. A caller that opens many streams waits behind callers that open few; it
 * gets what they leave. */
#pragma once

#include <stdint.h>

/* Callers that share a bucket share its part. The bucket depends on a salt, so that two callers
 * that share one at one target do not share one at others. */
#define KQ_FAIR_SHARE_BUCKETS 256

/**
 * struct KqFairShare - use of one target by caller address, in streams
 * @salt: number that differs between targets
 * @served: highest tag of a stream that was started
 * @next: (array): tag of the next stream, by bucket of the caller address
 */
typedef struct
{
  uint64_t salt;
  uint64_t served;
  uint64_t next[KQ_FAIR_SHARE_BUCKETS];
} KqFairShare;

void kq_fair_share_init (KqFairShare *fair_share, uint64_t salt);

/** kq_fair_share_tag - Return: the tag that the next stream of @caller_ip gets. Streams with lower
 * tags go first. */
uint64_t kq_fair_share_tag (const KqFairShare *fair_share, uint32_t caller_ip);

/** kq_fair_share_charge - counts a stream of @caller_ip that is queued or started; Return: its tag
 */
uint64_t kq_fair_share_charge (KqFairShare *fair_share, uint32_t caller_ip);

/** kq_fair_share_started - notes that the stream with @tag was started */
void kq_fair_share_started (KqFairShare *fair_share, uint64_t tag);

/** kq_fair_share_refund - takes back the charge of a stream of @caller_ip that was not started */
void kq_fair_share_refund (KqFairShare *fair_share, uint32_t caller_ip);
