#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/holder_state.h"
#include "kumquat/internal/test_switch.h"

/* A target accepts within a millisecond; one that exceeds this time is taken to be unresponsive. */
#define ACCEPT_US (70 * KQ_MS)

/* Backoff before an unresponsive target gets a new stream. */
#define SILENT_US (300 * KQ_MS)

/* Tick interval while streams are queued or being opened. */
#define TICK_US      (20 * KQ_MS)
#define IDLE_TICK_US (500 * KQ_MS)

/* Retransmissions of a closed stream arrive within this time. */
#define ENDED_US (4 * KQ_SECOND)

/* Longer than the lifetime of a stream, see max_flow_s. */
#define FORGET_US (65 * KQ_SECOND)

/* A request that takes longer no longer counts as load. */
#define REQUEST_MAX_US (3 * KQ_SECOND)

/* How long an accepted stream keeps its slot without a request. The request of a caller that still
 * waits arrives within one network round trip to the caller; a caller that has given up sends none,
 * and must not occupy a slot. */
#define NO_REQUEST_US (60 * KQ_MS)

/* Acknowledgements of one stream stay within this range. */
#define WINDOW_BYTES (1u << 26)

/* Maximum difference of the start times of an agent and a target that started together. */
#define SAME_AGE_US (200 * KQ_MS)

KqStreamHolder *
kq_stream_holder_new (const void *parent, const KqStreamHolderParams *params,
                      const KqStreamHolderOps *ops, void *data, KqTime now)
{
  KqStreamHolder *holder = talloc_zero (parent, KqStreamHolder);
  if (holder == NULL)
    return NULL;
  holder->params = *params;
  holder->ops = *ops;
  holder->data = data;
  holder->started_at = now;
  holder->incomplete = true;
  kq_admission_init (&holder->admission);
  TAILQ_INIT (&holder->by_use);
  if (kq_hash_index_init (&holder->index, holder) < 0)
    TALLOC_FREE (holder);
  return holder;
}

/* The target has lost all its streams. Balancers are notified, except about streams that the target
 * had closed itself. */
static void
drop_all (KqStreamHolder *holder)
{
  KqHeldStream *held, *next;
  for (held = TAILQ_FIRST (&holder->by_use); held != NULL; held = next)
    {
      next = TAILQ_NEXT (held, by_use);
      if (held->target_ended)
        kq_held_free (holder, held);
      else
        kq_held_gone (holder, held);
    }
}

/* Declines the streams that are queued for a slot, so that balancers can offer them elsewhere. */
static void
decline_waiting (KqStreamHolder *holder, KqStreamRefusal reason)
{
  KqHeldStream *held, *next;
  for (held = TAILQ_FIRST (&holder->by_use); held != NULL; held = next)
    {
      next = TAILQ_NEXT (held, by_use);
      if (held->state != KQ_HELD_WAITING)
        continue;
      kq_held_answer (holder, held, KQ_FRAME_DECLINED, reason);
      kq_held_free (holder, held);
    }
}

KqTargetChange
kq_stream_holder_report (KqStreamHolder *holder, const KqTargetReport *report, KqTime age_us,
                         KqTime now)
{
  bool first = holder->life.report.state == KQ_TARGET_UNKNOWN;
  KqTargetChange change = kq_target_life_report (&holder->life, report, now);
  if (change == KQ_TARGET_LATE)
    return change;
  if (first && age_us >= 0 && age_us <= now - holder->started_at + SAME_AGE_US)
    holder->incomplete = false;
  if (change == KQ_TARGET_REBORN)
    {
      drop_all (holder);
      holder->incomplete = false;
    }
  if (change != KQ_TARGET_SAME)
    holder->silent_until = 0;
  kq_admission_set_slots (&holder->admission, report->slots);
  if (!kq_stream_holder_takes_new (holder))
    decline_waiting (holder, KQ_REFUSAL_DRAINING);
  return change;
}

bool
kq_stream_holder_takes_new (const KqStreamHolder *holder)
{
  KqTargetState state = holder->life.report.state;
  bool ready = state == KQ_TARGET_READY ||
               (state == KQ_TARGET_DRAINING && kq_test_switched_off ("stream-drain"));
  return ready && !holder->leaving;
}

