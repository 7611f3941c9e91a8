/* Timer on the monotonic clock. tevent's own timers use the wall clock, which may be adjusted. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqTimer KqTimer;

/** kq_timer_new - Return: (owned by @parent) an unarmed timer that calls @callback, or NULL with
 * @error set */
KqTimer *kq_timer_new (const void *parent, struct tevent_context *ev, void (*callback) (void *data),
                       void *data, KqError *error);

/** kq_timer_set - arms the timer to expire once at @expires_at, in the time of kq_clock_now();
 * KQ_NEVER disarms it */
void kq_timer_set (KqTimer *timer, KqTime expires_at);
