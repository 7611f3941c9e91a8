#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <syslog.h>
#include <talloc.h>

#include "kumquat/internal/group_impl.h"

#define BUDGET_BURST_S     4  /* unused budget accumulates for up to this many seconds */
#define DEATHS_PER_S       10 /* limit of the deaths that one instance declares */
#define FORGET_AFTER_US    ((KqTime)3 * 3600 * KQ_SECOND)
#define FORGET_INTERVAL_US (60 * KQ_SECOND)
#define PAUSE_MIN_US       (500 * KQ_MS) /* a longer gap between ticks means a paused process */
#define RECENT_PAUSE_US    (60 * KQ_SECOND)
#define PICK_TRIES         16
#define JOIN_TIMEOUT_US    (3 * KQ_SECOND) /* no answer from a seed until then: no group yet */

static void
add_self (KqGroup *group)
{
  KqClaim claim = { .member = group->params.self, .full = true };
  claim.member.state = KQ_MEMBER_ALIVE;
  claim.member.peer.id = group->self;
  kq_members_apply (group->members, &claim, group->now);
  group->balancers_stale = true;
}

KqGroup *
kq_group_new (const void *parent, const KqGroupParams *params, KqIdentityPool *pool,
              const KqGroupOps *ops, void *data, KqTime now)
{
  KqGroup *group = talloc_zero (parent, KqGroup);
  if (group == NULL)
    return NULL;
  group->params = *params;
  group->ops = *ops;
  group->data = data;
  group->now = now;
  group->started = now;
  group->last_tick = now;
  group->last_answer = now;
  group->announced_at = now;
  group->self = kq_hash_name (params->self.name);
  group->params.self.peer.id = group->self;
  kq_random_seed (&group->random, params->random_seed ^ group->self);
  group->sequence = kq_random_next (&group->random) >> 32;
  group->members = kq_members_new (group, pool);
  group->gossip = kq_gossip_new (group);
  group->spread = kq_document_table_new (group);
  if (group->members == NULL || group->gossip == NULL || group->spread == NULL)
    {
      talloc_free (group);
      return NULL;
    }
  TAILQ_INIT (&group->suspicions);
  kq_token_bucket_init (&group->budget, params->budget_bytes_per_s, BUDGET_BURST_S, now);
  kq_token_bucket_init (&group->death_limit, DEATHS_PER_S, 1, now);
  KqTime interval = params->probe_interval_us;
  group->next_probe = now + (KqTime)kq_random_below (&group->random, (uint64_t)interval);
  group->next_gossip = group->next_probe;
  group->next_sync = now;
  group->changed = true;
  group->next_forget = now + FORGET_INTERVAL_US;
  add_self (group);
  kq_join_begin (group);
  group->next_sync = now;
  return group;
}

