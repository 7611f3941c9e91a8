#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/stream_table_state.h"
#include "kumquat/internal/test_switch.h"

/* A target accepts within a millisecond; one that exceeds this time is taken to be unresponsive. */
#define ACCEPT_TIMEOUT_US (70 * KQ_MS)

/* Backoff before an unresponsive target gets a new stream. */
#define BACKOFF_US (300 * KQ_MS)

/* Tick interval while streams are queued or being opened. */
#define BUSY_TICK_US (20 * KQ_MS)
#define IDLE_TICK_US (500 * KQ_MS)

/* Retransmissions of a closed stream arrive within this time. */
#define CLOSED_LINGER_US (4 * KQ_SECOND)

/* Longer than the lifetime of a stream, see max_flow_s. */
#define STREAM_LIFETIME_US (65 * KQ_SECOND)

/* A request that takes longer no longer counts as load. */
#define REQUEST_MAX_US (3 * KQ_SECOND)

/* How long an accepted stream keeps its slot without a request. The request of a caller that still
 * waits arrives within one network round trip to the caller; a caller that has given up sends none,
 * and must not occupy a slot. */
#define REQUEST_WAIT_US (60 * KQ_MS)

/* Data that a target sends ahead of the caller's acknowledgements. */
#define TARGET_WINDOW_BYTES 19200

/* Maximum difference of the start times of an agent and a target that started together. */
#define START_SKEW_US (200 * KQ_MS)

KqStreamTable *
kq_stream_table_new (const void *parent, const KqStreamTableParams *params,
                     const KqStreamTableOps *ops, void *data, KqTime now)
{
  KqStreamTable *stream_table = talloc_zero (parent, KqStreamTable);
  if (stream_table == NULL)
    return NULL;
  stream_table->params = *params;
  stream_table->ops = *ops;
  stream_table->data = data;
  stream_table->started_at = now;
  stream_table->incomplete = true;
  kq_admission_init (&stream_table->admission);
  if (params->features.overload_control)
    kq_admission_enable_overload_control (&stream_table->admission, params->agent);
  TAILQ_INIT (&stream_table->by_last_use);
  if (kq_hash_index_init (&stream_table->index, stream_table) < 0)
    TALLOC_FREE (stream_table);
  return stream_table;
}

/* The target has lost all its streams. Balancers are notified, except about streams that the target
 * had closed itself. */
static void
drop_all_streams (KqStreamTable *stream_table)
{
  KqOwnedStream *owned, *next;
  for (owned = TAILQ_FIRST (&stream_table->by_last_use); owned != NULL; owned = next)
    {
      next = TAILQ_NEXT (owned, by_last_use);
      if (owned->target_ended)
        kq_owned_stream_free (stream_table, owned);
      else
        kq_owned_stream_lost (stream_table, owned);
    }
}

void
kq_stream_table_decline_queued (KqStreamTable *stream_table, KqStreamRefusal reason)
{
  KqOwnedStream *owned, *next;
  for (owned = TAILQ_FIRST (&stream_table->by_last_use); owned != NULL; owned = next)
    {
      next = TAILQ_NEXT (owned, by_last_use);
      if (owned->state != KQ_OWNED_QUEUED ||
          (reason == KQ_REFUSAL_LIMITED && owned->entry.need.ignore_limit))
        continue;
      kq_owned_stream_answer (stream_table, owned, KQ_FRAME_DECLINED, reason);
      kq_owned_stream_free (stream_table, owned);
    }
}

