#include <string.h>
#include <talloc.h>

#include "kumquat/internal/agent_roll_state.h"

#define SLOT_US KQ_SECOND

/* Time covered by the slots of a mask. No stream lives longer. */
#define ROLL_US (KQ_ROLL_SLOTS * SLOT_US)

/* Propagation delay: the longest time between two instances learning that an agent joined or left.
 */
#define LAG_SLOTS 2
#define LAG_US    (LAG_SLOTS * SLOT_US)
#define LAG_MASK  ((UINT64_C (1) << (LAG_SLOTS + 1)) - 1)

/* An agent that is gone is still ranked for HOLD_US. Instances notice its loss up to LAG_US apart,
 * so when the first one stops ranking it, the last one has known of the loss for SURE_US. Until
 * SURE_US after the agent was last seen alive, every instance still ranks it. */
#define HOLD_US (5 * KQ_SECOND)
#define SURE_US (HOLD_US - LAG_US)

/* How long an agent that is not a member counts as missing. A restarted process is a member again
 * within a second. After a longer absence the agent has lost the streams of its target, or is
 * unreachable for so long that its callers are better served by another target. GONE_US applies to
 * agents that this process has seen as members, UNMET_US to agents that it only knows from the
 * directory read at startup. */
#define GONE_US  (3 * KQ_SECOND)
#define UNMET_US (1 * KQ_SECOND)

/* Largest difference of incarnations (start times) between processes that count as started at the
 * same time. Instances that start together are up within a second; their clocks differ by seconds.
 */
#define TOGETHER_US UINT64_C (5000000)

/* The directory lags by up to 3 s, so an agent that is not listed in it may nevertheless have been
 * a member before it was read. */
#define READ_LAG_US (5 * KQ_SECOND)

/* Time for the first agents of a new fleet to join. No stream is placed before it has passed. */
#define FOUNDING_US (3 * KQ_SECOND)

/* How long a starting process waits for the directory. It is read within milliseconds unless the
 * store is unreachable; in that case it asks its peers for the agents that they know. */
#define SETTLED_US (3 * KQ_SECOND)

KqAgentRoll *
kq_agent_roll_new (const void *parent, KqTime now)
{
  KqAgentRoll *roll = talloc_zero (parent, KqAgentRoll);
  if (roll == NULL)
    return NULL;
  roll->known_at = now + ROLL_US;
  roll->settled_at = now + SETTLED_US;
  roll->founded_at = KQ_NEVER;
  roll->read_at = KQ_NEVER;
  roll->slot_at = now;
  roll->window = UINT64_MAX;
  return roll;
}

void
kq_agent_roll_born (KqAgentRoll *roll, uint64_t incarnation)
{
  roll->born = incarnation;
}

void
kq_agent_roll_join (KqAgentRoll *roll)
{
  roll->version += !roll->joined;
  roll->joined = true;
}