KqTargetPhase
kq_stream_holder_phase (const KqStreamHolder *holder)
{
  KqTargetState state = holder->life.report.state;
  if (kq_stream_holder_takes_new (holder))
    return KQ_PHASE_SERVING;
  if (state == KQ_TARGET_GONE || (state == KQ_TARGET_UNKNOWN && holder->leaving))
    return KQ_PHASE_EMPTY;
  return state == KQ_TARGET_UNKNOWN ? KQ_PHASE_STARTING : KQ_PHASE_DRAINING;
}

void
kq_stream_holder_leave (KqStreamHolder *holder)
{
  holder->leaving = true;
  decline_waiting (holder, KQ_REFUSAL_DRAINING);
}

/* Return: why no new stream is accepted, load aside, or KQ_REFUSAL_NONE. */
static KqStreamRefusal
refusal (const KqStreamHolder *holder, KqTime now)
{
  KqTargetState state = holder->life.report.state;
  if (state == KQ_TARGET_UNKNOWN && !holder->leaving)
    return KQ_REFUSAL_STARTING;
  if (state == KQ_TARGET_GONE || now < holder->silent_until)
    return KQ_REFUSAL_NO_TARGET;
  if ((state == KQ_TARGET_DRAINING && !kq_test_switched_off ("stream-drain")) || holder->leaving)
    return KQ_REFUSAL_DRAINING;
  return KQ_REFUSAL_NONE;
}

static void
take_new (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame,
          const KqSegment *segment, KqTime now)
{
  KqStreamRefusal reason = refusal (holder, now);
  bool room =
      kq_admission_has_capacity (&holder->admission) && holder->admission.waiting_count == 0;
  KqAdmissionEntry entry = { .need = frame->need, .arrived_at = now - frame->need.age_ms * KQ_MS };
  if (reason == KQ_REFUSAL_NONE && !room && !frame->need.may_wait)
    reason = KQ_REFUSAL_BUSY;
  if (reason == KQ_REFUSAL_NONE && !room &&
      !kq_admission_should_enqueue (&holder->admission, &entry, now))
    reason = KQ_REFUSAL_OVERLOAD;
  KqHeldStream *held = NULL;
  if (reason == KQ_REFUSAL_NONE && segment->size <= KQ_OPENING_BYTES)
    held = kq_held_new (holder, &frame->key, now);
  if (held == NULL)
    {
      if (reason == KQ_REFUSAL_NONE)
        reason = KQ_REFUSAL_OVERLOAD;
      kq_holder_answer (holder, from, KQ_FRAME_DECLINED, reason, frame->attempt, &frame->key);
      return;
    }
  held->balancer = *from;
  held->attempt = frame->attempt;
  held->entry = entry;
  held->opening_size = segment->size;
  memcpy (held->opening, segment->bytes, segment->size);
  if (room)
    {
      kq_held_open (holder, held, now);
      return;
    }
  held->state = KQ_HELD_WAITING;
  holder->stats.waited++;
  holder->next_tick = 0;
  kq_admission_enqueue (&holder->admission, &held->entry);
  kq_held_answer (holder, held, KQ_FRAME_WAITING, KQ_REFUSAL_NONE);
}

static void
take_opening (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame,
              const KqSegment *segment, KqTime now)
{
  KqHeldStream *held = kq_held_find (holder, &frame->key);
  if (held != NULL && held->target_ended && held->caller_ended)
    {
      kq_held_free (holder, held);
      held = NULL;
    }
  if (held == NULL)
    {
      take_new (holder, from, frame, segment, now);
      return;
    }
  held->balancer = *from;
  held->attempt = frame->attempt;
  if (held->state == KQ_HELD_WAITING)
    {
      kq_held_answer (holder, held, KQ_FRAME_WAITING, KQ_REFUSAL_NONE);
      return;
    }
  holder->stats.to_target++;
  holder->ops.deliver (segment->bytes, segment->size, 0, holder->data);
  if (held->state == KQ_HELD_OPEN)
    kq_held_answer (holder, held, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE);
}

/* Delivers a segment of a stream that is not in the table. If the target does not own the stream,
 * it returns the segment with the tag. */
