#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/document.h"
#include "kumquat/internal/plan_parts.h"
#include "kumquat/internal/service_json.h"
#include "kumquat/service_document.h"

#define PLAN_FORMAT 1
#define KEY_BYTES   128

/**
 * struct Planner - state of a plan's computation
 * @input: (borrowed): state the plan is computed from
 * @changes: (array): one change for each service that the plan touches
 * @count: length of @changes
 * @next_number: number for the next new service
 */
typedef struct
{
  const KqPlanInput *input;
  KqPlanChange *changes;
  unsigned count;
  uint32_t next_number;
} Planner;

static const KqPlanBase *
find_base (const KqPlanInput *input, const char *name)
{
  const KqPlanBase *removed = NULL;
  for (unsigned i = 0; i < input->base_count; i++)
    {
      if (strcmp (input->bases[i].service.name, name) != 0)
        continue;
      if (!input->bases[i].service.removed)
        return &input->bases[i];
      removed = &input->bases[i];
    }
  return removed;
}

static KqPlanChange *
find_change (Planner *planner, const char *name)
{
  for (unsigned i = 0; i < planner->count; i++)
    if (strcmp (planner->changes[i].after.name, name) == 0)
      return &planner->changes[i];
  return NULL;
}

static const KqService *
find_in_force (const KqPlanInput *input, const KqPlanBase *base, const char *name)
{
  for (unsigned i = 0; i < input->services_in_force_count; i++)
    {
      const KqService *service = input->services_in_force[i];
      if (base != NULL ? service->number == base->service.number
                       : !service->removed && strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* The store was restored to an older state when its revision is older than the one in force. The
 * configuration in force is never rolled back: the plan starts from it and writes it under the next
 * epoch. */
static bool
is_restored (const KqPlanBase *base, const KqService *live)
{
  if (live == NULL)
    return false;
  return base == NULL || kq_revision_compare (base->service.revision, live->revision) < 0;
}

static KqPlanChange *
add_change (Planner *planner, const KqPlanBase *base, const char *name, KqError *error)
{
  if (planner->count == KQ_PLAN_SERVICES_MAX)
    {
      kq_error_set (error, KQ_ERROR_FULL, "a plan changes at most %d services; split it",
                    KQ_PLAN_SERVICES_MAX);
      return NULL;
    }
  KqPlanChange *change = &planner->changes[planner->count++];
  const KqService *live = find_in_force (planner->input, base, name);
  change->base = base;
  change->before = base == NULL ? NULL : &base->service;
  if (is_restored (base, live))
    change->before = live;
  if (change->before != NULL)
    {
      change->after = *change->before;
      change->after.revision.epoch += is_restored (base, live) ? 1 : 0;
    }
  else
    {
      change->after.number = planner->next_number++;
      snprintf (change->after.name, KQ_NAME_BYTES, "%s", name);
    }
  return change;
}

/* Return: the change to apply @intent to, or NULL with @error set. */
static KqPlanChange *
start_change (Planner *planner, const KqIntent *intent, KqError *error)
{
  KqPlanChange *change = find_change (planner, intent->service);
  const KqPlanBase *base = find_base (planner->input, intent->service);
  const KqService *live = find_in_force (planner->input, base, intent->service);
  bool service_exists = base != NULL && !base->service.removed;
  if (is_restored (base, live))
    service_exists = !live->removed;
  if (change != NULL)
    service_exists = !change->after.removed;
  bool creates = intent->kind == KQ_INTENT_CREATE;
  bool may_create = intent->kind == KQ_INTENT_REPLACE || intent->kind == KQ_INTENT_UNDO;
  if (creates && service_exists)
    {
      kq_error_set (error, KQ_ERROR_CONFLICT, "service '%s' exists; change it, or use another name",
                    intent->service);
      return NULL;
    }
  if (!creates && !may_create && !service_exists)
    {
      kq_error_set (error, KQ_ERROR_NOT_FOUND,
                    "service '%s' does not exist; see kumquatctl services", intent->service);
      return NULL;
    }
  if (change != NULL)
    return change;
  /* A new service of the same name gets a new number: numbers are never reused. */
  if (base != NULL && base->service.removed && !service_exists && intent->kind != KQ_INTENT_UNDO)
    base = NULL;
  return add_change (planner, base, intent->service, error);
}

static int
apply_undo (const KqIntent *intent, KqPlanChange *change, KqError *error)
{
  const KqPlanBase *base = change->base;
  uint32_t epoch = change->after.revision.epoch;
  if (base == NULL || change->before != &base->service)
    return kq_error_set (error, KQ_ERROR_NOT_FOUND,
                         "service '%s' has no change to undo; see kumquatctl services",
                         intent->service);
  if (base->has_previous)
    change->after = base->previous;
  else
    change->after.removed = true;
  change->after.revision.epoch = epoch;
  return 0;
}

static int
apply_intents (Planner *planner, const KqIntentList *list, KqError *error)
{
  for (unsigned i = 0; i < list->count; i++)
    {
      const KqIntent *intent = &list->intents[i];
      KqPlanChange *change = start_change (planner, intent, error);
      if (change == NULL)
        return -1;
      int result = intent->kind == KQ_INTENT_UNDO
                       ? apply_undo (intent, change, error)
                       : kq_intent_apply (intent, planner->input->members,
                                          planner->input->member_count, &change->after, error);
      if (result < 0)
        return -1;
    }
  return 0;
}

static int
remove_unlisted (Planner *planner, KqError *error)
{
  for (unsigned i = 0; i < planner->input->base_count; i++)
    {
      const KqPlanBase *base = &planner->input->bases[i];
      if (base->service.removed || find_change (planner, base->service.name) != NULL)
        continue;
      KqPlanChange *change = add_change (planner, base, base->service.name, error);
      if (change == NULL)
        return -1;
      change->after.removed = true;
    }
  return 0;
}

static bool
is_unchanged (const KqPlanChange *change)
{
  if (change->before == NULL)
    return change->after.removed;
  if (change->after.revision.epoch != change->before->revision.epoch)
    return false;
  json_t *diff = kq_service_diff (change->before, &change->after);
  bool empty = json_array_size (diff) == 0;
  json_decref (diff);
  return empty;
}

static void
drop_unchanged (Planner *planner)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < planner->count; i++)
    if (!is_unchanged (&planner->changes[i]))
      planner->changes[kept++] = planner->changes[i];
  planner->count = kept;
}

static const KqService *
service_after (Planner *planner, const KqPlanBase *base)
{
  for (unsigned i = 0; i < planner->count; i++)
    if (planner->changes[i].base == base)
      return &planner->changes[i].after;
  return &base->service;
}

static void
check_port (const KqService *after, const KqService *other, KqPlanNotes *notes)
{
  char what[96];
  if (other->removed || other->number == after->number || other->port != after->port)
    return;
  snprintf (what, sizeof what, "port %u belongs to service '%s'", after->port, other->name);
  kq_plan_refuse (notes, after->name, what, "use another port");
}

static bool
has_base (const KqPlanInput *input, uint32_t number)
{
  for (unsigned i = 0; i < input->base_count; i++)
    if (input->bases[i].service.number == number)
      return true;
  return false;
}

static void
check_ports (Planner *planner, KqPlanNotes *notes)
{
  for (unsigned i = 0; i < planner->count; i++)
    {
      const KqService *after = &planner->changes[i].after;
      if (after->removed)
        continue;
      for (unsigned j = 0; j < planner->input->base_count; j++)
        check_port (after, service_after (planner, &planner->input->bases[j]), notes);
      for (unsigned j = 0; j < planner->input->services_in_force_count; j++)
        if (!has_base (planner->input, planner->input->services_in_force[j]->number))
          check_port (after, planner->input->services_in_force[j], notes);
      for (unsigned j = 0; j < planner->count; j++)
        if (planner->changes[j].base == NULL)
          check_port (after, &planner->changes[j].after, notes);
    }
}

static json_t *
write_json (const char *key, json_t *value, uint64_t expected, const KqPlanChange *change)
{
  json_t *root = json_pack ("{s:s, s:o, s:I, s:s}", "key", key, "value", value, "expected",
                            (json_int_t)expected, "service", change->after.name);
  return root;
}

static uint64_t
claim_revision (const KqPlanInput *input, const char *key)
{
  for (unsigned i = 0; i < input->claim_count; i++)
    if (strcmp (input->claims[i].key, key) == 0)
      return input->claims[i].mod_revision;
  return 0;
}

static void
add_claim (json_t *writes, const KqPlanInput *input, const KqPlanChange *change, const char *key)
{
  json_t *value =
      json_pack ("{s:i, s:I}", "format", PLAN_FORMAT, "number", (json_int_t)change->after.number);
  json_array_append_new (writes, write_json (key, value, claim_revision (input, key), change));
}

/* Each name and port is reserved by its own key, so that the transactions of two operators conflict
 * only if they take the same one. */
static void
add_claims (json_t *writes, const KqPlanInput *input, const KqPlanChange *change)
{
  char key[KEY_BYTES];
  const KqPlanBase *base = change->base;
  bool needs_name_claim = base == NULL || (base->service.removed && !change->after.removed);
  bool port_changed = !needs_name_claim && base->service.port != change->after.port;
  if (needs_name_claim)
    {
      snprintf (key, sizeof key, KQ_STORE_CLAIMS "name/%s", change->after.name);
      add_claim (writes, input, change, key);
    }
  if (needs_name_claim || port_changed)
    {
      snprintf (key, sizeof key, KQ_STORE_CLAIMS "port/%u", change->after.port);
      add_claim (writes, input, change, key);
    }
}

static uint64_t
base_revision (const KqPlanChange *change)
{
  return change->base == NULL ? 0 : change->base->service.revision.revision;
}

static json_t *
writes_json (const Planner *planner)
{
  json_t *writes = json_array ();
  char key[KEY_BYTES];
  for (unsigned i = 0; i < planner->count; i++)
    {
      const KqPlanChange *change = &planner->changes[i];
      uint64_t expected = base_revision (change);
      snprintf (key, sizeof key, KQ_STORE_SERVICES "%" PRIu32, change->after.number);
      json_t *write =
          write_json (key, kq_plan_document (change, planner->input->operation), expected, change);
      if (change->base != NULL)
        json_object_set_new (write, "base", kq_service_to_json (&change->base->service));
      json_array_append_new (writes, write);
    }
  for (unsigned i = 0; i < planner->count; i++)
    add_claims (writes, planner->input, &planner->changes[i]);
  return writes;
}

static void
warn_restored (const Planner *planner, KqPlanNotes *notes)
{
  for (unsigned i = 0; i < planner->count; i++)
    {
      const KqPlanChange *change = &planner->changes[i];
      if (change->before != NULL &&
          (change->base == NULL || change->before != &change->base->service))
        kq_plan_warn (notes, change->after.name,
                      "the store was restored to an older state; the plan writes what is in force, "
                      "with its changes, under epoch %u",
                      change->after.revision.epoch);
    }
}

static json_t *
changes_json (const Planner *planner)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < planner->count; i++)
    {
      const KqPlanChange *change = &planner->changes[i];
      const KqService *before = change->before;
      const char *what = "change";
      if (before == NULL)
        what = "create";
      else if (change->after.removed && !before->removed)
        what = "remove";
      json_array_append_new (list,
                             json_pack ("{s:s, s:I, s:I, s:s, s:o}", "service", change->after.name,
                                        "number", (json_int_t)change->after.number, "base_revision",
                                        (json_int_t)base_revision (change), "what", what, "fields",
                                        kq_service_diff (before, &change->after)));
    }
  return list;
}

