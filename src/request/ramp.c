#include "kumquat/internal/ramp.h"

unsigned
kq_ramp_limit (const KqRamp *ramp, unsigned ceiling, KqTime now)
{
  if (ramp->floor >= ceiling)
    return ceiling;
  if (now < ramp->start)
    return ramp->floor;
  KqTime elapsed = now - ramp->start;
  if (elapsed >= ramp->duration_us)
    return ceiling;
  return ramp->floor + (unsigned)((ceiling - ramp->floor) * elapsed / ramp->duration_us);
}
