#include <string.h>

#include "kumquat/internal/agent_roll.h"

/* No stream lives longer than a minute (max_flow_s); the rest is for clocks and messages. */
#define ROLL_US (65 * KQ_SECOND)

void
kq_agent_roll_init (KqAgentRoll *roll, KqTime now)
{
  roll->count = 0;
  roll->known_at = now + ROLL_US;
}

/* Return: the place of the entry with @control, or where it belongs. */
static unsigned
place_of (const KqAgentRoll *roll, const KqAddress *control, bool *found)
{
  unsigned low = 0;
  unsigned high = roll->count;
  *found = false;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      int order = kq_address_compare (&roll->entries[middle].control, control);
      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
see (KqAgentRoll *roll, const KqAddress *control, bool present, KqTime now)
{
  bool found;
  unsigned place = place_of (roll, control, &found);
  if (!found)
    {
      /* A larger fleet is never complete: its callers are told by their targets alone. */
      if (roll->count == KQ_DIRECTORY_ENTRIES)
        {
          roll->known_at = KQ_NEVER;
          return;
        }
      memmove (&roll->entries[place + 1], &roll->entries[place],
               (roll->count - place) * sizeof roll->entries[0]);
      roll->entries[place] = (KqRollEntry){ .control = *control };
      roll->count++;
    }
  roll->entries[place].seen_at = now;
  roll->entries[place].present |= present;
}

void
kq_agent_roll_read (KqAgentRoll *roll, const KqDirectoryEntry *entries, unsigned count, KqTime now)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (entries[i].role == KQ_ROLE_AGENT)
        see (roll, &entries[i].control, false, now);
    }
  if (roll->known_at != KQ_NEVER)
    roll->known_at = now;
}

/* An agent whose target has ended holds nothing, and is not missed. */
static void
strike (KqAgentRoll *roll, const KqAddress *control, KqTime now)
{
  bool found;
  unsigned place = place_of (roll, control, &found);
  if (found)
    roll->entries[place].seen_at = now - ROLL_US;
}

static void
forget_old (KqAgentRoll *roll, KqTime now)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < roll->count; i++)
    {
      if (roll->entries[i].present || now - roll->entries[i].seen_at < ROLL_US)
        roll->entries[kept++] = roll->entries[i];
    }
  roll->count = kept;
}

void
kq_agent_roll_update (KqAgentRoll *roll, const KqMember *members, unsigned count, KqTime now)
{
  for (unsigned i = 0; i < roll->count; i++)
    {
      if (roll->entries[i].present)
        roll->entries[i].seen_at = now;
      roll->entries[i].present = false;
    }
  for (unsigned i = 0; i < count; i++)
    {
      if (members[i].role == KQ_ROLE_AGENT && members[i].phase == KQ_PHASE_EMPTY)
        strike (roll, &members[i].control, now);
      else if (members[i].role == KQ_ROLE_AGENT)
        see (roll, &members[i].control, true, now);
    }
  forget_old (roll, now);
}

bool
kq_agent_roll_complete (const KqAgentRoll *roll, KqTime now)
{
  if (now < roll->known_at)
    return false;
  for (unsigned i = 0; i < roll->count; i++)
    {
      if (!roll->entries[i].present && now - roll->entries[i].seen_at < ROLL_US)
        return false;
    }
  return true;
}

unsigned
kq_agent_roll_entries (const KqAgentRoll *roll, KqDirectoryEntry *entries, unsigned capacity)
{
  unsigned count = roll->count < capacity ? roll->count : capacity;
  for (unsigned i = 0; i < count; i++)
    entries[i] = (KqDirectoryEntry){ .control = roll->entries[i].control, .role = KQ_ROLE_AGENT };
  return count;
}