KqTargetChange
kq_stream_table_target_report (KqStreamTable *stream_table, const KqTargetReport *report,
                               KqTime uptime_us, KqTime now, KqReportDoubt *doubt)
{
  bool first = stream_table->target_process.report.state == KQ_TARGET_UNKNOWN;
  KqTargetChange change =
      kq_target_process_report (&stream_table->target_process, report, uptime_us, now, doubt);
  stream_table->stats.doubtful_reports[*doubt]++;
  if (change == KQ_TARGET_OUTDATED || change == KQ_TARGET_DEFERRED)
    return change;
  if (first && uptime_us >= 0 && uptime_us <= now - stream_table->started_at + START_SKEW_US)
    stream_table->incomplete = false;
  if (change == KQ_TARGET_RESTARTED)
    {
      drop_all_streams (stream_table);
      stream_table->incomplete = false;
      kq_stream_outcome_reset (stream_table);
    }
  if (change != KQ_TARGET_SAME)
    stream_table->backoff_until = 0;
  kq_admission_set_slots (&stream_table->admission, report->slots);
  if (!kq_stream_table_accepts_new (stream_table))
    kq_stream_table_decline_queued (stream_table, KQ_REFUSAL_DRAINING);
  return change;
}

/* A target that sends segments is alive, although this agent has restarted and has no report yet.
 * Should it be draining, it still accepts, and its next report says so within a second. */
static bool
is_alive_without_report (const KqStreamTable *stream_table)
{
  return stream_table->target_process.report.state == KQ_TARGET_UNKNOWN &&
         stream_table->target_seen;
}

bool
kq_stream_table_accepts_new (const KqStreamTable *stream_table)
{
  KqTargetState state = stream_table->target_process.report.state;
  bool ready = state == KQ_TARGET_READY || is_alive_without_report (stream_table) ||
               (state == KQ_TARGET_DRAINING && kq_test_is_disabled ("stream-drain"));
  return ready && !stream_table->shutting_down;
}

KqTargetPhase
kq_stream_table_phase (const KqStreamTable *stream_table)
{
  KqTargetState state = stream_table->target_process.report.state;
  if (kq_stream_table_accepts_new (stream_table))
    return KQ_PHASE_SERVING;
  if (state == KQ_TARGET_GONE)
    return KQ_PHASE_EMPTY;
  if (state == KQ_TARGET_UNKNOWN)
    return stream_table->shutting_down ? KQ_PHASE_UNKNOWN : KQ_PHASE_STARTING;
  return KQ_PHASE_DRAINING;
}

void
kq_stream_table_stop_accepting (KqStreamTable *stream_table)
{
  stream_table->shutting_down = true;
  kq_stream_table_decline_queued (stream_table, KQ_REFUSAL_DRAINING);
}

void
kq_stream_table_set_evacuated (KqStreamTable *stream_table, bool evacuated)
{
  stream_table->evacuated = evacuated;
  if (evacuated)
    kq_stream_table_decline_queued (stream_table, KQ_REFUSAL_EVACUATED);
}

/* Return: why no new stream is accepted, load aside, or KQ_REFUSAL_NONE. */
static KqStreamRefusal
new_stream_refusal (const KqStreamTable *stream_table, KqTime now)
{
  KqTargetState state = stream_table->target_process.report.state;
  if (state == KQ_TARGET_UNKNOWN && !stream_table->shutting_down &&
      !is_alive_without_report (stream_table))
    return KQ_REFUSAL_STARTING;
  if (state == KQ_TARGET_GONE || now < stream_table->backoff_until)
    return KQ_REFUSAL_NO_TARGET;
  if ((state == KQ_TARGET_DRAINING && !kq_test_is_disabled ("stream-drain")) ||
      stream_table->shutting_down)
    return KQ_REFUSAL_DRAINING;
  return stream_table->evacuated ? KQ_REFUSAL_EVACUATED : KQ_REFUSAL_NONE;
}

/* Return: whether a target with a lower expected load should get the next stream, although this one
 * may have a free slot now. */
static bool
has_long_load (const KqStreamTable *stream_table)
{
  return stream_table->params.features.load_estimation &&
         kq_demand_exceeds (&stream_table->demand, stream_table->admission.service_us,
                            stream_table->admission.slots);
}

