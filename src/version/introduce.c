/* Introductions: a joining member sends its description to the seeds in a datagram each gossip
 * interval until it has joined, and each seed answers with some of the members that it knows. The
 * digest exchange uses a connection, which takes longer to be established than the rest of a
 * process's start; if a whole group starts at once, it would have no service during this time.
 *
 * Introductions are also sent to the contacts, addresses of former members, but less often and only
 * until a member with this address is known: some of the contacts may never answer. */

#include <string.h>

#include "kumquat/internal/group_impl.h"

/* Seeds that are started at the same time as the joining member are running within this time. */
#define INTRODUCE_TIMEOUT_US (2 * KQ_SECOND)

/* Repeats an introduction whose datagram was lost or whose receiver was not running yet; starting a
 * process takes some tenths of a second. */
#define CONTACT_RETRY_US (200 * KQ_MS)

void
kq_introduce_to (KqGroup *group, const KqAddress *control)
{
  KqOutgoingDatagram out;
  KqControlHeader header = { .type = KQ_CONTROL_INTRODUCTION, .about = group->self };
  KqItem own = { .kind = KQ_ITEM_MEMBER };
  own.claim = kq_record_to_claim (kq_group_own_record (group));
  kq_group_begin_with_header (group, &out, &header);
  if (kq_control_write_item (&out.writer, &own))
    kq_group_send_datagram (group, &out, control, KQ_PRIORITY_CONFIGURATION);
}

bool
kq_introduce_is_known (const KqGroup *group, const KqAddress *control)
{
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      if (kq_record_is_live (record) &&
          kq_address_equal (&record->interned->member.control, control))
        return true;
    }
  return false;
}

static void
introduce_to_contacts (KqGroup *group)
{
  unsigned left = 0;
  for (unsigned i = 0; i < group->contact_count; i++)
    {
      if (kq_introduce_is_known (group, &group->contacts[i]))
        continue;
      kq_introduce_to (group, &group->contacts[i]);
      group->contacts[left++] = group->contacts[i];
    }
  group->contact_count = left;
  group->next_contact = group->now + CONTACT_RETRY_US;
}

void
kq_group_introduce (KqGroup *group, const KqAddress *addresses, unsigned count, KqTime now)
{
  group->now = now;
  group->contact_count = count < KQ_CONTACTS_MAX ? count : KQ_CONTACTS_MAX;
  memcpy (group->contacts, addresses, group->contact_count * sizeof addresses[0]);
  group->contact_until = now + INTRODUCE_TIMEOUT_US;
  if (!group->leaving)
    introduce_to_contacts (group);
}

void
kq_introduce_restart (KqGroup *group)
{
  group->introduce_since = group->now;
}

void
kq_introduce_to_seeds (KqGroup *group)
{
  const KqGroupParams *params = &group->params;
  for (unsigned i = 0; i < params->seed_count; i++)
    if (!kq_address_equal (&params->seeds[i], &params->self.control))
      kq_introduce_to (group, &params->seeds[i]);
}

void
kq_introduce_tick (KqGroup *group)
{
  if (group->contact_count > 0 && !group->leaving && group->now >= group->next_contact)
    {
      if (group->now <= group->contact_until)
        introduce_to_contacts (group);
      else
        group->contact_count = 0;
    }
  if (group->joined || group->leaving || group->now - group->introduce_since > INTRODUCE_TIMEOUT_US)
    return;
  kq_introduce_to_seeds (group);
}

void
kq_introduce_handle (KqGroup *group, const KqControlHeader *header)
{
  KqOutgoingDatagram out;
  KqControlHeader answer = { .type = KQ_CONTROL_GOSSIP, .to = header->from, .about = group->self };
  unsigned count = kq_members_count (group->members);
  unsigned first = (unsigned)kq_random_below (&group->random, count);
  if (group->leaving)
    return;
  kq_group_begin_with_header (group, &out, &answer);
  for (unsigned i = 0; i < count; i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, (first + i) % count);
      KqItem item = { .kind = KQ_ITEM_MEMBER, .claim = kq_record_to_claim (record) };
      if (record->id == header->from || record->state != KQ_MEMBER_ALIVE)
        continue;
      if (!kq_control_write_item (&out.writer, &item))
        break;
    }
  /* Lowest priority: joining members must not use up the budget for documents. */
  kq_group_send_datagram (group, &out, &header->reply, KQ_PRIORITY_BACKGROUND);
}
