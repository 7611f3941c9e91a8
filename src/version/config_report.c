/* Aggregates acknowledgements in a tree of two levels. For each service, rendezvous hashing over
 * the live balancers selects one root and one collector in each failure domain. An instance that
 * stores a new revision reports to its collector, and the collector forwards the ids of the
 * reporting instances to the root. Reports contain ids, not counts, so that retransmissions and
 * changes of the tree count no instance twice. Each report is retransmitted until it is confirmed,
 * and all ids are reported again when the parent changes, so the loss of a root or a collector
 * costs one more round of reports. The state of a revision is queried from the root. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/group_impl.h"

#define REPORT_SCAN      2048          /* entries examined in one tick */
#define REPORT_IDS       96            /* ids of one service in one datagram */
#define REPORT_ENTRIES   64            /* services in one datagram */
#define REPORT_WAIT_US   (100 * KQ_MS) /* how long a collector batches acknowledgements */
#define REPORT_RETRY_US  (500 * KQ_MS)
#define REPORT_DOUBLINGS 3
#define QUERY_US         (250 * KQ_MS)

static void
update_parent (KqGroup *group, KqDocumentEntry *entry)
{
  if (entry->parent_generation == group->balancers_generation)
    return;
  uint64_t domain = kq_group_own_record (group)->interned->domain;
  uint64_t root = kq_group_root (group, entry->service);
  uint64_t collector = kq_group_collector (group, entry->service, domain);
  uint64_t parent = collector == 0 || collector == group->self ? root : collector;
  entry->parent_generation = group->balancers_generation;
  if (root == group->self)
    parent = 0;
  if (parent == entry->parent)
    return;
  entry->parent = parent;
  entry->reported = 0;
  entry->reports = 0;
  entry->report_sequence = 0;
  entry->report_after = group->now;
}

static void
add_acknowledgement (KqGroup *group, KqDocumentEntry *entry, KqRevision revision, uint64_t id)
{
  KqRevision before = entry->acks.revision;
  if (!kq_acknowledgements_add (group->spread, &entry->acks, revision, id))
    return;
  if (kq_revision_compare (before, revision) != 0)
    {
      entry->reported = 0;
      entry->reports = 0;
      entry->report_sequence = 0;
    }
  KqTime wait = id == group->self ? 0 : REPORT_WAIT_US;
  if (entry->report_sequence == 0)
    entry->report_after = group->now + wait;
}

static bool
report_due (KqGroup *group, KqDocumentEntry *entry)
{
  update_parent (group, entry);
  if (entry->held.revision != 0 && kq_config_wanted (group, entry->service))
    add_acknowledgement (group, entry, entry->held, group->self);
  return entry->parent != 0 && entry->reported < entry->acks.count &&
         group->now >= entry->report_after;
}

static bool
write_acknowledgements (KqGroup *group, KqWriter *writer, KqDocumentEntry *entry, uint64_t sequence)
{
  KqWriter before = *writer;
  unsigned count = entry->acks.count - entry->reported;
  if (count > REPORT_IDS)
    count = REPORT_IDS;
  kq_writer_uint (writer, entry->service);
  kq_writer_revision (writer, entry->acks.revision);
  kq_writer_uint (writer, count);
  for (unsigned i = 0; i < count; i++)
    kq_writer_uint (writer, entry->acks.ids[entry->reported + i]);
  if (writer->overflow)
    {
      *writer = before;
      return false;
    }
  unsigned doublings = entry->reports < REPORT_DOUBLINGS ? entry->reports : REPORT_DOUBLINGS;
  entry->reports++;
  entry->report_sequence = sequence;
  entry->report_count = entry->reported + count;
  entry->report_after = group->now + (REPORT_RETRY_US << doublings);
  return true;
}

static void
send_report (KqGroup *group, KqDocumentEntry *first)
{
  KqOutgoingDatagram out;
  unsigned count = kq_document_table_count (group->spread);
  unsigned written = 0;
  uint64_t sequence = ++group->sequence;
  const KqMemberRecord *parent = kq_members_find (group->members, first->parent);
  KqControlHeader header = { .type = KQ_CONTROL_HOLDERS, .sequence = sequence };
  if (parent == NULL)
    return;
  header.to = parent->id;
  kq_group_begin_with_header (group, &out, &header);
  for (unsigned i = 0; i < count && i < REPORT_SCAN && written < REPORT_ENTRIES; i++)
    {
      KqDocumentEntry *entry =
          kq_document_table_at (group->spread, (group->report_cursor + i) % count);
      if (entry->parent != parent->id || !report_due (group, entry))
        continue;
      if (!write_acknowledgements (group, &out.writer, entry, sequence))
        break;
      written++;
    }
  group->stats.holders_messages++;
  kq_group_send_datagram (group, &out, &parent->interned->member.control,
                          KQ_PRIORITY_CONFIGURATION);
}

