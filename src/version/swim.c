/* SWIM failure detection (Das, Gupta and Motivala, 2002). One member is probed per probe interval.
 * If it does not answer within one interval, it is probed again directly, and indirectly through
 * three other members, in two rounds. If no answer arrives, the member becomes suspected. The
 * second round reduces false suspicions caused by packet loss: at 5% loss, a single round fails
 * falsely in 6 of 10,000 probes, and a group of thousands of members would spend its bandwidth
 * budget on disseminating and refuting these suspicions.
 *
 * Members are probed round robin in a pseudorandom order that needs no memory: stepping through the
 * table by a random stride that is coprime with the table's length visits every member once per
 * round.
 *
 * A process that was itself paused must not count the pause as missing answers: when the time
 * between two ticks is too long, every deadline is extended by the gap (local health awareness,
 * Lifeguard, 2017). */

#include <string.h>

#include "kumquat/internal/group_impl.h"

#define PROBE_TRIES            8  /* table entries examined per interval to find a live member */
#define PROBE_TIMEOUT_QUARTERS 10 /* quarter intervals from the first ping to the failure */
#define DEAD_PROBE_INTERVALS   10 /* probe intervals between probes of dead members */

static unsigned
greatest_common_divisor (unsigned a, unsigned b)
{
  while (b != 0)
    {
      unsigned remainder = a % b;
      a = b;
      b = remainder;
    }
  return a;
}

static void
start_round (KqGroup *group, unsigned count)
{
  group->round_size = count;
  group->round_left = count;
  group->probe_cursor = (unsigned)kq_random_below (&group->random, count);
  group->probe_stride = 1 + (unsigned)kq_random_below (&group->random, count);
  while (greatest_common_divisor (group->probe_stride, count) != 1)
    group->probe_stride++;
}

static KqMemberRecord *
next_to_probe (KqGroup *group)
{
  unsigned count = kq_members_count (group->members);
  for (unsigned i = 0; i < PROBE_TRIES; i++)
    {
      if (group->round_left == 0 || group->round_size != count)
        start_round (group, count);
      group->round_left--;
      group->probe_cursor =
          (unsigned)(((uint64_t)group->probe_cursor + group->probe_stride) % count);
      KqMemberRecord *record = kq_members_at (group->members, group->probe_cursor);
      if (record->id != group->self && kq_record_is_live (record))
        return record;
    }
  return NULL;
}

void
kq_swim_send_ping (KqGroup *group, const KqMemberRecord *record, uint64_t sequence)
{
  KqOutgoingDatagram out;
  KqAddress to = record->interned->member.control;
  kq_group_begin_datagram (group, &out, KQ_CONTROL_PING, sequence, record);
  kq_group_piggyback (group, &out);
  kq_group_send_datagram (group, &out, &to, KQ_PRIORITY_LIVENESS);
}

static KqProbe *
free_probe (KqGroup *group)
{
  for (unsigned i = 0; i < KQ_PROBES_MAX; i++)
    {
      if (group->probes[i].id == 0)
        return &group->probes[i];
    }
  return NULL;
}

static void
probe_next (KqGroup *group)
{
  KqProbe *probe = free_probe (group);
  KqMemberRecord *record = probe == NULL ? NULL : next_to_probe (group);
  if (record == NULL)
    return;
  *probe = (KqProbe){ .id = record->id, .sequence = ++group->sequence, .sent = group->now };
  group->stats.probes++;
  kq_swim_send_ping (group, record, probe->sequence);
}

void
kq_swim_send_ping_req (KqGroup *group, const KqMemberRecord *record, uint64_t sequence)
{
  KqOutgoingDatagram out;
  KqMemberRecord *prober = kq_group_random_live (group);
  if (prober == NULL || prober->id == record->id)
    return;
  KqControlHeader header = { .type = KQ_CONTROL_PING_REQ, .sequence = sequence, .to = prober->id };
  header.about = record->id;
  header.address = record->interned->member.control;
  kq_group_begin_with_header (group, &out, &header);
  kq_group_send_datagram (group, &out, &prober->interned->member.control, KQ_PRIORITY_LIVENESS);
}

