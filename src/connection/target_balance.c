#include <talloc.h>

#include "kumquat/internal/target_balance.h"

#define PERMILLE 1000

/* Multiplier of Fibonacci hashing. */
#define HASH_MULTIPLIER UINT32_C (0x9e3779b1)

typedef struct
{
  uint32_t service;
  unsigned targets;
  double sum;
  double highest;
} ServiceUse;

/**
 * struct KqTargetBalance - hash table of services with open addressing
 * @services: (array): an entry without targets is free
 * @size: length of @services, twice the number of targets at least
 * @left: targets that may still be added
 */
struct KqTargetBalance
{
  ServiceUse *services;
  unsigned size;
  unsigned left;
};

KqTargetBalance *
kq_target_balance_new (const void *parent, unsigned targets)
{
  KqTargetBalance *balance = talloc_zero (parent, KqTargetBalance);
  if (balance == NULL)
    return NULL;
  balance->left = targets;
  balance->size = 2 * targets + 1;
  balance->services = talloc_zero_array (balance, ServiceUse, balance->size);
  if (balance->services == NULL)
    TALLOC_FREE (balance);
  return balance;
}

void
kq_target_balance_add (KqTargetBalance *balance, uint32_t service, double use)
{
  unsigned i = service * HASH_MULTIPLIER % balance->size;
  if (balance->left == 0)
    return;
  balance->left--;
  while (balance->services[i].targets > 0 && balance->services[i].service != service)
    i = (i + 1) % balance->size;
  ServiceUse *found = &balance->services[i];
  found->service = service;
  found->targets++;
  found->sum += use;
  if (use > found->highest)
    found->highest = use;
}

unsigned
kq_target_balance_busiest_permille (const KqTargetBalance *balance)
{
  double busiest = 0;
  for (unsigned i = 0; i < balance->size; i++)
    {
      const ServiceUse *service = &balance->services[i];
      if (service->targets < 2 || service->sum <= 0)
        continue;
      double ratio = service->highest * service->targets / service->sum;
      if (ratio > busiest)
        busiest = ratio;
    }
  return (unsigned)(busiest * PERMILLE);
}
