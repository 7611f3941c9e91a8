#include <math.h>
#include <string.h>

#include "kumquat/internal/request_cost.h"

#define INITIAL_SERVICE_US   20000.0 /* estimate until the first sample of a class */
#define MIN_SERVICE_US       1.0
#define SAMPLE_WEIGHT        0.05         /* weight of a new sample in the moving averages */
#define DEVIATION_FACTOR     2.0          /* nearly all requests end within mean + 2 deviations */
#define CALLER_ROUND_TRIP_US (10 * KQ_MS) /* reserved for the network round trip to the caller */

static unsigned
named_classes (const KqRequestGuardParams *params)
{
  return params->class_count < KQ_REQUEST_CLASSES_MAX ? params->class_count
                                                      : KQ_REQUEST_CLASSES_MAX;
}

static void
set_class (KqRequestCosts *costs, unsigned index, const KqRequestClass *class_of_requests)
{
  memcpy (costs->names[index], class_of_requests->name, KQ_NAME_BYTES);
  costs->names[index][KQ_NAME_BYTES - 1] = '\0';
  costs->worth[index] = class_of_requests->worth;
}

void
kq_request_costs_init (KqRequestCosts *costs, const KqRequestGuardParams *params)
{
  memset (costs, 0, sizeof *costs);
  costs->count = 1;
  costs->service_us[0] = INITIAL_SERVICE_US;
  kq_request_costs_set_classes (costs, params);
}

/* Requests that are already queued keep their class index, which may denote another class until
 * they leave the queue. */
void
kq_request_costs_set_classes (KqRequestCosts *costs, const KqRequestGuardParams *params)
{
  KqRequestCosts old = *costs;
  bool equal_worth = (params->disable & KQ_DISABLE_WORTH) != 0;
  unsigned named = named_classes (params);
  for (unsigned i = 0; i <= KQ_REQUEST_CLASSES_MAX; i++)
    {
      costs->service_us[i] = old.service_us[old.count - 1];
      costs->deviation_us[i] = old.deviation_us[old.count - 1];
    }
  for (unsigned i = 0; i < named; i++)
    {
      set_class (costs, i, &params->classes[i]);
      unsigned old_index = kq_request_costs_class (&old, costs->names[i]);
      costs->service_us[i] = old.service_us[old_index];
      costs->deviation_us[i] = old.deviation_us[old_index];
    }
  costs->worth[named] = params->default_worth > 0 ? params->default_worth : 1;
  costs->count = named + 1;
  for (unsigned i = 0; equal_worth && i < costs->count; i++)
    costs->worth[i] = 1;
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
  double *deviation = &costs->deviation_us[class_index];
  *deviation += SAMPLE_WEIGHT * (fabs ((double)service_us - *average) - *deviation);
  *average += SAMPLE_WEIGHT * ((double)service_us - *average);
  if (*average < MIN_SERVICE_US)
    *average = MIN_SERVICE_US;
}

double
kq_request_costs_worth_density (const KqRequestCosts *costs, unsigned class_index)
{
  return costs->worth[class_index] / costs->service_us[class_index];
}

KqTime
kq_request_costs_time_bound_us (const KqRequestCosts *costs, unsigned class_index)
{
  double service_us = costs->service_us[class_index];
  return (KqTime)(service_us + DEVIATION_FACTOR * costs->deviation_us[class_index]) +
         CALLER_ROUND_TRIP_US;
}