static void
handle_new_stream (KqStreamTable *stream_table, const KqAddress *from, const KqStreamFrame *frame,
                   const KqSegment *segment, KqTime now)
{
  KqStreamRefusal reason = new_stream_refusal (stream_table, now);
  KqAdmissionEntry entry = { .need = frame->need,
                             .arrived_at = now - frame->need.age_ms * KQ_MS,
                             .caller_ip = frame->key.caller_ip };
  bool has_free_slot = kq_admission_can_start (&stream_table->admission, &entry, now);
  bool busy = !frame->need.may_wait && (!has_free_slot || has_long_load (stream_table));
  /* A stream that is declined as busy is none of those that a limit admits. */
  if (reason == KQ_REFUSAL_NONE)
    reason = kq_stream_outcome_refusal (stream_table, &frame->need, has_free_slot && !busy, now);
  if (reason == KQ_REFUSAL_NONE && busy)
    reason = KQ_REFUSAL_BUSY;
  if (reason == KQ_REFUSAL_NONE && !has_free_slot &&
      !kq_admission_should_enqueue (&stream_table->admission, &entry, now))
    reason = KQ_REFUSAL_OVERLOAD;
  KqOwnedStream *owned = NULL;
  if (reason == KQ_REFUSAL_NONE && segment->size <= KQ_OPENING_BYTES)
    owned = kq_owned_stream_new (stream_table, &frame->key, now);
  if (owned == NULL)
    {
      if (reason == KQ_REFUSAL_NONE)
        reason = KQ_REFUSAL_OVERLOAD;
      kq_stream_table_answer (stream_table, from, KQ_FRAME_DECLINED, reason, frame);
      return;
    }
  kq_owned_stream_set_balancer (owned, from, frame);
  owned->transaction_id = frame->transaction_id;
  owned->entry = entry;
  owned->opening_size = segment->size;
  memcpy (owned->opening, segment->bytes, segment->size);
  if (has_free_slot)
    {
      kq_owned_stream_open (stream_table, owned, now);
      return;
    }
  owned->state = KQ_OWNED_QUEUED;
  stream_table->stats.waited++;
  stream_table->next_tick = 0;
  kq_admission_enqueue (&stream_table->admission, &owned->entry);
  kq_owned_stream_answer (stream_table, owned, KQ_FRAME_QUEUED, KQ_REFUSAL_NONE);
}

static void
handle_open (KqStreamTable *stream_table, const KqAddress *from, const KqStreamFrame *frame,
             const KqSegment *segment, KqTime now)
{
  KqOwnedStream *owned = kq_owned_stream_find (stream_table, &frame->key);
  if (owned != NULL && (owned->superseded || (owned->target_ended && owned->caller_ended)))
    {
      kq_owned_stream_free (stream_table, owned);
      owned = NULL;
    }
  if (owned == NULL)
    {
      handle_new_stream (stream_table, from, frame, segment, now);
      return;
    }
  kq_owned_stream_set_balancer (owned, from, frame);
  owned->transaction_id = frame->transaction_id;
  if (owned->state == KQ_OWNED_QUEUED)
    {
      kq_owned_stream_answer (stream_table, owned, KQ_FRAME_QUEUED, KQ_REFUSAL_NONE);
      return;
    }
  stream_table->stats.to_target++;
  stream_table->ops.deliver (segment->bytes, segment->size, 0, stream_table->data);
  if (owned->state == KQ_OWNED_OPEN)
    kq_owned_stream_answer (stream_table, owned, KQ_FRAME_OWNED, KQ_REFUSAL_NONE);
}

/* Delivers a segment of a stream that is not in the table. If the target does not own the stream,
 * it returns the segment with the tag. */
static void
send_probe (KqStreamTable *stream_table, const KqAddress *from, const KqStreamFrame *frame,
            const KqSegment *segment)
{
  KqPendingProbe *probed = &stream_table->probed[++stream_table->last_tag % KQ_PENDING_PROBES_MAX];
  if (stream_table->last_tag == 0)
    stream_table->last_tag = 1;
  probed->tag = stream_table->last_tag;
  probed->key = segment->key;
  probed->balancer = *from;
  /* As the answer to a probe it belongs to its round; otherwise it denies the owner. */
  probed->transaction_id = frame->type == KQ_FRAME_PROBE ? frame->transaction_id : 0;
  probed->extended = frame->extended;
  stream_table->stats.probed++;
  stream_table->stats.to_target++;
  stream_table->ops.deliver (segment->bytes, segment->size, probed->tag, stream_table->data);
}

