#include <stdio.h>
#include <string.h>

#include "kumquat/intent.h"

#define PERCENT_MAX 100

static const KqService default_settings = {
  .protocol = KQ_PROTOCOL_COAP,
  .slots = 5,
  .connections = 2000,
  .deadline_ms = 2000,
  .drain_limit_ms = 0,
  .slo_permille = 990,
  .slo_latency_ms = 500,
};

static void
copy_lists (const KqService *from, uint32_t fields, KqService *service)
{
  if (fields & KQ_FIELD_DENIED)
    {
      memcpy (service->denied, from->denied, sizeof service->denied);
      memcpy (service->denied_limit_ms, from->denied_limit_ms, sizeof service->denied_limit_ms);
      service->denied_count = from->denied_count;
    }
  if (fields & KQ_FIELD_WEIGHTS)
    {
      memcpy (service->weights, from->weights, sizeof service->weights);
      service->weight_count = from->weight_count;
    }
  if (fields & KQ_FIELD_WORTHS)
    {
      memcpy (service->worths, from->worths, sizeof service->worths);
      service->worth_count = from->worth_count;
    }
}

static void
copy_fields (const KqService *from, uint32_t fields, KqService *service)
{
  if (fields & KQ_FIELD_PROTOCOL)
    service->protocol = from->protocol;
  if (fields & KQ_FIELD_PORT)
    service->port = from->port;
  if (fields & KQ_FIELD_SLOTS)
    service->slots = from->slots;
  if (fields & KQ_FIELD_CONNECTIONS)
    service->connections = from->connections;
  if (fields & KQ_FIELD_DEADLINE)
    service->deadline_ms = from->deadline_ms;
  if (fields & KQ_FIELD_DRAIN_LIMIT)
    service->drain_limit_ms = from->drain_limit_ms;
  if (fields & KQ_FIELD_SLO_PERMILLE)
    service->slo_permille = from->slo_permille;
  if (fields & KQ_FIELD_SLO_LATENCY)
    service->slo_latency_ms = from->slo_latency_ms;
  copy_lists (from, fields, service);
}

/* Settings missing from the intent are set to their defaults, except the port, which has none. */
static void
replace_settings (const KqIntent *intent, KqService *service)
{
  uint32_t all = ~(uint32_t)0 & ~KQ_FIELD_PORT;
  copy_fields (&default_settings, all, service);
  copy_fields (&intent->settings, intent->fields, service);
  service->removed = false;
}

static int
find_denied (const KqService *service, const char *name)
{
  for (unsigned i = 0; i < service->denied_count; i++)
    if (strcmp (service->denied[i], name) == 0)
      return (int)i;
  return -1;
}

static int
deny (KqService *service, const char *name, uint32_t limit_ms, KqError *error)
{
  int index = find_denied (service, name);
  if (index < 0 && service->denied_count == KQ_DENIED_MAX)
    return kq_error_set (error, KQ_ERROR_FULL,
                         "%d targets and failure domains of service '%s' are drained already; let "
                         "some join or drain a whole failure domain",
                         KQ_DENIED_MAX, service->name);
  if (index < 0)
    index = (int)service->denied_count++;
  snprintf (service->denied[index], KQ_NAME_BYTES, "%s", name);
  service->denied_limit_ms[index] = limit_ms;
  return 0;
}

static int
allow (KqService *service, const char *name, KqError *error)
{
  int index = find_denied (service, name);
  if (index < 0)
    return kq_error_set (error, KQ_ERROR_NOT_FOUND,
                         "'%s' of service '%s' is not drained; see kumquatctl services", name,
                         service->name);
  unsigned last = --service->denied_count;
  memmove (service->denied[index], service->denied[last], KQ_NAME_BYTES);
  service->denied_limit_ms[index] = service->denied_limit_ms[last];
  memset (service->denied[last], 0, KQ_NAME_BYTES);
  service->denied_limit_ms[last] = 0;
  return 0;
}

