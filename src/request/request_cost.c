#include <string.h>

#include "kumquat/internal/request_cost.h"

#define INITIAL_SERVICE_US 20000.0 /* before the first sample of a class */
#define MIN_SERVICE_US     1.0
#define SAMPLE_WEIGHT      0.05 /* of a new sample in the moving average */

void
kq_request_costs_init (KqRequestCosts *costs, const KqRequestGuardParams *params)
{
  bool flat = (params->disable & KQ_DISABLE_WORTH) != 0;
  memset (costs, 0, sizeof *costs);
  unsigned named =
      params->class_count < KQ_REQUEST_CLASSES_MAX ? params->class_count : KQ_REQUEST_CLASSES_MAX;
  for (unsigned i = 0; i < named; i++)
    {
      memcpy (costs->names[i], params->classes[i].name, KQ_NAME_BYTES);
      costs->names[i][KQ_NAME_BYTES - 1] = '\0';
      costs->worth[i] = params->classes[i].worth;
    }
  costs->worth[named] = params->default_worth > 0 ? params->default_worth : 1;
  costs->count = named + 1;
  for (unsigned i = 0; i < costs->count; i++)
    {
      costs->service_us[i] = INITIAL_SERVICE_US;
      if (flat)
        costs->worth[i] = 1;
    }
}

unsigned
kq_request_costs_class (const KqRequestCosts *costs, const char *name)
{
  for (unsigned i = 0; i + 1 < costs->count; i++)
    if (strcmp (costs->names[i], name) == 0)
      return i;
  return costs->count - 1;
}

void
kq_request_costs_sample (KqRequestCosts *costs, unsigned class_index, KqTime service_us)
{
  double *average = &costs->service_us[class_index];
  *average += SAMPLE_WEIGHT * ((double)service_us - *average);
  if (*average < MIN_SERVICE_US)
    *average = MIN_SERVICE_US;
}

double
kq_request_costs_density (const KqRequestCosts *costs, unsigned class_index)
{
  return costs->worth[class_index] / costs->service_us[class_index];
}
