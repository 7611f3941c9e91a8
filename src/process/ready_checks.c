/* The platform checks readiness every 0.5 s. A negative answer a few milliseconds before a process
 * becomes ready would cost half a second more without service, which counts when the whole fleet
 * restarts after a power loss. Such a check is held until the process is ready. */

#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/ready_checks.h"
#include "kumquat/internal/timer.h"
#include "kumquat/log.h"

#define HTTP_OK          200
#define HTTP_UNAVAILABLE 503
#define WAITING_MAX                                                                                \
  8 /* concurrent checks; there is one prober, and its next check comes 0.5 s later */

/**
 * struct KqReadyChecks - checks that are held until they can be answered
 * @wait_us: longest time for which a check is held
 * @timer: due when the oldest check was held for @wait_us
 * @waiting: (array): requests that are held, oldest first
 * @count: length of @waiting
 * @oldest_at: when the oldest request arrived
 * @last_answer: last answer
 */
struct KqReadyChecks
{
  KqReadyState (*state) (void *data);
  void *data;
  KqTime wait_us;
  KqTimer *timer;
  KqHttpRequest *waiting[WAITING_MAX];
  unsigned count;
  KqTime oldest_at;
  bool last_answer;
};

static void
respond (KqReadyChecks *checks, KqHttpRequest *request, bool ready)
{
  static const char empty[] = "{}";
  if (ready != checks->last_answer)
    kq_log (LOG_NOTICE, ready ? "ready" : "not-ready", "waited_ms=%lld",
            checks->count == 0 ? 0LL : (long long)((kq_clock_now () - checks->oldest_at) / KQ_MS));
  checks->last_answer = ready;
  kq_http_respond (request, ready ? HTTP_OK : HTTP_UNAVAILABLE, "application/json", empty,
                   sizeof empty - 1);
}

static void
respond_all (KqReadyChecks *checks, bool ready)
{
  for (unsigned i = 0; i < checks->count; i++)
    respond (checks, checks->waiting[i], ready);
  checks->count = 0;
  kq_timer_set (checks->timer, KQ_NEVER);
}

static void
on_wait_expired (void *data)
{
  KqReadyChecks *checks = data;
  respond_all (checks, checks->state (checks->data).ready);
}

KqReadyChecks *
kq_ready_checks_new (const void *parent, struct tevent_context *ev, KqTime wait_us,
                     KqReadyState (*state) (void *data), void *data, KqError *error)
{
  KqReadyChecks *checks = talloc_zero (parent, KqReadyChecks);
  if (checks == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "out of memory for readiness checks; raise the memory limit");
      return NULL;
    }
  checks->state = state;
  checks->data = data;
  checks->wait_us = wait_us;
  checks->timer = kq_timer_new (checks, ev, on_wait_expired, checks, error);
  if (checks->timer == NULL)
    TALLOC_FREE (checks);
  return checks;
}

void
kq_ready_checks_handle (KqReadyChecks *checks, KqHttpRequest *request)
{
  KqReadyState state = checks->state (checks->data);
  if (state.ready || !state.may_become_ready || checks->count == WAITING_MAX)
    {
      respond (checks, request, state.ready);
      return;
    }
  checks->waiting[checks->count++] = request;
  if (checks->count > 1)
    return;
  checks->oldest_at = kq_clock_now ();
  kq_timer_set (checks->timer, checks->oldest_at + checks->wait_us);
}

void
kq_ready_checks_update (KqReadyChecks *checks)
{
  if (checks->count == 0)
    return;
  KqReadyState state = checks->state (checks->data);
  if (state.ready || !state.may_become_ready)
    respond_all (checks, state.ready);
}