/* Return: the index of the entry with @id, or the index at which to insert it. */
static unsigned
place_of (const KqAgentRoll *roll, uint64_t id)
{
  unsigned low = 0;
  unsigned high = roll->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (roll->entries[middle].id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static KqRollEntry *
find (const KqAgentRoll *roll, uint64_t id)
{
  unsigned place = place_of (roll, id);
  return place < roll->count && roll->entries[place].id == id ? &roll->entries[place] : NULL;
}

/* Return: a new zeroed entry with @id, or NULL if out of memory. The history is then incomplete for
 * good, so known_at is set to KQ_NEVER. */
static KqRollEntry *
insert (KqAgentRoll *roll, uint64_t id)
{
  unsigned place = place_of (roll, id);
  if (roll->count == roll->capacity)
    {
      unsigned capacity = roll->capacity == 0 ? 64 : 2 * roll->capacity;
      KqRollEntry *entries = talloc_realloc (roll, roll->entries, KqRollEntry, capacity);
      if (entries == NULL)
        {
          roll->known_at = KQ_NEVER;
          return NULL;
        }
      roll->entries = entries;
      roll->capacity = capacity;
    }
  memmove (&roll->entries[place + 1], &roll->entries[place],
           (roll->count - place) * sizeof roll->entries[0]);
  roll->entries[place] = (KqRollEntry){ .id = id };
  roll->count++;
  roll->version++;
  return &roll->entries[place];
}

static void
start_drawing (KqRollEntry *entry, KqTime since)
{
  entry->drawn = true;
  entry->drawn_since = since;
  entry->possible |= LAG_MASK;
}

static void
look_for_missing (KqAgentRoll *roll, KqTime now)
{
  for (unsigned i = 0; i < roll->count; i++)
    {
      KqRollEntry *entry = &roll->entries[i];
      bool missing = !entry->member && !entry->ended &&
                     now - entry->seen_at < (entry->met ? GONE_US : UNMET_US);
      roll->version += missing != entry->missing;
      entry->missing = missing;
    }
}

void
kq_agent_roll_found (KqAgentRoll *roll, KqTime now)
{
  if (now >= roll->known_at || roll->founded_at != KQ_NEVER)
    return;
  roll->founded_at = now;
  roll->known_at = now;
  roll->settled_at = now + FOUNDING_US;
  roll->window = 1;
  roll->version++;
  for (unsigned i = 0; i < roll->count; i++)
    {
      roll->entries[i].certain = UINT64_MAX;
      roll->entries[i].drawn_since = now - LAG_US;
    }
}

/* Initializes the masks of an agent that joined and was not in the history. */
static void
take_newcomer (const KqAgentRoll *roll, KqRollEntry *entry, KqTime now)
{
  bool founder = roll->founded_at != KQ_NEVER && now - roll->founded_at < FOUNDING_US;
  bool may_be_older =
      now < roll->known_at || (roll->read_at != KQ_NEVER && now - roll->read_at < READ_LAG_US);
  if (founder || may_be_older)
    entry->possible = UINT64_MAX;
  if (founder)
    entry->certain = UINT64_MAX;
  start_drawing (entry, founder ? now - LAG_US : now);
}

static void
forget_nameless (KqAgentRoll *roll, const KqAddress *control, KqTime now)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < roll->nameless_count; i++)
    {
      const KqRollNameless *nameless = &roll->nameless[i];
      bool met = control != NULL && kq_address_equal (&nameless->control, control);
      if (!met && now - nameless->seen_at < ROLL_US)
        roll->nameless[kept++] = *nameless;
    }
  roll->version += kept != roll->nameless_count;
  roll->nameless_count = kept;
}

static void
add_nameless (KqAgentRoll *roll, const KqAddress *control, KqTime now)
{
  for (unsigned i = 0; i < roll->count; i++)
    {
      if (roll->entries[i].met && kq_address_equal (&roll->entries[i].control, control))
        return;
    }
  KqRollNameless *list =
      talloc_realloc (roll, roll->nameless, KqRollNameless, roll->nameless_count + 1);
  if (list == NULL)
    {
      roll->known_at = KQ_NEVER;
      return;
    }
  roll->nameless = list;
  roll->nameless[roll->nameless_count++] = (KqRollNameless){ .control = *control, .seen_at = now };
}

static void
read_entry (KqAgentRoll *roll, const KqDirectoryEntry *read, KqTime now)
{
  KqRollEntry *entry = find (roll, read->id);
  if (entry == NULL)
    {
      entry = insert (roll, read->id);
      if (entry == NULL)
        return;
      entry->control = read->control;
      entry->service = read->service;
      entry->ended = read->ended;
      entry->seen_at = read->present ? now : now - HOLD_US;
    }
  entry->possible |= read->possible;
  entry->certain |= read->certain;
  if (!read->present)
    return;
  /* An agent that was ranked when the directory was written is ranked by all instances. */
  if (!entry->drawn)
    start_drawing (entry, KQ_NEVER);
  if ((read->certain & 1) != 0)
    entry->drawn_since = now - LAG_US;
}