/* Two targets can accept the same opening segment; the caller continues with one of them, and its
 * acknowledgements lie outside the other's sequence numbers. */
static bool
acknowledges_another_target (const KqOwnedStream *owned, const KqSegment *segment)
{
  uint32_t sent = owned->target_next_sequence - owned->target_isn;
  return owned->target_isn_known && (segment->flags & KQ_SEGMENT_ACK) != 0 &&
         segment->acknowledged - owned->target_isn > sent + TARGET_WINDOW_BYTES;
}

/* The target keeps the stream half open and neither answers nor returns its segments. The entry
 * stays, so that no segment is sent to this target as a probe. */
static void
mark_superseded (KqStreamTable *stream_table, KqOwnedStream *owned)
{
  if (owned->superseded)
    return;
  owned->superseded = true;
  stream_table->stats.superseded++;
  kq_owned_stream_release_slot (stream_table, owned, -1);
  kq_stream_demand_close (&stream_table->demand, &owned->demand);
  kq_holder_log (stream_table, LOG_INFO, "stream-superseded", &owned->key,
                 "reason=\"the caller continues with another target\"");
}

/* A retransmitted segment carries no new request. */
static bool
is_new_data (KqOwnedStream *owned, const KqSegment *segment)
{
  uint32_t end = segment->sequence + segment->payload_size;
  if (segment->payload_size == 0 ||
      (owned->caller_next_known && (int32_t)(end - owned->caller_next_sequence) <= 0))
    return false;
  owned->caller_next_known = true;
  owned->caller_next_sequence = end;
  return true;
}

static void
handle_forwarded (KqStreamTable *stream_table, const KqAddress *from, const KqStreamFrame *frame,
                  const KqSegment *segment, KqTime now)
{
  KqOwnedStream *owned = kq_owned_stream_find (stream_table, &frame->key);
  if (owned != NULL && owned->state == KQ_OWNED_QUEUED)
    owned = NULL;
  if (owned != NULL && acknowledges_another_target (owned, segment))
    mark_superseded (stream_table, owned);
  if (owned == NULL && (stream_table->incomplete || frame->type == KQ_FRAME_PROBE))
    {
      send_probe (stream_table, from, frame, segment);
      return;
    }
  if (owned == NULL || owned->superseded)
    {
      KqStreamFrame request = *frame;
      if (frame->type != KQ_FRAME_PROBE)
        request.transaction_id = 0;
      kq_stream_table_answer (stream_table, from, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, &request);
      return;
    }
  /* The stream was learnt from segments of the target, so its balancer has no confirmation. */
  if (owned->balancer.port == 0 && owned->state == KQ_OWNED_OPEN)
    {
      KqStreamFrame request = *frame;
      if (frame->type != KQ_FRAME_PROBE)
        request.transaction_id = 0;
      kq_stream_table_answer (stream_table, from, KQ_FRAME_OWNED, KQ_REFUSAL_NONE, &request);
    }
  kq_owned_stream_set_balancer (owned, from, frame);
  kq_owned_stream_touch (stream_table, owned, now);
  if (is_new_data (owned, segment) && !owned->request_pending && !owned->target_ended)
    {
      kq_stream_outcome_request (stream_table, owned, now);
      owned->request_pending = true;
      kq_owned_stream_occupy_slot (stream_table, owned, now);
      kq_stream_demand_request (&stream_table->demand, &owned->demand, now);
    }
  if ((segment->flags & (KQ_SEGMENT_FIN | KQ_SEGMENT_RST)) != 0)
    {
      owned->caller_ended = true;
      kq_stream_demand_close (&stream_table->demand, &owned->demand);
    }
  stream_table->stats.to_target++;
  stream_table->ops.deliver (segment->bytes, segment->size, 0, stream_table->data);
  if ((segment->flags & KQ_SEGMENT_RST) != 0)
    kq_owned_stream_release_slot (stream_table, owned, -1);
}

