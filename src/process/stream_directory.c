/* Reads and writes the directory of members in the store; directory.c decides when to write. Each
 * process disseminates the version that it read or wrote, for peers that cannot reach the store. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/stream_directory.h"
#include "kumquat/internal/stream_process.h"
#include "kumquat/internal/timer.h"
#include "kumquat/log.h"
#include "kumquat/random.h"

/* Delay before a failed read is repeated; seeds that are alive have answered by then. */
#define READ_RETRY_US (1 * KQ_SECOND)

/**
 * struct KqStreamDirectory - this process's view of the stored directory
 * @revision: of the stored value; 0 when there is none
 * @era: era of the store that @revision belongs to
 * @restored: the store was restored since this process first read the directory
 * @was_read: @revision is known
 * @read_at: when the directory is read again; KQ_NEVER when nothing asks for it
 * @was_merged: a directory was merged into the agent history and its members were contacted
 * @inconsistencies: see kq_stream_directory_inconsistencies()
 * @write_schedule: when the directory is written next
 * @call_in_progress: a call to the store is in progress
 * @written_hash: hash of the entries that the call writes
 * @text: (owned): encoded directory of the last write
 */
struct KqStreamDirectory
{
  KqStore *store;
  KqControl *control;
  KqTimer *timer;
  KqRandom random;
  KqAgentHistory *agent_history;
  KqDirectoryInconsistencies inconsistencies;
  KqDirectorySchedule write_schedule;
  uint64_t revision;
  uint64_t written_hash;
  char *text;
  uint32_t era;
  bool restored;
  bool was_read;
  KqTime read_at;
  bool was_merged;
  bool call_in_progress;
};

/* Return: (owned by @directory) the @count entries that the stored directory should have, or NULL
 * when memory ran out. */
static KqDirectoryEntry *
expected_entries (KqStreamDirectory *directory, unsigned *count)
{
  unsigned member_count;
  const KqMember *members = kq_control_members (directory->control, &member_count);
  KqDirectoryEntry *entries =
      kq_agent_history_directory_entries (directory, directory->agent_history, count);
  if (entries == NULL)
    return NULL;
  return kq_directory_add_balancers (directory, entries, count, members, member_count);
}

static void
contact_members (KqStreamDirectory *directory, const KqDirectoryEntry *entries, unsigned count)
{
  KqAddress *addresses = talloc_array (directory, KqAddress, count + 1);
  KqRole role = kq_control_self (directory->control)->role;
  if (addresses == NULL)
    return;
  unsigned chosen = kq_directory_select_contacts (
      entries, count, role, kq_random_next (&directory->random), addresses, count);
  directory->was_merged = true;
  kq_control_introduce (directory->control, addresses, chosen);
  talloc_free (addresses);
}

static void
record_inconsistencies (KqStreamDirectory *directory,
                        const KqDirectoryInconsistencies *inconsistencies)
{
  directory->inconsistencies.unidentified += inconsistencies->unidentified;
  directory->inconsistencies.unknown_role += inconsistencies->unknown_role;
  directory->inconsistencies.repeated += inconsistencies->repeated;
  if (inconsistencies->unidentified + inconsistencies->unknown_role + inconsistencies->repeated > 0)
    kq_log (LOG_WARNING, "directory-doubtful",
            "nameless=%u unknown_role=%u repeated=%u reason=\"written by another version; callers "
            "of orphaned streams are reset later\"",
            inconsistencies->unidentified, inconsistencies->unknown_role,
            inconsistencies->repeated);
}

