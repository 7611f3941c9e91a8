/* A target serves a fixed number of requests concurrently and queues the rest in FIFO order, where
 * they can no longer be prioritized or refused. Streams in excess of the target's slots are
 * therefore queued here, before they are opened: the caller has not sent any request yet, so it is
 * certain that a refused stream has run nothing. This handles demand above capacity: bursts, failed
 * or slow targets, and the reconnection of all callers after an outage. */

#include "kumquat/internal/admission.h"

#define INITIAL_SLOTS      4     /* until the target has reported its slots */
#define INITIAL_SERVICE_US 50000 /* service time until one was measured */
#define AVERAGE_DIVISOR    16    /* a new sample has a weight of 1/16 in the moving averages */
#define SHARE_DIVISOR      64    /* the same for the shares of priorities, which vary more */
#define URGENT_SHARE_MAX   0.8   /* bounds the expected wait while hardly any other stream starts */

/* The request of a new stream arrives two network round trips after the stream is opened. One extra
 * stream is opened for every 3 slots, so that no slot is idle during that time. */
#define SLOTS_PER_EXTRA_STREAM 3

/* A caller abandons a connection attempt that is not accepted within 1.4 s. A stream waits at most
 * 1.3 s; the remaining time is for the network round trip. */
#define WAIT_MAX_US (1300 * KQ_MS)

#define SERVICE_TIME_MARGIN 2   /* nearly all service times are below this multiple of the mean */
#define QUEUE_MAX           256 /* queued streams; waits beyond WAIT_MAX_US would be of no use */

/* With overload control, a stream that misses its objective is queued only behind less work than
 * this. An answer that is late has a tenth of the value of one in time, but a stream that is
 * refused is repeated from a new port and then cannot be told from a new one. */
#define LATE_QUEUE_US (300 * KQ_MS)

void
kq_admission_init (KqAdmission *admission)
{
  admission->overload_control = false;
  admission->now = 0;
  admission->slots = INITIAL_SLOTS;
  admission->running = 0;
  admission->service_us = INITIAL_SERVICE_US;
  admission->waiting_count = 0;
  TAILQ_INIT (&admission->waiting);
}

void
kq_admission_enable_overload_control (KqAdmission *admission, uint64_t salt)
{
  admission->overload_control = true;
  kq_fair_share_init (&admission->fair_share, salt);
  for (unsigned i = 0; i < KQ_WAIT_CLASSES; i++)
    admission->urgent_share[i] = 0;
}

void
kq_admission_set_time (KqAdmission *admission, KqTime now)
{
  admission->now = now;
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
  if (admission->overload_control)
    entry->fair_tag = kq_fair_share_charge (&admission->fair_share, entry->caller_ip);
  entry->charged = admission->overload_control;
  TAILQ_INSERT_TAIL (&admission->waiting, entry, link);
  admission->waiting_count++;
}

void
kq_admission_remove (KqAdmission *admission, KqAdmissionEntry *entry)
{
  TAILQ_REMOVE (&admission->waiting, entry, link);
  admission->waiting_count--;
}

void
kq_admission_abandon (KqAdmission *admission, KqAdmissionEntry *entry)
{
  kq_admission_remove (admission, entry);
  if (entry->charged)
    kq_fair_share_refund (&admission->fair_share, entry->caller_ip);
  entry->charged = false;
}

static unsigned
wait_class (const KqAdmissionEntry *entry)
{
  return entry->need.priority < KQ_WAIT_CLASSES ? entry->need.priority : KQ_WAIT_CLASSES - 1;
}

void
kq_admission_stream_started (KqAdmission *admission, KqAdmissionEntry *entry)
{
  if (!admission->overload_control)
    return;
  if (!entry->charged)
    entry->fair_tag = kq_fair_share_charge (&admission->fair_share, entry->caller_ip);
  entry->charged = true;
  kq_fair_share_started (&admission->fair_share, entry->fair_tag);
  for (unsigned i = 0; i < KQ_WAIT_CLASSES; i++)
    admission->urgent_share[i] +=
        ((wait_class (entry) < i) - admission->urgent_share[i]) / SHARE_DIVISOR;
}

