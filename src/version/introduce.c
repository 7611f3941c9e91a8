/* A newcomer tells the seeds who it is with a datagram each gossip interval until it has joined,
 * and each answers with some of the members that it knows. The digest exchange goes over a
 * connection, which takes longer to come up than the rest of a process; when a whole group starts
 * at once, this is the time without service. */

#include "kumquat/internal/group_impl.h"

/* Seeds that start together with a newcomer are up by then. */
#define INTRODUCE_US (2 * KQ_SECOND)

static void
introduce_to (KqGroup *group, const KqAddress *seed)
{
  KqOutgoing out;
  KqControlHeader header = { .type = KQ_CONTROL_INTRODUCTION, .about = group->self };
  KqItem own = { .kind = KQ_ITEM_MEMBER };
  own.claim = kq_members_claim (kq_group_own_record (group));
  kq_group_begin_header (group, &out, &header);
  if (kq_control_write_item (&out.writer, &own))
    kq_group_finish (group, &out, seed, KQ_PRIORITY_CONFIGURATION);
}

void
kq_introduce_tick (KqGroup *group)
{
  const KqGroupParams *params = &group->params;
  if (group->joined || group->leaving || group->now - group->started > INTRODUCE_US)
    return;
  for (unsigned i = 0; i < params->seed_count; i++)
    if (!kq_address_equal (&params->seeds[i], &params->self.control))
      introduce_to (group, &params->seeds[i]);
}

void
kq_introduce_answer (KqGroup *group, const KqControlHeader *header)
{
  KqOutgoing out;
  KqControlHeader answer = { .type = KQ_CONTROL_GOSSIP, .to = header->from, .about = group->self };
  unsigned count = kq_members_count (group->members);
  unsigned first = (unsigned)kq_random_below (&group->random, count);
  if (group->leaving)
    return;
  kq_group_begin_header (group, &out, &answer);
  for (unsigned i = 0; i < count; i++)
    {
      const KqRecord *record = kq_members_at (group->members, (first + i) % count);
      KqItem item = { .kind = KQ_ITEM_MEMBER, .claim = kq_members_claim (record) };
      if (record->id == header->from || record->state != KQ_MEMBER_ALIVE)
        continue;
      if (!kq_control_write_item (&out.writer, &item))
        break;
    }
  /* What the budget has left: newcomers must not take it from documents. */
  kq_group_finish (group, &out, &header->reply, KQ_PRIORITY_REST);
}
