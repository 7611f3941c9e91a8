/* Requests announced documents, first from the instance named in the announcement, then from random
 * balancers. Agents request only the document of their own service and the one that is common to
 * all, but forward all announcements.
 */

#include <syslog.h>

#include "kumquat/internal/group_impl.h"

#define PULL_SERVICES  64   /* documents requested in one message */
#define PULL_SCAN      2048 /* entries examined in one tick */
#define PULL_RETRY_US  (250 * KQ_MS)
#define PULL_DOUBLINGS 2
#define PULL_NAME_US   (500 * KQ_MS)

/* Listed before the services by a sender that can receive pages. No document has this number, so an
 * instance of a release without pages passes over it. */
#define PULL_IN_PAGES UINT32_MAX

bool
kq_config_wanted (const KqGroup *group, uint32_t service)
{
  const KqMember *self = &group->params.self;
  bool all = self->service == 0 && group->params.service_name == 0;
  return self->role == KQ_ROLE_BALANCER || all || self->service == service;
}

static bool
must_pull (const KqGroup *group, const KqDocumentEntry *entry)
{
  bool common = entry->service == group->params.common_document && entry->service != 0;
  return kq_revision_compare (entry->held, entry->known) < 0 && group->now >= entry->pull_after &&
         (common || kq_config_wanted (group, entry->service)) &&
         !kq_page_transfer_active (group, entry->service, entry->known);
}

void
kq_config_announced (KqGroup *group, uint32_t service, KqRevision revision, uint64_t announced_by)
{
  KqDocumentEntry *entry =
      kq_document_table_record_revision (group->spread, service, revision, announced_by);
  if (entry != NULL)
    {
      kq_gossip_add (group->gossip, KQ_GOSSIP_DOCUMENT, service);
      return;
    }
  entry = kq_document_table_find (group->spread, service);
  if (entry == NULL || kq_revision_compare (revision, entry->known) != 0 || announced_by == 0)
    return;
  if (kq_random_below (&group->random, 2) == 0)
    entry->announced_by = announced_by;
}

KqMemberRecord *
kq_config_source (const KqGroup *group, uint64_t id)
{
  KqMemberRecord *record = kq_members_find (group->members, id);
  if (record == NULL || record->id == group->self || !kq_record_is_live (record))
    return NULL;
  return record;
}

static KqMemberRecord *
choose_source (KqGroup *group, const KqDocumentEntry *entry)
{
  KqMemberRecord *source = entry->pulls == 0 ? kq_config_source (group, entry->announced_by) : NULL;
  if (source == NULL && group->balancer_count > 0)
    {
      uint64_t position = kq_random_below (&group->random, group->balancer_count);
      source = kq_config_source (group, group->balancers[position].id);
    }
  return source == NULL ? kq_config_source (group, entry->announced_by) : source;
}

static unsigned
collect_services (KqGroup *group, const KqDocumentEntry *first, uint32_t services[PULL_SERVICES])
{
  unsigned count = kq_document_table_count (group->spread);
  unsigned chosen = 0;
  uint64_t announced_by = first->announced_by;
  bool any_source = first->pulls > 0;
  for (unsigned i = 0; i < count && i < PULL_SCAN && chosen < PULL_SERVICES; i++)
    {
      KqDocumentEntry *entry =
          kq_document_table_at (group->spread, (group->pull_cursor + i) % count);
      if (!must_pull (group, entry) || (!any_source && entry->announced_by != announced_by))
        continue;
      unsigned doublings = entry->pulls < PULL_DOUBLINGS ? entry->pulls : PULL_DOUBLINGS;
      entry->pull_after = group->now + (PULL_RETRY_US << doublings);
      entry->pulls++;
      services[chosen++] = entry->service;
    }
  return chosen;
}

static KqDocumentEntry *
next_to_pull (KqGroup *group)
{
  unsigned count = kq_document_table_count (group->spread);
  for (unsigned i = 0; i < count && i < PULL_SCAN; i++)
    {
      group->pull_cursor = (group->pull_cursor + 1) % count;
      KqDocumentEntry *entry = kq_document_table_at (group->spread, group->pull_cursor);
      if (must_pull (group, entry))
        return entry;
    }
  return NULL;
}

/* Requests the documents of @count services by number and, if @name is not 0, of one service by the
 * hash of its name. */
static void
send_pull (KqGroup *group, const KqMemberRecord *source, const uint32_t *services, unsigned count,
           uint64_t name)
{
  uint8_t bytes[KQ_CONTROL_DATAGRAM_BYTES];
  KqWriter writer;
  KqControlHeader header = { .type = KQ_CONTROL_PULL, .sequence = ++group->sequence };
  header.from = group->self;
  header.reply = group->params.self.control;
  header.to = source->id;
  kq_writer_init (&writer, bytes, sizeof bytes);
  kq_control_write_header (&writer, &header);
  kq_writer_uint (&writer, name);
  kq_writer_uint (&writer, PULL_IN_PAGES);
  for (unsigned i = 0; i < count; i++)
    kq_writer_uint (&writer, services[i]);
  int size = kq_writer_finish (&writer);
  if (size < 0 || !kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION,
                                         (size_t)size + group->params.overhead_bytes, group->now))
    return;
  group->stats.bulk_bytes_sent += (unsigned)size;
  group->ops.send_request (&source->interned->member.control, bytes, (size_t)size, group->data);
}

