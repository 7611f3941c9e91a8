#include "kumquat/internal/token_bucket.h"

void
kq_token_bucket_init (KqTokenBucket *bucket, unsigned rate, unsigned burst_s, KqTime now)
{
  *bucket = (KqTokenBucket){ .rate = rate, .burst = (int64_t)rate * burst_s, .refilled_at = now };
  bucket->tokens = bucket->burst;
}

static void
refill (KqTokenBucket *bucket, KqTime now)
{
  KqTime elapsed = now - bucket->refilled_at;
  if (elapsed <= 0)
    return;
  if (elapsed > 3600 * KQ_SECOND)
    elapsed = 3600 * KQ_SECOND;
  int64_t earned = elapsed * bucket->rate / KQ_SECOND;
  if (earned == 0)
    return;
  bucket->refilled_at = now;
  bucket->tokens += earned;
  if (bucket->tokens > bucket->burst)
    bucket->tokens = bucket->burst;
}

bool
kq_token_bucket_take (KqTokenBucket *bucket, KqPriority priority, size_t bytes, KqTime now)
{
  const int64_t reserve[KQ_PRIORITIES] = { -bucket->burst, bucket->burst / 4, bucket->burst / 2 };
  refill (bucket, now);
  if (bucket->tokens <= reserve[priority])
    {
      bucket->refused[priority]++;
      return false;
    }
  bucket->tokens -= (int64_t)bytes;
  bucket->sent[priority] += bytes;
  return true;
}
