#include <string.h>
#include <talloc.h>

#include "kumquat/internal/agent_history_state.h"

#define SLOT_US KQ_SECOND

/* Time covered by the slots of a mask. No stream lives longer. */
#define HISTORY_US (KQ_AGENT_HISTORY_SLOTS * SLOT_US)

/* Propagation delay: the longest time between two instances learning that an agent joined or left.
 */
#define PROPAGATION_SLOTS 2
#define PROPAGATION_US    (PROPAGATION_SLOTS * SLOT_US)
#define PROPAGATION_MASK  ((UINT64_C (1) << (PROPAGATION_SLOTS + 1)) - 1)

/* An agent that is gone is still ranked for ELIGIBLE_AFTER_LOSS_US. Instances notice its loss up to
 * PROPAGATION_US apart, so when the first one stops ranking it, the last one has known of the loss
 * for CERTAIN_AFTER_LOSS_US. Until CERTAIN_AFTER_LOSS_US after the agent was last seen alive, every
 * instance still ranks it. */
#define ELIGIBLE_AFTER_LOSS_US (5 * KQ_SECOND)
#define CERTAIN_AFTER_LOSS_US  (ELIGIBLE_AFTER_LOSS_US - PROPAGATION_US)

/* How long an agent that is not a member counts as missing. A restarted process is a member again
 * within a second. After a longer absence the agent has lost the streams of its target, or is
 * unreachable for so long that its callers are better served by another target. For an agent that
 * this process knows only from the directory, the time counts from when this process has joined. */
#define MISSING_US (3 * KQ_SECOND)

/* The same for agents known only from the directory after a restart of the whole fleet: the targets
 * have lost their streams, so a longer wait only delays the callers. */
#define MISSING_AFTER_FLEET_RESTART_US (1 * KQ_SECOND)

/* Share of the members whose start time may differ after a restart of the whole fleet, because of
 * their clocks or because they start slowly: one in this many. */
#define OTHER_START_SHARE 32

/* Largest difference of incarnations (start times) between processes that count as started at the
 * same time. Instances that start together are up within a second; their clocks differ by seconds.
 */
#define SIMULTANEOUS_START_US UINT64_C (5000000)

/* The directory lags by up to 3 s, so an agent that is not listed in it may nevertheless have been
 * a member before it was read. */
#define DIRECTORY_LAG_US (5 * KQ_SECOND)

/* A member that started this long before this process is in a current directory: the lag, plus the
 * difference of the clocks that start times are read from. */
#define LISTED_AGE_US ((uint64_t)DIRECTORY_LAG_US + SIMULTANEOUS_START_US)

/* Time for the first agents of a new fleet to join. No stream is placed before it has passed. */
#define FLEET_START_US (3 * KQ_SECOND)

/* How long a starting process waits for the directory. It is read within milliseconds unless the
 * store is unreachable; in that case it asks its peers for the agents that they know. */
#define DIRECTORY_WAIT_US (3 * KQ_SECOND)

KqAgentHistory *
kq_agent_history_new (const void *parent, KqTime now)
{
  KqAgentHistory *agent_history = talloc_zero (parent, KqAgentHistory);
  if (agent_history == NULL)
    return NULL;
  agent_history->complete_at = now + HISTORY_US;
  agent_history->can_place_at = now + DIRECTORY_WAIT_US;
  agent_history->fleet_started_at = KQ_NEVER;
  agent_history->directory_read_at = KQ_NEVER;
  agent_history->joined_at = KQ_NEVER;
  agent_history->updated_at = now;
  agent_history->slot_start = now;
  agent_history->window = UINT64_MAX;
  return agent_history;
}

void
kq_agent_history_set_incarnation (KqAgentHistory *agent_history, uint64_t incarnation)
{
  agent_history->own_incarnation = incarnation;
}

/* Return: whether the agent, which is not a member, may be away for a moment only. */
static bool
may_return (const KqAgentHistory *agent_history, const KqAgentHistoryEntry *entry, KqTime now)
{
  /* It started with the fleet and left before its target reported to it. The target has lost its
   * older streams, and has opened none since. */
  if (agent_history->fleet_restarted && entry->started_together && entry->target_unreported)
    return false;
  if (entry->seen_as_member || !entry->listed_as_present)
    return now - entry->seen_at < MISSING_US;
  if (agent_history->fleet_restarted)
    return now - entry->seen_at < MISSING_AFTER_FLEET_RESTART_US;
  KqTime joined_at = agent_history->joined_at;
  if (joined_at == KQ_NEVER)
    return true;
  return now - (joined_at > entry->seen_at ? joined_at : entry->seen_at) < MISSING_US;
}

