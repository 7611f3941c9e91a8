#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/holder_state.h"

#define DETAIL_BYTES 256

KqHeldStream *
kq_held_find (const KqStreamHolder *holder, const KqStreamKey *key)
{
  uint64_t hash = kq_stream_key_hash (key);
  KqHashLink *link = kq_hash_index_find (&holder->index, hash);
  while (link != NULL)
    {
      KqHeldStream *held = KQ_CONTAINER_OF (link, KqHeldStream, link);
      if (kq_stream_key_equal (&held->key, key))
        return held;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

KqHeldStream *
kq_held_new (KqStreamHolder *holder, const KqStreamKey *key, KqTime now)
{
  KqHeldStream *held = talloc_zero (holder, KqHeldStream);
  if (held == NULL)
    return NULL;
  held->key = *key;
  held->used_at = now;
  kq_hash_index_insert (&holder->index, &held->link, kq_stream_key_hash (key));
  TAILQ_INSERT_TAIL (&holder->by_use, held, by_use);
  holder->stats.streams++;
  return held;
}

void
kq_held_free (KqStreamHolder *holder, KqHeldStream *held)
{
  if (held->state == KQ_HELD_WAITING)
    kq_admission_remove (&holder->admission, &held->entry);
  kq_held_uncount (holder, held, -1);
  kq_hash_index_remove (&holder->index, &held->link);
  TAILQ_REMOVE (&holder->by_use, held, by_use);
  holder->stats.streams--;
  talloc_free (held);
}

void
kq_held_touch (KqStreamHolder *holder, KqHeldStream *held, KqTime now)
{
  held->used_at = now;
  TAILQ_REMOVE (&holder->by_use, held, by_use);
  TAILQ_INSERT_TAIL (&holder->by_use, held, by_use);
}

void
kq_held_count (KqStreamHolder *holder, KqHeldStream *held, KqTime now)
{
  held->counted_at = now;
  if (held->counted)
    return;
  held->counted = true;
  kq_admission_request_started (&holder->admission);
}

void
kq_held_uncount (KqStreamHolder *holder, KqHeldStream *held, KqTime took_us)
{
  if (!held->counted)
    return;
  held->counted = false;
  held->asked = false;
  kq_admission_request_ended (&holder->admission, took_us);
}

/* Occupies a slot and delivers the opening segment to the target. */
void
kq_held_open (KqStreamHolder *holder, KqHeldStream *held, KqTime now)
{
  held->state = KQ_HELD_OFFERED;
  kq_held_count (holder, held, now);
  holder->stats.to_target++;
  holder->next_tick = 0;
  holder->ops.deliver (held->opening, held->opening_size, 0, holder->data);
}

/* Opens queued streams while there are free slots. */
void
kq_held_start_waiting (KqStreamHolder *holder, KqTime now)
{
  KqAdmissionEntry *next;
  while ((next = kq_admission_select_next (&holder->admission, now)) != NULL)
    {
      KqHeldStream *held = KQ_CONTAINER_OF (next, KqHeldStream, entry);
      kq_admission_remove (&holder->admission, next);
      kq_held_open (holder, held, now);
    }
}

void
kq_holder_answer (KqStreamHolder *holder, const KqAddress *to, KqStreamFrameType type,
                  KqStreamRefusal reason, uint32_t attempt, const KqStreamKey *key)
{
  KqStreamFrame frame = { .type = type,
                          .service = holder->params.service,
                          .agent = holder->params.agent,
                          .attempt = attempt,
                          .key = *key,
                          .reason = reason,
                          .load = kq_admission_load (&holder->admission) };
  holder->stats.declined[reason] += type == KQ_FRAME_DECLINED;
  if (to->port != 0)
    holder->ops.answer (to, &frame, holder->data);
}

void
kq_held_answer (KqStreamHolder *holder, const KqHeldStream *held, KqStreamFrameType type,
                KqStreamRefusal reason)
{
  kq_holder_answer (holder, &held->balancer, type, reason, held->attempt, &held->key);
}

/* The target does not own the stream any more: notifies its balancer and removes it. */
void
kq_held_gone (KqStreamHolder *holder, KqHeldStream *held)
{
  holder->stats.gone++;
  held->attempt = held->state == KQ_HELD_OPEN ? 0 : held->attempt;
  kq_held_answer (holder, held, KQ_FRAME_DECLINED, KQ_REFUSAL_BOUNCED);
  kq_held_free (holder, held);
}

void
kq_holder_log (KqStreamHolder *holder, int level, const char *event, const KqStreamKey *key,
               const char *format, ...)
{
  char text[KQ_STREAM_KEY_TEXT_BYTES];
  char details[DETAIL_BYTES];
  va_list args;
  int size = snprintf (details, sizeof details, "stream=%s ", kq_stream_key_format (key, text));
  va_start (args, format);
  vsnprintf (details + size, sizeof details - (size_t)size, format, args);
  va_end (args);
  holder->ops.event (level, event, details, holder->data);
}
