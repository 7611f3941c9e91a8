#include <string.h>
#include <talloc.h>

#include "kumquat/internal/config_spread.h"
#include "kumquat/internal/test_switch.h"
#include "kumquat/service_document.h"

struct KqConfigSpread
{
  KqSpreadEntry *entries; /* ordered by service */
  unsigned count;
  unsigned capacity;
  uint64_t digest[KQ_DIGEST_RANGES];
};

KqConfigSpread *
kq_config_spread_new (const void *parent)
{
  return talloc_zero (parent, KqConfigSpread);
}

static unsigned
position_of (const KqConfigSpread *spread, uint32_t service)
{
  unsigned low = 0;
  unsigned high = spread->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (spread->entries[middle].service < service)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

KqSpreadEntry *
kq_config_spread_find (const KqConfigSpread *spread, uint32_t service)
{
  unsigned position = position_of (spread, service);
  if (position == spread->count || spread->entries[position].service != service)
    return NULL;
  return &spread->entries[position];
}

KqSpreadEntry *
kq_config_spread_at (const KqConfigSpread *spread, unsigned index)
{
  return &spread->entries[index];
}

unsigned
kq_config_spread_count (const KqConfigSpread *spread)
{
  return spread->count;
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
kq_config_spread_range (uint32_t service)
{
  return (unsigned)(mix (service) >> 58);
}

const uint64_t *
kq_config_spread_digest (const KqConfigSpread *spread)
{
  return spread->digest;
}

static void
toggle (KqConfigSpread *spread, const KqSpreadEntry *entry)
{
  if (entry->known.epoch == 0 && entry->known.revision == 0)
    return;
  uint64_t hash = mix (mix (mix (entry->service) ^ entry->known.epoch) ^ entry->known.revision);
  spread->digest[kq_config_spread_range (entry->service)] ^= hash;
}

static KqSpreadEntry *
find_or_insert (KqConfigSpread *spread, uint32_t service)
{
  unsigned position = position_of (spread, service);
  if (position < spread->count && spread->entries[position].service == service)
    return &spread->entries[position];
  if (spread->count == KQ_SERVICES_MAX)
    return NULL;
  if (spread->count == spread->capacity)
    {
      unsigned capacity = spread->capacity + spread->capacity / 4 + 4;
      KqSpreadEntry *entries = talloc_realloc (spread, spread->entries, KqSpreadEntry, capacity);
      if (entries == NULL)
        return NULL;
      spread->entries = entries;
      spread->capacity = capacity;
    }
  KqSpreadEntry *entry = &spread->entries[position];
  memmove (entry + 1, entry, (spread->count - position) * sizeof *entry);
  memset (entry, 0, sizeof *entry);
  entry->service = service;
  spread->count++;
  return entry;
}

KqSpreadEntry *
kq_config_spread_hear (KqConfigSpread *spread, uint32_t service, KqRevision revision,
                       uint64_t holder)
{
  KqSpreadEntry *entry = find_or_insert (spread, service);
  if (entry == NULL || kq_revision_compare (revision, entry->known) <= 0)
    return NULL;
  toggle (spread, entry);
  entry->known = revision;
  entry->holder = holder;
  entry->pull_after = 0;
  entry->pulls = 0;
  toggle (spread, entry);
  return entry;
}

static int
refuse_same_revision (const KqSpreadEntry *entry, const KqDocument *document, KqError *error)
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
name_of (const KqDocument *document)
{
  KqService service;
  if (kq_service_parse (document->bytes, document->size, document->revision, &service, NULL) < 0)
    return 0;
  return kq_hash_name (service.name);
}

int
kq_config_spread_accept (KqConfigSpread *spread, const KqDocument *document, KqError *error)
{
  if (document->size > KQ_DOCUMENT_BYTES)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "service %u: the document has %zu bytes; reduce it to at most %u",
                         document->service, document->size, KQ_DOCUMENT_BYTES);
  KqSpreadEntry *entry = find_or_insert (spread, document->service);
  if (entry == NULL)
    return kq_error_set (error, KQ_ERROR_FULL, "more than %u services; remove some",
                         KQ_SERVICES_MAX);
  int order = kq_revision_compare (document->revision, entry->held);
  if (order == 0 && entry->bytes != NULL)
    return refuse_same_revision (entry, document, error);
  bool older = order < 0 || kq_revision_compare (document->revision, entry->known) < 0;
  if (older && !kq_test_switched_off ("revision"))
    return kq_error_set (error, KQ_ERROR_STALE,
                         "service %u: revision %llu of epoch %u is older than revision %llu of "
                         "epoch %u in force; if the store was restored, confirm a new epoch",
                         document->service, (unsigned long long)document->revision.revision,
                         document->revision.epoch, (unsigned long long)entry->known.revision,
                         entry->known.epoch);
  uint8_t *bytes = talloc_memdup (spread, document->bytes, document->size);
  if (bytes == NULL && document->size > 0)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for a document; raise the memory limit");
  talloc_free (entry->bytes);
  entry->bytes = bytes;
  entry->name = name_of (document);
  entry->size = (uint32_t)document->size;
  entry->held = document->revision;
  toggle (spread, entry);
  entry->known = document->revision;
  toggle (spread, entry);
  entry->reported = 0;
  entry->report_after = 0;
  entry->report_sequence = 0;
  entry->reports = 0;
  return 1;
}
