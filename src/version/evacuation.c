#include <string.h>
#include <talloc.h>

#include "kumquat/internal/evacuation.h"

/* More failure domains than the largest fleet has. */
#define DOMAINS_MAX 64

/* How long a domain stays evacuated whose evacuation a restored store lacks. An operator who writes
 * it again needs some seconds; streams that go elsewhere meanwhile harm nobody. */
#define HOLD_US (10 * KQ_SECOND)

/**
 * struct EvacuatedDomain - one domain
 * @name: its name
 * @key_revision: revision at which its key was written; 0 when a peer told of it
 * @era: era of the store in which it was revoked
 * @held_until: it is kept although the restored store lacks it, until then; 0 for not held
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  uint64_t key_revision;
  uint32_t era;
  KqTime held_until;
} EvacuatedDomain;

/**
 * struct KqEvacuation - see evacuation.h
 * @domains: in alphabetical order
 * @count: length of @domains
 * @revoked: (array): the last revoked evacuations; a ring
 * @revoked_count: evacuations that were revoked so far
 * @era: era of the store that the set belongs to
 * @revision: revision of the store that the set belongs to
 * @restored_until: end of the time in which what was known before a restore counts; 0 without one
 */
struct KqEvacuation
{
  EvacuatedDomain domains[DOMAINS_MAX];
  unsigned count;
  EvacuatedDomain revoked[DOMAINS_MAX];
  unsigned revoked_count;
  uint32_t era;
  uint64_t revision;
  KqTime restored_until;
};

KqEvacuation *
kq_evacuation_new (const void *parent)
{
  return talloc_zero (parent, KqEvacuation);
}

bool
kq_evacuation_is_valid_name (const char *domain)
{
  size_t size = strlen (domain);
  return size > 0 && size < KQ_NAME_BYTES && strchr (domain, '\n') == NULL;
}

/* Return: the index of @domain, or the index at which to insert it. */
static unsigned
position_of (const KqEvacuation *evacuation, const char *domain)
{
  unsigned position = 0;
  while (position < evacuation->count && strcmp (evacuation->domains[position].name, domain) < 0)
    position++;
  return position;
}

static void
add (KqEvacuation *evacuation, const char *domain)
{
  unsigned position = position_of (evacuation, domain);
  if (evacuation->count == DOMAINS_MAX || !kq_evacuation_is_valid_name (domain) ||
      kq_evacuation_contains (evacuation, domain))
    return;
  memmove (&evacuation->domains[position + 1], &evacuation->domains[position],
           (evacuation->count - position) * sizeof evacuation->domains[0]);
  evacuation->domains[position] = (EvacuatedDomain){ 0 };
  strncpy (evacuation->domains[position].name, domain, KQ_NAME_BYTES - 1);
  evacuation->count++;
}

static void
drop (KqEvacuation *evacuation, const char *domain)
{
  unsigned position = position_of (evacuation, domain);
  if (!kq_evacuation_contains (evacuation, domain))
    return;
  evacuation->domains[position].era = evacuation->era;
  evacuation->revoked[evacuation->revoked_count++ % DOMAINS_MAX] = evacuation->domains[position];
  evacuation->count--;
  memmove (&evacuation->domains[position], &evacuation->domains[position + 1],
           (evacuation->count - position) * sizeof evacuation->domains[0]);
}

static EvacuatedDomain *
find (KqEvacuation *evacuation, const char *domain)
{
  unsigned position = position_of (evacuation, domain);
  return kq_evacuation_contains (evacuation, domain) ? &evacuation->domains[position] : NULL;
}

/* Return: whether @domain is now evacuated in this era of the store and was not before. The end of
 * a hold counts: peers that have not heard of the era must learn that it is valid there, or they
 * hold the domain for HOLD_US after its revocation. */
static bool
confirm (KqEvacuation *evacuation, const char *domain)
{
  EvacuatedDomain *known = find (evacuation, domain);
  bool held = known != NULL && known->held_until != 0;
  if (held)
    known->held_until = 0;
  else if (known == NULL)
    add (evacuation, domain);
  return held || (known == NULL && kq_evacuation_contains (evacuation, domain));
}

bool
kq_evacuation_set (KqEvacuation *evacuation, const char *domain, bool evacuated, uint64_t revision)
{
  if (revision < evacuation->revision)
    return false;
  if (evacuated)
    return confirm (evacuation, domain);
  bool before = kq_evacuation_contains (evacuation, domain);
  drop (evacuation, domain);
  return before;
}

static bool
is_listed (const char *const *domains, unsigned count, const char *domain)
{
  for (unsigned i = 0; i < count; i++)
    if (strcmp (domains[i], domain) == 0)
      return true;
  return false;
}

