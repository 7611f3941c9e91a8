/* Worth of each request class and how long its requests take in the target. */
#pragma once

#include "kumquat/request_guard.h"

/**
 * struct KqRequestCosts - moving averages of service times
 * @worth: (array): of each class; the last one stands for all unnamed classes
 * @service_us: (array): moving average
 * @deviation_us: (array): moving average of the distance from it
 * @names: (array) names of the classes
 * @count: classes with the unnamed one
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

/** kq_request_costs_set_classes - takes other classes; a class keeps what was learnt under its name
 */
void kq_request_costs_set_classes (KqRequestCosts *costs, const KqRequestGuardParams *params);

/** kq_request_costs_class - Return: index of a class name; the last one when it is not known */
unsigned kq_request_costs_class (const KqRequestCosts *costs, const char *name);

/** kq_request_costs_sample - learns from one request */
void kq_request_costs_sample (KqRequestCosts *costs, unsigned class_index, KqTime service_us);

/** kq_request_costs_density - Return: worth for each microsecond in a slot */
double kq_request_costs_density (const KqRequestCosts *costs, unsigned class_index);

/** kq_request_costs_needed_us - Return: time in which nearly all requests of a class are answered
 */
KqTime kq_request_costs_needed_us (const KqRequestCosts *costs, unsigned class_index);
