/* Linearly increasing limit, used after cold starts and for recovery from load shedding. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqRamp - parameters of a ramp
 * @floor: the limit until @start, at least 1
 * @start: when the limit starts to increase
 * @duration_us: time until the limit reaches the ceiling
 */
typedef struct
{
  unsigned floor;
  KqTime start;
  KqTime duration_us;
} KqRamp;

/** kq_ramp_limit - Return: the limit at @now, between the floor and @ceiling */
unsigned kq_ramp_limit (const KqRamp *ramp, unsigned ceiling, KqTime now);
