/* Estimates the number of flows per caller IP address in fixed memory (count-min sketch). */
#pragma once

#include "kumquat/types.h"

typedef struct KqCallerCount KqCallerCount;

/** kq_caller_count_new - Return: (owned by @parent) an empty sketch, or NULL without memory */
KqCallerCount *kq_caller_count_new (const void *parent);

/** kq_caller_count_add - adds @change flows to @caller's IP address */
void kq_caller_count_add (KqCallerCount *count, const KqAddress *caller, int change);

/** kq_caller_count_get - Return: estimated flows of @caller's IP address; never too low */
unsigned kq_caller_count_get (const KqCallerCount *count, const KqAddress *caller);

/** kq_caller_count_bytes - Return: size of one sketch in bytes */
size_t kq_caller_count_bytes (void);
