/* Worth and service time estimates of request classes. */
#pragma once

#include "kumquat/request_guard.h"

/**
 * struct KqRequestCosts - worth and moving averages of the service times of each class
 * @worth: (array): worth of each class; the last entry is for all unnamed classes
 * @service_us: (array): moving average of the service time
 * @deviation_us: (array): moving average of the absolute deviation from @service_us
 * @names: (array): names of the classes
 * @count: number of classes, including the unnamed one
 */
typedef struct
{
  double worth[KQ_REQUEST_CLASSES_MAX + 1];
  double service_us[KQ_REQUEST_CLASSES_MAX + 1];
  double deviation_us[KQ_REQUEST_CLASSES_MAX + 1];
  char names[KQ_REQUEST_CLASSES_MAX][KQ_NAME_BYTES];
  unsigned count;
} KqRequestCosts;

void kq_request_costs_init (KqRequestCosts *costs, const KqRequestGuardParams *params);

/** kq_request_costs_set_classes - replaces the classes; a class of the same name keeps its
 * estimates */
void kq_request_costs_set_classes (KqRequestCosts *costs, const KqRequestGuardParams *params);

/** kq_request_costs_class - Return: index of a class; the unnamed class if @name is unknown */
unsigned kq_request_costs_class (const KqRequestCosts *costs, const char *name);

/** kq_request_costs_sample - updates the estimates with one measured service time */
void kq_request_costs_sample (KqRequestCosts *costs, unsigned class_index, KqTime service_us);

/** kq_request_costs_worth_density - Return: worth per microsecond of slot time */
double kq_request_costs_worth_density (const KqRequestCosts *costs, unsigned class_index);

/** kq_request_costs_time_bound_us - Return: time within which nearly all requests of a class are
 * answered, including the network round trip */
KqTime kq_request_costs_time_bound_us (const KqRequestCosts *costs, unsigned class_index);
