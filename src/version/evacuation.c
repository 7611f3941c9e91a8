#include <string.h>
#include <talloc.h>

#include "kumquat/internal/evacuation.h"

/* More failure domains than the largest fleet has. */
#define DOMAINS_MAX 64

/**
 * struct KqEvacuation - see evacuation.h
 * @domains: names in alphabetical order
 * @count: length of @domains
 * @revision: revision of the store that the set belongs to
 */
struct KqEvacuation
{
  char domains[DOMAINS_MAX][KQ_NAME_BYTES];
  unsigned count;
  uint64_t revision;
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
  while (position < evacuation->count && strcmp (evacuation->domains[position], domain) < 0)
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
  memmove (evacuation->domains[position + 1], evacuation->domains[position],
           (evacuation->count - position) * sizeof evacuation->domains[0]);
  memset (evacuation->domains[position], 0, KQ_NAME_BYTES);
  strncpy (evacuation->domains[position], domain, KQ_NAME_BYTES - 1);
  evacuation->count++;
}

static void
drop (KqEvacuation *evacuation, const char *domain)
{
  unsigned position = position_of (evacuation, domain);
  if (!kq_evacuation_contains (evacuation, domain))
    return;
  evacuation->count--;
  memmove (evacuation->domains[position], evacuation->domains[position + 1],
           (evacuation->count - position) * sizeof evacuation->domains[0]);
}

bool
kq_evacuation_set (KqEvacuation *evacuation, const char *domain, bool evacuated, uint64_t revision)
{
  if (revision < evacuation->revision)
    return false;
  bool before = kq_evacuation_contains (evacuation, domain);
  if (evacuated)
    add (evacuation, domain);
  else
    drop (evacuation, domain);
  return kq_evacuation_contains (evacuation, domain) != before;
}

bool
kq_evacuation_replace (KqEvacuation *evacuation, const char *const *domains, unsigned count,
                       uint64_t revision)
{
  KqEvacuation replaced = { .revision = revision };
  if (revision < evacuation->revision)
    return false;
  for (unsigned i = 0; i < count; i++)
    add (&replaced, domains[i]);
  bool changed = replaced.count != evacuation->count ||
                 memcmp (replaced.domains, evacuation->domains,
                         replaced.count * sizeof replaced.domains[0]) != 0;
  *evacuation = replaced;
  return changed;
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
  return position < evacuation->count && strcmp (evacuation->domains[position], domain) == 0;
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

char *
kq_evacuation_encode (const void *parent, const KqEvacuation *evacuation)
{
  char *text = talloc_strdup (parent, "");
  for (unsigned i = 0; i < evacuation->count && text != NULL; i++)
    text = talloc_asprintf_append (text, "%s\n", evacuation->domains[i]);
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