/* Return: hash of the entries, or 0 when the directory could not be decoded. */
static uint64_t
apply_value (KqStreamDirectory *directory, const uint8_t *bytes, size_t size, uint64_t revision,
             const char *source)
{
  KqError error = { 0 };
  KqDirectoryInconsistencies inconsistencies;
  char quoted[KQ_LOG_QUOTE_BYTES];
  unsigned count;
  KqDirectoryEntry *entries =
      kq_directory_decode (directory, (const char *)bytes, size, &count, &inconsistencies, &error);
  if (entries == NULL)
    {
      kq_log (LOG_WARNING, "directory-refused", "source=%s error=%s", source,
              kq_log_quote (error.message, quoted));
      return 0;
    }
  /* Only the first directory is merged: later on, membership itself keeps the agent history. */
  if (!directory->was_merged)
    {
      kq_agent_history_merge_directory (directory->agent_history, entries, count, kq_clock_now ());
      kq_log (LOG_INFO, "directory-read", "source=%s members=%u revision=%llu", source, count,
              (unsigned long long)revision);
      record_inconsistencies (directory, &inconsistencies);
      contact_members (directory, entries, count);
    }
  uint64_t hash = kq_directory_hash (entries, count);
  talloc_free (entries);
  return hash;
}

static void
disseminate (KqStreamDirectory *directory, const uint8_t *bytes, size_t size)
{
  KqDocument document = { .service = KQ_DIRECTORY_DOCUMENT,
                          .revision = { KQ_DOCUMENT_EPOCH + directory->era, directory->revision },
                          .bytes = bytes,
                          .size = size };
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  if (kq_control_publish (directory->control, &document, &error) < 0)
    kq_log (LOG_WARNING, "directory-not-spread", "error=%s", kq_log_quote (error.message, quoted));
}

static void
apply_stored (KqStreamDirectory *directory, const KqStoreValue *value)
{
  directory->revision = value->mod_revision;
  uint64_t hash = apply_value (directory, value->bytes, value->size, value->mod_revision, "store");
  kq_directory_schedule_written (&directory->write_schedule, hash, 0);
  if (hash != 0)
    disseminate (directory, value->bytes, value->size);
}

/* The store has no directory. The first members of a fleet write it a second after they have
 * discovered each other. */
static void
start_fleet (KqStreamDirectory *directory)
{
  kq_log (LOG_NOTICE, "directory-absent", "reason=\"the fleet starts for the first time\"");
  kq_agent_history_start_fleet (directory->agent_history, kq_clock_now ());
}

static void
on_read (const KqStoreReply *reply, void *data)
{
  KqStreamDirectory *directory = data;
  char quoted[KQ_LOG_QUOTE_BYTES];
  directory->call_in_progress = false;
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      kq_log (LOG_WARNING, "directory-unknown", "error=%s",
              kq_log_quote (reply->error.message, quoted));
      directory->read_at = directory->was_merged ? KQ_NEVER : kq_clock_now () + READ_RETRY_US;
      if (directory->write_schedule.due != KQ_NEVER)
        kq_directory_schedule_failed (&directory->write_schedule, kq_clock_now ());
      kq_stream_directory_members_changed (directory);
      return;
    }
  directory->restored |= directory->era != 0 && reply->era != directory->era;
  directory->was_read = true;
  directory->read_at = KQ_NEVER;
  directory->era = reply->era;
  directory->revision = 0;
  for (unsigned i = 0; i < reply->count; i++)
    {
      if (strcmp (reply->values[i].key, KQ_DIRECTORY_KEY) == 0)
        apply_stored (directory, &reply->values[i]);
    }
  /* In a restored store it may be missing; the writer adds it again. */
  if (directory->revision == 0 && reply->revision > 0 && !directory->restored)
    start_fleet (directory);
  kq_stream_directory_members_changed (directory);
}

static void
read_directory (KqStreamDirectory *directory)
{
  directory->call_in_progress = true;
  kq_store_read (directory->store, KQ_DIRECTORY_KEY, on_read, directory);
}

