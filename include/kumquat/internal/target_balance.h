/* How evenly the targets of each service are used. */
#pragma once

#include <stdint.h>

typedef struct KqTargetBalance KqTargetBalance;

/** kq_target_balance_new - Return: (owned by @parent) an empty balance for at most @targets
 * targets, or NULL without memory */
KqTargetBalance *kq_target_balance_new (const void *parent, unsigned targets);

/** kq_target_balance_add - adds a target of @service; @use is its load per slot. Further targets
 * than announced are left out. */
void kq_target_balance_add (KqTargetBalance *balance, uint32_t service, double use);

/** kq_target_balance_busiest_permille - Return: use of the busiest target relative to the mean of
 * its service, in thousandths; the highest of all services with two targets or more, 0 for none */
unsigned kq_target_balance_busiest_permille (const KqTargetBalance *balance);
