#include <string.h>
#include <talloc.h>

#include "kumquat/internal/stream_evacuation.h"
#include "kumquat/internal/stream_process.h"
#include "kumquat/log.h"

/* Return: the domain that @key names, or NULL when it names none. */
static const char *
domain_of (const char *key, const char *prefix)
{
  char quoted[KQ_LOG_QUOTE_BYTES];
  size_t size = strlen (prefix);
  if (strncmp (key, prefix, size) != 0)
    return NULL;
  if (kq_evacuation_is_valid_name (key + size))
    return key + size;
  kq_log (LOG_WARNING, "evacuation-refused",
          "key=%s reason=\"the key names no failure domain; remove it\"",
          kq_log_quote (key, quoted));
  return NULL;
}

/* A full read of a restored store may contain an evacuation that was revoked before. */
static bool
is_outdated_key (const KqEvacuation *evacuation, const char *domain, const KqStoreValue *value,
                 KqTime now)
{
  return !kq_evacuation_contains (evacuation, domain) &&
         kq_evacuation_was_revoked (evacuation, domain, value->mod_revision, now) &&
         kq_evacuation_era (evacuation) > 0;
}

/* @new_events: the keys are changes, not the content of the store. */
static bool
apply_changes (KqEvacuation *evacuation, const char *prefix, const KqStoreReply *reply,
               bool new_events, KqTime now)
{
  bool changed = false;
  for (unsigned i = 0; i < reply->count; i++)
    {
      const KqStoreValue *value = &reply->values[i];
      const char *domain = domain_of (value->key, prefix);
      bool evacuated = value->mod_revision != 0;
      if (domain == NULL || (!evacuated && !new_events) ||
          (!new_events && is_outdated_key (evacuation, domain, value, now)))
        continue;
      changed |= kq_evacuation_set (evacuation, domain, evacuated, reply->revision);
      if (evacuated && reply->revision >= kq_evacuation_revision (evacuation))
        kq_evacuation_note_key (evacuation, domain, value->mod_revision);
    }
  return changed;
}

bool
kq_stream_evacuation_read (KqEvacuation *evacuation, const char *prefix, const KqStoreReply *reply,
                           KqTime now)
{
  bool changed;
  if (!kq_evacuation_set_era (evacuation, reply->era, now))
    return false;
  if (!reply->all_keys)
    changed = apply_changes (evacuation, prefix, reply, true, now);
  else
    {
      const char **domains = talloc_array (evacuation, const char *, reply->count + 1);
      unsigned count = 0;
      for (unsigned i = 0; i < reply->count && domains != NULL; i++)
        {
          const char *domain = domain_of (reply->values[i].key, prefix);
          if (domain != NULL && !is_outdated_key (evacuation, domain, &reply->values[i], now))
            domains[count++] = domain;
        }
      changed =
          domains != NULL && kq_evacuation_replace (evacuation, domains, count, reply->revision);
      for (unsigned i = 0; i < reply->count; i++)
        {
          const char *domain = domain_of (reply->values[i].key, prefix);
          if (domain != NULL && reply->revision >= kq_evacuation_revision (evacuation))
            kq_evacuation_note_key (evacuation, domain, reply->values[i].mod_revision);
        }
      talloc_free (domains);
    }
  kq_evacuation_advance (evacuation, reply->revision);
  return changed;
}

bool
kq_stream_evacuation_read_stale (KqEvacuation *evacuation, const char *prefix,
                                 const KqStoreReply *reply, KqTime now)
{
  return kq_evacuation_set_era (evacuation, reply->era, now) &&
         apply_changes (evacuation, prefix, reply, false, now);
}

bool
kq_stream_evacuation_receive (KqEvacuation *evacuation, const KqDocument *document, KqTime now)
{
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  if (document->revision.epoch < KQ_DOCUMENT_EPOCH ||
      !kq_evacuation_set_era (evacuation, document->revision.epoch - KQ_DOCUMENT_EPOCH, now))
    return false;
  int status = kq_evacuation_decode (evacuation, (const char *)document->bytes, document->size,
                                     document->revision.revision, &error);
  if (status < 0)
    kq_log (LOG_WARNING, "evacuation-refused", "error=%s", kq_log_quote (error.message, quoted));
  return status > 0;
}

void
kq_stream_evacuation_disseminate (const KqEvacuation *evacuation, KqControl *control)
{
  char *text = kq_evacuation_encode (control, evacuation);
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  if (text == NULL)
    return;
  KqDocument document = { .service = KQ_EVACUATION_DOCUMENT,
                          .revision = { KQ_DOCUMENT_EPOCH + kq_evacuation_era (evacuation),
                                        kq_evacuation_revision (evacuation) },
                          .bytes = (const uint8_t *)text,
                          .size = strlen (text) };
  if (kq_control_publish (control, &document, &error) < 0)
    kq_log (LOG_WARNING, "evacuation-not-spread", "error=%s", kq_log_quote (error.message, quoted));
  talloc_free (text);
}

void
kq_stream_evacuation_log (const KqEvacuation *evacuation, const char *source)
{
  char quoted[KQ_LOG_QUOTE_BYTES];
  char *text = kq_evacuation_encode (NULL, evacuation);
  for (char *end = text; end != NULL && (end = strchr (end, '\n')) != NULL;)
    *end = ',';
  kq_log (LOG_NOTICE, "evacuation-in-force", "source=%s revision=%llu count=%u domains=%s", source,
          (unsigned long long)kq_evacuation_revision (evacuation), kq_evacuation_count (evacuation),
          kq_log_quote (text == NULL ? "" : text, quoted));
  talloc_free (text);
}
