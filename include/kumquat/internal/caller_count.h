/* Estimates how many flows each caller's IP address has, in fixed memory (count-min sketch). */
#pragma once

#include "kumquat/types.h"

typedef struct KqCallerCount KqCallerCount;

/** kq_caller_count_new - Return: (owned by @parent) a sketch of zeros, or NULL without memory */
KqCallerCount *kq_caller_count_new (const void *parent);

/** kq_caller_count_add - adds @change flows to @caller's IP address */
void kq_caller_count_add (KqCallerCount *count, const KqAddress *caller, int change);

/** kq_caller_count_get - Return: flows of @caller's IP address; never too low */
unsigned kq_caller_count_get (const KqCallerCount *count, const KqAddress *caller);

/** kq_caller_count_bytes - Return: bytes of one sketch */
size_t kq_caller_count_bytes (void);
