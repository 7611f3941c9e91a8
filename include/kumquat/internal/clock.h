/* System clocks. Decision logic takes the time as an argument instead of reading a clock. */
#pragma once

#include "kumquat/types.h"

/** kq_clock_now - Return: monotonic time in microseconds */
KqTime kq_clock_now (void);

/** kq_clock_wall_us - Return: microseconds since 1970, for incarnation numbers and logs only */
uint64_t kq_clock_wall_us (void);
