/* Joining is a state that lasts until the instance has exchanged members with another one, and that
 * it enters again when it has no live member left. While it is alone it introduces itself to the
 * seeds and to members that it knew earlier, as long as the process runs. The process adds the
 * addresses of the stored directory and of balancers that send it frames, see stream_join.c.
 *
 * The others help: they introduce themselves at the last address of each member that left without
 * having announced the end of its target, because a restarted process may know none of them. */

#include <string.h>
#include <syslog.h>

#include "kumquat/internal/group_impl.h"

#define ATTEMPT_MIN_US (1 * KQ_SECOND)
#define ATTEMPT_MAX_US (30 * KQ_SECOND)

/* Introductions to earlier members, an attempt. */
#define EARLIER_MEMBERS_MAX 8

/* A start with live seeds takes less and is not reported as pending. */
#define REPORT_AFTER_US        (1 * KQ_SECOND)
#define REPORT_INTERVAL_MAX_US (600 * KQ_SECOND)

/* Without an answer from a seed until then, an exchange with any member completes the joining. */
#define SEEDS_GONE_US (3 * KQ_SECOND)

/* At most one introduction in this time to a balancer that sends frames. */
#define PEER_INTERVAL_US (1 * KQ_SECOND)

/* Members that left are contacted with intervals of 1, 2, 4, 8, 16 and then 30 s. */
#define DEPARTED_UNTIL_S    600
#define DEPARTED_INTERVAL_S 30
#define DEPARTED_PER_SECOND 3

/* In a larger group a random share of the members, on average this many, contacts one that left:
 * all of thousands would fill its link. */
#define DEPARTED_CONTACTS 16

static bool
is_alone (const KqGroup *group)
{
  return kq_members_live (group->members) <= 1;
}

static unsigned
other_seeds (const KqGroup *group)
{
  const KqGroupParams *params = &group->params;
  unsigned count = 0;
  for (unsigned i = 0; i < params->seed_count; i++)
    count += !kq_address_equal (&params->seeds[i], &params->self.control);
  return count;
}

/* Starts the period that a report states. */
static void
start_period (KqGroup *group)
{
  KqJoin *join = &group->join;
  join->pending = true;
  join->since = group->now;
  join->attempts = 0;
  join->earlier_contacted = 0;
  join->others_contacted = 0;
  join->next_attempt = group->now + ATTEMPT_MIN_US;
  join->next_report = group->now + REPORT_AFTER_US;
  join->report_interval = REPORT_AFTER_US;
}

void
kq_join_begin (KqGroup *group)
{
  group->joined = false;
  group->join_rounds = 0;
  group->join_attempts = 0;
  start_period (group);
  kq_introduce_restart (group);
  kq_digest_schedule (group);
}

bool
kq_join_seeds_gone (const KqGroup *group)
{
  return group->now - group->join.since >= SEEDS_GONE_US;
}

static unsigned
introduce_to_earlier_members (KqGroup *group)
{
  unsigned count = kq_members_count (group->members);
  unsigned first = (unsigned)kq_random_below (&group->random, count);
  unsigned sent = 0;
  for (unsigned i = 0; i < count && sent < EARLIER_MEMBERS_MAX; i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, (first + i) % count);
      if (record->id == group->self || kq_record_is_live (record))
        continue;
      kq_introduce_to (group, &record->interned->member.control);
      sent++;
    }
  return sent;
}

static void
attempt (KqGroup *group)
{
  KqJoin *join = &group->join;
  KqTime delay = ATTEMPT_MIN_US;
  for (unsigned i = 0; i < join->attempts && delay < ATTEMPT_MAX_US; i++)
    delay *= 2;
  if (delay > ATTEMPT_MAX_US)
    delay = ATTEMPT_MAX_US;
  join->attempts++;
  join->next_attempt =
      group->now + delay / 2 + (KqTime)kq_random_below (&group->random, (uint64_t)delay / 2);
  kq_introduce_to_seeds (group);
  join->earlier_contacted += introduce_to_earlier_members (group);
}

