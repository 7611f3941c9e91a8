/* Range checks for the fields of a service's configuration, shared by documents and intents. */

#include <string.h>

#include "kumquat/view.h"

#define SLOTS_MAX       100000
#define CONNECTIONS_MAX 1000000
#define DURATION_MAX_MS 86400000
#define PERMILLE_MAX    999
#define WORTH_MAX       1000000

static int
check_field (const char *name, uint32_t value, uint32_t min, uint32_t max, KqError *error)
{
  if (value >= min && value <= max)
    return 0;
  return kq_error_set (error, KQ_ERROR_RANGE, "%s is %u; set it from %u to %u", name, value, min,
                       max);
}

static int
check_names (const KqService *service, KqError *error)
{
  for (unsigned i = 0; i < service->denied_count; i++)
    {
      if (kq_name_check (service->denied[i], error) < 0 ||
          check_field ("drain limit in ms", service->denied_limit_ms[i], 0, DURATION_MAX_MS,
                       error) < 0)
        return -1;
    }
  for (unsigned i = 0; i < service->weight_count; i++)
    {
      if (kq_name_check (service->weights[i].target, error) < 0 ||
          check_field ("weight", service->weights[i].weight, 1, KQ_WEIGHT_MAX, error) < 0)
        return -1;
    }
  for (unsigned i = 0; i < service->worth_count; i++)
    {
      if (kq_name_check (service->worths[i].class_name, error) < 0 ||
          check_field ("worth", service->worths[i].worth, 0, WORTH_MAX, error) < 0)
        return -1;
    }
  return 0;
}

int
kq_service_check (const KqService *service, KqError *error)
{
  if (service->number == 0)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "service number is 0; create the service with a confirmed plan");
  if (kq_name_check (service->name, error) < 0)
    return -1;
  if (service->protocol != KQ_PROTOCOL_COAP && service->protocol != KQ_PROTOCOL_UDP)
    return kq_error_set (error, KQ_ERROR_RANGE, "protocol is unknown; use \"coap\" or \"udp\"");
  if (check_field ("port", service->port, 1, UINT16_MAX, error) < 0 ||
      check_field ("slots", service->slots, 1, SLOTS_MAX, error) < 0 ||
      check_field ("connections", service->connections, 1, CONNECTIONS_MAX, error) < 0 ||
      check_field ("deadline_ms", service->deadline_ms, 1, DURATION_MAX_MS, error) < 0 ||
      check_field ("drain_limit_ms", service->drain_limit_ms, 0, DURATION_MAX_MS, error) < 0 ||
      check_field ("slo_permille", service->slo_permille, 1, PERMILLE_MAX, error) < 0 ||
      check_field ("slo_latency_ms", service->slo_latency_ms, 1, DURATION_MAX_MS, error) < 0)
    return -1;
  return check_names (service, error);
}
