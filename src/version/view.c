#include <string.h>

#include "kumquat/view.h"

bool
kq_service_admits (const KqService *service, const KqMember *target)
{
  for (unsigned i = 0; i < service->denied_count; i++)
    {
      if (strcmp (service->denied[i], target->name) == 0)
        return false;
      if (strcmp (service->denied[i], target->failure_domain) == 0)
        return false;
    }
  return true;
}