static void
update_missing (KqAgentHistory *agent_history, KqTime now)
{
  agent_history->updated_at = now;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      KqAgentHistoryEntry *entry = &agent_history->entries[i];
      bool missing = !entry->member && !entry->ended && may_return (agent_history, entry, now);
      agent_history->version += missing != entry->missing;
      entry->missing = missing;
    }
}

void
kq_agent_history_mark_joined (KqAgentHistory *agent_history)
{
  if (agent_history->joined)
    return;
  agent_history->version++;
  agent_history->joined = true;
  agent_history->joined_at = agent_history->updated_at;
  update_missing (agent_history, agent_history->updated_at);
}

/* Return: the index of the entry with @id, or the index at which to insert it. */
static unsigned
position_of (const KqAgentHistory *agent_history, uint64_t id)
{
  unsigned low = 0;
  unsigned high = agent_history->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (agent_history->entries[middle].id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static KqAgentHistoryEntry *
find (const KqAgentHistory *agent_history, uint64_t id)
{
  unsigned position = position_of (agent_history, id);
  return position < agent_history->count && agent_history->entries[position].id == id
             ? &agent_history->entries[position]
             : NULL;
}

/* Return: a new zeroed entry with @id, or NULL if out of memory. The history is then incomplete for
 * good, so complete_at is set to KQ_NEVER. */
static KqAgentHistoryEntry *
insert (KqAgentHistory *agent_history, uint64_t id)
{
  unsigned position = position_of (agent_history, id);
  if (agent_history->count == agent_history->capacity)
    {
      unsigned capacity = agent_history->capacity == 0 ? 64 : 2 * agent_history->capacity;
      KqAgentHistoryEntry *entries =
          talloc_realloc (agent_history, agent_history->entries, KqAgentHistoryEntry, capacity);
      if (entries == NULL)
        {
          agent_history->complete_at = KQ_NEVER;
          return NULL;
        }
      agent_history->entries = entries;
      agent_history->capacity = capacity;
    }
  memmove (&agent_history->entries[position + 1], &agent_history->entries[position],
           (agent_history->count - position) * sizeof agent_history->entries[0]);
  agent_history->entries[position] = (KqAgentHistoryEntry){ .id = id };
  agent_history->count++;
  agent_history->version++;
  return &agent_history->entries[position];
}

static void
make_eligible (KqAgentHistoryEntry *entry, KqTime since)
{
  entry->eligible = true;
  entry->eligible_since = since;
  entry->possible_slots |= PROPAGATION_MASK;
}

void
kq_agent_history_start_fleet (KqAgentHistory *agent_history, KqTime now)
{
  if (now >= agent_history->complete_at || agent_history->fleet_started_at != KQ_NEVER)
    return;
  agent_history->fleet_started_at = now;
  agent_history->complete_at = now;
  agent_history->can_place_at = now + FLEET_START_US;
  agent_history->window = 1;
  agent_history->version++;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      agent_history->entries[i].certain_slots = UINT64_MAX;
      agent_history->entries[i].eligible_since = now - PROPAGATION_US;
    }
}

/* Initializes the masks of an agent that joined and was not in the history. */
static void
init_masks (const KqAgentHistory *agent_history, KqAgentHistoryEntry *entry, KqTime now)
{
  bool during_fleet_start = agent_history->fleet_started_at != KQ_NEVER &&
                            now - agent_history->fleet_started_at < FLEET_START_US;
  bool may_be_older = now < agent_history->complete_at || agent_history->directory_stale ||
                      (agent_history->directory_read_at != KQ_NEVER &&
                       now - agent_history->directory_read_at < DIRECTORY_LAG_US);
  if (during_fleet_start || may_be_older)
    entry->possible_slots = UINT64_MAX;
  if (during_fleet_start)
    entry->certain_slots = UINT64_MAX;
  make_eligible (entry, during_fleet_start ? now - PROPAGATION_US : now);
}

static void
drop_unidentified (KqAgentHistory *agent_history, const KqAddress *control, KqTime now)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < agent_history->unidentified_count; i++)
    {
      const KqUnidentifiedAgent *unidentified = &agent_history->unidentified[i];
      bool seen_as_member = control != NULL && kq_address_equal (&unidentified->control, control);
      if (!seen_as_member && now - unidentified->seen_at < HISTORY_US)
        agent_history->unidentified[kept++] = *unidentified;
    }
  agent_history->version += kept != agent_history->unidentified_count;
  agent_history->unidentified_count = kept;
}

