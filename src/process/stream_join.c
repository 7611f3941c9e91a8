#include <string.h>
#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/directory.h"
#include "kumquat/internal/stream_join.h"
#include "kumquat/internal/timer.h"
#include "kumquat/log.h"
#include "kumquat/random.h"

/* Seeds that are alive have answered by then, so that a restart of many agents does not cost the
 * store a read each. A balancer takes an agent that is away for 3 s as gone, and that includes the
 * end and the start of its process: with 2 s here, segments of its streams went to other targets.
 */
#define ALONE_US      (500 * KQ_MS)
#define READ_RETRY_US (1 * KQ_SECOND)
#define READ_MAX_US   (30 * KQ_SECOND)

/* Addresses contacted after one read, as many as kq_control_introduce() uses. */
#define CONTACTS_MAX 32

/**
 * struct KqStreamJoin - state of the reader
 * @alone: this process has no live member
 * @reading: a read is in progress
 * @retry_us: delay until the next read
 */
struct KqStreamJoin
{
  KqStore *store;
  KqControl *control;
  KqTimer *timer;
  KqRandom random;
  bool alone;
  bool reading;
  KqTime retry_us;
};

static void
schedule_retry (KqStreamJoin *join)
{
  KqTime jitter = (KqTime)kq_random_below (&join->random, (uint64_t)join->retry_us / 2 + 1);
  kq_timer_set (join->timer, kq_clock_now () + join->retry_us - jitter);
  join->retry_us = 2 * join->retry_us < READ_MAX_US ? 2 * join->retry_us : READ_MAX_US;
}

static void
contact_members (KqStreamJoin *join, const KqStoreValue *value)
{
  KqAddress addresses[CONTACTS_MAX];
  KqDirectoryInconsistencies inconsistencies;
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  unsigned count;
  KqDirectoryEntry *entries = kq_directory_decode (join, (const char *)value->bytes, value->size,
                                                   &count, &inconsistencies, &error);
  if (entries == NULL)
    {
      kq_log (LOG_WARNING, "directory-refused", "source=store error=%s",
              kq_log_quote (error.message, quoted));
      return;
    }
  unsigned chosen =
      kq_directory_select_contacts (entries, count, kq_control_self (join->control)->role,
                                    kq_random_next (&join->random), addresses, CONTACTS_MAX);
  kq_log (LOG_NOTICE, "join-directory", "members=%u contacted=%u revision=%llu", count, chosen,
          (unsigned long long)value->mod_revision);
  kq_control_introduce (join->control, addresses, chosen);
  talloc_free (entries);
}

static void
on_read (const KqStoreReply *reply, void *data)
{
  KqStreamJoin *join = data;
  char quoted[KQ_LOG_QUOTE_BYTES];
  bool found = false;
  join->reading = false;
  if (reply->error.kind != KQ_ERROR_NONE)
    kq_log (LOG_WARNING, "directory-unknown", "error=%s",
            kq_log_quote (reply->error.message, quoted));
  for (unsigned i = 0; join->alone && i < reply->count; i++)
    {
      if (strcmp (reply->values[i].key, KQ_DIRECTORY_KEY) != 0)
        continue;
      found = true;
      contact_members (join, &reply->values[i]);
    }
  if (reply->error.kind == KQ_ERROR_NONE && join->alone && !found)
    kq_log (LOG_WARNING, "directory-absent", "reason=\"the store has no directory of members\"");
  if (join->alone)
    schedule_retry (join);
}

static void
on_due (void *data)
{
  KqStreamJoin *join = data;
  if (!join->alone || join->reading)
    return;
  join->reading = true;
  kq_store_read_stale (join->store, KQ_DIRECTORY_KEY, on_read, join);
}

KqStreamJoin *
kq_stream_join_new (const void *parent, struct tevent_context *ev, KqStore *store,
                    KqControl *control, KqError *error)
{
  KqStreamJoin *join = talloc_zero (parent, KqStreamJoin);
  if (join == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "out of memory for joining; raise the memory limit");
      return NULL;
    }
  join->store = store;
  join->control = control;
  kq_random_seed_system (&join->random);
  join->timer = kq_timer_new (join, ev, on_due, join, error);
  if (join->timer == NULL)
    {
      talloc_free (join);
      return NULL;
    }
  kq_stream_join_members_changed (join);
  return join;
}

void
kq_stream_join_members_changed (KqStreamJoin *join)
{
  unsigned count;
  kq_control_members (join->control, &count);
  bool alone = count <= 1;
  if (alone == join->alone)
    return;
  join->alone = alone;
  join->retry_us = READ_RETRY_US;
  kq_timer_set (join->timer, alone ? kq_clock_now () + ALONE_US : KQ_NEVER);
}
