/* Pages of a large document: the compressed text in parts of a fixed size, which are transferred
 * one by one and in any order. */
#pragma once

#include "kumquat/document.h"
#include "kumquat/error.h"
#include "kumquat/random.h"

#define KQ_PAGE_BYTES 32768

/* Compressing a text that cannot be compressed adds less than one page. */
#define KQ_PACKED_BYTES_MAX (KQ_DOCUMENT_BYTES + KQ_PAGE_BYTES)
#define KQ_PAGES_MAX        (KQ_PACKED_BYTES_MAX / KQ_PAGE_BYTES)

/**
 * struct KqPageManifest - names the pages of one version of a document. Two compressions of the
 * same text may differ, so the digest is part of the name
 * @service: the document's number
 * @revision: its revision
 * @size: bytes of the text
 * @packed_size: bytes of the compressed text
 * @digest: xxHash 64 of the compressed text
 */
typedef struct
{
  uint32_t service;
  KqRevision revision;
  uint32_t size;
  uint32_t packed_size;
  uint64_t digest;
} KqPageManifest;

/**
 * struct KqDocumentPages - the pages of a document, as far as they are here
 * @manifest: their name
 * @packed: (array): the compressed text; pages that are missing are undefined
 * @count: number of pages
 * @missing: number of pages that are not here
 * @held: (array): bitmap of the pages that are here
 */
typedef struct
{
  KqPageManifest manifest;
  uint8_t *packed;
  unsigned count;
  unsigned missing;
  uint8_t held[(KQ_PAGES_MAX + 7) / 8];
} KqDocumentPages;

typedef enum
{
  KQ_PAGE_TAKEN,
  KQ_PAGE_REPEATED,
  KQ_PAGE_REFUSED
} KqPageResult;

/** kq_page_manifest_is_valid - Return: whether the sizes are possible for a document in pages */
bool kq_page_manifest_is_valid (const KqPageManifest *manifest);
bool kq_page_manifest_equal (const KqPageManifest *a, const KqPageManifest *b);

/** kq_document_pages_pack - Return: (owned by @parent) all pages of @document, or NULL with @error
 * set if out of memory */
KqDocumentPages *kq_document_pages_pack (const void *parent, const KqDocument *document,
                                         KqError *error);

/** kq_document_pages_new - Return: (owned by @parent) a KqDocumentPages without pages, or NULL with
 * @error set: KQ_ERROR_RANGE if @manifest is not valid, KQ_ERROR_SYSTEM if out of memory */
KqDocumentPages *kq_document_pages_new (const void *parent, const KqPageManifest *manifest,
                                        KqError *error);

/** kq_document_pages_size - Return: bytes of page @index, 0 if there is no such page */
size_t kq_document_pages_size (const KqDocumentPages *pages, unsigned index);
bool kq_document_pages_holds (const KqDocumentPages *pages, unsigned index);

/** kq_document_pages_add - copies a page that was received; one with a number or a size that
 * contradicts the manifest is refused */
KqPageResult kq_document_pages_add (KqDocumentPages *pages, unsigned index, const uint8_t *bytes,
                                    size_t size);

/** kq_document_pages_choose - Return: number of missing pages written to @out, in random order */
unsigned kq_document_pages_choose (const KqDocumentPages *pages, KqRandom *random, unsigned *out,
                                   unsigned capacity);

/**
 * kq_document_pages_unpack - decompresses a document whose pages are all here
 *
 * Return: (owned by @parent) its text of @pages->manifest.size bytes, or NULL with @error set:
 * KQ_ERROR_INVALID if a page is missing or the digest or the size is wrong, KQ_ERROR_SYSTEM if out
 * of memory.
 */
uint8_t *kq_document_pages_unpack (const void *parent, const KqDocumentPages *pages,
                                   KqError *error);