void
kq_agent_roll_read (KqAgentRoll *roll, const KqDirectoryEntry *entries, unsigned count, KqTime now)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (entries[i].role == KQ_ROLE_BALANCER)
        continue;
      if (entries[i].id == 0)
        add_nameless (roll, &entries[i].control, now);
      else
        read_entry (roll, &entries[i], now);
    }
  if (roll->known_at != KQ_NEVER && roll->known_at > now)
    roll->known_at = now;
  roll->settled_at = roll->settled_at < now ? roll->settled_at : now;
  roll->read_at = now;
  look_for_missing (roll, now);
  roll->version++;
}

static void
see (KqAgentRoll *roll, const KqMember *member, KqTime now)
{
  KqRollEntry *entry = find (roll, member->peer.id);
  if (entry == NULL)
    {
      entry = insert (roll, member->peer.id);
      if (entry == NULL)
        return;
      entry->service = member->service;
      take_newcomer (roll, entry, now);
    }
  else if (!entry->drawn || entry->drawn_since == KQ_NEVER)
    start_drawing (entry, now);
  if (entry->service != member->service)
    entry->certain = 0;
  entry->service = member->service;
  entry->control = member->control;
  entry->member = true;
  entry->alive = member->state == KQ_MEMBER_ALIVE;
  entry->met = true;
  entry->young = roll->born != 0 && member->peer.incarnation + TOGETHER_US > roll->born &&
                 member->peer.incarnation < roll->born + TOGETHER_US;
  entry->ended = false;
  if (entry->alive)
    entry->seen_at = now;
  if (roll->nameless_count > 0)
    forget_nameless (roll, &member->control, now);
}

/* An agent whose target has ended owns no streams, so its absence does not matter. */
static void
strike (KqAgentRoll *roll, uint64_t id)
{
  KqRollEntry *entry = find (roll, id);
  if (entry == NULL || entry->ended)
    return;
  entry->ended = true;
  entry->missing = false;
  roll->version++;
}

/* A process that loses most agents at once is probably on the minority side of a network partition,
 * and other instances continue to rank agents without it. */
static void
look_for_cut (KqAgentRoll *roll)
{
  unsigned members = 0;
  unsigned lost = 0;
  for (unsigned i = 0; i < roll->count; i++)
    {
      const KqRollEntry *entry = &roll->entries[i];
      members += entry->member;
      lost += entry->met && !entry->member && !entry->ended;
    }
  roll->doubted = lost > members;
  for (unsigned i = 0; i < roll->count && roll->doubted; i++)
    roll->entries[i].certain &= ~UINT64_C (1);
}

/* If most ranked agents are members and most of those started together with this process, as
 * after a power loss of the whole fleet, no peer knows of older members, so there is no need to
 * wait for an exchange with others. */
static void
look_for_fresh_fleet (KqAgentRoll *roll)
{
  unsigned drawn = 0;
  unsigned members = 0;
  unsigned young = 0;
  for (unsigned i = 0; i < roll->count; i++)
    {
      const KqRollEntry *entry = &roll->entries[i];
      drawn += entry->drawn;
      members += entry->member;
      young += entry->member && entry->young;
    }
  if (2 * members > drawn && 2 * young > members && roll->read_at != KQ_NEVER)
    kq_agent_roll_join (roll);
}

void
kq_agent_roll_update (KqAgentRoll *roll, const KqMember *members, unsigned count, KqTime now)
{
  unsigned before = 0;
  unsigned after = 0;
  kq_agent_roll_advance (roll, now);
  for (unsigned i = 0; i < roll->count; i++)
    {
      before += roll->entries[i].member;
      if (roll->entries[i].member && roll->entries[i].alive)
        roll->entries[i].seen_at = now;
      roll->entries[i].member = false;
    }
  for (unsigned i = 0; i < count; i++)
    {
      if (members[i].role == KQ_ROLE_AGENT && members[i].phase == KQ_PHASE_EMPTY)
        strike (roll, members[i].peer.id);
      else if (members[i].role == KQ_ROLE_AGENT)
        see (roll, &members[i], now);
    }
  for (unsigned i = 0; i < roll->count; i++)
    after += roll->entries[i].member;
  roll->version += before != after;
  look_for_cut (roll);
  look_for_fresh_fleet (roll);
  look_for_missing (roll, now);
}

