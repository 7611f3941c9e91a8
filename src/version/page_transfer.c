/* Transfer of large documents in pages. The answer to a request for a large document is its
 * manifest. The receiver then requests the missing pages, a few at a time and in random order, from
 * the instance that announced the document and from random balancers. Instances that are receiving
 * the same document answer with the pages that they already have, so that the load on the first
 * holder does not grow with the number of receivers. */

#include <syslog.h>
#include <talloc.h>

#include "kumquat/internal/group_impl.h"

#define PAGES_PER_REQUEST 4
#define ANSWER_TIMEOUT_US (1 * KQ_SECOND) /* four pages take 0.1 s on an idle link of 10 Mbit/s */
#define STALLED_US        (3 * KQ_SECOND) /* without a new page until then: ask for the manifest */
#define ANNOUNCER_SHARE   4               /* one request in this many goes to the announcer */
#define MANIFEST_BYTES    64              /* upper limit of an encoded manifest */

static KqPageTransfer *
find_transfer (KqGroup *group, uint32_t service)
{
  for (unsigned i = 0; i < KQ_TRANSFERS_MAX; i++)
    {
      KqPageTransfer *transfer = &group->transfers[i];
      if (transfer->pages != NULL && transfer->pages->manifest.service == service)
        return transfer;
    }
  return NULL;
}

bool
kq_page_transfer_active (const KqGroup *group, uint32_t service, KqRevision revision)
{
  const KqPageTransfer *transfer = find_transfer ((KqGroup *)group, service);
  return transfer != NULL &&
         kq_revision_compare (transfer->pages->manifest.revision, revision) == 0;
}

static void
drop_transfer (KqPageTransfer *transfer)
{
  talloc_free (transfer->pages);
  *transfer = (KqPageTransfer){ 0 };
}

static void
write_manifest (KqWriter *writer, const KqPageManifest *manifest)
{
  kq_writer_uint (writer, manifest->service);
  kq_writer_revision (writer, manifest->revision);
  kq_writer_uint (writer, manifest->size);
  kq_writer_uint (writer, manifest->packed_size);
  kq_writer_uint (writer, manifest->digest);
}

static void
read_manifest (KqReader *reader, KqPageManifest *manifest)
{
  manifest->service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  kq_reader_revision (reader, &manifest->revision);
  manifest->size = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  manifest->packed_size = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  manifest->digest = kq_reader_uint (reader, UINT64_MAX);
}

static const KqDocumentPages *
held_pages (KqGroup *group, KqDocumentEntry *entry)
{
  KqError error = { 0 };
  if (entry->pages == NULL && entry->bytes != NULL && entry->size > KQ_PAGE_BYTES)
    {
      const KqDocument document = { .service = entry->service,
                                    .revision = entry->held,
                                    .bytes = entry->bytes,
                                    .size = entry->size };
      entry->pages = kq_document_pages_pack (group->spread, &document, &error);
      if (entry->pages == NULL)
        kq_group_log (group, LOG_WARNING, "document-not-served", "service=%u message=\"%s\"",
                      entry->service, error.message);
    }
  return entry->pages;
}

/* Return: (nullable): the pages of the newest revision of the document that this instance has or is
 * receiving. */
static const KqDocumentPages *
served_pages (KqGroup *group, uint32_t service)
{
  const KqPageTransfer *transfer = find_transfer (group, service);
  KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  if (transfer != NULL)
    return transfer->pages;
  return entry == NULL ? NULL : held_pages (group, entry);
}

bool
kq_page_transfer_offer (KqGroup *group, uint32_t service, KqWriter *answer)
{
  const KqDocumentPages *pages = served_pages (group, service);
  if (pages == NULL || pages->manifest.packed_size <= KQ_PAGE_BYTES)
    return false;
  KqControlHeader header = { .type = KQ_CONTROL_MANIFEST, .from = group->self };
  header.reply = group->params.self.control;
  if (!kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION, MANIFEST_BYTES, group->now))
    return true;
  kq_writer_init (answer, answer->bytes, answer->capacity);
  kq_control_write_header (answer, &header);
  write_manifest (answer, &pages->manifest);
  return true;
}

static KqMemberRecord *
choose_source (KqGroup *group, uint32_t service)
{
  const KqDocumentEntry *entry = kq_document_table_find (group->spread, service);
  uint64_t announcer = entry == NULL ? 0 : entry->announced_by;
  KqMemberRecord *source = NULL;
  if (group->balancer_count > 0 && kq_random_below (&group->random, ANNOUNCER_SHARE) > 0)
    {
      uint64_t position = kq_random_below (&group->random, group->balancer_count);
      source = kq_config_source (group, group->balancers[position].id);
    }
  return source == NULL ? kq_config_source (group, announcer) : source;
}

