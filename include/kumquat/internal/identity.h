/* Interned descriptions of members: what about a member stays the same while its state changes. */
#pragma once

#include "kumquat/view.h"

/**
 * struct KqIdentity - one member's description, shared by every table that refers to it
 * @next: next in the same hash chain
 * @references: tables that refer to it
 * @hash: hash of the description
 * @domain: hash of the failure domain's name
 * @member: the description; its incarnation, state and phase are not used
 */
typedef struct KqIdentity
{
  struct KqIdentity *next;
  unsigned references;
  uint64_t hash;
  uint64_t domain;
  KqMember member;
} KqIdentity;

typedef struct KqIdentityPool KqIdentityPool;

/** kq_identity_pool_new - Return: (owned by @parent) an empty pool, used by one thread */
KqIdentityPool *kq_identity_pool_new (const void *parent);

/** kq_identity_take - Return: a reference to the identity that describes @member, or NULL without
 * memory; give it back with kq_identity_release() */
KqIdentity *kq_identity_take (KqIdentityPool *pool, const KqMember *member);
void kq_identity_release (KqIdentityPool *pool, KqIdentity *identity);