static void
on_written (const KqStoreReply *reply, void *data)
{
  KqStreamDirectory *directory = data;
  KqTime now = kq_clock_now ();
  char quoted[KQ_LOG_QUOTE_BYTES];
  directory->call_in_progress = false;
  if (reply->error.kind == KQ_ERROR_NONE)
    {
      directory->revision = reply->revision;
      kq_directory_schedule_written (&directory->write_schedule, directory->written_hash, now);
      disseminate (directory, (const uint8_t *)directory->text, strlen (directory->text));
      kq_stream_directory_members_changed (directory);
      return;
    }
  kq_log (LOG_WARNING, "directory-not-written", "error=%s",
          kq_log_quote (reply->error.message, quoted));
  directory->was_read = false;
  kq_directory_schedule_failed (&directory->write_schedule, now);
  kq_stream_directory_members_changed (directory);
}

static void
write_directory (KqStreamDirectory *directory)
{
  unsigned count;
  KqDirectoryEntry *entries = expected_entries (directory, &count);
  talloc_free (directory->text);
  directory->text = entries == NULL ? NULL : kq_directory_encode (directory, entries, count);
  if (directory->text == NULL)
    {
      talloc_free (entries);
      return;
    }
  KqStoreWrite write = { .key = KQ_DIRECTORY_KEY,
                         .bytes = (const uint8_t *)directory->text,
                         .size = strlen (directory->text),
                         .expected_mod_revision = directory->revision };
  directory->call_in_progress = true;
  directory->written_hash = kq_directory_hash (entries, count);
  talloc_free (entries);
  kq_log (LOG_INFO, "directory-written", "members=%u over=%llu", count,
          (unsigned long long)directory->revision);
  kq_store_write (directory->store, &write, 1, on_written, directory);
}

static void
on_due (void *data)
{
  KqStreamDirectory *directory = data;
  if (directory->call_in_progress)
    return;
  if (!directory->was_read || kq_clock_now () >= directory->read_at)
    read_directory (directory);
  else if (directory->write_schedule.due != KQ_NEVER)
    write_directory (directory);
}

KqStreamDirectory *
kq_stream_directory_new (const void *parent, struct tevent_context *ev, KqStore *store,
                         KqControl *control, KqAgentHistory *agent_history, KqError *error)
{
  KqStreamDirectory *directory = talloc_zero (parent, KqStreamDirectory);
  if (directory == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "out of memory for the directory; raise the memory limit");
      return NULL;
    }
  directory->read_at = KQ_NEVER;
  directory->store = store;
  directory->control = control;
  directory->agent_history = agent_history;
  kq_random_seed_system (&directory->random);
  kq_directory_schedule_init (&directory->write_schedule);
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
  unsigned member_count;
  unsigned count;
  uint64_t wanted = 0;
  if (directory->call_in_progress)
    return;
  const KqMember *members = kq_control_members (directory->control, &member_count);
  uint64_t self = kq_control_self (directory->control)->peer.id;
  bool writer = kq_directory_is_writer (members, member_count, self);
  KqDirectoryEntry *entries = writer ? expected_entries (directory, &count) : NULL;
  if (entries != NULL)
    wanted = kq_directory_hash (entries, count);
  talloc_free (entries);
  kq_directory_schedule_update (&directory->write_schedule, wanted, entries != NULL,
                                kq_clock_now ());
  KqTime due = directory->write_schedule.due;
  kq_timer_set (directory->timer, directory->read_at < due ? directory->read_at : due);
}

void
kq_stream_directory_store_recovered (KqStreamDirectory *directory)
{
  bool restored = kq_store_era (directory->store) != directory->era;
  if (directory->call_in_progress)
    return;
  if (restored || (!directory->was_merged && !directory->was_read))
    read_directory (directory);
}

void
kq_stream_directory_document_received (KqStreamDirectory *directory, const KqDocument *document)
{
  apply_value (directory, document->bytes, document->size, document->revision.revision, "peer");
  kq_stream_directory_members_changed (directory);
}

KqDirectoryInconsistencies
kq_stream_directory_inconsistencies (const KqStreamDirectory *directory)
{
  return directory->inconsistencies;
}
