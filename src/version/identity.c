#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/identity.h"

#define POOL_BUCKETS 8192

struct KqIdentityPool
{
  KqIdentity *buckets[POOL_BUCKETS];
};

KqIdentityPool *
kq_identity_pool_new (const void *parent)
{
  return talloc_zero (parent, KqIdentityPool);
}

/* Copies field by field into zeroed memory, so that padding and the bytes after the end of a name
 * are the same in equal descriptions and do not change the hash. */
static void
copy_description (KqMember *to, const KqMember *from)
{
  memset (to, 0, sizeof *to);
  to->peer.id = from->peer.id;
  memcpy (to->peer.data.ip, from->peer.data.ip, sizeof to->peer.data.ip);
  to->peer.data.port = from->peer.data.port;
  memcpy (to->control.ip, from->control.ip, sizeof to->control.ip);
  to->control.port = from->control.port;
  to->role = from->role;
  to->service = from->service;
  to->weight = from->weight;
  memcpy (to->name, from->name, strnlen (from->name, KQ_NAME_BYTES - 1));
  memcpy (to->failure_domain, from->failure_domain,
          strnlen (from->failure_domain, KQ_NAME_BYTES - 1));
}

static bool
same_description (const KqMember *a, const KqMember *b)
{
  return a->peer.id == b->peer.id && kq_address_equal (&a->peer.data, &b->peer.data) &&
         kq_address_equal (&a->control, &b->control) && a->role == b->role &&
         a->service == b->service && a->weight == b->weight && strcmp (a->name, b->name) == 0 &&
         strcmp (a->failure_domain, b->failure_domain) == 0;
}

KqIdentity *
kq_identity_acquire (KqIdentityPool *pool, const KqMember *member)
{
  KqMember wanted;
  copy_description (&wanted, member);
  uint64_t hash = XXH3_64bits (&wanted, sizeof wanted);
  KqIdentity **bucket = &pool->buckets[hash % POOL_BUCKETS];
  for (KqIdentity *found = *bucket; found != NULL; found = found->next)
    {
      if (found->hash != hash || !same_description (&found->member, &wanted))
        continue;
      found->references++;
      return found;
    }
  KqIdentity *created = talloc_zero (pool, KqIdentity);
  if (created == NULL)
    return NULL;
  created->references = 1;
  created->hash = hash;
  created->domain = kq_hash_name (wanted.failure_domain);
  created->member = wanted;
  created->next = *bucket;
  *bucket = created;
  return created;
}

void
kq_identity_release (KqIdentityPool *pool, KqIdentity *identity)
{
  if (--identity->references > 0)
    return;
  KqIdentity **link = &pool->buckets[identity->hash % POOL_BUCKETS];
  while (*link != identity)
    link = &(*link)->next;
  *link = identity->next;
  talloc_free (identity);
}
