#include <string.h>
#include <talloc.h>
#include <xxhash.h>
#include <zlib.h>

#include "kumquat/internal/document_pages.h"

/* The fastest level: a stall of the event loop costs more than the bytes that a higher one saves.
 */
#define PACK_LEVEL 1

bool
kq_page_manifest_is_valid (const KqPageManifest *manifest)
{
  return manifest->size > 0 && manifest->size <= KQ_DOCUMENT_BYTES && manifest->packed_size > 0 &&
         manifest->packed_size <= KQ_PACKED_BYTES_MAX;
}

bool
kq_page_manifest_equal (const KqPageManifest *a, const KqPageManifest *b)
{
  return a->service == b->service && kq_revision_compare (a->revision, b->revision) == 0 &&
         a->size == b->size && a->packed_size == b->packed_size && a->digest == b->digest;
}

KqDocumentPages *
kq_document_pages_new (const void *parent, const KqPageManifest *manifest, KqError *error)
{
  if (!kq_page_manifest_is_valid (manifest))
    {
      kq_error_set (error, KQ_ERROR_RANGE,
                    "service %u: a document of %u bytes in %u compressed ones is not possible; run "
                    "the same release everywhere",
                    manifest->service, manifest->size, manifest->packed_size);
      return NULL;
    }
  KqDocumentPages *pages = talloc_zero (parent, KqDocumentPages);
  if (pages != NULL)
    pages->packed = talloc_array (pages, uint8_t, manifest->packed_size);
  if (pages == NULL || pages->packed == NULL)
    {
      talloc_free (pages);
      kq_error_set (error, KQ_ERROR_SYSTEM, "out of memory for a document; raise the memory limit");
      return NULL;
    }
  pages->manifest = *manifest;
  pages->count = (manifest->packed_size + KQ_PAGE_BYTES - 1) / KQ_PAGE_BYTES;
  pages->missing = pages->count;
  return pages;
}

KqDocumentPages *
kq_document_pages_pack (const void *parent, const KqDocument *document, KqError *error)
{
  uLongf packed_size = compressBound (document->size);
  uint8_t *packed = talloc_array (parent, uint8_t, packed_size);
  KqDocumentPages *pages = NULL;
  if (packed != NULL &&
      compress2 (packed, &packed_size, document->bytes, document->size, PACK_LEVEL) == Z_OK)
    {
      KqPageManifest manifest = { .service = document->service,
                                  .revision = document->revision,
                                  .size = (uint32_t)document->size,
                                  .packed_size = (uint32_t)packed_size,
                                  .digest = XXH64 (packed, packed_size, 0) };
      pages = kq_document_pages_new (parent, &manifest, error);
    }
  else
    kq_error_set (error, KQ_ERROR_SYSTEM, "out of memory for a document; raise the memory limit");
  if (pages != NULL)
    {
      memcpy (pages->packed, packed, packed_size);
      memset (pages->held, 0xff, sizeof pages->held);
      pages->missing = 0;
    }
  talloc_free (packed);
  return pages;
}

size_t
kq_document_pages_size (const KqDocumentPages *pages, unsigned index)
{
  if (index >= pages->count)
    return 0;
  size_t rest = pages->manifest.packed_size - (size_t)index * KQ_PAGE_BYTES;
  return rest < KQ_PAGE_BYTES ? rest : KQ_PAGE_BYTES;
}

bool
kq_document_pages_holds (const KqDocumentPages *pages, unsigned index)
{
  return index < pages->count && (pages->held[index / 8] >> index % 8 & 1) != 0;
}

KqPageResult
kq_document_pages_add (KqDocumentPages *pages, unsigned index, const uint8_t *bytes, size_t size)
{
  if (index >= pages->count || size != kq_document_pages_size (pages, index))
    return KQ_PAGE_REFUSED;
  if (kq_document_pages_holds (pages, index))
    return KQ_PAGE_REPEATED;
  memcpy (pages->packed + (size_t)index * KQ_PAGE_BYTES, bytes, size);
  pages->held[index / 8] |= (uint8_t)(1U << index % 8);
  pages->missing--;
  return KQ_PAGE_TAKEN;
}

unsigned
kq_document_pages_choose (const KqDocumentPages *pages, KqRandom *random, unsigned *out,
                          unsigned capacity)
{
  unsigned missing[KQ_PAGES_MAX];
  unsigned count = 0;
  for (unsigned i = 0; i < pages->count; i++)
    {
      if (!kq_document_pages_holds (pages, i))
        missing[count++] = i;
    }
  unsigned chosen = 0;
  for (; chosen < capacity && count > 0; chosen++)
    {
      unsigned position = (unsigned)kq_random_below (random, count);
      out[chosen] = missing[position];
      missing[position] = missing[--count];
    }
  return chosen;
}

uint8_t *
kq_document_pages_unpack (const void *parent, const KqDocumentPages *pages, KqError *error)
{
  const KqPageManifest *manifest = &pages->manifest;
  uLongf size = manifest->size;
  if (pages->missing > 0 || XXH64 (pages->packed, manifest->packed_size, 0) != manifest->digest)
    {
      kq_error_set (error, KQ_ERROR_INVALID,
                    "service %u: the digest of the pages is wrong; they are requested again",
                    manifest->service);
      return NULL;
    }
  uint8_t *bytes = talloc_array (parent, uint8_t, size);
  if (bytes == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM, "out of memory for a document; raise the memory limit");
      return NULL;
    }
  if (uncompress (bytes, &size, pages->packed, manifest->packed_size) != Z_OK ||
      size != manifest->size)
    {
      kq_error_set (error, KQ_ERROR_INVALID,
                    "service %u: the pages do not contain %u bytes; they are requested again",
                    manifest->service, manifest->size);
      TALLOC_FREE (bytes);
    }
  return bytes;
}
