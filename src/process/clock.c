#include <time.h>

#include "kumquat/internal/clock.h"

static uint64_t
read_us (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

KqTime
kq_clock_now (void)
{
  return (KqTime)read_us (CLOCK_MONOTONIC);
}

uint64_t
kq_clock_wall_us (void)
{
  return read_us (CLOCK_REALTIME);
}