static void
send_query (KqGroup *group, KqDocumentEntry *entry)
{
  KqOutgoingDatagram out;
  const KqMemberRecord *root =
      kq_members_find (group->members, kq_group_root (group, entry->service));
  if (root == NULL || root->id == group->self)
    return;
  KqControlHeader header = { .type = KQ_CONTROL_QUERY, .sequence = ++group->sequence };
  header.to = root->id;
  kq_group_begin_with_header (group, &out, &header);
  kq_writer_uint (&out.writer, entry->service);
  kq_group_send_datagram (group, &out, &root->interned->member.control, KQ_PRIORITY_CONFIGURATION);
}

void
kq_report_tick (KqGroup *group)
{
  unsigned count = kq_document_table_count (group->spread);
  bool sent = false;
  kq_group_refresh_balancers (group);
  for (unsigned i = 0; i < count && i < REPORT_SCAN; i++)
    {
      group->report_cursor = (group->report_cursor + 1) % count;
      KqDocumentEntry *entry = kq_document_table_at (group->spread, group->report_cursor);
      if (entry->query_wanted && group->now >= entry->query_after)
        {
          entry->query_wanted = false;
          entry->query_after = group->now + QUERY_US;
          send_query (group, entry);
        }
      if (sent || !report_due (group, entry))
        continue;
      send_report (group, entry);
      sent = true;
    }
}

static void
send_confirmation (KqGroup *group, const KqControlHeader *header)
{
  KqOutgoingDatagram out;
  KqControlHeader ok = { .type = KQ_CONTROL_HOLDERS_OK, .sequence = header->sequence };
  ok.to = header->from;
  kq_group_begin_with_header (group, &out, &ok);
  kq_group_send_datagram (group, &out, &header->reply, KQ_PRIORITY_CONFIGURATION);
}

int
kq_report_acknowledgements (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  while (reader->offset < reader->size)
    {
      KqRevision revision;
      uint32_t service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
      kq_reader_revision (reader, &revision);
      unsigned count = (unsigned)kq_reader_uint (reader, REPORT_IDS);
      if (reader->failed)
        return -1;
      kq_config_announced (group, service, revision, header->from);
      KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
      for (unsigned i = 0; i < count; i++)
        {
          uint64_t id = kq_reader_uint (reader, UINT64_MAX);
          if (reader->failed)
            return -1;
          if (entry != NULL)
            add_acknowledgement (group, entry, revision, id);
        }
    }
  send_confirmation (group, header);
  return 0;
}

void
kq_report_acknowledgements_ok (KqGroup *group, const KqControlHeader *header)
{
  for (unsigned i = 0; i < kq_document_table_count (group->spread); i++)
    {
      KqDocumentEntry *entry = kq_document_table_at (group->spread, i);
      if (entry->report_sequence != header->sequence || entry->parent != header->from)
        continue;
      entry->reported = entry->report_count;
      entry->report_sequence = 0;
      entry->reports = 0;
      entry->report_after = group->now;
    }
}

static void
count_member (const KqMemberRecord *record, bool acknowledged, uint32_t service,
              KqDocumentStatus *in_force)
{
  const KqMember *member = &record->interned->member;
  bool balancer = member->role == KQ_ROLE_BALANCER;
  if (!balancer && member->service != service)
    return;
  *(balancer ? &in_force->balancers : &in_force->agents) += 1;
  if (acknowledged)
    *(balancer ? &in_force->balancers_in_force : &in_force->agents_in_force) += 1;
  else if (in_force->laggard_count < KQ_LAGGARDS_MAX)
    memcpy (in_force->laggards[in_force->laggard_count++], member->name, KQ_NAME_BYTES);
}

