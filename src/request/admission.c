/* A target serves a fixed number of requests concurrently and queues the rest in FIFO order, where
 * they can no longer be prioritized or refused. Streams in excess of the target's slots are
 * therefore queued here, before they are opened: the caller has not sent any request yet, so it is
 * certain that a refused stream has run nothing. This handles demand above capacity: bursts, failed
 * or slow targets, and the reconnection of all callers after an outage. */

#include "kumquat/internal/admission.h"

#define INITIAL_SLOTS      4     /* until the target has reported its slots */
#define INITIAL_SERVICE_US 50000 /* service time until one was measured */
#define AVERAGE_DIVISOR    16    /* a new sample has a weight of 1/16 in the moving averages */

/* The request of a new stream arrives two network round trips after the stream is opened. One extra
 * stream is opened for every 3 slots, so that no slot is idle during that time. */
#define SLOTS_PER_EXTRA_STREAM 3

/* A caller abandons a connection attempt that is not accepted within 1.4 s. A stream waits at most
 * 1.3 s; the remaining time is for the network round trip. */
#define WAIT_MAX_US (1300 * KQ_MS)

#define SERVICE_TIME_MARGIN 2   /* nearly all service times are below this multiple of the mean */
#define QUEUE_MAX           256 /* queued streams; waits beyond WAIT_MAX_US would be of no use */

void
kq_admission_init (KqAdmission *admission)
{
  admission->slots = INITIAL_SLOTS;
  admission->running = 0;
  admission->service_us = INITIAL_SERVICE_US;
  admission->waiting_count = 0;
  TAILQ_INIT (&admission->waiting);
}

void
kq_admission_set_slots (KqAdmission *admission, unsigned slots)
{
  if (slots > 0)
    admission->slots = slots;
}

bool
kq_admission_has_capacity (const KqAdmission *admission)
{
  unsigned ahead = (admission->slots + SLOTS_PER_EXTRA_STREAM - 1) / SLOTS_PER_EXTRA_STREAM;
  return admission->running < admission->slots + ahead;
}

void
kq_admission_request_started (KqAdmission *admission)
{
  admission->running++;
}

void
kq_admission_request_ended (KqAdmission *admission, KqTime took_us)
{
  if (admission->running > 0)
    admission->running--;
  if (took_us < 0)
    return;
  admission->service_us += (took_us - admission->service_us) / AVERAGE_DIVISOR;
  admission->recent_answers += 1 - admission->recent_answers / AVERAGE_DIVISOR;
  admission->recent_bytes -= admission->recent_bytes / AVERAGE_DIVISOR;
}

void
kq_admission_count_answer_bytes (KqAdmission *admission, size_t size)
{
  admission->recent_bytes += (double)size;
}

/* Return: the latest time at which opening the stream is still useful to its caller. */
static KqTime
latest_start (const KqAdmission *admission, const KqAdmissionEntry *entry)
{
  KqTime wait = WAIT_MAX_US;
  KqTime timeout = entry->need.timeout_ms * KQ_MS - admission->service_us;
  if (entry->need.timeout_ms > 0 && timeout < wait)
    wait = timeout;
  return entry->arrived_at + wait;
}

void
kq_admission_enqueue (KqAdmission *admission, KqAdmissionEntry *entry)
{
  TAILQ_INSERT_TAIL (&admission->waiting, entry, link);
  admission->waiting_count++;
}

void
kq_admission_remove (KqAdmission *admission, KqAdmissionEntry *entry)
{
  TAILQ_REMOVE (&admission->waiting, entry, link);
  admission->waiting_count--;
}

static bool
can_meet_objective (const KqAdmission *admission, const KqAdmissionEntry *entry, KqTime now)
{
  KqTime max_service_us = SERVICE_TIME_MARGIN * admission->service_us;
  return now + max_service_us <= entry->arrived_at + entry->need.objective_ms * KQ_MS;
}

static bool
is_served_before (const KqAdmission *admission, const KqAdmissionEntry *a,
                  const KqAdmissionEntry *b, KqTime now)
{
  bool a_in_time = can_meet_objective (admission, a, now);
  bool b_in_time = can_meet_objective (admission, b, now);
  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->need.priority != b->need.priority)
    return a->need.priority < b->need.priority;
  /* Late streams are served newest first: their callers are the most likely to be still waiting. */
  return a_in_time ? a->arrived_at < b->arrived_at : a->arrived_at > b->arrived_at;
}

bool
kq_admission_should_enqueue (const KqAdmission *admission, const KqAdmissionEntry *entry,
                             KqTime now)
{
  const KqAdmissionEntry *other;
  KqTime ahead = 1;
  if (admission->waiting_count >= QUEUE_MAX)
    return false;
  TAILQ_FOREACH (other, &admission->waiting, link)
  {
    ahead += !is_served_before (admission, entry, other, now);
  }
  KqTime wait = ahead * admission->service_us / admission->slots;
  return now + wait <= latest_start (admission, entry);
}

KqAdmissionEntry *
kq_admission_select_next (const KqAdmission *admission, KqTime now)
{
  KqAdmissionEntry *entry;
  KqAdmissionEntry *best = NULL;
  if (!kq_admission_has_capacity (admission))
    return NULL;
  TAILQ_FOREACH (entry, &admission->waiting, link)
  {
    if (best == NULL || is_served_before (admission, entry, best, now))
      best = entry;
  }
  return best;
}

KqAdmissionEntry *
kq_admission_find_expired (const KqAdmission *admission, KqTime now)
{
  KqAdmissionEntry *entry;
  TAILQ_FOREACH (entry, &admission->waiting, link)
  {
    if (now > latest_start (admission, entry))
      return entry;
  }
  return NULL;
}

KqTargetLoad
kq_admission_load (const KqAdmission *admission)
{
  double bytes =
      admission->recent_answers >= 1 ? admission->recent_bytes / admission->recent_answers : 0;
  return (KqTargetLoad){ .answer_bytes = (uint32_t)bytes,
                         .running = admission->running,
                         .slots = admission->slots,
                         .waiting = admission->waiting_count,
                         .service_us = (uint32_t)admission->service_us };
}
