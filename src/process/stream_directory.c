/* The store's calls for the directory of members; when to write is decided in directory.c. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/directory.h"
#include "kumquat/internal/stream_directory.h"
#include "kumquat/internal/timer.h"
#include "kumquat/log.h"
#include "kumquat/random.h"

/* Time after a read that failed; by then seeds have answered, if they live. */
#define READ_AGAIN_US (1 * KQ_SECOND)

/**
 * struct KqStreamDirectory - this process's view of the stored directory
 * @revision: of the stored value; 0 when there is none
 * @was_read: @revision is known
 * @introduced: the directory was used once
 * @calling: a call to the store is in progress
 * @writing: hash of what the call writes
 */
struct KqStreamDirectory
{
  KqStore *store;
  KqControl *control;
  KqTimer *timer;
  KqRandom random;
  KqDirectoryPlan plan;
  uint64_t revision;
  uint64_t writing;
  bool was_read;
  bool introduced;
  bool calling;
};

static unsigned
wanted_entries (const KqStreamDirectory *directory, KqDirectoryEntry *entries)
{
  unsigned count;
  const KqMember *members = kq_control_members (directory->control, &count);
  return kq_directory_from_members (members, count, entries, KQ_DIRECTORY_ENTRIES);
}

static void
introduce (KqStreamDirectory *directory, KqDirectoryEntry *entries, unsigned count)
{
  KqAddress addresses[KQ_DIRECTORY_ENTRIES];
  KqRole role = kq_control_self (directory->control)->role;
  unsigned chosen = kq_directory_choose (entries, count, role, kq_random_next (&directory->random),
                                         addresses, KQ_DIRECTORY_ENTRIES);
  directory->introduced = true;
  kq_control_introduce (directory->control, addresses, chosen);
  kq_log (LOG_INFO, "directory-read", "members=%u revision=%llu", count,
          (unsigned long long)directory->revision);
}

static void
take_value (KqStreamDirectory *directory, const KqStoreValue *value)
{
  KqDirectoryEntry entries[KQ_DIRECTORY_ENTRIES];
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  directory->revision = value->mod_revision;
  int count = kq_directory_decode ((const char *)value->bytes, value->size, entries,
                                   KQ_DIRECTORY_ENTRIES, &error);
  if (count < 0)
    {
      kq_log (LOG_WARNING, "directory-refused", "error=%s", kq_log_quote (error.message, quoted));
      return;
    }
  kq_directory_plan_written (&directory->plan, kq_directory_hash (entries, (unsigned)count), 0);
  if (!directory->introduced)
    introduce (directory, entries, (unsigned)count);
}

static void
on_read (const KqStoreReply *reply, void *data)
{
  KqStreamDirectory *directory = data;
  char quoted[KQ_LOG_QUOTE_BYTES];
  directory->calling = false;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      kq_log (LOG_WARNING, "directory-unknown", "error=%s",
              kq_log_quote (reply->error.message, quoted));
      kq_timer_set (directory->timer, kq_clock_now () + READ_AGAIN_US);
      return;
    }
  directory->was_read = true;
  directory->revision = 0;
  for (unsigned i = 0; i < reply->count; i++)
    {
      if (strcmp (reply->values[i].key, KQ_DIRECTORY_KEY) == 0)
        take_value (directory, &reply->values[i]);
    }
  kq_stream_directory_members_changed (directory);
}

static void
read_directory (KqStreamDirectory *directory)
{
  directory->calling = true;
  kq_store_read (directory->store, KQ_DIRECTORY_KEY, on_read, directory);
}

static void
on_written (const KqStoreReply *reply, void *data)
{
  KqStreamDirectory *directory = data;
  KqTime now = kq_clock_now ();
  char quoted[KQ_LOG_QUOTE_BYTES];
  directory->calling = false;
  if (reply->error.kind == KQ_ERROR_NONE)
    {
      directory->revision = reply->revision;
      kq_directory_plan_written (&directory->plan, directory->writing, now);
      kq_stream_directory_members_changed (directory);
      return;
    }
  kq_log (LOG_WARNING, "directory-not-written", "error=%s",
          kq_log_quote (reply->error.message, quoted));
  directory->was_read = false;
  kq_directory_plan_failed (&directory->plan, now);
  kq_timer_set (directory->timer, directory->plan.due);
}

static void
write_directory (KqStreamDirectory *directory)
{
  KqDirectoryEntry entries[KQ_DIRECTORY_ENTRIES];
  unsigned count = wanted_entries (directory, entries);
  char *text = kq_directory_encode (directory, entries, count);
  if (text == NULL)
    return;
  KqStoreWrite write = { .key = KQ_DIRECTORY_KEY,
                         .bytes = (const uint8_t *)text,
                         .size = strlen (text),
                         .expected_mod_revision = directory->revision };
  directory->calling = true;
  directory->writing = kq_directory_hash (entries, count);
  kq_log (LOG_INFO, "directory-written", "members=%u over=%llu", count,
          (unsigned long long)directory->revision);
  kq_store_write (directory->store, &write, 1, on_written, directory);
  talloc_free (text);
}

static void
on_due (void *data)
{
  KqStreamDirectory *directory = data;
  if (directory->calling)
    return;
  if (!directory->was_read)
    read_directory (directory);
  else if (directory->plan.due != KQ_NEVER)
    write_directory (directory);
}

KqStreamDirectory *
kq_stream_directory_new (const void *parent, struct tevent_context *ev, KqStore *store,
                         KqControl *control, KqError *error)
{
  KqStreamDirectory *directory = talloc_zero (parent, KqStreamDirectory);
  if (directory == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "no memory for the directory; raise the limit");
      return NULL;
    }
  directory->store = store;
  directory->control = control;
  kq_random_seed_system (&directory->random);
  kq_directory_plan_init (&directory->plan);
  directory->timer = kq_timer_new (directory, ev, on_due, directory, error);
  if (directory->timer == NULL)
    {
      talloc_free (directory);
      return NULL;
    }
  read_directory (directory);
  return directory;
}

void
kq_stream_directory_members_changed (KqStreamDirectory *directory)
{
  KqDirectoryEntry entries[KQ_DIRECTORY_ENTRIES];
  unsigned member_count;
  KqTime now = kq_clock_now ();
  if (directory->calling || !directory->was_read)
    return;
  const KqMember *members = kq_control_members (directory->control, &member_count);
  bool writer =
      kq_directory_is_writer (members, member_count, kq_control_self (directory->control)->peer.id);
  unsigned count = wanted_entries (directory, entries);
  kq_directory_plan_update (&directory->plan, kq_directory_hash (entries, count), writer, now);
  kq_timer_set (directory->timer, directory->plan.due);
}
