#include <errno.h>
#include <string.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/timer.h"

/**
 * struct KqTimer - a timer based on timerfd
 * @fd: the timerfd descriptor
 * @expires_at: expiry time; KQ_NEVER if the timer is not armed
 * @callback: called when the timer expires
 * @data: context pointer of @callback
 */
struct KqTimer
{
  int fd;
  KqTime expires_at;
  void (*callback) (void *data);
  void *data;
};

static void
on_expiry (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  KqTimer *timer = data;
  uint64_t times;
  (void)ev;
  (void)fde;
  (void)flags;
  if (read (timer->fd, &times, sizeof times) != (ssize_t)sizeof times)
    return;
  timer->expires_at = KQ_NEVER;
  timer->callback (timer->data);
}

static int
destroy (KqTimer *timer)
{
  if (timer->fd >= 0)
    close (timer->fd);
  return 0;
}

KqTimer *
kq_timer_new (const void *parent, struct tevent_context *ev, void (*callback) (void *data),
              void *data, KqError *error)
{
  KqTimer *timer = talloc_zero (parent, KqTimer);
  if (timer == NULL)
    goto error;
  timer->expires_at = KQ_NEVER;
  timer->callback = callback;
  timer->data = data;
  timer->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer->fd < 0)
    goto error;
  struct tevent_fd *fde = tevent_add_fd (ev, timer, timer->fd, TEVENT_FD_READ, on_expiry, timer);
  if (fde == NULL)
    goto error;
  talloc_set_destructor (timer, destroy);
  return timer;

error:
  kq_error_set (error, KQ_ERROR_SYSTEM, "cannot create a timer: %s; raise the open file limit",
                strerror (errno));
  talloc_free (timer);
  return NULL;
}

void
kq_timer_set (KqTimer *timer, KqTime expires_at)
{
  struct itimerspec when = { 0 };
  if (expires_at == timer->expires_at)
    return;
  timer->expires_at = expires_at;
  if (expires_at != KQ_NEVER)
    {
      /* timerfd_settime() disarms the timer if the time is 0. */
      KqTime armed_time = expires_at > 0 ? expires_at : 1;
      when.it_value.tv_sec = armed_time / KQ_SECOND;
      when.it_value.tv_nsec = armed_time % KQ_SECOND * 1000;
    }
  timerfd_settime (timer->fd, TFD_TIMER_ABSTIME, &when, NULL);
}
