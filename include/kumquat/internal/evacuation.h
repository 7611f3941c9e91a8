/* Failure domains that operators have taken out of service for a while: no new stream goes to their
 * targets, streams that are open stay. Instances learn of it from the store or from peers, at
 * different times and in any order; the higher era of the store wins, then the newer revision.
 *
 * A new era means that the store was restored from a copy some seconds old. Domains whose
 * evacuation the copy lacks stay evacuated for a while, since the operator writes again what was
 * lost; an evacuation that had been revoked stays revoked although the copy has it. */
#pragma once

#include "kumquat/types.h"

/* Largest document of evacuated domains. */
#define KQ_EVACUATION_BYTES 8192

typedef struct KqEvacuation KqEvacuation;

/** kq_evacuation_new - Return: (owned by @parent) an empty set of revision 0, or NULL without
 * memory */
KqEvacuation *kq_evacuation_new (const void *parent);

/** kq_evacuation_set_era - notes that what is applied next belongs to @era of the store. Return:
 * false when @era is lower than the known one, so that nothing of it may be applied */
bool kq_evacuation_set_era (KqEvacuation *evacuation, uint32_t era, KqTime now);

/** kq_evacuation_expire - drops domains that were kept over a restore of the store and were not
 * written again in time. Return: whether that changed anything */
bool kq_evacuation_expire (KqEvacuation *evacuation, KqTime now);

/** kq_evacuation_note_key - notes that the key of the evacuated @domain was written at
 * @key_revision */
void kq_evacuation_note_key (KqEvacuation *evacuation, const char *domain, uint64_t key_revision);

/** kq_evacuation_was_revoked - Return: whether the evacuation of @domain whose key was written at
 * @key_revision is known to have been revoked before the store was restored */
bool kq_evacuation_was_revoked (const KqEvacuation *evacuation, const char *domain,
                                uint64_t key_revision, KqTime now);

/** kq_evacuation_set - records that @domain is evacuated, or is not any more, as of @revision.
 * Return: whether that changed anything, or confirmed a domain that was kept over a restore of the
 * store; older revisions than the known one are ignored */
bool kq_evacuation_set (KqEvacuation *evacuation, const char *domain, bool evacuated,
                        uint64_t revision);

/** kq_evacuation_replace - replaces the set by the @count names in @domains, as of @revision.
 * Return: as of kq_evacuation_set() */
bool kq_evacuation_replace (KqEvacuation *evacuation, const char *const *domains, unsigned count,
                            uint64_t revision);

/** kq_evacuation_advance - notes that the set is that of @revision */
void kq_evacuation_advance (KqEvacuation *evacuation, uint64_t revision);

bool kq_evacuation_contains (const KqEvacuation *evacuation, const char *domain);
unsigned kq_evacuation_count (const KqEvacuation *evacuation);
uint64_t kq_evacuation_revision (const KqEvacuation *evacuation);
uint32_t kq_evacuation_era (const KqEvacuation *evacuation);

/** kq_evacuation_is_valid_name - Return: whether @domain can be the name of a failure domain */
bool kq_evacuation_is_valid_name (const char *domain);

/** kq_evacuation_encode - Return: (owned by @parent) the names, each followed by a line feed, or
 * NULL without memory */
char *kq_evacuation_encode (const void *parent, const KqEvacuation *evacuation);

/** kq_evacuation_decode - replaces the set by the names in @text, an encoded set of @revision of an
 * untrusted sender. Return: whether that changed anything, or -1 with @error set */
int kq_evacuation_decode (KqEvacuation *evacuation, const char *text, size_t size,
                          uint64_t revision, KqError *error);
