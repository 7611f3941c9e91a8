/* Interned member descriptions: the properties of a member that do not change with its state. */
#pragma once

#include "kumquat/view.h"

/**
 * struct KqIdentity - description of a member, shared by all tables that refer to it
 * @next: next in the same hash chain
 * @references: number of references from tables
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

/** kq_identity_acquire - Return: a reference to the description of @member, or NULL if out of
 * memory; release it with kq_identity_release() */
KqIdentity *kq_identity_acquire (KqIdentityPool *pool, const KqMember *member);
void kq_identity_release (KqIdentityPool *pool, KqIdentity *identity);
