/* Limit that grows linearly from a floor to a ceiling: cold starts and recovery from shedding. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqRamp - one ramp
 * @floor: the limit until @start, at least 1
 * @start: when it starts to grow
 * @duration_us: how long it takes to reach the ceiling
 */
typedef struct
{
  unsigned floor;
  KqTime start;
  KqTime duration_us;
} KqRamp;

/** kq_ramp_limit - Return: the limit at @now, from the floor to @ceiling */
unsigned kq_ramp_limit (const KqRamp *ramp, unsigned ceiling, KqTime now);
