/* Builds datagrams: a header, the items that the receiver needs first, and as many queued changes
 * as the datagram and the bandwidth budget allow. */

#include <string.h>

#include "kumquat/internal/group_impl.h"

#define GOSSIP_FANOUT          3
#define NEW_DESCRIPTION_US     (30 * KQ_SECOND) /* how long a description counts as new */
#define URGENT_CHANGE_US       (5 * KQ_SECOND)  /* how long every datagram carries an own change */
#define GOSSIP_INTERVAL_MIN_US (50 * KQ_MS)
#define GOSSIP_INTERVAL_MAX_US (200 * KQ_MS)

void
kq_group_begin_with_header (KqGroup *group, KqOutgoingDatagram *out, KqControlHeader *header)
{
  const KqMemberRecord *own = kq_group_own_record (group);
  header->from = group->self;
  header->reply = own->interned->member.control;
  kq_writer_init (&out->writer, out->bytes, sizeof out->bytes);
  kq_control_write_header (&out->writer, header);
}

/* If the receiver is recorded as suspected, dead or left, that state is sent first, so that the
 * receiver can refute it in its answer. */
static void
write_receiver_state (const KqGroup *group, KqOutgoingDatagram *out, const KqMemberRecord *to)
{
  KqItem item = { .kind = KQ_ITEM_STATE, .source = group->self };
  if (to == NULL || to->state == KQ_MEMBER_ALIVE || to->domain_lost)
    return;
  kq_record_to_member (to, &item.claim.member);
  item.claim.version = to->version;
  kq_control_write_item (&out->writer, &item);
}

void
kq_group_begin_datagram (KqGroup *group, KqOutgoingDatagram *out, KqControlType type,
                         uint64_t sequence, const KqMemberRecord *to)
{
  KqControlHeader header = { .type = type, .sequence = sequence, .about = group->self };
  KqItem item;
  header.to = to == NULL ? 0 : to->id;
  kq_group_begin_with_header (group, out, &header);
  write_receiver_state (group, out, to);
  if (group->announced_at != 0 && group->now - group->announced_at < URGENT_CHANGE_US &&
      kq_group_member_item (group, group->self, &item))
    kq_control_write_item (&out->writer, &item);
}

/* Gossip carries the full description of a member only while it is new; later changes identify the
 * member by its id. */
bool
kq_group_member_item (const KqGroup *group, uint64_t id, KqItem *item)
{
  const KqMemberRecord *record = kq_members_find (group->members, id);
  if (record == NULL || record->domain_lost)
    return false;
  memset (item, 0, sizeof *item);
  item->claim = kq_record_to_claim (record);
  KqTime described = (KqTime)record->described_s * KQ_SECOND;
  bool recently_described = record->described_s != 0 && group->now - described < NEW_DESCRIPTION_US;
  item->kind =
      record->state == KQ_MEMBER_ALIVE && recently_described ? KQ_ITEM_MEMBER : KQ_ITEM_STATE;
  if (record->state != KQ_MEMBER_SUSPECT)
    return true;
  KqSuspicion *suspicion = kq_suspicion_find ((KqGroup *)group, id);
  if (suspicion != NULL && suspicion->confirmation_count > 0)
    item->source = suspicion->from[suspicion->confirmation_count - 1];
  return true;
}

static bool
queued_item (const KqGroup *group, const KqGossipItem *queued, KqItem *item)
{
  memset (item, 0, sizeof *item);
  if (queued->kind == KQ_GOSSIP_MEMBER)
    return kq_group_member_item (group, queued->key, item);
  if (queued->kind == KQ_GOSSIP_DOMAIN)
    {
      item->kind = KQ_ITEM_DOMAIN;
      item->domain = queued->key;
      item->event = kq_domain_event (group, queued->key);
      return true;
    }
  const KqDocumentEntry *entry = kq_document_table_find (group->spread, (uint32_t)queued->key);
  if (entry == NULL)
    return false;
  item->kind = KQ_ITEM_DOCUMENT;
  item->service = entry->service;
  item->revision = entry->known;
  bool held = kq_revision_compare (entry->held, entry->known) == 0;
  item->source = held ? group->self : entry->announced_by;
  return true;
}

/* Return: bytes that gossip may use now without touching the budget reserved for failure detection.
 */
static int64_t
spare_bytes (const KqGroup *group)
{
  int64_t spare = group->budget.tokens - group->budget.burst / 4 * 3;
  return spare > 0 ? spare : 0;
}

void
kq_group_piggyback (KqGroup *group, KqOutgoingDatagram *out)
{
  unsigned limit = kq_gossip_send_limit (kq_members_live (group->members));
  int64_t spare = spare_bytes (group);
  size_t start = out->writer.size;
  KqGossipItem *queued = kq_gossip_next (group->gossip, NULL);
  while (queued != NULL && (int64_t)(out->writer.size - start) < spare)
    {
      KqItem item;
      KqGossipItem *next = kq_gossip_next (group->gossip, queued);
      if (!queued_item (group, queued, &item))
        kq_gossip_drop (group->gossip, queued);
      else if (!kq_control_write_item (&out->writer, &item))
        return;
      else
        kq_gossip_count_send (group->gossip, queued, limit);
      queued = next;
    }
}

bool
kq_group_send_datagram (KqGroup *group, KqOutgoingDatagram *out, const KqAddress *to,
                        KqPriority priority)
{
  int size = kq_writer_finish (&out->writer);
  if (size < 0)
    return false;
  size_t charged = (size_t)size + group->params.overhead_bytes;
  if (!kq_token_bucket_take (&group->budget, priority, charged, group->now))
    return false;
  group->stats.datagrams_sent++;
  group->stats.bytes_sent += charged;
  group->ops.send (to, out->bytes, (size_t)size, group->data);
  return true;
}

static KqTime
gossip_interval (const KqGroup *group)
{
  KqTime interval = group->params.probe_interval_us / 2;
  if (interval < GOSSIP_INTERVAL_MIN_US)
    return GOSSIP_INTERVAL_MIN_US;
  return interval > GOSSIP_INTERVAL_MAX_US ? GOSSIP_INTERVAL_MAX_US : interval;
}

void
kq_group_gossip_tick (KqGroup *group)
{
  if (group->now < group->next_gossip)
    return;
  group->next_gossip = group->now + gossip_interval (group);
  kq_introduce_tick (group);
  for (unsigned i = 0; i < GOSSIP_FANOUT && kq_gossip_length (group->gossip) > 0; i++)
    {
      KqOutgoingDatagram out;
      KqMemberRecord *peer = kq_group_random_live (group);
      if (peer == NULL || spare_bytes (group) < KQ_CONTROL_DATAGRAM_BYTES)
        return;
      kq_group_begin_datagram (group, &out, KQ_CONTROL_GOSSIP, 0, peer);
      kq_group_piggyback (group, &out);
      kq_group_send_datagram (group, &out, &peer->interned->member.control,
                              KQ_PRIORITY_CONFIGURATION);
    }
}