bool
kq_evacuation_replace (KqEvacuation *evacuation, const char *const *domains, unsigned count,
                       uint64_t revision)
{
  bool changed = false;
  if (revision < evacuation->revision)
    return false;
  evacuation->revision = revision;
  for (unsigned i = evacuation->count; i > 0; i--)
    {
      const EvacuatedDomain *known = &evacuation->domains[i - 1];
      char name[KQ_NAME_BYTES];
      if (known->held_until != 0 || is_listed (domains, count, known->name))
        continue;
      memcpy (name, known->name, sizeof name);
      drop (evacuation, name);
      changed = true;
    }
  for (unsigned i = 0; i < count; i++)
    changed |= confirm (evacuation, domains[i]);
  return changed;
}

bool
kq_evacuation_set_era (KqEvacuation *evacuation, uint32_t era, KqTime now)
{
  if (era <= evacuation->era)
    return era == evacuation->era;
  evacuation->era = era;
  evacuation->revision = 0;
  evacuation->restored_until = now + HOLD_US;
  for (unsigned i = 0; i < evacuation->count; i++)
    evacuation->domains[i].held_until = now + HOLD_US;
  return true;
}

bool
kq_evacuation_expire (KqEvacuation *evacuation, KqTime now)
{
  bool changed = false;
  for (unsigned i = evacuation->count; i > 0; i--)
    {
      const EvacuatedDomain *known = &evacuation->domains[i - 1];
      char name[KQ_NAME_BYTES];
      if (known->held_until == 0 || now < known->held_until)
        continue;
      memcpy (name, known->name, sizeof name);
      drop (evacuation, name);
      changed = true;
    }
  return changed;
}

void
kq_evacuation_note_key (KqEvacuation *evacuation, const char *domain, uint64_t key_revision)
{
  EvacuatedDomain *known = find (evacuation, domain);
  if (known == NULL)
    return;
  known->key_revision = key_revision;
  known->held_until = 0;
}

/* An evacuation that only a peer told of has no key revision to compare. Until the operator has had
 * time to write again, its key in the restored store counts as the old one. */
bool
kq_evacuation_was_revoked (const KqEvacuation *evacuation, const char *domain,
                           uint64_t key_revision, KqTime now)
{
  for (unsigned i = 0; i < DOMAINS_MAX && i < evacuation->revoked_count; i++)
    {
      const EvacuatedDomain *revoked = &evacuation->revoked[i];
      bool same_key = revoked->key_revision == 0
                          ? revoked->era < evacuation->era && now < evacuation->restored_until
                          : revoked->key_revision == key_revision;
      if (same_key && strcmp (revoked->name, domain) == 0)
        return true;
    }
  return false;
}

void
kq_evacuation_advance (KqEvacuation *evacuation, uint64_t revision)
{
  if (revision > evacuation->revision)
    evacuation->revision = revision;
}

bool
kq_evacuation_contains (const KqEvacuation *evacuation, const char *domain)
{
  unsigned position = position_of (evacuation, domain);
  return position < evacuation->count && strcmp (evacuation->domains[position].name, domain) == 0;
}

unsigned
kq_evacuation_count (const KqEvacuation *evacuation)
{
  return evacuation->count;
}

uint64_t
kq_evacuation_revision (const KqEvacuation *evacuation)
{
  return evacuation->revision;
}

uint32_t
kq_evacuation_era (const KqEvacuation *evacuation)
{
  return evacuation->era;
}

char *
kq_evacuation_encode (const void *parent, const KqEvacuation *evacuation)
{
  char *text = talloc_strdup (parent, "");
  for (unsigned i = 0; i < evacuation->count && text != NULL; i++)
    text = talloc_asprintf_append (text, "%s\n", evacuation->domains[i].name);
  return text;
}

int
kq_evacuation_decode (KqEvacuation *evacuation, const char *text, size_t size, uint64_t revision,
                      KqError *error)
{
  const char *domains[DOMAINS_MAX];
  char copy[KQ_EVACUATION_BYTES + 1];
  unsigned count = 0;
  if (size > KQ_EVACUATION_BYTES || memchr (text, '\0', size) != NULL ||
      (size > 0 && text[size - 1] != '\n'))
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "evacuated domains of %zu bytes are not lines of names; run the same "
                         "release on every instance",
                         size);
  memcpy (copy, text, size);
  copy[size] = '\0';
  for (char *name = copy; *name != '\0';)
    {
      char *end = strchr (name, '\n');
      *end = '\0';
      if (count == DOMAINS_MAX || !kq_evacuation_is_valid_name (name))
        return kq_error_set (error, KQ_ERROR_INVALID,
                             "evacuated domain %u has no valid name; run the same release on every "
                             "instance",
                             count + 1);
      domains[count++] = name;
      name = end + 1;
    }
  return kq_evacuation_replace (evacuation, domains, count, revision) ? 1 : 0;
}