static void
probe_failed (KqGroup *group, KqProbe *probe)
{
  KqMemberRecord *record = kq_members_find (group->members, probe->id);
  probe->id = 0;
  if (record == NULL || !kq_record_is_live (record))
    return;
  group->stats.probes_failed++;
  if (!kq_domain_probe_failed (group, record))
    kq_suspicion_probe_failed (group, record);
}

/* Repeats the probe directly and through KQ_INDIRECT_PROBERS other members. */
static void
retry_probe (KqGroup *group, KqProbe *probe)
{
  const KqMemberRecord *record = kq_members_find (group->members, probe->id);
  probe->attempts++;
  if (record == NULL)
    return;
  kq_swim_send_ping (group, record, probe->sequence);
  for (unsigned i = 0; i < KQ_INDIRECT_PROBERS; i++)
    kq_swim_send_ping_req (group, record, probe->sequence);
}

static void
check_probe (KqGroup *group, KqProbe *probe)
{
  KqTime interval = group->params.probe_interval_us;
  KqTime waited = group->now - probe->sent;
  if (waited >= interval * PROBE_TIMEOUT_QUARTERS / 4)
    probe_failed (group, probe);
  else if (waited >= interval * (1 + 3 * probe->attempts) / 4 + interval * 3 / 4)
    retry_probe (group, probe);
}

/* Dead members are still probed occasionally, so that the two sides of a network partition find
 * each other after it has healed. */
static void
probe_dead (KqGroup *group)
{
  unsigned count = kq_members_count (group->members);
  unsigned start = (unsigned)kq_random_below (&group->random, count);
  for (unsigned i = 0; i < count; i++)
    {
      KqMemberRecord *record = kq_members_at (group->members, (start + i) % count);
      if (record->state != KQ_MEMBER_DEAD || record->id == group->self)
        continue;
      kq_swim_send_ping (group, record, ++group->sequence);
      return;
    }
}

void
kq_swim_tick (KqGroup *group)
{
  for (unsigned i = 0; i < KQ_PROBES_MAX; i++)
    {
      if (group->probes[i].id != 0)
        check_probe (group, &group->probes[i]);
    }
  if (group->now >= group->next_probe)
    {
      group->next_probe += group->params.probe_interval_us;
      if (group->next_probe < group->now)
        group->next_probe = group->now + group->params.probe_interval_us;
      probe_next (group);
    }
  if (group->now >= group->next_dead_probe)
    {
      group->next_dead_probe = group->now + DEAD_PROBE_INTERVALS * group->params.probe_interval_us;
      if (kq_members_live (group->members) < kq_members_count (group->members))
        probe_dead (group);
    }
}

void
kq_swim_handle_ping (KqGroup *group, const KqControlHeader *header)
{
  KqOutgoingDatagram out;
  KqMemberRecord *requester = kq_members_find (group->members, header->from);
  kq_group_begin_datagram (group, &out, KQ_CONTROL_ACK, header->sequence, requester);
  kq_group_piggyback (group, &out);
  kq_group_send_datagram (group, &out, &header->reply, KQ_PRIORITY_LIVENESS);
}

void
kq_swim_handle_ping_req (KqGroup *group, const KqControlHeader *header)
{
  KqOutgoingDatagram out;
  KqIndirectProbe *indirect_probe =
      &group->indirect_probes[group->next_indirect_probe++ % KQ_INDIRECT_PROBES_MAX];
  indirect_probe->sequence = ++group->sequence;
  indirect_probe->requested_sequence = header->sequence;
  indirect_probe->about = header->about;
  indirect_probe->reply = header->reply;
  indirect_probe->requester = header->from;
  KqControlHeader ping = { .type = KQ_CONTROL_PING, .sequence = indirect_probe->sequence };
  ping.to = header->about;
  kq_group_begin_with_header (group, &out, &ping);
  kq_group_send_datagram (group, &out, &header->address, KQ_PRIORITY_LIVENESS);
}

