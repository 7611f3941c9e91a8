#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/stream_table_state.h"

#define DETAIL_BYTES 256

KqOwnedStream *
kq_owned_stream_find (const KqStreamTable *stream_table, const KqStreamKey *key)
{
  uint64_t hash = kq_stream_key_hash (key);
  KqHashLink *link = kq_hash_index_find (&stream_table->index, hash);
  while (link != NULL)
    {
      KqOwnedStream *owned = KQ_CONTAINER_OF (link, KqOwnedStream, link);
      if (kq_stream_key_equal (&owned->key, key))
        return owned;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

KqOwnedStream *
kq_owned_stream_new (KqStreamTable *stream_table, const KqStreamKey *key, KqTime now)
{
  KqOwnedStream *owned = talloc_zero (stream_table, KqOwnedStream);
  if (owned == NULL)
    return NULL;
  owned->key = *key;
  owned->used_at = now;
  kq_hash_index_insert (&stream_table->index, &owned->link, kq_stream_key_hash (key));
  TAILQ_INSERT_TAIL (&stream_table->by_last_use, owned, by_last_use);
  stream_table->stats.streams++;
  return owned;
}

void
kq_owned_stream_free (KqStreamTable *stream_table, KqOwnedStream *owned)
{
  if (owned->state == KQ_OWNED_QUEUED)
    kq_admission_abandon (&stream_table->admission, &owned->entry);
  kq_owned_stream_release_slot (stream_table, owned, -1);
  kq_stream_demand_close (&stream_table->demand, &owned->demand);
  kq_hash_index_remove (&stream_table->index, &owned->link);
  TAILQ_REMOVE (&stream_table->by_last_use, owned, by_last_use);
  stream_table->stats.streams--;
  talloc_free (owned);
}

void
kq_owned_stream_touch (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  owned->used_at = now;
  TAILQ_REMOVE (&stream_table->by_last_use, owned, by_last_use);
  TAILQ_INSERT_TAIL (&stream_table->by_last_use, owned, by_last_use);
}

void
kq_owned_stream_occupy_slot (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  owned->in_service_since = now;
  if (owned->in_service)
    return;
  owned->in_service = true;
  kq_admission_request_started (&stream_table->admission);
}

void
kq_owned_stream_release_slot (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime took_us)
{
  if (!owned->in_service)
    return;
  owned->in_service = false;
  owned->request_pending = false;
  kq_admission_request_ended (&stream_table->admission, took_us);
}

/* Occupies a slot and delivers the opening segment to the target. */
void
kq_owned_stream_open (KqStreamTable *stream_table, KqOwnedStream *owned, KqTime now)
{
  owned->state = KQ_OWNED_OPENING;
  kq_admission_stream_started (&stream_table->admission, &owned->entry);
  kq_owned_stream_occupy_slot (stream_table, owned, now);
  kq_stream_demand_open (&stream_table->demand, &owned->demand, now);
  stream_table->stats.to_target++;
  stream_table->next_tick = 0;
  stream_table->ops.deliver (owned->opening, owned->opening_size, 0, stream_table->data);
}

/* Opens queued streams while there are free slots. */
void
kq_stream_table_open_queued (KqStreamTable *stream_table, KqTime now)
{
  KqAdmissionEntry *next;
  while ((next = kq_admission_select_next (&stream_table->admission, now)) != NULL)
    {
      KqOwnedStream *owned = KQ_CONTAINER_OF (next, KqOwnedStream, entry);
      kq_admission_remove (&stream_table->admission, next);
      kq_owned_stream_open (stream_table, owned, now);
    }
}

KqTargetLoad
kq_stream_table_load (const KqStreamTable *stream_table)
{
  KqTargetLoad load = kq_admission_load (&stream_table->admission);
  load.failed_permille = stream_table->failed_permille;
  load.limited = stream_table->outlier_detector.limited;
  if (stream_table->params.features.load_estimation)
    load.expected_permille =
        kq_demand_expected_permille (&stream_table->demand, stream_table->admission.service_us);
  return load;
}

void
kq_stream_table_answer (KqStreamTable *stream_table, const KqAddress *to, KqStreamFrameType type,
                        KqStreamRefusal reason, const KqStreamFrame *request)
{
  KqStreamFrame frame = { .type = type,
                          .service = stream_table->params.service,
                          .agent = stream_table->params.agent,
                          .extended = request->extended,
                          .transaction_id = request->transaction_id,
                          .key = request->key,
                          .reason = reason,
                          .load = kq_stream_table_load (stream_table) };
  /* Version 2 has no value for a limit; its readers avoid an agent without a target for a while. */
  if (reason == KQ_REFUSAL_LIMITED && !request->extended)
    frame.reason = KQ_REFUSAL_NO_TARGET;
  stream_table->stats.declined[reason] += type == KQ_FRAME_DECLINED;
  if (to->port != 0)
    stream_table->ops.answer (to, &frame, stream_table->data);
}

void
kq_owned_stream_answer (KqStreamTable *stream_table, const KqOwnedStream *owned,
                        KqStreamFrameType type, KqStreamRefusal reason)
{
  KqStreamFrame request = { .extended = owned->extended,
                            .transaction_id = owned->transaction_id,
                            .key = owned->key };
  kq_stream_table_answer (stream_table, &owned->balancer, type, reason, &request);
}

void
kq_owned_stream_set_balancer (KqOwnedStream *owned, const KqAddress *from,
                              const KqStreamFrame *frame)
{
  owned->balancer = *from;
  owned->extended = frame->extended;
}

/* The target does not own the stream any more: notifies its balancer and removes it. */
void
kq_owned_stream_lost (KqStreamTable *stream_table, KqOwnedStream *owned)
{
  stream_table->stats.gone++;
  owned->transaction_id = owned->state == KQ_OWNED_OPEN ? 0 : owned->transaction_id;
  kq_owned_stream_answer (stream_table, owned, KQ_FRAME_DECLINED, KQ_REFUSAL_BOUNCED);
  kq_owned_stream_free (stream_table, owned);
}

void
kq_holder_log (KqStreamTable *stream_table, int level, const char *event, const KqStreamKey *key,
               const char *format, ...)
{
  char text[KQ_STREAM_KEY_TEXT_BYTES];
  char details[DETAIL_BYTES];
  va_list args;
  int size = snprintf (details, sizeof details, "stream=%s ", kq_stream_key_format (key, text));
  va_start (args, format);
  vsnprintf (details + size, sizeof details - (size_t)size, format, args);
  va_end (args);
  stream_table->ops.event (level, event, details, stream_table->data);
}
