/* Limits the bytes that control traffic sends; liveness goes first, then configuration. */
#pragma once

#include "kumquat/types.h"

typedef enum
{
  KQ_PRIORITY_LIVENESS,
  KQ_PRIORITY_CONFIGURATION,
  KQ_PRIORITY_REST,
  KQ_PRIORITIES
} KqPriority;

/**
 * struct KqTokenBucket - one node's budget
 * @rate: bytes a second that are earned
 * @burst: bytes that are kept at most
 * @tokens: bytes that may be sent now; liveness may draw it below zero
 * @filled: when it was last filled
 * @sent: bytes sent by priority
 * @refused: messages refused by priority
 */
typedef struct
{
  unsigned rate;
  int64_t burst;
  int64_t tokens;
  KqTime filled;
  uint64_t sent[KQ_PRIORITIES];
  uint64_t refused[KQ_PRIORITIES];
} KqTokenBucket;

/** kq_token_bucket_init - starts full, with @burst_s seconds of @rate bytes a second */
void kq_token_bucket_init (KqTokenBucket *bucket, unsigned rate, unsigned burst_s, KqTime now);

/**
 * kq_token_bucket_take - asks to send @bytes
 *
 * Configuration may use all but a quarter of the bucket and the rest all but a half, so that a
 * lower priority never delays a higher one. Liveness may overdraw the bucket by as much as it
 * holds.
 *
 * Return: whether they may be sent.
 */
bool kq_token_bucket_take (KqTokenBucket *bucket, KqPriority priority, size_t bytes, KqTime now);