static void
forward_ack (KqGroup *group, const KqControlHeader *header)
{
  for (unsigned i = 0; i < KQ_INDIRECT_PROBES_MAX; i++)
    {
      KqIndirectProbe *indirect_probe = &group->indirect_probes[i];
      if (indirect_probe->sequence != header->sequence || indirect_probe->about != header->about)
        continue;
      KqOutgoingDatagram out;
      KqControlHeader ack = { .type = KQ_CONTROL_ACK,
                              .sequence = indirect_probe->requested_sequence };
      ack.about = indirect_probe->about;
      ack.to = indirect_probe->requester;
      indirect_probe->sequence = 0;
      kq_group_begin_with_header (group, &out, &ack);
      kq_group_send_datagram (group, &out, &indirect_probe->reply, KQ_PRIORITY_LIVENESS);
      return;
    }
}

void
kq_swim_handle_ack (KqGroup *group, const KqControlHeader *header)
{
  group->last_answer = group->now;
  if (header->about != header->from)
    kq_swim_message_received (group, header->about);
  KqSuspicion *suspicion = kq_suspicion_find (group, header->about);
  if (suspicion != NULL)
    suspicion->own_probe_failed = false;
  for (unsigned i = 0; i < KQ_PROBES_MAX; i++)
    {
      KqProbe *probe = &group->probes[i];
      if (probe->id == header->about && probe->sequence == header->sequence)
        {
          probe->id = 0;
          return;
        }
    }
  forward_ack (group, header);
}

/* Sends a member that is recorded as dead its recorded state, so that it refutes it, and schedules
 * a table exchange to learn what changed on its side. */
static void
notify_dead_member (KqGroup *group, const KqMemberRecord *record)
{
  KqOutgoingDatagram out;
  KqAddress to = record->interned->member.control;
  kq_group_begin_datagram (group, &out, KQ_CONTROL_GOSSIP, 0, record);
  kq_group_send_datagram (group, &out, &to, KQ_PRIORITY_BACKGROUND);
  kq_digest_schedule (group);
}

void
kq_swim_message_received (KqGroup *group, uint64_t from)
{
  KqMemberRecord *record = kq_members_find (group->members, from);
  if (record == NULL)
    {
      kq_digest_schedule (group);
      return;
    }
  if (record->state == KQ_MEMBER_LEFT)
    return;
  kq_domain_message_received (group, record->interned->domain);
  if (record->state == KQ_MEMBER_DEAD && !record->domain_lost)
    notify_dead_member (group, record);
}

void
kq_swim_extend_deadlines (KqGroup *group, KqTime gap)
{
  for (unsigned i = 0; i < KQ_PROBES_MAX; i++)
    group->probes[i].sent += gap;
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      if (group->domains[i].checking_since != 0)
        group->domains[i].checking_since += gap;
      group->domains[i].last_answer += gap;
    }
  KqSuspicion *suspicion;
  TAILQ_FOREACH (suspicion, &group->suspicions, link)
  suspicion->started += gap;
  group->last_answer += gap;
}

void
kq_swim_reset (KqGroup *group)
{
  memset (group->probes, 0, sizeof group->probes);
  memset (group->indirect_probes, 0, sizeof group->indirect_probes);
  KqSuspicion *suspicion;
  TAILQ_FOREACH (suspicion, &group->suspicions, link)
  {
    suspicion->own_probe_failed = false;
    suspicion->started = group->now;
  }
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      group->domains[i].failures = 0;
      group->domains[i].checking_since = 0;
      group->domains[i].last_answer = group->now;
    }
}
