#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/plan_parts.h"

static void
add_difference (json_t *list, const char *field, const char *from, const char *to)
{
  json_array_append_new (list,
                         json_pack ("{s:s, s:s, s:s}", "field", field, "from", from, "to", to));
}

static void
compare_number (json_t *list, const char *field, bool created, uint32_t from, uint32_t to)
{
  char before[16] = "";
  char after[16];
  if (!created && from == to)
    return;
  if (!created)
    snprintf (before, sizeof before, "%" PRIu32, from);
  snprintf (after, sizeof after, "%" PRIu32, to);
  add_difference (list, field, before, after);
}

static void
compare_text (json_t *list, const char *field, bool created, const char *from, const char *to)
{
  if (created || strcmp (from, to) != 0)
    add_difference (list, field, created ? "" : from, to);
}

static const char *
protocol_name (KqProtocol protocol)
{
  return protocol == KQ_PROTOCOL_COAP ? "coap" : "udp";
}

/**
 * struct Named - an entry of one of a service's lists
 * @field: field name as shown in a difference
 * @value: its value as text
 */
typedef struct
{
  char field[KQ_NAME_BYTES + 16];
  char value[48];
} ListEntry;

#define LIST_ENTRIES_MAX (KQ_DENIED_MAX + KQ_WEIGHTS_MAX + KQ_WORTHS_MAX)

static unsigned
list_entries (const KqService *service, ListEntry *out)
{
  unsigned count = 0;
  for (unsigned i = 0; i < service->denied_count; i++, count++)
    {
      snprintf (out[count].field, sizeof out[count].field, "denied.%s", service->denied[i]);
      if (service->denied_limit_ms[i] == 0)
        snprintf (out[count].value, sizeof out[count].value, "limit of the service");
      else
        snprintf (out[count].value, sizeof out[count].value, "limit %" PRIu32 " ms",
                  service->denied_limit_ms[i]);
    }
  for (unsigned i = 0; i < service->weight_count; i++, count++)
    {
      snprintf (out[count].field, sizeof out[count].field, "weight.%s", service->weights[i].target);
      snprintf (out[count].value, sizeof out[count].value, "%u", service->weights[i].weight);
    }
  for (unsigned i = 0; i < service->worth_count; i++, count++)
    {
      snprintf (out[count].field, sizeof out[count].field, "worth.%s",
                service->worths[i].class_name);
      snprintf (out[count].value, sizeof out[count].value, "%" PRIu32, service->worths[i].worth);
    }
  return count;
}

static const char *
find_value (const ListEntry *entries, unsigned count, const char *field)
{
  for (unsigned i = 0; i < count; i++)
    if (strcmp (entries[i].field, field) == 0)
      return entries[i].value;
  return "";
}

static void
compare_lists (json_t *list, const KqService *before, const KqService *after)
{
  ListEntry old_entries[LIST_ENTRIES_MAX];
  ListEntry new_entries[LIST_ENTRIES_MAX];
  unsigned old_count = before == NULL ? 0 : list_entries (before, old_entries);
  unsigned new_count = list_entries (after, new_entries);
  for (unsigned i = 0; i < new_count; i++)
    {
      const char *from = find_value (old_entries, old_count, new_entries[i].field);
      if (strcmp (from, new_entries[i].value) != 0)
        add_difference (list, new_entries[i].field, from, new_entries[i].value);
    }
  for (unsigned i = 0; i < old_count; i++)
    if (find_value (new_entries, new_count, old_entries[i].field)[0] == '\0')
      add_difference (list, old_entries[i].field, old_entries[i].value, "");
}

json_t *
kq_service_diff (const KqService *before, const KqService *after)
{
  static const KqService empty;
  json_t *list = json_array ();
  bool created = before == NULL;
  const KqService *from = created ? &empty : before;
  compare_text (list, "protocol", created, protocol_name (from->protocol),
                protocol_name (after->protocol));
  compare_number (list, "port", created, from->port, after->port);
  compare_number (list, "slots", created, from->slots, after->slots);
  compare_number (list, "connections", created, from->connections, after->connections);
  compare_number (list, "deadline_ms", created, from->deadline_ms, after->deadline_ms);
  compare_number (list, "drain_limit_ms", created, from->drain_limit_ms, after->drain_limit_ms);
  compare_number (list, "slo_permille", created, from->slo_permille, after->slo_permille);
  compare_number (list, "slo_latency_ms", created, from->slo_latency_ms, after->slo_latency_ms);
  if (from->removed != after->removed)
    add_difference (list, "removed", from->removed ? "true" : "false",
                    after->removed ? "true" : "false");
  compare_lists (list, before, after);
  return list;
}
