#include "kumquat/internal/fair_share.h"

#include <string.h>

/* Multiplier of a multiplicative hash; the upper bits of the product are well mixed. */
#define HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL
#define HASH_SHIFT      56 /* leaves the 8 bits of KQ_FAIR_SHARE_BUCKETS */

void
kq_fair_share_init (KqFairShare *fair_share, uint64_t salt)
{
  memset (fair_share, 0, sizeof *fair_share);
  fair_share->salt = salt;
}

static unsigned
bucket_of (const KqFairShare *fair_share, uint32_t caller_ip)
{
  return (unsigned)(((caller_ip ^ fair_share->salt) * HASH_MULTIPLIER) >> HASH_SHIFT);
}

uint64_t
kq_fair_share_tag (const KqFairShare *fair_share, uint32_t caller_ip)
{
  uint64_t next = fair_share->next[bucket_of (fair_share, caller_ip)];
  return next > fair_share->served ? next : fair_share->served;
}

uint64_t
kq_fair_share_charge (KqFairShare *fair_share, uint32_t caller_ip)
{
  uint64_t tag = kq_fair_share_tag (fair_share, caller_ip);
  fair_share->next[bucket_of (fair_share, caller_ip)] = tag + 1;
  return tag;
}

void
kq_fair_share_started (KqFairShare *fair_share, uint64_t tag)
{
  if (tag > fair_share->served)
    fair_share->served = tag;
}

void
kq_fair_share_refund (KqFairShare *fair_share, uint32_t caller_ip)
{
  uint64_t *next = &fair_share->next[bucket_of (fair_share, caller_ip)];
  if (*next > 0)
    --*next;
}