static void
request_pages (KqGroup *group, KqPageTransfer *transfer)
{
  uint8_t bytes[KQ_CONTROL_DATAGRAM_BYTES];
  unsigned chosen[PAGES_PER_REQUEST];
  KqWriter writer;
  const KqPageManifest *manifest = &transfer->pages->manifest;
  const KqMemberRecord *source = choose_source (group, manifest->service);
  if (source == NULL)
    return;
  KqControlHeader header = { .type = KQ_CONTROL_PULL_PAGES, .sequence = ++group->sequence };
  header.from = group->self;
  header.reply = group->params.self.control;
  header.to = source->id;
  kq_writer_init (&writer, bytes, sizeof bytes);
  kq_control_write_header (&writer, &header);
  write_manifest (&writer, manifest);
  unsigned count =
      kq_document_pages_choose (transfer->pages, &group->random, chosen, PAGES_PER_REQUEST);
  for (unsigned i = 0; i < count; i++)
    kq_writer_uint (&writer, chosen[i]);
  int size = kq_writer_finish (&writer);
  if (size < 0 || !kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION,
                                         (size_t)size + group->params.overhead_bytes, group->now))
    return;
  transfer->asked = source->id;
  transfer->asked_at = group->now;
  group->stats.bulk_bytes_sent += (unsigned)size;
  group->ops.send_request (&source->interned->member.control, bytes, (size_t)size, group->data);
}

static void
report_stalled (KqGroup *group, const KqPageTransfer *transfer)
{
  const KqDocumentPages *pages = transfer->pages;
  group->stats.transfers_stalled++;
  kq_group_log (group, LOG_WARNING, "pages-missing", "service=%u revision=%llu missing=%u pages=%u",
                pages->manifest.service, (unsigned long long)pages->manifest.revision.revision,
                pages->missing, pages->count);
}

void
kq_page_transfer_tick (KqGroup *group)
{
  for (unsigned i = 0; i < KQ_TRANSFERS_MAX; i++)
    {
      KqPageTransfer *transfer = &group->transfers[i];
      if (transfer->pages == NULL)
        continue;
      const KqPageManifest *manifest = &transfer->pages->manifest;
      const KqDocumentEntry *entry = kq_document_table_find (group->spread, manifest->service);
      bool outdated = entry == NULL ||
                      kq_revision_compare (entry->known, manifest->revision) != 0 ||
                      kq_revision_compare (entry->held, manifest->revision) == 0;
      bool stalled = group->now - transfer->progress_at >= STALLED_US;
      if (stalled && !outdated)
        report_stalled (group, transfer);
      if (outdated || stalled)
        drop_transfer (transfer);
      else if (transfer->asked == 0 || group->now - transfer->asked_at >= ANSWER_TIMEOUT_US)
        request_pages (group, transfer);
    }
}

static void
refuse_document (KqGroup *group, uint32_t service, const KqError *error)
{
  group->stats.documents_damaged++;
  kq_group_log (group, LOG_WARNING, "document-refused", "service=%u error=%s message=\"%s\"",
                service, kq_error_kind_name (error->kind), error->message);
}

static KqPageTransfer *
free_transfer (KqGroup *group)
{
  for (unsigned i = 0; i < KQ_TRANSFERS_MAX; i++)
    {
      if (group->transfers[i].pages == NULL)
        return &group->transfers[i];
    }
  return NULL;
}

int
kq_page_transfer_manifest (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  KqPageManifest manifest;
  KqError error = { 0 };
  read_manifest (reader, &manifest);
  if (kq_reader_finish (reader) < 0)
    return -1;
  if (!kq_page_manifest_is_valid (&manifest))
    {
      kq_document_pages_new (group, &manifest, &error);
      refuse_document (group, manifest.service, &error);
      return 0;
    }
  kq_config_announced (group, manifest.service, manifest.revision, header->from);
  const KqDocumentEntry *entry = kq_document_table_find (group->spread, manifest.service);
  KqPageTransfer *transfer = find_transfer (group, manifest.service);
  if (entry == NULL || kq_revision_compare (entry->known, manifest.revision) != 0 ||
      kq_revision_compare (entry->held, manifest.revision) >= 0 ||
      kq_page_transfer_active (group, manifest.service, manifest.revision))
    return 0;
  if (transfer != NULL)
    drop_transfer (transfer);
  transfer = free_transfer (group);
  if (transfer == NULL)
    return 0;
  transfer->pages = kq_document_pages_new (group, &manifest, &error);
  transfer->progress_at = group->now;
  if (transfer->pages != NULL)
    request_pages (group, transfer);
  else
    refuse_document (group, manifest.service, &error);
  return 0;
}

