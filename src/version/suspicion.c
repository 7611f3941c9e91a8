/* Suspicion timeouts of SWIM: when a suspected member is declared dead.
 *
 * An instance whose own probe of a member failed keeps probing it until the suspicion timeout, and
 * every probe carries the suspicion. One answer, however late, therefore keeps this instance from
 * declaring the member dead before its refutation is disseminated. The timeout shrinks with each
 * independent suspicion (Lifeguard; Dadgar, Phillips and Currey, 2017). Instances whose own probes
 * did not fail wait three times as long. */

#include <syslog.h>
#include <talloc.h>

#include "kumquat/internal/group_impl.h"

#define SECONDHAND_TIMEOUT_FACTOR 3 /* timeout multiplier if the own probe did not fail */
#define SMALL_GROUP_MEMBERS       4 /* live members up to which one suspicion is enough */

KqSuspicion *
kq_suspicion_find (KqGroup *group, uint64_t id)
{
  KqSuspicion *suspicion;
  TAILQ_FOREACH (suspicion, &group->suspicions, link)
  {
    if (suspicion->id == id)
      return suspicion;
  }
  return NULL;
}

static void
remove_suspicion (KqGroup *group, KqSuspicion *suspicion)
{
  TAILQ_REMOVE (&group->suspicions, suspicion, link);
  group->stats.suspected--;
  talloc_free (suspicion);
}

static KqSuspicion *
find_or_add_suspicion (KqGroup *group, const KqMemberRecord *record)
{
  KqSuspicion *suspicion = kq_suspicion_find (group, record->id);
  if (suspicion == NULL)
    {
      suspicion = talloc_zero (group, KqSuspicion);
      if (suspicion == NULL)
        return NULL;
      suspicion->id = record->id;
      TAILQ_INSERT_TAIL (&group->suspicions, suspicion, link);
      group->stats.suspected++;
    }
  else if (suspicion->incarnation == record->incarnation && suspicion->version == record->version)
    return suspicion;
  suspicion->incarnation = record->incarnation;
  suspicion->version = record->version;
  suspicion->started = group->now;
  suspicion->next_ping = group->now;
  suspicion->confirmation_count = 0;
  suspicion->own_probe_failed = false;
  return suspicion;
}

/* Return: whether @from had not reported this suspicion before. */
static bool
add_source (KqSuspicion *suspicion, uint64_t from)
{
  if (from == 0 || suspicion->confirmation_count == KQ_CONFIRMATIONS_MAX)
    return false;
  for (unsigned i = 0; i < suspicion->confirmation_count; i++)
    {
      if (suspicion->from[i] == from)
        return false;
    }
  suspicion->from[suspicion->confirmation_count++] = from;
  return true;
}

void
kq_suspicion_reported (KqGroup *group, const KqMemberRecord *record, uint64_t from)
{
  KqSuspicion *suspicion = find_or_add_suspicion (group, record);
  if (suspicion != NULL && add_source (suspicion, from))
    kq_gossip_add (group->gossip, KQ_GOSSIP_MEMBER, record->id);
}

static void
declare_dead (KqGroup *group, uint64_t id)
{
  KqMemberRecord *record = kq_members_find (group->members, id);
  KqItem item = { .kind = KQ_ITEM_STATE, .source = group->self };
  kq_record_to_member (record, &item.claim.member);
  item.claim.member.state = KQ_MEMBER_DEAD;
  item.claim.version = record->version;
  group->stats.deaths_declared++;
  kq_group_log (group, LOG_WARNING, "member-dead", "member=%s failure_domain=%s incarnation=%llu",
                record->interned->member.name, record->interned->member.failure_domain,
                (unsigned long long)record->incarnation);
  kq_group_apply_item (group, &item, true);
}

void
kq_suspicion_probe_failed (KqGroup *group, const KqMemberRecord *record)
{
  uint64_t id = record->id;
  if (group->params.no_suspicion)
    {
      declare_dead (group, id);
      return;
    }
  KqItem item = { .kind = KQ_ITEM_STATE, .source = group->self };
  kq_record_to_member (record, &item.claim.member);
  item.claim.member.state = KQ_MEMBER_SUSPECT;
  item.claim.version = record->version;
  group->stats.suspicions++;
  kq_group_apply_item (group, &item, true);
  KqSuspicion *suspicion = kq_suspicion_find (group, id);
  if (suspicion != NULL)
    suspicion->own_probe_failed = true;
}

static KqTime
timeout_of (const KqGroup *group, const KqSuspicion *suspicion)
{
  /* 1 - log (n) / log (KQ_CONFIRMATIONS_MAX) in thousandths, for n independent suspicions. */
  static const KqTime extra_permille[KQ_CONFIRMATIONS_MAX + 1] = { 1000, 1000, 369, 0 };
  KqTime shortest_timeout = group->params.suspicion_us;
  KqTime timeout =
      shortest_timeout + shortest_timeout * extra_permille[suspicion->confirmation_count] / 1000;
  if (kq_members_live (group->members) <= SMALL_GROUP_MEMBERS)
    timeout = shortest_timeout;
  return suspicion->own_probe_failed ? timeout : timeout * SECONDHAND_TIMEOUT_FACTOR;
}

/* An instance that receives no answer from any member is probably isolated from the network itself,
 * so it must not declare other members dead. */
static bool
is_isolated (const KqGroup *group)
{
  return kq_members_live (group->members) > SMALL_GROUP_MEMBERS &&
         group->now - group->last_answer > group->params.suspicion_us;
}

static bool
is_current (const KqSuspicion *suspicion, const KqMemberRecord *record)
{
  return record != NULL && record->state == KQ_MEMBER_SUSPECT &&
         record->incarnation == suspicion->incarnation && record->version == suspicion->version;
}

static void
expire (KqGroup *group, KqSuspicion *suspicion, const KqMemberRecord *record)
{
  uint64_t domain = record->interned->domain;
  KqTime waited = group->now - suspicion->started;
  if (is_isolated (group) || kq_domain_checking (group, domain))
    return;
  if (kq_domain_loss_suspected (group, domain) && waited < 2 * timeout_of (group, suspicion))
    return;
  if (!kq_token_bucket_take (&group->death_limit, KQ_PRIORITY_LIVENESS, 1, group->now))
    {
      group->stats.deaths_delayed++;
      return;
    }
  uint64_t id = suspicion->id;
  remove_suspicion (group, suspicion);
  declare_dead (group, id);
}

void
kq_suspicion_tick (KqGroup *group)
{
  KqSuspicion *suspicion = TAILQ_FIRST (&group->suspicions);
  while (suspicion != NULL)
    {
      KqSuspicion *next = TAILQ_NEXT (suspicion, link);
      KqMemberRecord *record = kq_members_find (group->members, suspicion->id);
      if (!is_current (suspicion, record))
        remove_suspicion (group, suspicion);
      else if (group->now - suspicion->started >= timeout_of (group, suspicion))
        expire (group, suspicion, record);
      else if (suspicion->own_probe_failed && group->now >= suspicion->next_ping)
        {
          suspicion->next_ping = group->now + group->params.probe_interval_us;
          kq_swim_send_ping (group, record, ++group->sequence);
        }
      suspicion = next;
    }
}
