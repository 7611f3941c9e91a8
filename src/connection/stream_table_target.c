/* Segments of the target. They are sent directly to the caller, and the state of the stream is
 * derived from them. A target answers the requests of a stream one after another, so a request runs
 * from the caller's data until the first data that the target sends after it. */

#include <syslog.h>

#include "kumquat/internal/stream_table_state.h"

static void
handle_returned_probe (KqStreamTable *stream_table, const KqSegment *segment)
{
  for (unsigned i = 0; i < KQ_PENDING_PROBES_MAX; i++)
    {
      KqPendingProbe *probed = &stream_table->probed[i];
      if (probed->tag != segment->tag || !kq_stream_key_equal (&probed->key, &segment->key))
        continue;
      probed->tag = 0;
      KqStreamFrame request = { .extended = probed->extended,
                                .transaction_id = probed->transaction_id,
                                .key = segment->key };
      kq_stream_table_answer (stream_table, &probed->balancer, KQ_FRAME_DECLINED,
                              KQ_REFUSAL_UNKNOWN, &request);
      return;
    }
}

static void
handle_bounced (KqStreamTable *stream_table, const KqSegment *segment)
{
  stream_table->stats.bounced++;
  if (segment->tag != 0)
    {
      handle_returned_probe (stream_table, segment);
      return;
    }
  KqOwnedStream *owned = kq_owned_stream_find (stream_table, &segment->key);
  if (owned == NULL)
    return;
  kq_holder_log (stream_table, LOG_INFO, "segment-bounced", &segment->key,
                 "opening=%s caller_ended=%s target_ended=%s",
                 (segment->flags & KQ_SEGMENT_SYN) != 0 ? "yes" : "no",
                 owned->caller_ended ? "yes" : "no", owned->target_ended ? "yes" : "no");
  /* The last segments of a stream that both ends have closed need no answer. */
  if (owned->target_ended && segment->payload_size == 0)
    kq_owned_stream_free (stream_table, owned);
  else
    kq_owned_stream_lost (stream_table, owned);
}

static void
handle_accepted (KqStreamTable *stream_table, KqOwnedStream *owned, const KqSegment *segment)
{
  /* The target repeats this segment for a late copy of the opening. */
  if (!owned->target_isn_known || owned->target_isn != segment->sequence)
    owned->target_next_sequence = segment->sequence + 1;
  owned->target_isn_known = true;
  owned->target_isn = segment->sequence;
  stream_table->accept_timeouts = 0;
  stream_table->backoff_until = 0;
  if (owned->state == KQ_OWNED_OPEN)
    return;
  owned->state = KQ_OWNED_OPEN;
  stream_table->stats.opened++;
  kq_holder_log (stream_table, LOG_DEBUG, "stream-accepted", &owned->key, "running=%u slots=%u",
                 stream_table->admission.running, stream_table->admission.slots);
}

static void
advance_target_sequence (KqOwnedStream *owned, const KqSegment *segment)
{
  uint32_t end = segment->sequence + segment->payload_size;
  if ((int32_t)(end - owned->target_next_sequence) > 0)
    owned->target_next_sequence = end;
}

static void
handle_answer_data (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  if (!owned->request_pending)
    return;
  stream_table->stats.requests++;
  if (stream_table->ops.answered != NULL)
    stream_table->ops.answered (now - owned->in_service_since, stream_table->data);
  kq_owned_stream_release_slot (stream_table, owned,
                                kq_stream_outcome_answer (stream_table, owned, now));
}

/* Segments of one answer arrive in any order. The sequence number of the FIN tells whether the
 * target has sent data that has not arrived yet, or closes the stream without an answer. */
static void
handle_target_fin (KqStreamTable *stream_table, KqOwnedStream *owned, const KqSegment *segment,
                   KqTime now)
{
  owned->target_ended = true;
  if (!owned->target_isn_known || segment->sequence != owned->target_next_sequence)
    handle_answer_data (stream_table, owned, now);
  kq_stream_outcome_ended (stream_table, owned, KQ_OUTCOME_CLOSED, now);
  kq_owned_stream_release_slot (stream_table, owned, -1);
  kq_stream_demand_close (&stream_table->demand, &owned->demand);
}

/* A target that sends segments of a stream owns it, also when this agent did not see the stream
 * being opened. */
static KqOwnedStream *
add_unknown_stream (KqStreamTable *stream_table, const KqSegment *segment, KqTime now)
{
  KqOwnedStream *owned = kq_owned_stream_new (stream_table, &segment->key, now);
  if (owned == NULL)
    return NULL;
  owned->state = KQ_OWNED_OPEN;
  stream_table->stats.learnt++;
  return owned;
}

void
kq_stream_table_handle_target_segment (KqStreamTable *stream_table, const KqSegment *segment,
                                       KqTime now)
{
  bool resets = (segment->flags & KQ_SEGMENT_RST) != 0;
  kq_admission_set_time (&stream_table->admission, now);
  if ((segment->flags & KQ_SEGMENT_BOUNCED) != 0)
    {
      handle_bounced (stream_table, segment);
      kq_stream_table_open_queued (stream_table, now);
      return;
    }
  stream_table->stats.to_callers++;
  stream_table->target_seen = true;
  stream_table->ops.to_caller (&segment->key, segment->bytes, segment->size, stream_table->data);
  KqOwnedStream *owned = kq_owned_stream_find (stream_table, &segment->key);
  if (owned == NULL && !resets)
    owned = add_unknown_stream (stream_table, segment, now);
  if (owned == NULL)
    return;
  kq_owned_stream_touch (stream_table, owned, now);
  if (resets)
    {
      kq_stream_outcome_ended (stream_table, owned, KQ_OUTCOME_RESET, now);
      kq_owned_stream_free (stream_table, owned);
    }
  else
    {
      bool opening = owned->state != KQ_OWNED_OPEN;
      if ((segment->flags & KQ_SEGMENT_SYN) != 0)
        handle_accepted (stream_table, owned, segment);
      if (opening && owned->state == KQ_OWNED_OPEN)
        kq_owned_stream_answer (stream_table, owned, KQ_FRAME_OWNED, KQ_REFUSAL_NONE);
      if (segment->payload_size > 0)
        {
          owned->superseded = false;
          advance_target_sequence (owned, segment);
          kq_admission_count_answer_bytes (&stream_table->admission, segment->payload_size);
          handle_answer_data (stream_table, owned, now);
          kq_stream_outcome_answer_data (stream_table, owned, segment->payload_size, now);
        }
      if ((segment->flags & KQ_SEGMENT_FIN) != 0)
        handle_target_fin (stream_table, owned, segment, now);
    }
  kq_stream_outcome_apply (stream_table, now);
  kq_stream_table_open_queued (stream_table, now);
}