static char *
build_plan (const void *parent, Planner *planner)
{
  char digest[KQ_DIGEST_BYTES];
  KqPlanNotes notes = { .warnings = json_array (), .refusals = json_array () };
  json_t *effects = json_array ();
  for (unsigned i = 0; i < planner->count; i++)
    json_array_append_new (effects, kq_plan_effects (planner->input, &planner->changes[i], &notes));
  check_ports (planner, &notes);
  warn_restored (planner, &notes);
  bool refused = json_array_size (notes.refusals) > 0;
  json_t *root =
      json_pack ("{s:i, s:s, s:o, s:o, s:o, s:o, s:o}", "format", PLAN_FORMAT, "operation",
                 planner->input->operation, "changes", changes_json (planner), "effects", effects,
                 "warnings", notes.warnings, "refusals", notes.refusals, "writes",
                 refused ? json_array () : writes_json (planner));
  json_object_set_new (root, "digest", json_string (kq_plan_digest (root, digest)));
  char *text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  char *owned = talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return owned;
}

char *
kq_plan_new (const void *parent, const KqPlanInput *input, const KqIntentList *list, KqError *error)
{
  char *text = NULL;
  void *scratch = talloc_new (NULL);
  Planner planner = { .input = input, .next_number = input->number };
  planner.changes = talloc_zero_array (scratch, KqPlanChange, KQ_PLAN_SERVICES_MAX);
  if (apply_intents (&planner, list, error) < 0)
    goto done;
  if (list->is_complete && remove_unlisted (&planner, error) < 0)
    goto done;
  drop_unchanged (&planner);
  text = build_plan (parent, &planner);

done:
  talloc_free (scratch);
  return text;
}

