#include <errno.h>
#include <string.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/timer.h"

/**
 * struct KqTimer - a timer based on timerfd
 * @fd: the timerfd descriptor
 * @at: expiry time; KQ_NEVER if the timer is not armed
 * @due: called when the timer expires
 * @data: context pointer of @due
 */
struct KqTimer
{
  int fd;
  KqTime at;
  void (*due) (void *data);
  void *data;
};

static void
on_due (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  KqTimer *timer = data;
  uint64_t times;
  (void)ev;
  (void)fde;
  (void)flags;
  if (read (timer->fd, &times, sizeof times) != (ssize_t)sizeof times)
    return;
  timer->at = KQ_NEVER;
  timer->due (timer->data);
}

static int
destroy (KqTimer *timer)
{
  if (timer->fd >= 0)
    close (timer->fd);
  return 0;
}

KqTimer *
kq_timer_new (const void *parent, struct tevent_context *ev, void (*due) (void *data), void *data,
              KqError *error)
{
  KqTimer *timer = talloc_zero (parent, KqTimer);
  if (timer == NULL)
    goto error;
  timer->at = KQ_NEVER;
  timer->due = due;
  timer->data = data;
  timer->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer->fd < 0)
    goto error;
  struct tevent_fd *fde = tevent_add_fd (ev, timer, timer->fd, TEVENT_FD_READ, on_due, timer);
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
kq_timer_set (KqTimer *timer, KqTime at)
{
  struct itimerspec when = { 0 };
  if (at == timer->at)
    return;
  timer->at = at;
  if (at != KQ_NEVER)
    {
      /* timerfd_settime() disarms the timer if the time is 0. */
      KqTime set = at > 0 ? at : 1;
      when.it_value.tv_sec = set / KQ_SECOND;
      when.it_value.tv_nsec = set % KQ_SECOND * 1000;
    }
  timerfd_settime (timer->fd, TFD_TIMER_ABSTIME, &when, NULL);
}
