/* A starting process is configured with a few seeds. These may be down, or may start later than it
 * does, for instance after a power loss of the whole fleet. The store therefore keeps the control
 * addresses of all members. They are hints: a process that reads them contacts the members there,
 * and does not regard an address as a member until it answers. A stale directory therefore costs
 * some datagrams but does not lead to wrong member lists. A single balancer writes the directory
 * when members join or leave. During a network partition each side may write it; the last write
 * remains until members change again. */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/directory.h"

/* During a start or a rolling upgrade of the fleet the members change many times a second, and a
 * write for each change would cost the store more than a start without hints costs callers. On the
 * other hand, a joining member reads a directory that is up to MIN_WRITE_INTERVAL_US old, and while
 * agents in it that are gone count as missing, it cannot notify the callers of orphaned streams. */
#define BATCH_DELAY_US        (1 * KQ_SECOND)
#define MIN_WRITE_INTERVAL_US (2 * KQ_SECOND)

#define HEX_DIGITS 16

/* An agent is written as a list of address, id and service, followed by its two masks of seconds
 * unless all bits are set in both. Eligible agents are listed under "agents", or under "ended" if
 * their target has ended; all others under "gone". */
enum
{
  FIELD_ADDRESS,
  FIELD_ID,
  FIELD_SERVICE,
  FIELD_CERTAIN_SLOTS,
  FIELD_POSSIBLE_SLOTS
};

KqDirectoryEntry *
kq_directory_add_balancers (const void *parent, KqDirectoryEntry *entries, unsigned *count,
                            const KqMember *members, unsigned member_count)
{
  KqDirectoryEntry *all =
      talloc_realloc (parent, entries, KqDirectoryEntry, *count + member_count + 1);
  if (all == NULL)
    return NULL;
  for (unsigned i = 0; i < member_count; i++)
    {
      if (members[i].role == KQ_ROLE_BALANCER)
        all[(*count)++] =
            (KqDirectoryEntry){ .control = members[i].control, .role = KQ_ROLE_BALANCER };
    }
  return all;
}

static bool
has_full_masks (const KqDirectoryEntry *entry)
{
  return entry->certain_slots == UINT64_MAX && entry->possible_slots == UINT64_MAX;
}

uint64_t
kq_directory_hash (const KqDirectoryEntry *entries, unsigned count)
{
  uint64_t hash = count;
  for (unsigned i = 0; i < count; i++)
    {
      const KqDirectoryEntry *entry = &entries[i];
      uint64_t state = (uint64_t)entry->role | (uint64_t)entry->present << 1 |
                       (uint64_t)entry->ended << 2 | (uint64_t)has_full_masks (entry) << 3;
      hash = XXH3_64bits_withSeed (entry->control.ip, sizeof entry->control.ip,
                                   hash + (entry->id ^ state << 16 ^ entry->control.port));
    }
  return hash;
}

static json_t *
hex_json (uint64_t value)
{
  char text[HEX_DIGITS + 1];
  snprintf (text, sizeof text, "%" PRIx64, value);
  return json_string (text);
}

static json_t *
encode_agent (const KqDirectoryEntry *entry, const char *address)
{
  json_t *list = json_array ();
  json_array_append_new (list, json_string (address));
  json_array_append_new (list, hex_json (entry->id));
  json_array_append_new (list, json_integer (entry->service));
  if (has_full_masks (entry))
    return list;
  json_array_append_new (list, hex_json (entry->certain_slots));
  json_array_append_new (list, hex_json (entry->possible_slots));
  return list;
}

