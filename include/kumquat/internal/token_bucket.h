/* Token bucket that limits the bandwidth of control traffic. Failure detection has priority,
 * followed by configuration. */
#pragma once

#include "kumquat/types.h"

typedef enum
{
  KQ_PRIORITY_LIVENESS,
  KQ_PRIORITY_CONFIGURATION,
  KQ_PRIORITY_BACKGROUND,
  KQ_PRIORITIES
} KqPriority;

/**
 * struct KqTokenBucket - bandwidth budget of one instance
 * @rate: bytes added per second
 * @burst: capacity in bytes
 * @tokens: bytes that may be sent now; KQ_PRIORITY_LIVENESS can make it negative
 * @refilled_at: when tokens were last added
 * @sent: bytes sent, by priority
 * @refused: messages not allowed, by priority
 */
typedef struct
{
  unsigned rate;
  int64_t burst;
  int64_t tokens;
  KqTime refilled_at;
  uint64_t sent[KQ_PRIORITIES];
  uint64_t refused[KQ_PRIORITIES];
} KqTokenBucket;

/** kq_token_bucket_init - initializes a full bucket with a capacity of @burst_s seconds of @rate */
void kq_token_bucket_init (KqTokenBucket *bucket, unsigned rate, unsigned burst_s, KqTime now);

/**
 * kq_token_bucket_take - takes tokens for a message of @bytes
 *
 * KQ_PRIORITY_CONFIGURATION leaves a quarter of the capacity unused and KQ_PRIORITY_BACKGROUND a
 * half, so that a lower priority never delays a higher one. KQ_PRIORITY_LIVENESS may overdraw the
 * bucket by its capacity.
 *
 * Return: whether the message may be sent.
 */
bool kq_token_bucket_take (KqTokenBucket *bucket, KqPriority priority, size_t bytes, KqTime now);
