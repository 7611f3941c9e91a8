/* Table of configuration documents for their dissemination: the newest known revision of each, the
 * revision stored here, and the instances that acknowledged it. */
#pragma once

#include "kumquat/document.h"
#include "kumquat/internal/acknowledgements.h"
#include "kumquat/internal/document_pages.h"
#include "kumquat/internal/members.h"

#define KQ_SERVICES_MAX 65536

/**
 * struct KqDocumentEntry - dissemination state of one service's document
 * @service: the service's number
 * @name: hash of the service's name in the document; 0 when the document has none
 * @known: newest revision that was announced
 * @announced_by: an instance that stores @known
 * @held: revision of @bytes; zero if there is none
 * @bytes: (nullable) (array): the document
 * @size: bytes at @bytes
 * @pages: (nullable): the pages of @bytes, once they were needed
 * @pull_after: earliest time of the next request for the document
 * @pulls: number of requests for it that were not answered
 * @acks: instances that acknowledged it, as far as reported to this instance
 * @parent: instance that acknowledgements are forwarded to; 0 if this instance is the root
 * @reported: number of @acks, including this instance, that @parent has confirmed
 * @parent_generation: generation of the set of balancers that @parent was chosen from
 * @report_after: earliest time of the next report to @parent
 * @report_sequence: sequence number of the last unconfirmed report to @parent; 0 if none
 * @report_count: value of @reported after that report is confirmed
 * @reports: number of reports sent without confirmation
 * @summary: (nullable): the last answer of the root
 * @query_after: earliest time of the next query to the root
 * @query_wanted: the progress of the dissemination was requested
 */
typedef struct
{
  uint32_t service;
  uint16_t pulls;
  uint16_t reports;
  uint64_t name;
  KqRevision known;
  uint64_t announced_by;
  KqRevision held;
  uint8_t *bytes;
  uint32_t size;
  KqDocumentPages *pages;
  uint32_t reported;
  KqTime pull_after;
  KqAcknowledgements acks;
  uint64_t parent;
  uint32_t parent_generation;
  KqTime report_after;
  uint64_t report_sequence;
  uint32_t report_count;
  bool query_wanted;
  KqTime query_after;
  KqDocumentStatus *summary;
} KqDocumentEntry;

typedef struct KqDocumentTable KqDocumentTable;

/** kq_document_table_new - Return: (owned by @parent) an empty KqDocumentTable */
KqDocumentTable *kq_document_table_new (const void *parent);

/** kq_document_table_find - Return: (borrowed until the next insertion) the entry, or NULL */
KqDocumentEntry *kq_document_table_find (const KqDocumentTable *table, uint32_t service);
KqDocumentEntry *kq_document_table_at (const KqDocumentTable *table, unsigned index);
unsigned kq_document_table_count (const KqDocumentTable *table);

/** kq_document_table_record_revision - records that @announced_by announced @revision. Return: the
 * entry if @revision is newer than all that were announced before, otherwise NULL */
KqDocumentEntry *kq_document_table_record_revision (KqDocumentTable *table, uint32_t service,
                                                    KqRevision revision, uint64_t announced_by);

/**
 * kq_document_table_store - stores a document unless a newer one is stored or was announced
 *
 * Return: 1 if it was stored, 0 if it already was, -1 with @error set: KQ_ERROR_STALE if it is
 * older, KQ_ERROR_CONFLICT if the stored document of the same revision has another text,
 * KQ_ERROR_RANGE if it is too large.
 */
int kq_document_table_store (KqDocumentTable *table, const KqDocument *document, KqError *error);

/** kq_document_table_digest - Return: (array) for each range of services, a hash of their known
 * revisions */
const uint64_t *kq_document_table_digest (const KqDocumentTable *table);

/** kq_document_table_range - Return: the range of the digest that @service belongs to */
unsigned kq_document_table_range (uint32_t service);