char *
kq_directory_encode (const void *parent, const KqDirectoryEntry *entries, unsigned count)
{
  json_t *agents = json_array ();
  json_t *ended = json_array ();
  json_t *gone = json_array ();
  json_t *balancers = json_array ();
  for (unsigned i = 0; i < count; i++)
    {
      const KqDirectoryEntry *entry = &entries[i];
      char text[KQ_ADDRESS_TEXT_BYTES];
      kq_address_format (&entry->control, text);
      if (entry->role == KQ_ROLE_BALANCER)
        json_array_append_new (balancers, json_string (text));
      else if (entry->id == 0)
        json_array_append_new (gone, json_string (text));
      else
        json_array_append_new (!entry->present ? gone
                               : entry->ended  ? ended
                                               : agents,
                               encode_agent (entry, text));
    }
  json_t *root = json_pack ("{s:o, s:o, s:o, s:o}", "agents", agents, "ended", ended, "gone", gone,
                            "balancers", balancers);
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = text == NULL ? NULL : talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return copy;
}

static bool
read_hex (const json_t *list, size_t field, uint64_t *value)
{
  const char *text = json_string_value (json_array_get (list, field));
  char *end = NULL;
  if (text == NULL || text[0] == '\0')
    return false;
  *value = strtoull (text, &end, 16);
  return *end == '\0';
}

/* Return: 0, or -1 if @item is not a valid agent. */
static int
read_agent (const json_t *item, KqDirectoryEntry *entry)
{
  const char *text = json_string_value (item);
  size_t fields = json_array_size (item);
  if (text == NULL)
    text = json_string_value (json_array_get (item, FIELD_ADDRESS));
  if (text == NULL || kq_address_parse (text, &entry->control, NULL) < 0)
    return -1;
  if (json_is_string (item))
    return 0;
  json_int_t service = json_integer_value (json_array_get (item, FIELD_SERVICE));
  entry->certain_slots = UINT64_MAX;
  entry->possible_slots = UINT64_MAX;
  entry->service = (uint32_t)service;
  if (service <= 0 || service > UINT32_MAX || !read_hex (item, FIELD_ID, &entry->id) ||
      entry->id == 0)
    return -1;
  if (fields > FIELD_CERTAIN_SLOTS &&
      (!read_hex (item, FIELD_CERTAIN_SLOTS, &entry->certain_slots) ||
       !read_hex (item, FIELD_POSSIBLE_SLOTS, &entry->possible_slots)))
    return -1;
  return 0;
}

static int
read_balancer (const json_t *item, KqDirectoryEntry *entry)
{
  const char *text = json_string_value (item);
  return text == NULL ? -1 : kq_address_parse (text, &entry->control, NULL);
}

/**
 * struct Reading - the state of decoding a directory
 */
typedef struct
{
  KqDirectoryEntry *entries;
  unsigned count;
  KqDirectoryInconsistencies inconsistencies;
} Reading;

static int
read_list (Reading *reading, const char *name, const json_t *list, KqError *error)
{
  const json_t *item;
  size_t index;
  bool balancers = strcmp (name, "balancers") == 0;
  bool ended = strcmp (name, "ended") == 0;
  bool present = strcmp (name, "agents") == 0 || ended;
  bool agents = present || strcmp (name, "gone") == 0;
  json_array_foreach (list, index, item)
  {
    KqDirectoryEntry *entry = &reading->entries[reading->count];
    *entry = (KqDirectoryEntry){ .role = balancers ? KQ_ROLE_BALANCER : KQ_ROLE_AGENT };
    if ((balancers ? read_balancer (item, entry) : read_agent (item, entry)) < 0)
      return kq_error_set (error, KQ_ERROR_INVALID,
                           "the directory of members has an entry that is not a valid member; it "
                           "is overwritten when members change (key %s)",
                           KQ_DIRECTORY_KEY);
    entry->present = present && entry->id != 0;
    entry->ended = ended;
    if (!agents && !balancers)
      {
        entry->id = 0;
        reading->inconsistencies.unknown_role++;
      }
    else
      reading->inconsistencies.unidentified += !balancers && entry->id == 0;
    reading->count++;
  }
  return 0;
}

static int
compare_addresses (const void *a, const void *b)
{
  return kq_address_compare (a, b);
}

