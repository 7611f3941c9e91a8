/* A target runs some requests at once and queues the rest in the order of their arrival, where
 * nobody can choose any more. So streams beyond the slots wait here, before they are opened: the
 * caller has sent nothing yet, and a refusal is true. This answers demand above the slots: a burst,
 * targets that are lost or slow, and the return of all callers after an outage. */

#include "kumquat/internal/admission.h"

#define SLOTS_FIRST      4     /* while the target has not said how many it has */
#define SERVICE_FIRST_US 50000 /* time of a request before one was measured */
#define SERVICE_SHARE    16    /* a new measurement counts for one part in so many */

/* A new stream takes two ways to the caller and back before its request arrives; so many more than
 * the slots are opened, so that a slot does not stand empty meanwhile. */
#define AHEAD_PARTS 3 /* one in so many slots */

/* A caller gives up an attempt that was not accepted in 1.4 s; the rest is for the ways. */
#define ATTEMPT_US (1300 * KQ_MS)

#define SPREAD      2   /* nearly all requests take less than so many times the mean */
#define WAITING_MAX 256 /* streams that wait; a queue for longer than ATTEMPT_US is useless */

void
kq_admission_init (KqAdmission *admission)
{
  admission->slots = SLOTS_FIRST;
  admission->running = 0;
  admission->service_us = SERVICE_FIRST_US;
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
kq_admission_has_room (const KqAdmission *admission)
{
  unsigned ahead = (admission->slots + AHEAD_PARTS - 1) / AHEAD_PARTS;
  return admission->running < admission->slots + ahead;
}

void
kq_admission_begin (KqAdmission *admission)
{
  admission->running++;
}

void
kq_admission_end (KqAdmission *admission, KqTime took_us)
{
  if (admission->running > 0)
    admission->running--;
  if (took_us < 0)
    return;
  admission->service_us += (took_us - admission->service_us) / SERVICE_SHARE;
  admission->recent_answers += 1 - admission->recent_answers / SERVICE_SHARE;
  admission->recent_bytes -= admission->recent_bytes / SERVICE_SHARE;
}

void
kq_admission_answer (KqAdmission *admission, size_t size)
{
  admission->recent_bytes += (double)size;
}

/* Return: the latest time at which the stream may still be opened. */
static KqTime
useful_until (const KqAdmission *admission, const KqAdmissionEntry *entry)
{
  KqTime wait = ATTEMPT_US;
  KqTime timeout = entry->need.timeout_ms * KQ_MS - admission->service_us;
  if (entry->need.timeout_ms > 0 && timeout < wait)
    wait = timeout;
  return entry->arrived_at + wait;
}

void
kq_admission_wait (KqAdmission *admission, KqAdmissionEntry *entry)
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
can_be_in_time (const KqAdmission *admission, const KqAdmissionEntry *entry, KqTime now)
{
  KqTime most = SPREAD * admission->service_us;
  return now + most <= entry->arrived_at + entry->need.objective_ms * KQ_MS;
}

static bool
goes_before (const KqAdmission *admission, const KqAdmissionEntry *a, const KqAdmissionEntry *b,
             KqTime now)
{
  bool a_in_time = can_be_in_time (admission, a, now);
  bool b_in_time = can_be_in_time (admission, b, now);
  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->need.priority != b->need.priority)
    return a->need.priority < b->need.priority;
  /* Of those that are late, the newest is the one whose caller most likely still waits. */
  return a_in_time ? a->arrived_at < b->arrived_at : a->arrived_at > b->arrived_at;
}

bool
kq_admission_worth_waiting (const KqAdmission *admission, const KqAdmissionEntry *entry, KqTime now)
{
  const KqAdmissionEntry *other;
  KqTime ahead = 1;
  if (admission->waiting_count >= WAITING_MAX)
    return false;
  TAILQ_FOREACH (other, &admission->waiting, link)
  {
    ahead += !goes_before (admission, entry, other, now);
  }
  KqTime wait = ahead * admission->service_us / admission->slots;
  return now + wait <= useful_until (admission, entry);
}

KqAdmissionEntry *
kq_admission_next (const KqAdmission *admission, KqTime now)
{
  KqAdmissionEntry *entry;
  KqAdmissionEntry *best = NULL;
  if (!kq_admission_has_room (admission))
    return NULL;
  TAILQ_FOREACH (entry, &admission->waiting, link)
  {
    if (best == NULL || goes_before (admission, entry, best, now))
      best = entry;
  }
  return best;
}

KqAdmissionEntry *
kq_admission_useless (const KqAdmission *admission, KqTime now)
{
  KqAdmissionEntry *entry;
  TAILQ_FOREACH (entry, &admission->waiting, link)
  {
    if (now > useful_until (admission, entry))
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