static void
write_page (KqWriter *answer, const KqDocumentPages *pages, unsigned index)
{
  kq_writer_uint (answer, index);
  kq_writer_bytes (answer, pages->packed + (size_t)index * KQ_PAGE_BYTES,
                   kq_document_pages_size (pages, index));
}

int
kq_page_transfer_request (KqGroup *group, KqReader *reader, KqWriter *answer)
{
  KqPageManifest manifest;
  KqControlHeader header = { .type = KQ_CONTROL_PAGES, .from = group->self };
  header.reply = group->params.self.control;
  read_manifest (reader, &manifest);
  if (reader->failed)
    return -1;
  const KqDocumentPages *pages = served_pages (group, manifest.service);
  kq_control_write_header (answer, &header);
  write_manifest (answer, pages == NULL ? &manifest : &pages->manifest);
  bool same = pages != NULL && kq_page_manifest_equal (&pages->manifest, &manifest);
  for (unsigned i = 0; i < PAGES_PER_REQUEST && reader->offset < reader->size; i++)
    {
      unsigned index = (unsigned)kq_reader_uint (reader, KQ_PAGES_MAX - 1);
      if (reader->failed)
        return -1;
      if (!same || !kq_document_pages_holds (pages, index))
        continue;
      if (!kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION,
                                 kq_document_pages_size (pages, index), group->now))
        break;
      write_page (answer, pages, index);
      group->stats.pages_served++;
    }
  return 0;
}

static void
complete (KqGroup *group, KqPageTransfer *transfer)
{
  KqError error = { 0 };
  KqDocumentPages *pages = transfer->pages;
  *transfer = (KqPageTransfer){ 0 };
  uint8_t *bytes = kq_document_pages_unpack (group, pages, &error);
  if (bytes == NULL)
    {
      refuse_document (group, pages->manifest.service, &error);
      talloc_free (pages);
      return;
    }
  const KqDocument document = { .service = pages->manifest.service,
                                .revision = pages->manifest.revision,
                                .bytes = bytes,
                                .size = pages->manifest.size };
  KqDocumentEntry *entry = NULL;
  if (kq_config_publish (group, &document) > 0)
    entry = kq_document_table_find (group->spread, document.service);
  talloc_free (bytes);
  if (entry != NULL && entry->pages == NULL)
    entry->pages = talloc_steal (group->spread, pages);
  else
    talloc_free (pages);
}

/* Return: whether a page was new, or -1 if the message is malformed. */
static int
take_pages (KqGroup *group, KqPageTransfer *transfer, KqReader *reader)
{
  bool progress = false;
  while (reader->offset < reader->size)
    {
      size_t size;
      unsigned index = (unsigned)kq_reader_uint (reader, UINT32_MAX);
      const uint8_t *bytes = kq_reader_bytes (reader, KQ_BULK_BYTES, &size);
      if (reader->failed)
        return -1;
      switch (kq_document_pages_add (transfer->pages, index, bytes, size))
        {
        case KQ_PAGE_TAKEN:
          progress = true;
          group->stats.pages_received++;
          break;
        case KQ_PAGE_REPEATED:
          group->stats.pages_repeated++;
          kq_group_log (group, LOG_INFO, "page-repeated", "service=%u page=%u",
                        transfer->pages->manifest.service, index);
          break;
        case KQ_PAGE_REFUSED:
          group->stats.pages_refused++;
          kq_group_log (group, LOG_WARNING, "page-refused", "service=%u page=%u size=%zu pages=%u",
                        transfer->pages->manifest.service, index, size, transfer->pages->count);
          break;
        }
    }
  return progress;
}

int
kq_page_transfer_pages (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  KqPageManifest manifest;
  read_manifest (reader, &manifest);
  if (reader->failed)
    return -1;
  KqPageTransfer *transfer = find_transfer (group, manifest.service);
  if (transfer == NULL || !kq_page_manifest_equal (&transfer->pages->manifest, &manifest))
    {
      group->stats.pages_other_version++;
      kq_group_log (group, LOG_INFO, "pages-other-version", "service=%u revision=%llu digest=%llx",
                    manifest.service, (unsigned long long)manifest.revision.revision,
                    (unsigned long long)manifest.digest);
      kq_config_announced (group, manifest.service, manifest.revision, header->from);
      if (transfer != NULL && transfer->asked == header->from)
        transfer->asked = 0;
      return 0;
    }
  int progress = take_pages (group, transfer, reader);
  transfer->asked = 0;
  if (progress < 0)
    return -1;
  if (progress > 0)
    transfer->progress_at = group->now;
  if (transfer->pages->missing == 0)
    complete (group, transfer);
  else if (progress > 0)
    request_pages (group, transfer);
  return 0;
}