static void
handle_query (KqStreamTable *stream_table, const KqAddress *from, const KqStreamFrame *frame)
{
  KqOwnedStream *owned = kq_owned_stream_find (stream_table, &frame->key);
  if (owned != NULL && owned->state == KQ_OWNED_OPEN && !owned->superseded)
    {
      kq_owned_stream_set_balancer (owned, from, frame);
      kq_stream_table_answer (stream_table, from, KQ_FRAME_OWNED, KQ_REFUSAL_NONE, frame);
    }
  else if (stream_table->incomplete && (owned == NULL || !owned->superseded))
    kq_stream_table_answer (stream_table, from, KQ_FRAME_UNDECIDED, KQ_REFUSAL_NONE, frame);
  else
    kq_stream_table_answer (stream_table, from, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, frame);
}

/* Removes only a queued stream. Once the opening segment was delivered, the target may have
 * accepted it although the answer was late; if another target accepts it too, the caller continues
 * with one of the two. */
static void
handle_withdrawal (KqStreamTable *stream_table, const KqAddress *from, const KqStreamFrame *frame)
{
  KqOwnedStream *owned = kq_owned_stream_find (stream_table, &frame->key);
  if (owned != NULL && owned->state == KQ_OWNED_QUEUED && kq_address_equal (&owned->balancer, from))
    kq_owned_stream_free (stream_table, owned);
}

void
kq_stream_table_handle_frame (KqStreamTable *stream_table, const KqAddress *from,
                              const KqStreamFrame *frame, const KqSegment *segment, KqTime now)
{
  kq_admission_set_time (&stream_table->admission, now);
  if (frame->service != stream_table->params.service || frame->agent != stream_table->params.agent)
    {
      stream_table->stats.misdirected++;
      kq_stream_table_answer (stream_table, from, KQ_FRAME_DECLINED, KQ_REFUSAL_WRONG_SERVICE,
                              frame);
      return;
    }
  switch (frame->type)
    {
    case KQ_FRAME_OPEN:
      handle_open (stream_table, from, frame, segment, now);
      break;
    case KQ_FRAME_FORWARD:
    case KQ_FRAME_PROBE:
      handle_forwarded (stream_table, from, frame, segment, now);
      break;
    case KQ_FRAME_QUERY:
      handle_query (stream_table, from, frame);
      break;
    case KQ_FRAME_WITHDRAW:
      handle_withdrawal (stream_table, from, frame);
      break;
    case KQ_FRAME_QUEUED:
    case KQ_FRAME_OWNED:
    case KQ_FRAME_UNDECIDED:
    case KQ_FRAME_DECLINED:
      stream_table->stats.misdirected++;
      break;
    }
}

void
kq_stream_table_handle_outdated_frame (KqStreamTable *stream_table, const KqAddress *from,
                                       const KqStreamFrame *frame, const KqSegment *segment,
                                       KqTime now)
{
  const KqOwnedStream *owned = kq_owned_stream_find (stream_table, &frame->key);
  if (frame->type == KQ_FRAME_FORWARD && owned != NULL && owned->state == KQ_OWNED_OPEN)
    kq_stream_table_handle_frame (stream_table, from, frame, segment, now);
  else
    stream_table->stats.outdated++;
}

void
kq_stream_table_target_unreachable (KqStreamTable *stream_table, KqTime now)
{
  if (now >= stream_table->backoff_until)
    stream_table->ops.event (LOG_WARNING, "target-unreachable",
                             "reason=\"no process listens on the target port\"",
                             stream_table->data);
  stream_table->backoff_until = now + BACKOFF_US;
  drop_all_streams (stream_table);
}