static void
add_unidentified (KqAgentHistory *agent_history, const KqAddress *control, KqTime now)
{
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      if (agent_history->entries[i].seen_as_member &&
          kq_address_equal (&agent_history->entries[i].control, control))
        return;
    }
  KqUnidentifiedAgent *list =
      talloc_realloc (agent_history, agent_history->unidentified, KqUnidentifiedAgent,
                      agent_history->unidentified_count + 1);
  if (list == NULL)
    {
      agent_history->complete_at = KQ_NEVER;
      return;
    }
  agent_history->unidentified = list;
  agent_history->unidentified[agent_history->unidentified_count++] =
      (KqUnidentifiedAgent){ .control = *control, .seen_at = now };
}

static void
merge_directory_entry (KqAgentHistory *agent_history, const KqDirectoryEntry *read, KqTime now)
{
  KqAgentHistoryEntry *entry = find (agent_history, read->id);
  if (entry == NULL)
    {
      entry = insert (agent_history, read->id);
      if (entry == NULL)
        return;
      entry->control = read->control;
      entry->service = read->service;
      entry->ended = read->ended;
      entry->seen_at = read->present ? now : now - ELIGIBLE_AFTER_LOSS_US;
    }
  entry->listed = true;
  entry->listed_as_present |= read->present && !entry->seen_as_member;
  entry->possible_slots |= read->possible_slots;
  entry->certain_slots |= read->certain_slots;
  if (!read->present)
    return;
  /* An agent that was ranked when the directory was written is ranked by all instances. */
  if (!entry->eligible)
    make_eligible (entry, KQ_NEVER);
  if ((read->certain_slots & 1) != 0)
    entry->eligible_since = now - PROPAGATION_US;
}

/* A directory that lacks members which started well before this process was not written for long:
 * the store was down, or an older copy of it was restored. Other processes may then rank other
 * agents than those that it lists. */
static void
detect_stale_directory (KqAgentHistory *agent_history, KqTime now)
{
  unsigned absent = 0;
  if (agent_history->directory_stale || agent_history->directory_read_at == KQ_NEVER ||
      now - agent_history->directory_read_at >= HISTORY_US)
    return;
  for (unsigned i = 0; i < agent_history->count; i++)
    absent += agent_history->entries[i].predates_directory && !agent_history->entries[i].listed;
  if (absent == 0)
    return;
  agent_history->directory_stale = true;
  agent_history->version++;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      KqAgentHistoryEntry *entry = &agent_history->entries[i];
      entry->certain_slots = 0;
      entry->possible_slots = UINT64_MAX;
      if (entry->eligible)
        entry->eligible_since = entry->member ? now : KQ_NEVER;
    }
}

/* If most ranked agents are members and most of those started together with this process, as
 * after a power loss of the whole fleet, no peer knows of older members, so there is no need to
 * wait for an exchange with others. If practically all members did, balancers included, the targets
 * have restarted too. A smaller majority also results from a rolling restart of a small fleet. */
static void
detect_fleet_restart (KqAgentHistory *agent_history)
{
  unsigned eligible = 0;
  unsigned members = 0;
  unsigned started_together = 0;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      const KqAgentHistoryEntry *entry = &agent_history->entries[i];
      eligible += entry->eligible;
      members += entry->member;
      started_together += entry->member && entry->started_together;
    }
  bool together = 2 * members > eligible && 2 * started_together > members &&
                  agent_history->directory_read_at != KQ_NEVER;
  agent_history->fleet_restarted =
      together && OTHER_START_SHARE * agent_history->other_starts <= agent_history->member_count;
  if (together)
    kq_agent_history_mark_joined (agent_history);
}

