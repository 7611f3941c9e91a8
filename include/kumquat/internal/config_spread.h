/* Table of configuration documents: which revision is known of, which is held, who acknowledged. */
#pragma once

#include "kumquat/document.h"
#include "kumquat/internal/holders.h"
#include "kumquat/internal/members.h"

#define KQ_SERVICES_MAX 65536

/**
 * struct KqSpreadEntry - one service's document
 * @service: the service's number
 * @name: hash of the service's name in the document; 0 when the document has none
 * @known: newest revision heard of
 * @holder: an instance that holds @known
 * @held: revision at @bytes; zero when none
 * @bytes: (nullable) (array): the document
 * @size: bytes at @bytes
 * @pull_after: when to ask for the document next
 * @pulls: how often it was asked for in vain
 * @holders: who acknowledged, as far as this instance was told
 * @parent: whom acknowledgements go to; 0 when they end here
 * @reported: how many of the holders @parent confirmed, this instance itself included
 * @parent_generation: set of balancers that @parent was chosen from
 * @report_after: when to send to @parent next
 * @report_sequence: last message to @parent that is not confirmed; 0 when none
 * @report_count: what @reported becomes when it is
 * @reports: how often the message was sent in vain
 * @summary: (nullable): the root's last answer
 * @query_after: when the root may be asked again
 * @query_wanted: somebody wants to know how far the document has spread
 */
typedef struct
{
  uint32_t service;
  uint16_t pulls;
  uint16_t reports;
  uint64_t name;
  KqRevision known;
  uint64_t holder;
  KqRevision held;
  uint8_t *bytes;
  uint32_t size;
  uint32_t reported;
  KqTime pull_after;
  KqHolders holders;
  uint64_t parent;
  uint32_t parent_generation;
  KqTime report_after;
  uint64_t report_sequence;
  uint32_t report_count;
  bool query_wanted;
  KqTime query_after;
  KqDocumentStatus *summary;
} KqSpreadEntry;

typedef struct KqConfigSpread KqConfigSpread;

/** kq_config_spread_new - Return: (owned by @parent) an empty table */
KqConfigSpread *kq_config_spread_new (const void *parent);

/** kq_config_spread_find - Return: (borrowed until the next insertion) the entry, or NULL */
KqSpreadEntry *kq_config_spread_find (const KqConfigSpread *spread, uint32_t service);
KqSpreadEntry *kq_config_spread_at (const KqConfigSpread *spread, unsigned index);
unsigned kq_config_spread_count (const KqConfigSpread *spread);

/** kq_config_spread_hear - Return: the entry when @revision is newer than any heard of, else NULL
 */
KqSpreadEntry *kq_config_spread_hear (KqConfigSpread *spread, uint32_t service, KqRevision revision,
                                      uint64_t holder);

/**
 * kq_config_spread_accept - takes a document unless a newer one is held
 *
 * Return: 1 when it was taken, 0 when it is the one held, -1 with @error set: KQ_ERROR_STALE when
 * it is older, KQ_ERROR_CONFLICT when the same revision was seen with another text, KQ_ERROR_RANGE
 * when it is too large.
 */
int kq_config_spread_accept (KqConfigSpread *spread, const KqDocument *document, KqError *error);

/** kq_config_spread_digest - Return: (array) a hash of the known revisions of each range */
const uint64_t *kq_config_spread_digest (const KqConfigSpread *spread);

/** kq_config_spread_range - Return: which of the digest's ranges holds @service */
unsigned kq_config_spread_range (uint32_t service);
