/* Detection of lost failure domains: the loss of a whole failure domain is one event, not one death
 * per member.
 *
 * When probes of several distinct members of a domain have failed with no message from the domain
 * in between, the domain is checked: random members are probed at every tick, directly and
 * indirectly, for one suspicion timeout. During the check, none of its members is declared dead
 * individually. If no member answers, one numbered event states that the domain is lost.
 *
 * An instance that received a message from a member recently, and every live member of the domain,
 * contradicts the event with the next number. So does an instance that receives a message from the
 * domain later. Members of a lost domain count as dead without claims of their own. When the domain
 * is back they count as live again, and ordinary probes detect those that did die. */

#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/group_impl.h"

#define FAILURES_TO_CHECK    4
#define RECENT_MESSAGE_US    (2 * KQ_SECOND)
#define PICK_TRIES           16
#define LOSS_SUSPECTED_SHARE 10 /* one suspect in this many members may mean a lost domain */
#define SUSPECT_COUNT_US     (500 * KQ_MS)

static KqDomainWatch *
find_watch (const KqGroup *group, uint64_t domain)
{
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      if (group->domains[i].domain == domain)
        return (KqDomainWatch *)&group->domains[i];
    }
  return NULL;
}

static KqDomainWatch *
find_or_add_watch (KqGroup *group, uint64_t domain)
{
  KqDomainWatch *watch = find_watch (group, domain);
  if (watch != NULL || group->domain_count == KQ_DOMAINS_MAX)
    return watch;
  watch = &group->domains[group->domain_count++];
  *watch = (KqDomainWatch){ .domain = domain };
  return watch;
}

uint64_t
kq_domain_event (const KqGroup *group, uint64_t domain)
{
  const KqDomainWatch *watch = find_watch (group, domain);
  return watch == NULL ? 0 : watch->event;
}

bool
kq_domain_checking (KqGroup *group, uint64_t domain)
{
  const KqDomainWatch *watch = find_watch (group, domain);
  return watch != NULL && watch->checking_since != 0;
}

static bool
is_own_domain (const KqGroup *group, uint64_t domain)
{
  return kq_group_own_record (group)->interned->domain == domain;
}

static unsigned
count_live (const KqGroup *group, uint64_t domain)
{
  unsigned live = 0;
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      live += kq_record_is_live (record) && record->interned->domain == domain;
    }
  return live;
}

bool
kq_domain_probe_failed (KqGroup *group, const KqMemberRecord *record)
{
  KqDomainWatch *watch = find_or_add_watch (group, record->interned->domain);
  if (watch == NULL || is_own_domain (group, watch->domain) || group->params.no_suspicion)
    return false;
  if (watch->checking_since != 0)
    return true;
  watch->failures += watch->last_failed != record->id;
  watch->last_failed = record->id;
  if (watch->failures < FAILURES_TO_CHECK || count_live (group, watch->domain) < FAILURES_TO_CHECK)
    return false;
  snprintf (watch->name, sizeof watch->name, "%s", record->interned->member.failure_domain);
  watch->checking_since = group->now;
  return true;
}

static void
mark_members (KqGroup *group, uint64_t domain, bool lost)
{
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      KqMemberRecord *record = kq_members_at (group->members, i);
      if (record->interned->domain == domain && record->id != group->self &&
          kq_members_set_domain_lost (group->members, record, lost, group->now))
        group->changed = true;
    }
  group->balancers_stale = true;
}

static void
set_event (KqGroup *group, KqDomainWatch *watch, uint64_t event)
{
  bool was_lost = watch->event % 2 == 1;
  bool lost = event % 2 == 1;
  watch->event = event;
  watch->checking_since = 0;
  watch->failures = 0;
  kq_gossip_add (group->gossip, KQ_GOSSIP_DOMAIN, watch->domain);
  if (lost == was_lost)
    return;
  mark_members (group, watch->domain, lost);
  if (lost)
    group->stats.domains_lost++;
  else
    group->stats.domains_back++;
  kq_group_log (group, LOG_WARNING, lost ? "failure-domain-lost" : "failure-domain-back",
                "failure_domain=%s event=%llu", watch->name, (unsigned long long)event);
}

void
kq_domain_message_received (KqGroup *group, uint64_t domain)
{
  KqDomainWatch *watch = find_or_add_watch (group, domain);
  if (watch == NULL)
    return;
  watch->last_answer = group->now;
  watch->failures = 0;
  watch->checking_since = 0;
  if (watch->event % 2 == 1)
    set_event (group, watch, watch->event + 1);
}

void
kq_domain_apply (KqGroup *group, uint64_t domain, uint64_t event)
{
  KqDomainWatch *watch = find_or_add_watch (group, domain);
  if (watch == NULL || event <= watch->event)
    return;
  bool lost = event % 2 == 1;
  bool heard_recently =
      watch->last_answer != 0 && group->now - watch->last_answer < RECENT_MESSAGE_US;
  if (lost && (heard_recently || is_own_domain (group, domain)))
    {
      watch->event = event + 1;
      kq_gossip_add (group->gossip, KQ_GOSSIP_DOMAIN, domain);
      return;
    }
  set_event (group, watch, event);
}

/* Counts the live and suspected members of each domain every SUSPECT_COUNT_US while any is
 * suspected. */
static void
count_suspects (KqGroup *group)
{
  if (group->stats.suspected == 0 || group->now < group->next_suspect_count)
    return;
  group->next_suspect_count = group->now + SUSPECT_COUNT_US;
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      group->domains[i].live = 0;
      group->domains[i].suspects = 0;
    }
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      KqDomainWatch *watch = find_or_add_watch (group, record->interned->domain);
      if (watch == NULL || !kq_record_is_live (record))
        continue;
      watch->live++;
      watch->suspects += record->state == KQ_MEMBER_SUSPECT;
    }
}

/* Return: whether enough members of the domain are suspected that the whole domain may be lost. */
bool
kq_domain_loss_suspected (const KqGroup *group, uint64_t domain)
{
  const KqDomainWatch *watch = find_watch (group, domain);
  return watch != NULL && watch->suspects >= FAILURES_TO_CHECK &&
         watch->suspects * LOSS_SUSPECTED_SHARE >= watch->live;
}

static KqMemberRecord *
pick_member (KqGroup *group, uint64_t domain)
{
  unsigned count = kq_members_count (group->members);
  for (unsigned i = 0; i < PICK_TRIES; i++)
    {
      unsigned place = (unsigned)kq_random_below (&group->random, count);
      KqMemberRecord *record = kq_members_at (group->members, place);
      if (record->interned->domain == domain && kq_record_is_live (record))
        return record;
    }
  return NULL;
}

static void
check_domain (KqGroup *group, KqDomainWatch *watch)
{
  KqMemberRecord *record = pick_member (group, watch->domain);
  if (record != NULL)
    {
      kq_swim_send_ping (group, record, ++group->sequence);
      kq_swim_send_ping_req (group, record, ++group->sequence);
    }
  if (group->now - watch->checking_since < group->params.suspicion_us)
    return;
  if (group->now - group->last_answer > group->params.suspicion_us)
    return;
  set_event (group, watch, watch->event + 1);
}

void
kq_domain_tick (KqGroup *group)
{
  count_suspects (group);
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      if (group->domains[i].checking_since != 0)
        check_domain (group, &group->domains[i]);
    }
}