void
kq_agent_history_merge_directory (KqAgentHistory *agent_history, const KqDirectoryEntry *entries,
                                  unsigned count, KqTime now)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (entries[i].role == KQ_ROLE_BALANCER)
        continue;
      if (entries[i].id == 0)
        add_unidentified (agent_history, &entries[i].control, now);
      else
        merge_directory_entry (agent_history, &entries[i], now);
    }
  if (agent_history->complete_at != KQ_NEVER && agent_history->complete_at > now)
    agent_history->complete_at = now;
  agent_history->can_place_at =
      agent_history->can_place_at < now ? agent_history->can_place_at : now;
  agent_history->directory_read_at = now;
  detect_fleet_restart (agent_history);
  detect_stale_directory (agent_history, now);
  update_missing (agent_history, now);
  agent_history->version++;
}

/* Return: whether @member started at about the same time as this process. */
static bool
started_with (const KqAgentHistory *agent_history, const KqMember *member)
{
  uint64_t own = agent_history->own_incarnation;
  return own != 0 && member->peer.incarnation + SIMULTANEOUS_START_US > own &&
         member->peer.incarnation < own + SIMULTANEOUS_START_US;
}

static void
merge_member (KqAgentHistory *agent_history, const KqMember *member, KqTime now)
{
  KqAgentHistoryEntry *entry = find (agent_history, member->peer.id);
  if (entry == NULL)
    {
      entry = insert (agent_history, member->peer.id);
      if (entry == NULL)
        return;
      entry->service = member->service;
      init_masks (agent_history, entry, now);
    }
  else if (!entry->eligible || entry->eligible_since == KQ_NEVER)
    make_eligible (entry, now);
  if (entry->service != member->service)
    entry->certain_slots = 0;
  entry->service = member->service;
  entry->control = member->control;
  entry->member = true;
  entry->alive = member->state == KQ_MEMBER_ALIVE;
  entry->seen_as_member = true;
  entry->predates_directory =
      agent_history->own_incarnation > LISTED_AGE_US &&
      member->peer.incarnation < agent_history->own_incarnation - LISTED_AGE_US;
  entry->started_together = started_with (agent_history, member);
  entry->ended = false;
  entry->target_unreported =
      member->phase == KQ_PHASE_STARTING || member->phase == KQ_PHASE_UNKNOWN;
  if (entry->alive)
    entry->seen_at = now;
  if (agent_history->unidentified_count > 0)
    drop_unidentified (agent_history, &member->control, now);
}

/* An agent whose target has ended owns no streams, so its absence does not matter. */
static void
mark_ended (KqAgentHistory *agent_history, uint64_t id)
{
  KqAgentHistoryEntry *entry = find (agent_history, id);
  if (entry == NULL || entry->ended)
    return;
  entry->ended = true;
  entry->missing = false;
  agent_history->version++;
}

/* A process that loses most agents at once is probably on the minority side of a network partition,
 * and other instances continue to rank agents without it. */
static void
detect_partition (KqAgentHistory *agent_history)
{
  unsigned members = 0;
  unsigned lost = 0;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      const KqAgentHistoryEntry *entry = &agent_history->entries[i];
      members += entry->member;
      lost += entry->seen_as_member && !entry->member && !entry->ended;
    }
  agent_history->partitioned = lost > members;
  for (unsigned i = 0; i < agent_history->count && agent_history->partitioned; i++)
    agent_history->entries[i].certain_slots &= ~UINT64_C (1);
}

void
kq_agent_history_update (KqAgentHistory *agent_history, const KqMember *members, unsigned count,
                         KqTime now)
{
  unsigned before = 0;
  unsigned after = 0;
  kq_agent_history_advance (agent_history, now);
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      before += agent_history->entries[i].member;
      if (agent_history->entries[i].member && agent_history->entries[i].alive)
        agent_history->entries[i].seen_at = now;
      agent_history->entries[i].member = false;
    }
  agent_history->member_count = count;
  agent_history->other_starts = 0;
  for (unsigned i = 0; i < count; i++)
    {
      agent_history->other_starts += !started_with (agent_history, &members[i]);
      if (members[i].role == KQ_ROLE_AGENT && members[i].phase == KQ_PHASE_EMPTY)
        mark_ended (agent_history, members[i].peer.id);
      else if (members[i].role == KQ_ROLE_AGENT)
        merge_member (agent_history, &members[i], now);
    }
  for (unsigned i = 0; i < agent_history->count; i++)
    after += agent_history->entries[i].member;
  agent_history->version += before != after;
  detect_partition (agent_history);
  detect_fleet_restart (agent_history);
  detect_stale_directory (agent_history, now);
  update_missing (agent_history, now);
}