/* An agent that knows only the name of its service asks random balancers until one has the
 * document.
 */
static void
pull_by_name (KqGroup *group)
{
  const KqGroupParams *params = &group->params;
  bool known = params->service_name == 0 || params->self.service != 0;
  if (known || params->self.role != KQ_ROLE_AGENT || group->now < group->next_name_pull ||
      group->balancer_count == 0)
    return;
  uint64_t position = kq_random_below (&group->random, group->balancer_count);
  const KqMemberRecord *source = kq_config_source (group, group->balancers[position].id);
  group->next_name_pull = group->now + PULL_NAME_US;
  if (source != NULL)
    send_pull (group, source, NULL, 0, params->service_name);
}

void
kq_config_pull_tick (KqGroup *group)
{
  uint32_t services[PULL_SERVICES];
  kq_group_refresh_balancers (group);
  if (group->leaving)
    return;
  kq_page_transfer_tick (group);
  pull_by_name (group);
  KqDocumentEntry *entry = next_to_pull (group);
  KqMemberRecord *source = entry == NULL ? NULL : choose_source (group, entry);
  if (source == NULL)
    return;
  unsigned count = collect_services (group, entry, services);
  send_pull (group, source, services, count, 0);
}

static const KqDocumentEntry *
find_by_name (const KqGroup *group, uint64_t name)
{
  for (unsigned i = 0; i < kq_document_table_count (group->spread) && name != 0; i++)
    {
      const KqDocumentEntry *entry = kq_document_table_at (group->spread, i);
      if (entry->name == name && entry->bytes != NULL)
        return entry;
    }
  return NULL;
}

static bool
write_document (KqWriter *answer, const KqDocumentEntry *entry)
{
  KqWriter before = *answer;
  kq_writer_uint (answer, entry->service);
  kq_writer_revision (answer, entry->held);
  kq_writer_bytes (answer, entry->bytes, entry->size);
  if (!answer->overflow)
    return true;
  *answer = before;
  return false;
}

/* Writes the documents of the listed services. A document in pages is sent by its manifest, which
 * is an answer of its own, so it is passed over if others were written before it.
 */
static int
write_documents (KqGroup *group, KqReader *reader, KqWriter *answer, bool in_pages, bool any)
{
  while (reader->offset < reader->size)
    {
      uint32_t service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
      if (reader->failed)
        return -1;
      if (in_pages && !any && kq_page_transfer_offer (group, service, answer))
        return 0;
      const KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
      if (entry == NULL || entry->bytes == NULL || entry->size > KQ_DOCUMENT_WHOLE_BYTES ||
          (in_pages && entry->pages != NULL && entry->pages->manifest.packed_size > KQ_PAGE_BYTES))
        continue;
      if (!kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION, entry->size,
                                 group->now))
        break;
      if (!write_document (answer, entry))
        break;
      any = true;
      group->stats.documents_served++;
    }
  return 0;
}

int
kq_config_pull_request (KqGroup *group, KqReader *reader, KqWriter *answer)
{
  KqControlHeader header = { .type = KQ_CONTROL_DOCUMENTS, .from = group->self };
  header.reply = group->params.self.control;
  kq_control_write_header (answer, &header);
  const KqDocumentEntry *named = find_by_name (group, kq_reader_uint (reader, UINT64_MAX));
  KqReader rest = *reader;
  bool in_pages = rest.offset < rest.size && kq_reader_uint (&rest, UINT32_MAX) == PULL_IN_PAGES;
  if (named != NULL && in_pages && kq_page_transfer_offer (group, named->service, answer))
    return 0;
  bool whole = named != NULL && named->size <= KQ_DOCUMENT_WHOLE_BYTES;
  if (whole &&
      kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION, named->size, group->now))
    write_document (answer, named);
  return write_documents (group, reader, answer, in_pages, whole);
}

int
kq_config_publish (KqGroup *group, const KqDocument *document)
{
  KqError error = { 0 };
  int taken = kq_group_publish (group, document, group->now, &error);
  if (taken < 0)
    kq_group_log (group, LOG_WARNING, "document-refused", "service=%u error=%s message=\"%s\"",
                  document->service, kq_error_kind_name (error.kind), error.message);
  return taken;
}

int
kq_config_documents (KqGroup *group, KqReader *reader)
{
  while (reader->offset < reader->size)
    {
      KqDocument document;
      document.service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
      kq_reader_revision (reader, &document.revision);
      document.bytes = kq_reader_bytes (reader, KQ_DOCUMENT_WHOLE_BYTES, &document.size);
      if (reader->failed)
        return -1;
      kq_config_publish (group, &document);
    }
  return 0;
}