static int
read_write (const json_t *item, KqPlanWrites *writes, KqPlanWrite *write, KqError *error)
{
  const char *key = json_string_value (json_object_get (item, "key"));
  const char *service = json_string_value (json_object_get (item, "service"));
  const json_t *value = json_object_get (item, "value");
  const json_t *base = json_object_get (item, "base");
  const json_t *expected = json_object_get (item, "expected");
  if (key == NULL || service == NULL || value == NULL || !json_is_integer (expected) ||
      strncmp (key, KQ_STORE_PREFIX, strlen (KQ_STORE_PREFIX)) != 0)
    return kq_error_set (error, KQ_ERROR_INVALID, "the plan has a malformed write; plan again");
  char *text = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);
  write->key = talloc_strdup (writes, key);
  write->service = talloc_strdup (writes, service);
  write->expected = (uint64_t)json_integer_value (expected);
  write->value = talloc_strdup (writes, text);
  free (text);
  if (strlen (write->value) > KQ_DOCUMENT_BYTES)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "the document of '%s' has %zu bytes; reduce it to at most %u", service,
                         strlen (write->value), KQ_DOCUMENT_BYTES);
  if (base != NULL)
    {
      text = json_dumps (base, JSON_COMPACT | JSON_SORT_KEYS);
      write->base = talloc_strdup (writes, text);
      free (text);
    }
  if (strncmp (key, KQ_STORE_SERVICES, strlen (KQ_STORE_SERVICES)) != 0)
    return 0;
  KqService checked;
  return kq_service_parse ((const uint8_t *)write->value, strlen (write->value), (KqRevision){ 0 },
                           &checked, error);
}