/* The target did not accept an opening segment in time. */
static void
decline_unaccepted (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  stream_table->accept_timeouts++;
  stream_table->backoff_until = now + BACKOFF_US;
  kq_holder_log (stream_table, LOG_INFO, "target-silent", &owned->key, "silences=%u waited_ms=%lld",
                 stream_table->accept_timeouts,
                 (long long)((now - owned->in_service_since) / KQ_MS));
  kq_owned_stream_answer (stream_table, owned, KQ_FRAME_DECLINED, KQ_REFUSAL_NO_TARGET);
  kq_owned_stream_free (stream_table, owned);
}

static void
check_stream (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now, KqTime *next)
{
  KqTime idle = now - owned->used_at;
  KqTime in_service = now - owned->in_service_since;
  bool ended = owned->target_ended && owned->caller_ended;
  if (owned->state == KQ_OWNED_OPENING && in_service >= ACCEPT_TIMEOUT_US)
    {
      decline_unaccepted (stream_table, owned, now);
      return;
    }
  if (owned->state != KQ_OWNED_OPEN)
    {
      *next = now + BUSY_TICK_US;
      return;
    }
  kq_stream_outcome_check (stream_table, owned, now, next);
  kq_stream_demand_update (&stream_table->demand, &owned->demand, now);
  if (owned->in_service && owned->request_pending && in_service >= REQUEST_MAX_US)
    kq_holder_log (stream_table, LOG_INFO, "request-unanswered", &owned->key,
                   "waited_ms=%lld caller_ended=%s target_ended=%s idle_ms=%lld",
                   (long long)(in_service / KQ_MS), owned->caller_ended ? "yes" : "no",
                   owned->target_ended ? "yes" : "no", (long long)(idle / KQ_MS));
  if (owned->in_service &&
      in_service >= (owned->request_pending ? REQUEST_MAX_US : REQUEST_WAIT_US))
    kq_owned_stream_release_slot (stream_table, owned, -1);
  if (idle >= STREAM_LIFETIME_US || (ended && idle >= CLOSED_LINGER_US))
    kq_owned_stream_free (stream_table, owned);
}

static void
decline_useless (KqStreamTable *stream_table, KqTime now)
{
  KqAdmissionEntry *entry;
  while ((entry = kq_admission_find_expired (&stream_table->admission, now)) != NULL)
    {
      KqOwnedStream *owned = KQ_CONTAINER_OF (entry, KqOwnedStream, entry);
      kq_owned_stream_answer (stream_table, owned, KQ_FRAME_DECLINED, KQ_REFUSAL_OVERLOAD);
      kq_owned_stream_free (stream_table, owned);
    }
}

void
kq_stream_table_resume (KqStreamTable *stream_table, KqTime now)
{
  decline_useless (stream_table, now);
}

KqTime
kq_stream_table_next_tick (const KqStreamTable *stream_table)
{
  return stream_table->next_tick;
}

void
kq_stream_table_tick (KqStreamTable *stream_table, KqTime now)
{
  KqOwnedStream *owned, *next;
  KqTime when = now + IDLE_TICK_US;
  if (stream_table->incomplete && now - stream_table->started_at >= STREAM_LIFETIME_US)
    stream_table->incomplete = false;
  kq_admission_set_time (&stream_table->admission, now);
  decline_useless (stream_table, now);
  for (owned = TAILQ_FIRST (&stream_table->by_last_use); owned != NULL; owned = next)
    {
      next = TAILQ_NEXT (owned, by_last_use);
      check_stream (stream_table, owned, now, &when);
    }
  kq_stream_outcome_apply (stream_table, now);
  kq_stream_table_open_queued (stream_table, now);
  stream_table->next_tick = when;
}

KqStreamTableStats
kq_stream_table_stats (const KqStreamTable *stream_table)
{
  return stream_table->stats;
}

const KqTargetProcess *
kq_stream_table_target (const KqStreamTable *stream_table)
{
  return &stream_table->target_process;
}