void
kq_agent_history_mark_ended (KqAgentHistory *agent_history, const uint64_t *ids, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    mark_ended (agent_history, ids[i]);
}

/* Shifts the masks by @slots. For the slots that passed, some instance may have ranked the agent,
 * but only the newest one can be certain: after a pause this process does not know which agents
 * other instances ranked in the meantime. */
static void
shift_masks (KqAgentHistory *agent_history, KqAgentHistoryEntry *entry, unsigned slots, KqTime now)
{
  entry->certain_slots = slots < KQ_AGENT_HISTORY_SLOTS ? entry->certain_slots << slots : 0;
  entry->possible_slots = slots < KQ_AGENT_HISTORY_SLOTS ? entry->possible_slots << slots : 0;
  if (entry->eligible || now - entry->seen_at < ELIGIBLE_AFTER_LOSS_US + PROPAGATION_US)
    entry->possible_slots |=
        slots < KQ_AGENT_HISTORY_SLOTS ? (UINT64_C (1) << slots) - 1 : UINT64_MAX;
  if (entry->eligible && !agent_history->partitioned &&
      now - entry->eligible_since >= PROPAGATION_US)
    entry->certain_slots |= 1;
}

static void
drop_expired (KqAgentHistory *agent_history, KqTime now)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      if (agent_history->entries[i].eligible || agent_history->entries[i].possible_slots != 0)
        agent_history->entries[kept++] = agent_history->entries[i];
    }
  agent_history->version += kept != agent_history->count;
  agent_history->count = kept;
  drop_unidentified (agent_history, NULL, now);
}

void
kq_agent_history_advance (KqAgentHistory *agent_history, KqTime now)
{
  KqTime slots = (now - agent_history->slot_start) / SLOT_US;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      KqAgentHistoryEntry *entry = &agent_history->entries[i];
      if (!entry->eligible || entry->member || now - entry->seen_at < CERTAIN_AFTER_LOSS_US)
        continue;
      /* From now on other instances may have stopped ranking it. */
      entry->certain_slots &= ~UINT64_C (1);
      entry->eligible_since = KQ_NEVER;
      entry->eligible = now - entry->seen_at < ELIGIBLE_AFTER_LOSS_US;
      agent_history->version += !entry->eligible;
    }
  update_missing (agent_history, now);
  if (slots <= 0)
    return;
  unsigned steps = slots < KQ_AGENT_HISTORY_SLOTS ? (unsigned)slots : KQ_AGENT_HISTORY_SLOTS;
  agent_history->slot_start += slots * SLOT_US;
  for (unsigned i = 0; i < agent_history->count; i++)
    shift_masks (agent_history, &agent_history->entries[i], steps, now);
  agent_history->window = steps < KQ_AGENT_HISTORY_SLOTS
                              ? agent_history->window << steps | ((UINT64_C (1) << steps) - 1)
                              : UINT64_MAX;
  drop_expired (agent_history, now);
}

unsigned
kq_agent_history_version (const KqAgentHistory *agent_history)
{
  return agent_history->version;
}

bool
kq_agent_history_can_place (const KqAgentHistory *agent_history, KqTime now)
{
  return now >= agent_history->can_place_at;
}

KqDirectoryEntry *
kq_agent_history_directory_entries (const void *parent, const KqAgentHistory *agent_history,
                                    unsigned *count)
{
  unsigned room = agent_history->count + agent_history->unidentified_count;
  KqDirectoryEntry *entries = talloc_zero_array (parent, KqDirectoryEntry, room + 1);
  unsigned written = 0;
  *count = 0;
  if (entries == NULL)
    return NULL;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      const KqAgentHistoryEntry *entry = &agent_history->entries[i];
      uint64_t gone = entry->member ? 0 : 1;
      if (entry->ended && !entry->eligible)
        continue;
      entries[written++] = (KqDirectoryEntry){ .control = entry->control,
                                               .role = KQ_ROLE_AGENT,
                                               .id = entry->id,
                                               .service = entry->service,
                                               .present = entry->eligible,
                                               .ended = entry->ended,
                                               .certain_slots = entry->certain_slots & ~gone,
                                               .possible_slots = entry->possible_slots };
    }
  for (unsigned i = 0; i < agent_history->unidentified_count; i++)
    entries[written++] = (KqDirectoryEntry){ .control = agent_history->unidentified[i].control,
                                             .role = KQ_ROLE_AGENT };
  *count = written;
  return entries;
}
