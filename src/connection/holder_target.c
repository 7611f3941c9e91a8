/* Segments of the target. They are sent directly to the caller, and the state of the stream is
 * derived from them. A target answers the requests of a stream one after another, so a request runs
 * from the caller's data until the first data that the target sends after it. */

#include <syslog.h>

#include "kumquat/internal/holder_state.h"

static void
take_probe_back (KqStreamHolder *holder, const KqSegment *segment)
{
  for (unsigned i = 0; i < KQ_PROBES_KEPT; i++)
    {
      KqProbed *probed = &holder->probed[i];
      if (probed->tag != segment->tag || !kq_stream_key_equal (&probed->key, &segment->key))
        continue;
      probed->tag = 0;
      kq_holder_answer (holder, &probed->balancer, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN,
                        probed->attempt, &segment->key);
      return;
    }
}

static void
take_bounced (KqStreamHolder *holder, const KqSegment *segment)
{
  holder->stats.bounced++;
  if (segment->tag != 0)
    {
      take_probe_back (holder, segment);
      return;
    }
  KqHeldStream *held = kq_held_find (holder, &segment->key);
  if (held == NULL)
    return;
  kq_holder_log (holder, LOG_INFO, "segment-bounced", &segment->key,
                 "opening=%s caller_ended=%s target_ended=%s",
                 (segment->flags & KQ_SEGMENT_SYN) != 0 ? "yes" : "no",
                 held->caller_ended ? "yes" : "no", held->target_ended ? "yes" : "no");
  /* The last segments of a stream that both ends have closed need no answer. */
  if (held->target_ended && segment->payload_size == 0)
    kq_held_free (holder, held);
  else
    kq_held_gone (holder, held);
}

static void
take_accepted (KqStreamHolder *holder, KqHeldStream *held, const KqSegment *segment)
{
  held->numbered = true;
  held->first_number = segment->sequence;
  held->target_end = segment->sequence + 1;
  holder->silences = 0;
  holder->silent_until = 0;
  if (held->state == KQ_HELD_OPEN)
    return;
  held->state = KQ_HELD_OPEN;
  holder->stats.opened++;
  kq_holder_log (holder, LOG_DEBUG, "stream-accepted", &held->key, "running=%u slots=%u",
                 holder->admission.running, holder->admission.slots);
}

static void
note_target_end (KqHeldStream *held, const KqSegment *segment)
{
  uint32_t end = segment->sequence + segment->payload_size;
  if ((int32_t)(end - held->target_end) > 0)
    held->target_end = end;
}

static void
take_data (KqStreamHolder *holder, KqHeldStream *held, KqTime now)
{
  if (!held->asked)
    return;
  holder->stats.requests++;
  if (holder->ops.answered != NULL)
    holder->ops.answered (now - held->counted_at, holder->data);
  kq_held_uncount (holder, held, now - held->counted_at);
}

/* Segments of one answer arrive in any order. The sequence number of the FIN tells whether the
 * target has sent data that has not arrived yet, or closes the stream without an answer. */
static void
take_end (KqStreamHolder *holder, KqHeldStream *held, const KqSegment *segment, KqTime now)
{
  held->target_ended = true;
  if (!held->numbered || segment->sequence != held->target_end)
    take_data (holder, held, now);
  kq_held_uncount (holder, held, -1);
}

/* A target that sends segments of a stream owns it, also when this agent did not see the stream
 * being opened. */
static KqHeldStream *
learn (KqStreamHolder *holder, const KqSegment *segment, KqTime now)
{
  KqHeldStream *held = kq_held_new (holder, &segment->key, now);
  if (held == NULL)
    return NULL;
  held->state = KQ_HELD_OPEN;
  holder->stats.learnt++;
  return held;
}

void
kq_stream_holder_segment (KqStreamHolder *holder, const KqSegment *segment, KqTime now)
{
  bool resets = (segment->flags & KQ_SEGMENT_RST) != 0;
  if ((segment->flags & KQ_SEGMENT_BOUNCED) != 0)
    {
      take_bounced (holder, segment);
      kq_held_start_waiting (holder, now);
      return;
    }
  holder->stats.to_callers++;
  holder->ops.to_caller (&segment->key, segment->bytes, segment->size, holder->data);
  KqHeldStream *held = kq_held_find (holder, &segment->key);
  if (held == NULL && !resets)
    held = learn (holder, segment, now);
  if (held == NULL)
    return;
  kq_held_touch (holder, held, now);
  if (resets)
    kq_held_free (holder, held);
  else
    {
      bool opening = held->state != KQ_HELD_OPEN;
      if ((segment->flags & KQ_SEGMENT_SYN) != 0)
        take_accepted (holder, held, segment);
      if (opening && held->state == KQ_HELD_OPEN)
        kq_held_answer (holder, held, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE);
      if (segment->payload_size > 0)
        {
          note_target_end (held, segment);
          kq_admission_count_answer_bytes (&holder->admission, segment->payload_size);
          take_data (holder, held, now);
        }
      if ((segment->flags & KQ_SEGMENT_FIN) != 0)
        take_end (holder, held, segment, now);
    }
  kq_held_start_waiting (holder, now);
}