static bool
can_meet_objective (const KqAdmission *admission, const KqAdmissionEntry *entry, KqTime now)
{
  KqTime max_service_us = SERVICE_TIME_MARGIN * admission->service_us;
  return now + max_service_us <= entry->arrived_at + entry->need.objective_ms * KQ_MS;
}

/* A stream that is started ahead of the end of a request waits at the target, where it delays each
 * stream that arrives next. Late streams are therefore not started ahead. */
static bool
may_start (const KqAdmission *admission, const KqAdmissionEntry *entry, KqTime now)
{
  return !admission->overload_control || admission->running < admission->slots ||
         can_meet_objective (admission, entry, now);
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
  if (admission->overload_control && a->fair_tag != b->fair_tag)
    return a->fair_tag < b->fair_tag;
  /* Late streams are served newest first: their callers are the most likely to be still waiting. */
  return a_in_time ? a->arrived_at < b->arrived_at : a->arrived_at > b->arrived_at;
}

/* Return: time until @streams have started. */
static KqTime
queue_us (const KqAdmission *admission, KqTime streams)
{
  return streams * admission->service_us / admission->slots;
}

/* Return: expected wait behind @streams of the queue. More urgent streams that arrive meanwhile go
 * first, which makes it longer. */
static KqTime
expected_wait_us (const KqAdmission *admission, KqTime streams, unsigned class)
{
  double urgent = admission->overload_control ? admission->urgent_share[class] : 0;
  if (urgent > URGENT_SHARE_MAX)
    urgent = URGENT_SHARE_MAX;
  return (KqTime)((double)queue_us (admission, streams) / (1 - urgent));
}

bool
kq_admission_should_enqueue (const KqAdmission *admission, const KqAdmissionEntry *entry,
                             KqTime now)
{
  const KqAdmissionEntry *other;
  KqAdmissionEntry tagged = *entry;
  KqTime ahead = 1;
  if (admission->waiting_count >= QUEUE_MAX)
    return false;
  if (admission->overload_control)
    tagged.fair_tag = kq_fair_share_tag (&admission->fair_share, entry->caller_ip);
  TAILQ_FOREACH (other, &admission->waiting, link)
  {
    ahead += !is_served_before (admission, &tagged, other, now);
  }
  KqTime wait = expected_wait_us (admission, ahead, wait_class (entry));
  if (now + wait > latest_start (admission, entry))
    return false;
  return !admission->overload_control || can_meet_objective (admission, entry, now + wait) ||
         queue_us (admission, admission->waiting_count) <= LATE_QUEUE_US;
}

bool
kq_admission_can_start (const KqAdmission *admission, const KqAdmissionEntry *entry, KqTime now)
{
  if (!admission->overload_control || admission->waiting_count == 0)
    return kq_admission_has_capacity (admission) && admission->waiting_count == 0 &&
           may_start (admission, entry, now);
  return kq_admission_has_capacity (admission) && can_meet_objective (admission, entry, now) &&
         kq_admission_select_next (admission, now) == NULL;
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
  return best == NULL || may_start (admission, best, now) ? best : NULL;
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

/* Late streams are left out: a new stream goes before them. */
static void
fill_waits (const KqAdmission *admission, KqTargetLoad *load)
{
  KqTime ahead[KQ_WAIT_CLASSES] = { 0 };
  const KqAdmissionEntry *entry;
  if (kq_admission_has_capacity (admission))
    return;
  TAILQ_FOREACH (entry, &admission->waiting, link)
  {
    ahead[wait_class (entry)] += can_meet_objective (admission, entry, admission->now);
  }
  KqTime total = 1;
  for (unsigned i = 0; i < KQ_WAIT_CLASSES; i++)
    {
      total += ahead[i];
      load->wait_us[i] = (uint32_t)expected_wait_us (admission, total, i);
    }
}

KqTargetLoad
kq_admission_load (const KqAdmission *admission)
{
  double bytes =
      admission->recent_answers >= 1 ? admission->recent_bytes / admission->recent_answers : 0;
  KqTargetLoad load = { .answer_bytes = (uint32_t)bytes,
                        .running = admission->running,
                        .slots = admission->slots,
                        .waiting = admission->waiting_count,
                        .service_us = (uint32_t)admission->service_us };
  if (admission->overload_control)
    fill_waits (admission, &load);
  return load;
}