static unsigned
count_repeated_addresses (const Reading *reading)
{
  KqAddress *order = talloc_array (reading->entries, KqAddress, reading->count + 1);
  unsigned repeated = 0;
  if (order == NULL)
    return 0;
  for (unsigned i = 0; i < reading->count; i++)
    order[i] = reading->entries[i].control;
  qsort (order, reading->count, sizeof order[0], compare_addresses);
  for (unsigned i = 1; i < reading->count; i++)
    repeated += kq_address_equal (&order[i - 1], &order[i]);
  talloc_free (order);
  return repeated;
}

static int
read_lists (const void *parent, const json_t *root, Reading *reading, KqError *error)
{
  const char *name;
  json_t *list;
  size_t total = 1;
  json_object_foreach ((json_t *)root, name, list)
  {
    total += json_array_size (list);
  }
  reading->entries = talloc_array (parent, KqDirectoryEntry, total);
  if (reading->entries == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for the directory; raise the memory limit");
  json_object_foreach ((json_t *)root, name, list)
  {
    if (read_list (reading, name, list, error) < 0)
      return -1;
  }
  reading->inconsistencies.repeated = count_repeated_addresses (reading);
  return 0;
}

KqDirectoryEntry *
kq_directory_decode (const void *parent, const char *bytes, size_t size, unsigned *count,
                     KqDirectoryInconsistencies *inconsistencies, KqError *error)
{
  Reading reading = { 0 };
  json_t *root = json_loadb (bytes, size, 0, NULL);
  if (!json_is_object (root))
    kq_error_set (error, KQ_ERROR_INVALID,
                  "the directory of members is not a JSON object; it is overwritten when members "
                  "change (key %s)",
                  KQ_DIRECTORY_KEY);
  else if (read_lists (parent, root, &reading, error) < 0)
    TALLOC_FREE (reading.entries);
  json_decref (root);
  *count = reading.count;
  *inconsistencies = reading.inconsistencies;
  return reading.entries;
}

unsigned
kq_directory_select_contacts (const KqDirectoryEntry *entries, unsigned count, KqRole role,
                              uint64_t random, KqAddress *out, unsigned capacity)
{
  unsigned written = 0;
  unsigned first = count == 0 ? 0 : (unsigned)(random % count);
  for (unsigned own_role = 0; own_role <= 1; own_role++)
    {
      for (unsigned i = 0; i < count && written < capacity; i++)
        {
          const KqDirectoryEntry *entry = &entries[(first + i) % count];
          if ((entry->role == role) == (own_role == 1))
            out[written++] = entry->control;
        }
    }
  return written;
}

bool
kq_directory_is_writer (const KqMember *members, unsigned count, uint64_t self)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (members[i].role == KQ_ROLE_BALANCER && members[i].state == KQ_MEMBER_ALIVE)
        return members[i].peer.id == self;
    }
  return false;
}

void
kq_directory_schedule_init (KqDirectorySchedule *write_schedule)
{
  *write_schedule = (KqDirectorySchedule){ .due = KQ_NEVER };
}

void
kq_directory_schedule_update (KqDirectorySchedule *write_schedule, uint64_t wanted, bool writer,
                              KqTime now)
{
  if (!writer || wanted == write_schedule->written)
    {
      write_schedule->due = KQ_NEVER;
      return;
    }
  if (write_schedule->due != KQ_NEVER)
    return;
  write_schedule->due =
      now + BATCH_DELAY_US > write_schedule->next ? now + BATCH_DELAY_US : write_schedule->next;
}

void
kq_directory_schedule_written (KqDirectorySchedule *write_schedule, uint64_t written, KqTime now)
{
  write_schedule->written = written;
  write_schedule->due = KQ_NEVER;
  write_schedule->next = now + MIN_WRITE_INTERVAL_US;
}

void
kq_directory_schedule_failed (KqDirectorySchedule *write_schedule, KqTime now)
{
  write_schedule->next = now + MIN_WRITE_INTERVAL_US;
  write_schedule->due = write_schedule->next;
}
