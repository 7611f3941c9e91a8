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

#define FAILURES_TO_CHECK 4
#define CONTRADICT_US     (2 * KQ_SECOND)
#define PICK_TRIES        16
#define DOUBTFUL_SHARE    10 /* one suspect in this many members may mean a lost domain */
#define CENSUS_US         (500 * KQ_MS)

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
find_or_add (KqGroup *group, uint64_t domain)
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
is_own (const KqGroup *group, uint64_t domain)
{
  return kq_group_own_record (group)->who->domain == domain;
}

static unsigned
live_in (const KqGroup *group, uint64_t domain)
{
  unsigned live = 0;
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqRecord *record = kq_members_at (group->members, i);
      live += kq_record_live (record) && record->who->domain == domain;
    }
  return live;
}

bool
kq_domain_probe_failed (KqGroup *group, const KqRecord *record)
{
  KqDomainWatch *watch = find_or_add (group, record->who->domain);
  if (watch == NULL || is_own (group, watch->domain) || group->params.no_suspicion)
    return false;
  if (watch->checking_since != 0)
    return true;
  watch->failures += watch->last_failed != record->id;
  watch->last_failed = record->id;
  if (watch->failures < FAILURES_TO_CHECK || live_in (group, watch->domain) < FAILURES_TO_CHECK)
    return false;
  snprintf (watch->name, sizeof watch->name, "%s", record->who->member.failure_domain);
  watch->checking_since = group->now;
  return true;
}

static void
mark (KqGroup *group, uint64_t domain, bool lost)
{
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      KqRecord *record = kq_members_at (group->members, i);
      if (record->who->domain == domain && record->id != group->self &&
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
  mark (group, watch->domain, lost);
  if (lost)
    group->stats.domains_lost++;
  else
    group->stats.domains_back++;
  kq_group_log (group, LOG_WARNING, lost ? "failure-domain-lost" : "failure-domain-back",
                "failure_domain=%s event=%llu", watch->name, (unsigned long long)event);
}

void
kq_domain_heard (KqGroup *group, uint64_t domain)
{
  KqDomainWatch *watch = find_or_add (group, domain);
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
  KqDomainWatch *watch = find_or_add (group, domain);
  if (watch == NULL || event <= watch->event)
    return;
  bool lost = event % 2 == 1;
  bool heard = watch->last_answer != 0 && group->now - watch->last_answer < CONTRADICT_US;
  if (lost && (heard || is_own (group, domain)))
    {
      watch->event = event + 1;
      kq_gossip_add (group->gossip, KQ_GOSSIP_DOMAIN, domain);
      return;
    }
  set_event (group, watch, event);
}

/* Counts the live and suspected members of each domain every CENSUS_US while any is suspected. */
static void
take_census (KqGroup *group)
{
  if (group->stats.suspected == 0 || group->now < group->next_census)
    return;
  group->next_census = group->now + CENSUS_US;
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      group->domains[i].live = 0;
      group->domains[i].suspects = 0;
    }
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqRecord *record = kq_members_at (group->members, i);
      KqDomainWatch *watch = find_or_add (group, record->who->domain);
      if (watch == NULL || !kq_record_live (record))
        continue;
      watch->live++;
      watch->suspects += record->state == KQ_MEMBER_SUSPECT;
    }
}

/* Return: whether enough members of the domain are suspected that the whole domain may be lost. */
bool
kq_domain_doubtful (const KqGroup *group, uint64_t domain)
{
  const KqDomainWatch *watch = find_watch (group, domain);
  return watch != NULL && watch->suspects >= FAILURES_TO_CHECK &&
         watch->suspects * DOUBTFUL_SHARE >= watch->live;
}

static KqRecord *
pick_member (KqGroup *group, uint64_t domain)
{
  unsigned count = kq_members_count (group->members);
  for (unsigned i = 0; i < PICK_TRIES; i++)
    {
      unsigned place = (unsigned)kq_random_below (&group->random, count);
      KqRecord *record = kq_members_at (group->members, place);
      if (record->who->domain == domain && kq_record_live (record))
        return record;
    }
  return NULL;
}

static void
check (KqGroup *group, KqDomainWatch *watch)
{
  KqRecord *record = pick_member (group, watch->domain);
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
  take_census (group);
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      if (group->domains[i].checking_since != 0)
        check (group, &group->domains[i]);
    }
}