static void
probe (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame,
       const KqSegment *segment)
{
  KqProbed *probed = &holder->probed[++holder->last_tag % KQ_PROBES_KEPT];
  if (holder->last_tag == 0)
    holder->last_tag = 1;
  probed->tag = holder->last_tag;
  probed->key = segment->key;
  probed->balancer = *from;
  probed->attempt = frame->attempt;
  holder->stats.probed++;
  holder->stats.to_target++;
  holder->ops.deliver (segment->bytes, segment->size, probed->tag, holder->data);
}

/* Two targets can accept the same opening segment; the caller continues with one of them, and its
 * acknowledgements lie outside the other's sequence number window. */
static bool
answers_another_target (const KqHeldStream *held, const KqSegment *segment)
{
  return held->numbered && (segment->flags & KQ_SEGMENT_ACK) != 0 &&
         segment->acknowledged - held->first_number > WINDOW_BYTES;
}

/* A retransmitted segment carries no new request. */
static bool
is_new_data (KqHeldStream *held, const KqSegment *segment)
{
  uint32_t end = segment->sequence + segment->payload_size;
  if (segment->payload_size == 0 ||
      (held->caller_numbered && (int32_t)(end - held->caller_end) <= 0))
    return false;
  held->caller_numbered = true;
  held->caller_end = end;
  return true;
}

static void
take_carried (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame,
              const KqSegment *segment, KqTime now)
{
  KqHeldStream *held = kq_held_find (holder, &frame->key);
  if (held != NULL && (held->state == KQ_HELD_WAITING || answers_another_target (held, segment)))
    held = NULL;
  if (held == NULL && (holder->incomplete || frame->type == KQ_FRAME_PROBE))
    {
      probe (holder, from, frame, segment);
      return;
    }
  if (held == NULL)
    {
      kq_holder_answer (holder, from, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, 0, &frame->key);
      return;
    }
  held->balancer = *from;
  kq_held_touch (holder, held, now);
  if (is_new_data (held, segment) && !held->asked && !held->target_ended)
    {
      held->asked = true;
      kq_held_count (holder, held, now);
    }
  if ((segment->flags & (KQ_SEGMENT_FIN | KQ_SEGMENT_RST)) != 0)
    held->caller_ended = true;
  holder->stats.to_target++;
  holder->ops.deliver (segment->bytes, segment->size, 0, holder->data);
  if ((segment->flags & KQ_SEGMENT_RST) != 0)
    kq_held_uncount (holder, held, -1);
}

static void
take_find (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame)
{
  KqHeldStream *held = kq_held_find (holder, &frame->key);
  if (held != NULL && held->state == KQ_HELD_OPEN)
    {
      held->balancer = *from;
      kq_holder_answer (holder, from, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, frame->attempt, &frame->key);
    }
  else if (holder->incomplete)
    kq_holder_answer (holder, from, KQ_FRAME_MAYBE, KQ_REFUSAL_NONE, frame->attempt, &frame->key);
  else
    kq_holder_answer (holder, from, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, frame->attempt,
                      &frame->key);
}

/* Removes only a queued stream. Once the opening segment was delivered, the target may have
 * accepted it although the answer was late; if another target accepts it too, the caller continues
 * with one of the two. */
static void
take_withdrawal (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame)
{
  KqHeldStream *held = kq_held_find (holder, &frame->key);
  if (held != NULL && held->state == KQ_HELD_WAITING && kq_address_equal (&held->balancer, from))
    kq_held_free (holder, held);
}

void
kq_stream_holder_frame (KqStreamHolder *holder, const KqAddress *from, const KqStreamFrame *frame,
                        const KqSegment *segment, KqTime now)
{
  if (frame->service != holder->params.service || frame->agent != holder->params.agent)
    {
      holder->stats.misdirected++;
      kq_holder_answer (holder, from, KQ_FRAME_DECLINED, KQ_REFUSAL_WRONG_SERVICE, frame->attempt,
                        &frame->key);
      return;
    }
  switch (frame->type)
    {
    case KQ_FRAME_OPEN:
      take_opening (holder, from, frame, segment, now);
      break;
    case KQ_FRAME_CARRY:
    case KQ_FRAME_PROBE:
      take_carried (holder, from, frame, segment, now);
      break;
    case KQ_FRAME_FIND:
      take_find (holder, from, frame);
      break;
    case KQ_FRAME_WITHDRAW:
      take_withdrawal (holder, from, frame);
      break;
    case KQ_FRAME_WAITING:
    case KQ_FRAME_HOLDS:
    case KQ_FRAME_MAYBE:
    case KQ_FRAME_DECLINED:
      holder->stats.misdirected++;
      break;
    }
}