static void
report_pending (KqGroup *group)
{
  KqJoin *join = &group->join;
  join->report_interval *= 2;
  if (join->report_interval > REPORT_INTERVAL_MAX_US)
    join->report_interval = REPORT_INTERVAL_MAX_US;
  join->next_report = group->now + join->report_interval;
  join->reported = true;
  kq_group_log (group, LOG_WARNING, "join-pending",
                "ms=%lld live=%u seeds=%u attempts=%u earlier_members=%u other_addresses=%u",
                (long long)((group->now - join->since) / KQ_MS), kq_members_live (group->members),
                other_seeds (group), join->attempts, join->earlier_contacted,
                join->others_contacted);
}

static bool
is_due (KqTime age_s)
{
  if (age_s > DEPARTED_INTERVAL_S)
    return age_s <= DEPARTED_UNTIL_S && (age_s - 31) % DEPARTED_INTERVAL_S == 0;
  return age_s == 1 || age_s == 3 || age_s == 7 || age_s == 15;
}

static void
contact_departed (KqGroup *group)
{
  unsigned count = kq_members_count (group->members);
  unsigned live = kq_members_live (group->members);
  unsigned sent = 0;
  if (live == count)
    return;
  unsigned first = (unsigned)kq_random_below (&group->random, count);
  for (unsigned i = 0; i < count && sent < DEPARTED_PER_SECOND; i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, (first + i) % count);
      if (record->state != KQ_MEMBER_LEFT || record->phase == KQ_PHASE_EMPTY ||
          record->id == group->self ||
          !is_due (group->now / KQ_SECOND - (KqTime)record->changed_s) ||
          kq_random_below (&group->random, live) >= DEPARTED_CONTACTS)
        continue;
      kq_introduce_to (group, &record->interned->member.control);
      sent++;
    }
}

void
kq_join_tick (KqGroup *group)
{
  KqJoin *join = &group->join;
  if (group->leaving)
    return;
  if (group->joined && is_alone (group) && kq_members_count (group->members) > 1)
    kq_join_begin (group);
  if (!group->joined && !join->pending) /* after a new incarnation */
    start_period (group);
  if (group->joined && join->pending)
    {
      join->pending = false;
      kq_group_log (group, join->reported ? LOG_NOTICE : LOG_INFO, "joined", "ms=%lld live=%u",
                    (long long)((group->now - join->since) / KQ_MS),
                    kq_members_live (group->members));
      join->reported = false;
    }
  if (!group->joined && is_alone (group) && group->now >= join->next_attempt)
    attempt (group);
  if (!group->joined && group->now >= join->next_report)
    report_pending (group);
  if (group->now < join->next_departed)
    return;
  join->next_departed = (group->now / KQ_SECOND + 1) * KQ_SECOND;
  contact_departed (group);
}

static bool
contains (const KqAddress *addresses, unsigned count, const KqAddress *address)
{
  for (unsigned i = 0; i < count; i++)
    if (kq_address_equal (&addresses[i], address))
      return true;
  return false;
}

void
kq_group_set_seeds (KqGroup *group, const KqAddress *seeds, unsigned count, KqTime now)
{
  KqGroupParams *params = &group->params;
  KqAddress added[KQ_GROUP_SEEDS_MAX];
  unsigned added_count = 0;
  group->now = now;
  if (count > KQ_GROUP_SEEDS_MAX)
    count = KQ_GROUP_SEEDS_MAX;
  for (unsigned i = 0; i < count; i++)
    if (!contains (params->seeds, params->seed_count, &seeds[i]))
      added[added_count++] = seeds[i];
  memcpy (params->seeds, seeds, count * sizeof seeds[0]);
  params->seed_count = count;
  if (group->leaving)
    return;
  if (!group->joined)
    {
      group->join_attempts = 0;
      group->join.attempts = 0;
      group->join.next_attempt = now;
      kq_introduce_restart (group);
      kq_introduce_to_seeds (group);
      kq_digest_schedule (group);
      return;
    }
  for (unsigned i = 0; i < added_count; i++)
    if (!kq_introduce_is_known (group, &added[i]) &&
        !kq_address_equal (&added[i], &params->self.control))
      kq_introduce_to (group, &added[i]);
}

void
kq_group_peer_heard (KqGroup *group, const KqAddress *control, KqTime now)
{
  KqJoin *join = &group->join;
  if (group->leaving || !is_alone (group) || now < join->next_peer)
    return;
  group->now = now;
  join->next_peer = now + PEER_INTERVAL_US;
  join->others_contacted++;
  kq_introduce_to (group, control);
}