static int
read_plan (const json_t *root, KqPlanWrites *writes, KqError *error)
{
  char digest[KQ_DIGEST_BYTES];
  const char *operation = json_string_value (json_object_get (root, "operation"));
  const char *stated_digest = json_string_value (json_object_get (root, "digest"));
  const json_t *list = json_object_get (root, "writes");
  if (operation == NULL || strlen (operation) != KQ_OPERATION_BYTES - 1 || stated_digest == NULL ||
      !json_is_array (list))
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "this is not a plan; pass what kumquatctl plan "
                         "wrote");
  if (strcmp (kq_plan_digest (root, digest), stated_digest) != 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "the plan was altered after it was made; plan again");
  if (json_array_size (json_object_get (root, "refusals")) > 0)
    return kq_error_set (error, KQ_ERROR_DENIED,
                         "the plan was refused; follow the remedy it names and plan again");
  if (json_array_size (list) == 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "the plan changes nothing; there is nothing to confirm");
  snprintf (writes->operation, sizeof writes->operation, "%s", operation);
  snprintf (writes->digest, sizeof writes->digest, "%s", digest);
  writes->writes = talloc_zero_array (writes, KqPlanWrite, json_array_size (list));
  size_t index;
  const json_t *item;
  json_array_foreach (list, index, item)
  {
    if (read_write (item, writes, &writes->writes[writes->count++], error) < 0)
      return -1;
  }
  return 0;
}

KqPlanWrites *
kq_plan_parse (const void *parent, const char *text, size_t size, KqError *error)
{
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, NULL);
  KqPlanWrites *writes = talloc_zero (parent, KqPlanWrites);
  if (read_plan (root, writes, error) < 0)
    TALLOC_FREE (writes);
  json_decref (root);
  return writes;
}
