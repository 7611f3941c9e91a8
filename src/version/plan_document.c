/* Service documents written by plans: the configuration, the previous one, and the ids of the
 * operations that wrote them. */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/plan_parts.h"
#include "kumquat/internal/service_json.h"
#include "kumquat/service_document.h"

const char *
kq_plan_digest (const json_t *root, char out[KQ_DIGEST_BYTES])
{
  unsigned char hash[32];
  json_t *copy = json_copy ((json_t *)(uintptr_t)root);
  json_object_del (copy, "digest");
  char *text = json_dumps (copy, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (copy);
  crypto_generichash (hash, sizeof hash, (const unsigned char *)text, strlen (text), NULL, 0);
  free (text);
  return sodium_bin2hex (out, KQ_DIGEST_BYTES, hash, sizeof hash);
}

json_t *
kq_plan_document (const KqPlanChange *change, const char *operation)
{
  json_t *root = kq_service_to_json (&change->after);
  json_t *operations = json_pack ("[s]", operation);
  if (change->before != NULL)
    json_object_set_new (root, "previous", kq_service_to_json (change->before));
  if (change->base != NULL)
    {
      for (unsigned i = 0; i < change->base->operation_count && i < KQ_OPERATIONS_KEPT - 1; i++)
        json_array_append_new (operations, json_string (change->base->operations[i]));
    }
  json_object_set_new (root, "operation", json_string (operation));
  json_object_set_new (root, "operations", operations);
  return root;
}

static void
add_operation (KqPlanBase *base, const char *operation)
{
  if (operation == NULL || base->operation_count == KQ_OPERATIONS_KEPT)
    return;
  snprintf (base->operations[base->operation_count++], KQ_OPERATION_BYTES, "%s", operation);
}

static void
read_operations (const json_t *root, KqPlanBase *base)
{
  const json_t *list = json_object_get (root, "operations");
  size_t index;
  const json_t *item;
  json_array_foreach (list, index, item)
  {
    add_operation (base, json_string_value (item));
  }
  if (base->operation_count == 0)
    add_operation (base, json_string_value (json_object_get (root, "operation")));
}

static int
read_previous (const json_t *root, KqPlanBase *base, KqError *error)
{
  const json_t *previous = json_object_get (root, "previous");
  if (previous == NULL)
    return 0;
  char *text = json_dumps (previous, JSON_COMPACT);
  int result = kq_service_parse ((const uint8_t *)text, strlen (text), (KqRevision){ 0 },
                                 &base->previous, error);
  free (text);
  base->has_previous = result == 0;
  return result;
}

int
kq_plan_base_parse (const uint8_t *bytes, size_t size, uint64_t mod_revision, KqPlanBase *base,
                    KqError *error)
{
  memset (base, 0, sizeof *base);
  KqRevision revision = { .epoch = KQ_EPOCH_FIRST, .revision = mod_revision };
  if (kq_service_parse (bytes, size, revision, &base->service, error) < 0)
    return -1;
  json_t *root = json_loadb ((const char *)bytes, size, 0, NULL);
  read_operations (root, base);
  int result = read_previous (root, base, error);
  json_decref (root);
  return result;
}

bool
kq_plan_document_has_operation (const uint8_t *value, size_t size, const char *operation)
{
  KqPlanBase *base = talloc_zero (NULL, KqPlanBase);
  json_t *root = json_loadb ((const char *)value, size, 0, NULL);
  bool found = false;
  read_operations (root, base);
  for (unsigned i = 0; i < base->operation_count; i++)
    found = found || strcmp (base->operations[i], operation) == 0;
  json_decref (root);
  talloc_free (base);
  return found;
}

char *
kq_plan_difference (const void *parent, const char *base, const uint8_t *present, size_t size)
{
  KqService *services = talloc_zero_array (parent, KqService, 2);
  KqRevision revision = { 0 };
  char *text = talloc_strdup (parent, "");
  bool base_known = base != NULL && kq_service_parse ((const uint8_t *)base, strlen (base),
                                                      revision, &services[0], NULL) == 0;
  if (kq_service_parse (present, size, revision, &services[1], NULL) < 0)
    text = talloc_strdup_append (text, "it exists and is no service document");
  else
    {
      json_t *changes = kq_service_diff (base_known ? &services[0] : NULL, &services[1]);
      size_t index;
      const json_t *change;
      json_array_foreach (changes, index, change)
      {
        text = talloc_asprintf_append (text, "%s%s: '%s' -> '%s'", index == 0 ? "" : ", ",
                                       json_string_value (json_object_get (change, "field")),
                                       json_string_value (json_object_get (change, "from")),
                                       json_string_value (json_object_get (change, "to")));
      }
      if (json_array_size (changes) == 0)
        text = talloc_strdup_append (text, "written again with the same content");
      json_decref (changes);
    }
  talloc_free (services);
  return text;
}
