#include <string.h>
#include <talloc.h>

#include "kumquat/internal/document_table.h"
#include "kumquat/internal/test_switch.h"
#include "kumquat/service_document.h"

struct KqDocumentTable
{
  KqDocumentEntry *entries; /* ordered by service */
  unsigned count;
  unsigned capacity;
  uint64_t digest[KQ_DIGEST_RANGES];
};

KqDocumentTable *
kq_document_table_new (const void *parent)
{
  return talloc_zero (parent, KqDocumentTable);
}

static unsigned
position_of (const KqDocumentTable *table, uint32_t service)
{
  unsigned low = 0;
  unsigned high = table->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (table->entries[middle].service < service)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

KqDocumentEntry *
kq_document_table_find (const KqDocumentTable *table, uint32_t service)
{
  unsigned position = position_of (table, service);
  if (position == table->count || table->entries[position].service != service)
    return NULL;
  return &table->entries[position];
}

KqDocumentEntry *
kq_document_table_at (const KqDocumentTable *table, unsigned index)
{
  return &table->entries[index];
}

unsigned
kq_document_table_count (const KqDocumentTable *table)
{
  return table->count;
}

static uint64_t
mix (uint64_t value)
{
  value ^= value >> 31;
  value *= UINT64_C (0x9e3779b97f4a7c15);
  value ^= value >> 29;
  value *= UINT64_C (0xbf58476d1ce4e5b9);
  return value ^ value >> 32;
}

unsigned
kq_document_table_range (uint32_t service)
{
  return (unsigned)(mix (service) >> 58);
}

const uint64_t *
kq_document_table_digest (const KqDocumentTable *table)
{
  return table->digest;
}

static void
toggle_digest (KqDocumentTable *table, const KqDocumentEntry *entry)
{
  if (entry->known.epoch == 0 && entry->known.revision == 0)
    return;
  uint64_t hash = mix (mix (mix (entry->service) ^ entry->known.epoch) ^ entry->known.revision);
  table->digest[kq_document_table_range (entry->service)] ^= hash;
}

static KqDocumentEntry *
find_or_insert (KqDocumentTable *table, uint32_t service)
{
  unsigned position = position_of (table, service);
  if (position < table->count && table->entries[position].service == service)
    return &table->entries[position];
  if (table->count == KQ_SERVICES_MAX)
    return NULL;
  if (table->count == table->capacity)
    {
      unsigned capacity = table->capacity + table->capacity / 4 + 4;
      KqDocumentEntry *entries = talloc_realloc (table, table->entries, KqDocumentEntry, capacity);
      if (entries == NULL)
        return NULL;
      table->entries = entries;
      table->capacity = capacity;
    }
  KqDocumentEntry *entry = &table->entries[position];
  memmove (entry + 1, entry, (table->count - position) * sizeof *entry);
  memset (entry, 0, sizeof *entry);
  entry->service = service;
  table->count++;
  return entry;
}

KqDocumentEntry *
kq_document_table_record_revision (KqDocumentTable *table, uint32_t service, KqRevision revision,
                                   uint64_t announced_by)
{
  KqDocumentEntry *entry = find_or_insert (table, service);
  if (entry == NULL || kq_revision_compare (revision, entry->known) <= 0)
    return NULL;
  toggle_digest (table, entry);
  entry->known = revision;
  entry->announced_by = announced_by;
  entry->pull_after = 0;
  entry->pulls = 0;
  toggle_digest (table, entry);
  return entry;
}

static int
compare_same_revision (const KqDocumentEntry *entry, const KqDocument *document, KqError *error)
{
  if (entry->size == document->size && memcmp (entry->bytes, document->bytes, entry->size) == 0)
    return 0;
  return kq_error_set (error, KQ_ERROR_CONFLICT,
                       "service %u: two different documents have revision %llu of epoch %u, so the "
                       "store was restored; confirm a new epoch",
                       document->service, (unsigned long long)document->revision.revision,
                       document->revision.epoch);
}

static uint64_t
document_name_hash (const KqDocument *document)
{
  KqService service;
  if (kq_service_parse (document->bytes, document->size, document->revision, &service, NULL) < 0)
    return 0;
  return kq_hash_name (service.name);
}

int
kq_document_table_store (KqDocumentTable *table, const KqDocument *document, KqError *error)
{
  if (document->size > KQ_DOCUMENT_BYTES)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "service %u: the document has %zu bytes; reduce it to at most %u",
                         document->service, document->size, KQ_DOCUMENT_BYTES);
  KqDocumentEntry *entry = find_or_insert (table, document->service);
  if (entry == NULL)
    return kq_error_set (error, KQ_ERROR_FULL, "more than %u services; remove some",
                         KQ_SERVICES_MAX);
  int order = kq_revision_compare (document->revision, entry->held);
  if (order == 0 && entry->bytes != NULL)
    return compare_same_revision (entry, document, error);
  bool older = order < 0 || kq_revision_compare (document->revision, entry->known) < 0;
  if (older && !kq_test_is_disabled ("revision"))
    return kq_error_set (error, KQ_ERROR_STALE,
                         "service %u: revision %llu of epoch %u is older than revision %llu of "
                         "epoch %u in force; if the store was restored, confirm a new epoch",
                         document->service, (unsigned long long)document->revision.revision,
                         document->revision.epoch, (unsigned long long)entry->known.revision,
                         entry->known.epoch);
  uint8_t *bytes = talloc_memdup (table, document->bytes, document->size);
  if (bytes == NULL && document->size > 0)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for a document; raise the memory limit");
  talloc_free (entry->bytes);
  TALLOC_FREE (entry->pages);
  entry->bytes = bytes;
  entry->name = document_name_hash (document);
  entry->size = (uint32_t)document->size;
  entry->held = document->revision;
  toggle_digest (table, entry);
  entry->known = document->revision;
  toggle_digest (table, entry);
  entry->reported = 0;
  entry->report_after = 0;
  entry->report_sequence = 0;
  entry->reports = 0;
  return 1;
}