static void
count_acknowledgements (const KqGroup *group, const KqDocumentEntry *entry,
                        KqDocumentStatus *in_force)
{
  memset (in_force, 0, sizeof *in_force);
  in_force->revision = entry->known;
  for (unsigned i = 0; i < kq_members_count (group->members); i++)
    {
      const KqMemberRecord *record = kq_members_at (group->members, i);
      bool self = record->id == group->self;
      bool acknowledged = self ? kq_revision_compare (entry->held, entry->known) == 0
                               : kq_acknowledgements_has (&entry->acks, entry->known, record->id);
      if (kq_record_is_live (record))
        count_member (record, acknowledged, entry->service, in_force);
    }
}

int
kq_group_in_force (KqGroup *group, uint32_t service, KqDocumentStatus *in_force)
{
  KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  if (entry == NULL)
    return -1;
  kq_group_refresh_balancers (group);
  count_acknowledgements (group, entry, in_force);
  if (kq_group_root (group, service) == group->self)
    return 0;
  entry->query_wanted = true;
  const KqDocumentStatus *summary = entry->summary;
  if (summary == NULL || kq_revision_compare (summary->revision, entry->known) != 0)
    return 0;
  *in_force = *summary;
  return 0;
}

static void
write_summary (KqWriter *writer, uint32_t service, const KqDocumentStatus *in_force)
{
  kq_writer_uint (writer, service);
  kq_writer_revision (writer, in_force->revision);
  kq_writer_uint (writer, in_force->balancers);
  kq_writer_uint (writer, in_force->balancers_in_force);
  kq_writer_uint (writer, in_force->agents);
  kq_writer_uint (writer, in_force->agents_in_force);
  kq_writer_uint (writer, in_force->laggard_count);
  for (unsigned i = 0; i < in_force->laggard_count; i++)
    kq_writer_text (writer, in_force->laggards[i]);
}

int
kq_report_query (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  KqOutgoingDatagram out;
  KqDocumentStatus in_force;
  uint32_t service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  if (kq_reader_finish (reader) < 0)
    return -1;
  KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  if (entry == NULL)
    return 0;
  count_acknowledgements (group, entry, &in_force);
  KqControlHeader answer = { .type = KQ_CONTROL_SUMMARY, .sequence = header->sequence };
  answer.to = header->from;
  kq_group_begin_with_header (group, &out, &answer);
  write_summary (&out.writer, service, &in_force);
  kq_group_send_datagram (group, &out, &header->reply, KQ_PRIORITY_CONFIGURATION);
  return 0;
}

int
kq_report_summary (KqGroup *group, KqReader *reader)
{
  KqDocumentStatus in_force = { 0 };
  uint32_t service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  kq_reader_revision (reader, &in_force.revision);
  in_force.balancers = (unsigned)kq_reader_uint (reader, KQ_MEMBERS_MAX);
  in_force.balancers_in_force = (unsigned)kq_reader_uint (reader, KQ_MEMBERS_MAX);
  in_force.agents = (unsigned)kq_reader_uint (reader, KQ_MEMBERS_MAX);
  in_force.agents_in_force = (unsigned)kq_reader_uint (reader, KQ_MEMBERS_MAX);
  in_force.laggard_count = (unsigned)kq_reader_uint (reader, KQ_LAGGARDS_MAX);
  for (unsigned i = 0; i < in_force.laggard_count; i++)
    kq_reader_text (reader, in_force.laggards[i], KQ_NAME_BYTES);
  if (kq_reader_finish (reader) < 0)
    return -1;
  KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  if (entry == NULL)
    return 0;
  if (entry->summary == NULL)
    entry->summary = talloc (group->spread, KqDocumentStatus);
  if (entry->summary != NULL)
    *entry->summary = in_force;
  return 0;
}

int
kq_group_publish (KqGroup *group, const KqDocument *document, KqTime now, KqError *error)
{
  group->now = now;
  int taken = kq_document_table_store (group->spread, document, error);
  if (taken < 0)
    group->stats.documents_refused++;
  if (taken <= 0)
    return taken;
  group->stats.documents_accepted++;
  kq_gossip_add (group->gossip, KQ_GOSSIP_DOCUMENT, document->service);
  KqDocumentEntry *entry = kq_document_table_find (group->spread, document->service);
  if (kq_config_wanted (group, document->service))
    add_acknowledgement (group, entry, entry->held, group->self);
  if (group->ops.document_changed != NULL)
    group->ops.document_changed (document, group->data);
  return 1;
}
