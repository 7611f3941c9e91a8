#include <ctype.h>
#include <string.h>

#include "kumquat/internal/test_switch.h"
#include "kumquat/view.h"

static int
denied_index (const KqService *service, const KqMember *target)
{
  for (unsigned i = 0; i < service->denied_count; i++)
    {
      if (strcmp (service->denied[i], target->name) == 0)
        return (int)i;
      if (strcmp (service->denied[i], target->failure_domain) == 0)
        return (int)i;
    }
  return -1;
}

bool
kq_service_admits (const KqService *service, const KqMember *target)
{
  return denied_index (service, target) < 0 || kq_test_is_disabled ("drain");
}

unsigned
kq_service_weight (const KqService *service, const KqMember *target)
{
  for (unsigned i = 0; i < service->weight_count; i++)
    if (strcmp (service->weights[i].target, target->name) == 0)
      return service->weights[i].weight;
  return target->weight;
}

uint32_t
kq_service_drain_limit_ms (const KqService *service, const KqMember *target)
{
  int index = denied_index (service, target);
  if (index >= 0 && service->denied_limit_ms[index] > 0)
    return service->denied_limit_ms[index];
  return service->drain_limit_ms;
}

uint32_t
kq_service_worth (const KqService *service, const char *class_name)
{
  for (unsigned i = 0; i < service->worth_count; i++)
    if (strcmp (service->worths[i].class_name, class_name) == 0)
      return service->worths[i].worth;
  return 1;
}

int
kq_name_check (const char *name, KqError *error)
{
  size_t length = strlen (name);
  bool valid = length > 0 && length < KQ_NAME_BYTES;
  for (size_t i = 0; valid && i < length; i++)
    valid = islower ((unsigned char)name[i]) || isdigit ((unsigned char)name[i]) || name[i] == '-';
  if (valid)
    return 0;
  return kq_error_set (error, KQ_ERROR_RANGE,
                       "name '%.40s' is not allowed; use 1 to %d lower-case letters, digits and "
                       "hyphens",
                       name, KQ_NAME_BYTES - 1);
}