void
kq_stream_holder_unreachable (KqStreamHolder *holder, KqTime now)
{
  if (now >= holder->silent_until)
    holder->ops.event (LOG_WARNING, "target-unreachable",
                       "reason=\"no process listens on the target port\"", holder->data);
  holder->silent_until = now + SILENT_US;
  drop_all (holder);
}

/* The target did not accept an opening segment in time. */
static void
give_up_opening (KqStreamHolder *holder, KqHeldStream *held, KqTime now)
{
  holder->silences++;
  holder->silent_until = now + SILENT_US;
  kq_holder_log (holder, LOG_INFO, "target-silent", &held->key, "silences=%u waited_ms=%lld",
                 holder->silences, (long long)((now - held->counted_at) / KQ_MS));
  kq_held_answer (holder, held, KQ_FRAME_DECLINED, KQ_REFUSAL_NO_TARGET);
  kq_held_free (holder, held);
}

static void
look_at (KqStreamHolder *holder, KqHeldStream *held, KqTime now, KqTime *next)
{
  KqTime idle = now - held->used_at;
  KqTime counted = now - held->counted_at;
  bool ended = held->target_ended && held->caller_ended;
  if (held->state == KQ_HELD_OFFERED && counted >= ACCEPT_US)
    {
      give_up_opening (holder, held, now);
      return;
    }
  if (held->state != KQ_HELD_OPEN)
    {
      *next = now + TICK_US;
      return;
    }
  if (held->counted && held->asked && counted >= REQUEST_MAX_US)
    kq_holder_log (holder, LOG_INFO, "request-unanswered", &held->key,
                   "waited_ms=%lld caller_ended=%s target_ended=%s idle_ms=%lld",
                   (long long)(counted / KQ_MS), held->caller_ended ? "yes" : "no",
                   held->target_ended ? "yes" : "no", (long long)(idle / KQ_MS));
  if (held->counted && counted >= (held->asked ? REQUEST_MAX_US : NO_REQUEST_US))
    kq_held_uncount (holder, held, -1);
  if (idle >= FORGET_US || (ended && idle >= ENDED_US))
    kq_held_free (holder, held);
}

static void
refuse_useless (KqStreamHolder *holder, KqTime now)
{
  KqAdmissionEntry *entry;
  while ((entry = kq_admission_find_expired (&holder->admission, now)) != NULL)
    {
      KqHeldStream *held = KQ_CONTAINER_OF (entry, KqHeldStream, entry);
      kq_held_answer (holder, held, KQ_FRAME_DECLINED, KQ_REFUSAL_OVERLOAD);
      kq_held_free (holder, held);
    }
}

KqTime
kq_stream_holder_next_tick (const KqStreamHolder *holder)
{
  return holder->next_tick;
}

void
kq_stream_holder_tick (KqStreamHolder *holder, KqTime now)
{
  KqHeldStream *held, *next;
  KqTime when = now + IDLE_TICK_US;
  if (holder->incomplete && now - holder->started_at >= FORGET_US)
    holder->incomplete = false;
  refuse_useless (holder, now);
  for (held = TAILQ_FIRST (&holder->by_use); held != NULL; held = next)
    {
      next = TAILQ_NEXT (held, by_use);
      look_at (holder, held, now, &when);
    }
  kq_held_start_waiting (holder, now);
  holder->next_tick = when;
}

KqStreamHolderStats
kq_stream_holder_stats (const KqStreamHolder *holder)
{
  return holder->stats;
}

const KqTargetLife *
kq_stream_holder_target (const KqStreamHolder *holder)
{
  return &holder->life;
}

KqTargetLoad
kq_stream_holder_load (const KqStreamHolder *holder)
{
  return kq_admission_load (&holder->admission);
}