void
kq_group_log (KqGroup *group, int level, const char *name, const char *format, ...)
{
  char details[KQ_ERROR_MESSAGE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (details, sizeof details, format, args);
  va_end (args);
  if (group->ops.event != NULL)
    group->ops.event (level, name, details, group->data);
}

KqMemberRecord *
kq_group_own_record (const KqGroup *group)
{
  return kq_members_find (group->members, group->self);
}

KqMemberRecord *
kq_group_random_live (KqGroup *group)
{
  unsigned count = kq_members_count (group->members);
  for (unsigned i = 0; i < PICK_TRIES; i++)
    {
      unsigned place = (unsigned)kq_random_below (&group->random, count);
      KqMemberRecord *record = kq_members_at (group->members, place);
      if (record->id != group->self && kq_record_is_live (record))
        return record;
    }
  return NULL;
}

void
kq_group_announce_self (KqGroup *group)
{
  group->announced_at = group->now;
  kq_gossip_add (group->gossip, KQ_GOSSIP_MEMBER, group->self);
}

/* Announces this instance with the next version of its current incarnation. */
static void
announce_next_version (KqGroup *group, uint32_t at_least)
{
  KqClaim claim = kq_record_to_claim (kq_group_own_record (group));
  claim.version = (at_least > claim.version ? at_least : claim.version) + 1;
  claim.member = group->params.self;
  claim.member.state = group->leaving ? KQ_MEMBER_LEFT : KQ_MEMBER_ALIVE;
  kq_members_apply (group->members, &claim, group->now);
  kq_group_announce_self (group);
}

void
kq_group_new_incarnation (KqGroup *group, uint64_t at_least)
{
  KqMember *self = &group->params.self;
  uint64_t next = self->peer.incarnation + 1;
  self->peer.incarnation = next > at_least ? next : at_least;
  group->stats.new_incarnations++;
  group->paused_at = 0;
  kq_gossip_clear (group->gossip);
  kq_swim_reset (group);
  add_self (group);
  kq_group_announce_self (group);
  group->changed = true;
  group->joined = false;
  group->join_rounds = 0;
  kq_digest_schedule (group);
  kq_group_log (group, LOG_WARNING, "new-incarnation", "incarnation=%llu",
                (unsigned long long)self->peer.incarnation);
  if (group->ops.incarnation_changed != NULL)
    group->ops.incarnation_changed (self->peer.incarnation, group->data);
}

static void
refute (KqGroup *group, const KqClaim *claim)
{
  if (group->params.no_refutation)
    return;
  group->stats.refutations++;
  announce_next_version (group, claim->version);
  kq_group_log (group, LOG_INFO, "refuted", "state=%s version=%u",
                claim->member.state == KQ_MEMBER_DEAD ? "dead" : "suspect", claim->version);
}

/* Handles a claim of another instance about this one. */
static void
apply_own_claim (KqGroup *group, const KqClaim *claim)
{
  const KqMemberRecord *own = kq_group_own_record (group);
  uint64_t incarnation = claim->member.peer.incarnation;
  KqMemberState state = claim->member.state;
  if (group->leaving || incarnation < own->incarnation)
    return;
  bool newer_incarnation = incarnation > own->incarnation;
  bool paused = group->paused_at != 0 && group->now - group->paused_at < RECENT_PAUSE_US;
  if (newer_incarnation && state == KQ_MEMBER_ALIVE)
    {
      group->stats.name_conflicts++;
      kq_group_log (group, LOG_ERR, "name-conflict", "member=%s remedy=\"%s\"",
                    own->interned->member.name, "give every instance a unique name");
    }
  if (newer_incarnation || state == KQ_MEMBER_LEFT || (state == KQ_MEMBER_DEAD && paused))
    kq_group_new_incarnation (group, incarnation + 1);
  else if (state != KQ_MEMBER_ALIVE && claim->version >= own->version)
    refute (group, claim);
}

static void
apply_claim (KqGroup *group, const KqItem *item, bool spread)
{
  const KqClaim *claim = &item->claim;
  uint64_t id = claim->member.peer.id;
  if (id == group->self)
    {
      apply_own_claim (group, claim);
      return;
    }
  KqMemberRecord *before = kq_members_find (group->members, id);
  bool was_live = before != NULL && kq_record_is_live (before);
  bool applied = kq_members_apply (group->members, claim, group->now);
  KqMemberRecord *after = kq_members_find (group->members, id);
  if (after == NULL)
    return;
  bool suspected = after->state == KQ_MEMBER_SUSPECT;
  if (applied)
    {
      group->changed = group->changed || !suspected;
      group->balancers_stale = group->balancers_stale || was_live != kq_record_is_live (after);
      if (spread)
        kq_gossip_add (group->gossip, KQ_GOSSIP_MEMBER, id);
    }
  bool same = after->incarnation == claim->member.peer.incarnation &&
              after->version == claim->version && claim->member.state == KQ_MEMBER_SUSPECT;
  if (suspected && same)
    kq_suspicion_reported (group, after, item->source);
}

void
kq_group_apply_item (KqGroup *group, const KqItem *item, bool spread)
{
  switch (item->kind)
    {
    case KQ_ITEM_MEMBER:
    case KQ_ITEM_STATE:
      apply_claim (group, item, spread);
      break;
    case KQ_ITEM_DOCUMENT:
      kq_config_announced (group, item->service, item->revision, item->source);
      break;
    case KQ_ITEM_DOMAIN:
      kq_domain_apply (group, item->domain, item->event);
      break;
    }
}

static void
handle_pause (KqGroup *group, KqTime gap)
{
  if (gap < PAUSE_MIN_US)
    return;
  kq_swim_extend_deadlines (group, gap);
  kq_group_log (group, LOG_WARNING, "paused", "ms=%lld", (long long)(gap / KQ_MS));
  if (gap >= 2 * group->params.suspicion_us && kq_members_live (group->members) > 1)
    kq_group_new_incarnation (group, 0);
  else if (gap >= group->params.suspicion_us / 2)
    {
      group->paused_at = group->now;
      kq_digest_schedule (group);
    }
}

/* Bootstrapping ends when this instance has joined, when it has no seeds other than itself, or when
 * no seed has answered within JOIN_TIMEOUT_US. */
static void
update_bootstrapped (KqGroup *group)
{
  const KqGroupParams *params = &group->params;
  bool others = false;
  for (unsigned i = 0; i < params->seed_count; i++)
    others = others || !kq_address_equal (&params->seeds[i], &params->self.control);
  bool bootstrapped = group->joined || !others || group->now - group->started >= JOIN_TIMEOUT_US;
  group->changed = group->changed || bootstrapped != group->bootstrapped;
  group->bootstrapped = bootstrapped;
}

void
kq_group_tick (KqGroup *group, KqTime now)
{
  KqTime gap = now - group->last_tick - KQ_GROUP_TICK_US;
  group->now = now;
  group->last_tick = now;
  handle_pause (group, gap);
  kq_swim_tick (group);
  kq_domain_tick (group);
  kq_suspicion_tick (group);
  kq_group_gossip_tick (group);
  kq_join_tick (group);
  kq_digest_tick (group);
  kq_config_pull_tick (group);
  kq_report_tick (group);
  update_bootstrapped (group);
  if (now >= group->next_forget)
    {
      group->next_forget = now + FORGET_INTERVAL_US;
      kq_members_forget (group->members, now - FORGET_AFTER_US);
    }
  if (!group->changed)
    return;
  group->changed = false;
  if (group->ops.members_changed != NULL)
    group->ops.members_changed (group->data);
}