static int
set_weight (KqService *service, const char *target, uint32_t weight, KqError *error)
{
  unsigned i = 0;
  while (i < service->weight_count && strcmp (service->weights[i].target, target) != 0)
    i++;
  if (weight > KQ_WEIGHT_MAX)
    return kq_error_set (error, KQ_ERROR_RANGE, "weight is %u; set it from 0 to %d", weight,
                         KQ_WEIGHT_MAX);
  if (weight == 0 && i == service->weight_count)
    return 0;
  if (weight == 0)
    {
      service->weights[i] = service->weights[--service->weight_count];
      return 0;
    }
  if (i == KQ_WEIGHTS_MAX)
    return kq_error_set (error, KQ_ERROR_FULL,
                         "%d targets of service '%s' have a weight already; set the weight in the "
                         "settings of the agents instead",
                         KQ_WEIGHTS_MAX, service->name);
  if (i == service->weight_count)
    service->weight_count++;
  snprintf (service->weights[i].target, KQ_NAME_BYTES, "%s", target);
  service->weights[i].weight = (uint16_t)weight;
  return 0;
}

static int
set_worth (KqService *service, const char *class_name, uint32_t worth, KqError *error)
{
  unsigned i = 0;
  while (i < service->worth_count && strcmp (service->worths[i].class_name, class_name) != 0)
    i++;
  if (i == KQ_WORTHS_MAX)
    return kq_error_set (error, KQ_ERROR_FULL,
                         "service '%s' has %d request classes already; use fewer", service->name,
                         KQ_WORTHS_MAX);
  if (i == service->worth_count)
    service->worth_count++;
  snprintf (service->worths[i].class_name, KQ_NAME_BYTES, "%s", class_name);
  service->worths[i].worth = worth;
  return 0;
}

static int
apply_move (const KqIntent *intent, const KqMember *members, unsigned count, KqService *service,
            KqError *error)
{
  if (intent->value > PERCENT_MAX)
    return kq_error_set (error, KQ_ERROR_RANGE, "a move of %u%% is not possible; use 0 to 100",
                         intent->value);
  if (intent->value == PERCENT_MAX)
    return deny (service, intent->name, 0, error);
  unsigned found = 0;
  for (unsigned i = 0; i < count; i++)
    {
      const KqMember *member = &members[i];
      if (member->service != service->number || strcmp (member->failure_domain, intent->name) != 0)
        continue;
      uint32_t weight = member->weight * (PERCENT_MAX - intent->value) / PERCENT_MAX;
      if (intent->value == 0)
        weight = 0;
      else if (weight == 0)
        weight = 1;
      if (set_weight (service, member->name, weight, error) < 0)
        return -1;
      found++;
    }
  if (found == 0)
    return kq_error_set (error, KQ_ERROR_NOT_FOUND,
                         "no target of service '%s' runs in failure domain '%s'; see kumquatctl "
                         "status",
                         service->name, intent->name);
  return 0;
}

int
kq_intent_apply (const KqIntent *intent, const KqMember *members, unsigned member_count,
                 KqService *service, KqError *error)
{
  switch (intent->kind)
    {
    case KQ_INTENT_CREATE:
    case KQ_INTENT_REPLACE:
      replace_settings (intent, service);
      break;
    case KQ_INTENT_CHANGE:
      copy_fields (&intent->settings, intent->fields, service);
      break;
    case KQ_INTENT_REMOVE:
      service->removed = true;
      return 0;
    case KQ_INTENT_DRAIN:
      if (deny (service, intent->name, intent->value, error) < 0)
        return -1;
      break;
    case KQ_INTENT_JOIN:
      if (allow (service, intent->name, error) < 0)
        return -1;
      break;
    case KQ_INTENT_WEIGHT:
      if (set_weight (service, intent->name, intent->value, error) < 0)
        return -1;
      break;
    case KQ_INTENT_WORTH:
      if (set_worth (service, intent->name, intent->value, error) < 0)
        return -1;
      break;
    case KQ_INTENT_MOVE:
      if (apply_move (intent, members, member_count, service, error) < 0)
        return -1;
      break;
    case KQ_INTENT_RESTORE:
      break;
    case KQ_INTENT_UNDO:
      return kq_error_set (error, KQ_ERROR_INVALID,
                           "an undo cannot be applied to a configuration; request a plan");
    }
  return kq_service_check (service, error);
}
