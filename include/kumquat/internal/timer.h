/* A timer on the monotonic clock. tevent's own timers follow the time of day, which may jump. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqTimer KqTimer;

/** kq_timer_new - Return: (owned by @parent) a timer that is not set, or NULL with @error set */
KqTimer *kq_timer_new (const void *parent, struct tevent_context *ev, void (*due) (void *data),
                       void *data, KqError *error);

/** kq_timer_set - calls back once at @at, by kq_clock_now(); KQ_NEVER: not at all */
void kq_timer_set (KqTimer *timer, KqTime at);