void
kq_agent_roll_strike (KqAgentRoll *roll, const uint64_t *ids, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    strike (roll, ids[i]);
}

/* Shifts the masks by @slots. For the slots that passed, some instance may have ranked the agent,
 * but only the newest one can be certain: after a pause this process does not know which agents
 * other instances ranked in the meantime. */
static void
shift (KqAgentRoll *roll, KqRollEntry *entry, unsigned slots, KqTime now)
{
  entry->certain = slots < KQ_ROLL_SLOTS ? entry->certain << slots : 0;
  entry->possible = slots < KQ_ROLL_SLOTS ? entry->possible << slots : 0;
  if (entry->drawn || now - entry->seen_at < HOLD_US + LAG_US)
    entry->possible |= slots < KQ_ROLL_SLOTS ? (UINT64_C (1) << slots) - 1 : UINT64_MAX;
  if (entry->drawn && !roll->doubted && now - entry->drawn_since >= LAG_US)
    entry->certain |= 1;
}

static void
forget_old (KqAgentRoll *roll, KqTime now)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < roll->count; i++)
    {
      if (roll->entries[i].drawn || roll->entries[i].possible != 0)
        roll->entries[kept++] = roll->entries[i];
    }
  roll->version += kept != roll->count;
  roll->count = kept;
  forget_nameless (roll, NULL, now);
}

void
kq_agent_roll_advance (KqAgentRoll *roll, KqTime now)
{
  KqTime slots = (now - roll->slot_at) / SLOT_US;
  for (unsigned i = 0; i < roll->count; i++)
    {
      KqRollEntry *entry = &roll->entries[i];
      if (!entry->drawn || entry->member || now - entry->seen_at < SURE_US)
        continue;
      /* From now on other instances may have stopped ranking it. */
      entry->certain &= ~UINT64_C (1);
      entry->drawn_since = KQ_NEVER;
      entry->drawn = now - entry->seen_at < HOLD_US;
      roll->version += !entry->drawn;
    }
  look_for_missing (roll, now);
  if (slots <= 0)
    return;
  unsigned steps = slots < KQ_ROLL_SLOTS ? (unsigned)slots : KQ_ROLL_SLOTS;
  roll->slot_at += slots * SLOT_US;
  for (unsigned i = 0; i < roll->count; i++)
    shift (roll, &roll->entries[i], steps, now);
  roll->window =
      steps < KQ_ROLL_SLOTS ? roll->window << steps | ((UINT64_C (1) << steps) - 1) : UINT64_MAX;
  forget_old (roll, now);
}

unsigned
kq_agent_roll_version (const KqAgentRoll *roll)
{
  return roll->version;
}

bool
kq_agent_roll_settled (const KqAgentRoll *roll, KqTime now)
{
  return now >= roll->settled_at;
}

KqDirectoryEntry *
kq_agent_roll_entries (const void *parent, const KqAgentRoll *roll, unsigned *count)
{
  unsigned room = roll->count + roll->nameless_count;
  KqDirectoryEntry *entries = talloc_zero_array (parent, KqDirectoryEntry, room + 1);
  unsigned written = 0;
  *count = 0;
  if (entries == NULL)
    return NULL;
  for (unsigned i = 0; i < roll->count; i++)
    {
      const KqRollEntry *entry = &roll->entries[i];
      uint64_t gone = entry->member ? 0 : 1;
      if (entry->ended && !entry->drawn)
        continue;
      entries[written++] = (KqDirectoryEntry){ .control = entry->control,
                                               .role = KQ_ROLE_AGENT,
                                               .id = entry->id,
                                               .service = entry->service,
                                               .present = entry->drawn,
                                               .ended = entry->ended,
                                               .certain = entry->certain & ~gone,
                                               .possible = entry->possible };
    }
  for (unsigned i = 0; i < roll->nameless_count; i++)
    entries[written++] =
        (KqDirectoryEntry){ .control = roll->nameless[i].control, .role = KQ_ROLE_AGENT };
  *count = written;
  return entries;
}
