/* A process that starts knows a few seeds, and these may be down, or start later than it does, as
 * after a power loss of the whole fleet. The store therefore keeps the control addresses of all
 * members. They are hints: whoever reads them introduces itself there, and who does not answer is
 * not believed to exist. So a stale directory costs some datagrams and misleads nobody. One
 * balancer writes it, when members have come or gone; while the fleet is split, each part may
 * write, and the last one stands until members change again. */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/directory.h"

/* Members of a fleet that starts or is rolled change many times a second; a write a change would
 * cost the store more than a start without hints costs callers. What a newcomer reads is as old as
 * the interval, and agents that it misses wrongly keep it from telling callers of lost streams. */
#define SETTLE_US   (1 * KQ_SECOND)
#define INTERVAL_US (2 * KQ_SECOND)

unsigned
kq_directory_add_balancers (const KqMember *members, unsigned member_count,
                            KqDirectoryEntry *entries, unsigned count, unsigned capacity)
{
  for (unsigned i = 0; i < member_count && count < capacity; i++)
    {
      if (members[i].role == KQ_ROLE_BALANCER)
        entries[count++] =
            (KqDirectoryEntry){ .control = members[i].control, .role = KQ_ROLE_BALANCER };
    }
  return count;
}

uint64_t
kq_directory_hash (const KqDirectoryEntry *entries, unsigned count)
{
  char text[KQ_ADDRESS_TEXT_BYTES];
  uint64_t hash = count;
  for (unsigned i = 0; i < count; i++)
    {
      kq_address_format (&entries[i].control, text);
      hash = XXH3_64bits_withSeed (text, strlen (text), hash + (uint64_t)entries[i].role);
    }
  return hash;
}

char *
kq_directory_encode (const void *parent, const KqDirectoryEntry *entries, unsigned count)
{
  json_t *agents = json_array ();
  json_t *balancers = json_array ();
  for (unsigned i = 0; i < count; i++)
    {
      char text[KQ_ADDRESS_TEXT_BYTES];
      kq_address_format (&entries[i].control, text);
      json_array_append_new (entries[i].role == KQ_ROLE_AGENT ? agents : balancers,
                             json_string (text));
    }
  json_t *root = json_pack ("{s:o, s:o}", "agents", agents, "balancers", balancers);
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = text == NULL ? NULL : talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return copy;
}

static int
read_list (const json_t *list, KqRole role, KqDirectoryEntry *entries, unsigned count,
           unsigned capacity, KqError *error)
{
  const json_t *item;
  size_t index;
  json_array_foreach (list, index, item)
  {
    const char *text = json_string_value (item);
    if (count == capacity)
      break;
    if (text == NULL || kq_address_parse (text, &entries[count].control, NULL) < 0)
      return kq_error_set (error, KQ_ERROR_INVALID,
                           "the directory of members holds an address that is none; remove the key "
                           "%s, it is written again",
                           KQ_DIRECTORY_KEY);
    entries[count++].role = role;
  }
  return (int)count;
}

int
kq_directory_decode (const char *bytes, size_t size, KqDirectoryEntry *entries, unsigned capacity,
                     KqError *error)
{
  json_t *root = json_loadb (bytes, size, 0, NULL);
  if (root == NULL)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "the directory of members is not JSON; remove the key %s, it is written "
                         "again",
                         KQ_DIRECTORY_KEY);
  int count =
      read_list (json_object_get (root, "agents"), KQ_ROLE_AGENT, entries, 0, capacity, error);
  if (count >= 0)
    count = read_list (json_object_get (root, "balancers"), KQ_ROLE_BALANCER, entries,
                       (unsigned)count, capacity, error);
  json_decref (root);
  return count;
}

unsigned
kq_directory_choose (KqDirectoryEntry *entries, unsigned count, KqRole role, uint64_t random,
                     KqAddress *out, unsigned capacity)
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
kq_directory_plan_init (KqDirectoryPlan *plan)
{
  *plan = (KqDirectoryPlan){ .due = KQ_NEVER };
}

void
kq_directory_plan_update (KqDirectoryPlan *plan, uint64_t wanted, bool writer, KqTime now)
{
  if (!writer || wanted == plan->written)
    {
      plan->due = KQ_NEVER;
      return;
    }
  if (plan->due != KQ_NEVER)
    return;
  plan->due = now + SETTLE_US > plan->next ? now + SETTLE_US : plan->next;
}

void
kq_directory_plan_written (KqDirectoryPlan *plan, uint64_t written, KqTime now)
{
  plan->written = written;
  plan->due = KQ_NEVER;
  plan->next = now + INTERVAL_US;
}

void
kq_directory_plan_failed (KqDirectoryPlan *plan, KqTime now)
{
  plan->next = now + INTERVAL_US;
  plan->due = plan->next;
}
